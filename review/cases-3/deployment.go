//go:build review3

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	zone       = "zone-a"
	healthPath = "/health"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	host       = "ficu95.example"
	llm        = "huvo11a"
	desk       = "wuno96b"
)

type (
	// deployment is a small deployment of routers as processes before stand-ins.
	deployment struct {
		store   *platformStore
		folder  string
		record  *os.File
		begin   time.Time
		routers []*router
		workers []*worker
		lastID  atomic.Int64
		prepaid int64 // Tokens of the tenant.

		mu       sync.Mutex
		arrivals []arrival
	}

	// arrival is a request that reached a worker.
	arrival struct {
		at      time.Time
		worker  *worker
		id      string
		request *request
	}

	// router is a router process.
	router struct {
		node, ip              string
		front, ready, control string
		settings              string
		process               *exec.Cmd
		exited                chan struct{}
	}

	// reply is what a client got.
	reply struct {
		status int // Zero if there was no answer.
		body   string
		err    error         // Why the answer is not complete.
		events int           // Complete events.
		after  time.Duration // When the client may come back; zero if it was not told.
	}
)

func newDeployment(folder, record string) (*deployment, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	store, err := startStore()
	if err != nil {
		return nil, err
	}
	return &deployment{store: store, folder: folder, record: file, begin: time.Now(), prepaid: 500_000_000}, nil
}

// log writes a line with the time since the start to the record.
func (d *deployment) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, args...))
}

// arrived records that a request reached a worker.
func (d *deployment) arrived(w *worker, r *request) {
	id := r.header["x-citronslip-request-id"]
	d.log("request %s (%s %s) reaches worker %s (%s)", id, r.method, r.target, w.id, w.version)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals = append(d.arrivals, arrival{time.Now(), w, id, r})
}

// arrivalsOf returns the arrivals that a function accepts.
func (d *deployment) arrivalsOf(accept func(a arrival) bool) []arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	var result []arrival
	for _, a := range d.arrivals {
		if accept(a) {
			result = append(result, a)
		}
	}
	return result
}

// configure writes the configuration.
func (d *deployment) configure() {
	route := func(prefix, kind, service string, attempts int, sticky, resumable bool) map[string]any {
		r := map[string]any{
			"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 10000, "latencyGoalMs": 800,
			"priority": 1, "service": service, "attempts": attempts, "public": false, "sticky": sticky, "resumable": resumable,
		}
		if kind == "streaming" {
			r["targetGapMs"] = 400
		}
		return r
	}
	d.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{
			route("/stream/", "streaming", llm, 1, true, false),
			route("/resume/", "streaming", llm, 2, true, true),
			route("/safe/", "safe", desk, 2, false, false),
			route("/book/", "unsafe", desk, 1, false, false),
		},
		"services": []any{
			map[string]any{"name": llm, "healthPath": healthPath, "maxConnections": 360, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 458879, "stride": 4,
			}},
			map[string]any{"name": desk, "healthPath": healthPath, "maxConnections": 96},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1, "prepaid": d.prepaid}},
	})
}

// addWorkers starts workers of a service with a software version.
func (d *deployment) addWorkers(count int, service, version string) ([]*worker, error) {
	var added []*worker
	for range count {
		w := &worker{deployment: d, service: service, version: version, events: 30, gap: 100 * time.Millisecond, down: 3 * time.Second}
		if err := w.start(); err != nil {
			return nil, err
		}
		added = append(added, w)
	}
	d.workers = append(d.workers, added...)
	return added, nil
}

// addRouters writes the settings of routers and starts them.
func (d *deployment) addRouters(count int) error {
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), rand.IntN(200)) // Other programs use other addresses of the loopback range.
	for i := range count {
		ip := fmt.Sprintf("%s.%d", network, 20+i)
		ports, err := freePorts(ip, 3)
		if err != nil {
			return err
		}
		internal, err := consecutivePorts(ip)
		if err != nil {
			return err
		}
		d.routers = append(d.routers, &router{
			node: fmt.Sprintf("front-%d", i+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
			control: fmt.Sprintf("%s:%d", ip, ports[2]), settings: fmt.Sprintf("[%d,%d]", internal, internal+1),
		})
	}
	var seeds []string
	for _, r := range d.routers[:min(len(d.routers), 3)] {
		seeds = append(seeds, `"`+r.control+`"`)
	}
	for _, r := range d.routers {
		text := fmt.Sprintf(`node = %q
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "region"
internalPorts = %s
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
%s = "region"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
touchMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
settle_ms = 1500
[platform]
address = %q
form = "table"
writesPerS = 600
readsPerS = 2000
`, r.node, r.ip, zone, r.settings, strings.Join(seeds, ","), zone, r.front, r.ready, r.control, d.store.address)
		r.settings = filepath.Join(d.folder, r.node+".toml")
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.startRouter(r); err != nil {
			return err
		}
	}
	for _, r := range d.routers {
		if err := d.awaitReady(r); err != nil {
			return err
		}
	}
	return nil
}

// startRouter starts a router with the command of the deploy file.
func (d *deployment) startRouter(r *router) error {
	output, err := os.Create(filepath.Join(d.folder, r.node+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	r.process = exec.Command("target/citronslip", "route")
	r.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONSLIP_CONFIG=" + r.settings}
	r.process.Stdout, r.process.Stderr = output, output
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.process.Start(); err != nil {
		return err
	}
	r.exited = make(chan struct{})
	process, exited := r.process, r.exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	d.log("router %s started, process %d", r.node, r.process.Process.Pid)
	return nil
}

func (d *deployment) awaitReady(r *router) error {
	for range 100 {
		response, err := http.Get("http://" + r.ready + "/v1/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("router %s is not ready", r.node)
}

// goDark makes the host of a router lose its power: its connections are silent, and its process is gone when it is back.
func (r *router) goDark(d *deployment) error {
	d.log("the host of router %s loses its power", r.node)
	if err := r.process.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(darkTime, func() {
		_ = r.process.Process.Kill()
		<-r.exited
		d.log("the host of router %s is back", r.node)
		if err := d.startRouter(r); err != nil {
			d.log("router %s did not start: %v", r.node, err)
		}
	})
	return nil
}

// killRouters kills all router processes at once.
func (d *deployment) killRouters() {
	for _, r := range d.routers {
		d.log("router %s is killed", r.node)
		_ = r.process.Process.Kill()
	}
	for _, r := range d.routers {
		<-r.exited
	}
}

// restartRouters starts all router processes again.
func (d *deployment) restartRouters() error {
	for _, r := range d.routers {
		if err := d.startRouter(r); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, r := range d.routers {
		if r.process != nil && r.process.Process != nil {
			_ = r.process.Process.Signal(syscall.SIGCONT)
			_ = r.process.Process.Kill()
			<-r.exited
		}
	}
	_ = d.store.server.Close()
	_ = d.record.Close()
}

// nextID returns a new request ID.
func (d *deployment) nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+d.lastID.Add(1)) }

// send sends a request as it is given and reads the answer until the context ends. onEvents is called with the number of complete
// events after each part of the answer; optional.
func (d *deployment) send(ctx context.Context, r *router, text string, onEvents func(n int)) reply {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", r.front)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := io.WriteString(conn, text); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	result := reply{status: response.StatusCode}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.after = time.Duration(seconds * float64(time.Second))
	}
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		result.body += string(buffer[:n])
		result.events = strings.Count(result.body, "\n\n")
		if onEvents != nil && n > 0 {
			onEvents(result.events)
		}
		if err == io.EOF {
			return result
		}
		if err != nil {
			result.err = err
			return result
		}
	}
}

// streamRequest returns a request for a stream, whose prompt has the given parts and one of its own.
func streamRequest(id, path, parts, more string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Citronslip-Request-Id: " + id + "\r\nX-Citronslip-Model: m\r\n" +
		"X-Citronslip-Token-Usage: 1460,120\r\nX-Citronslip-Prompt-Prefix: " + parts + ",e" + id[8:] + ":250\r\nX-Citronslip-Deadline-Ms: 10000\r\n" +
		"Authorization: Bearer " + apiKey + "\r\n" + more + "Content-Length: 16\r\n\r\n" + id
}

// plainRequest returns a request without a prompt.
func plainRequest(id, method, target, more string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Citronslip-Request-Id: " + id +
		"\r\nX-Citronslip-Deadline-Ms: 3000\r\nAuthorization: Bearer " + apiKey + "\r\n" + more + "\r\n"
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// consecutivePorts returns the first of two free ports in a row.
func consecutivePorts(ip string) (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		second, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+1))
		_ = first.Close()
		if err == nil {
			_ = second.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no two free ports in a row at %s", ip)
}
