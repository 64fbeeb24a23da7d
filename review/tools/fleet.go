package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	frontPort    = "8227" // The ports are the same on all machines.
)

type (
	// Router is a machine of the system on which one process of the deploy file runs at a time.
	Router struct {
		Name     string
		IP       string
		Front    string
		Ready    string
		Control  string
		settings string
		command  []string
		log      *os.File
		record   *Record

		mu      sync.Mutex
		process *exec.Cmd
		done    chan struct{}
	}

	// Fleet is a small deployment.
	Fleet struct {
		Store   *Store
		Routers []*Router
		Record  *Record
		dir     string
	}
)

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return listener
}

// newHost returns a loopback address on which no one listens, for one machine.
func newHost() string {
	for range 1000 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", ip+":"+frontPort)
		if err == nil {
			_ = listener.Close()
			return ip
		}
	}
	fail("no free loopback address")
	return ""
}

// NewFleet returns a deployment with the given number of routers, which are not started.
func NewFleet(record *Record, count int) *Fleet {
	dir, err := os.MkdirTemp("", "citronslip-review-")
	if err != nil {
		fail("%v", err)
	}
	f := &Fleet{Store: NewStore(), Record: record, dir: dir}
	var seeds []string
	for i := range count {
		ip := newHost()
		r := &Router{
			Name: fmt.Sprintf("front-z%d-1", i), IP: ip, Front: ip + ":" + frontPort, Ready: ip + ":8220", Control: ip + ":8229",
			command: deployCommand(), record: record,
		}
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", r.Control))
		}
		f.Routers = append(f.Routers, r)
	}
	for i, r := range f.Routers {
		r.settings = filepath.Join(dir, r.Name+".toml")
		text := fmt.Sprintf(settingsText, r.Name, r.IP, i, strings.Join(seeds, ","), r.Front, r.Ready, r.Control,
			f.Store.Listen(r.Name))
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			fail("%v", err)
		}
		if r.log, err = os.Create(filepath.Join(dir, r.Name+".log")); err != nil {
			fail("%v", err)
		}
	}
	return f
}

const settingsText = `node = %q
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = "z%d"
region = "r"
internalPorts = [7340,7355]
seeds = [%s]
bootstrap = true
countsTowardTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
z0 = "r"
z1 = "r"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 134
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
touchMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
failClosed = false
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoverS = 12
passMs = 120
reuseWindowS = 10
settle_ms = 1500
[platform]
address = %q
form = "table"
writesPerS = 600
readsPerS = 2000
transactionMs = 3.0
partWritesPerS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
`

// deployCommand returns the start command of the deploy file.
func deployCommand() []string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		fail("%v", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	fail("no start command in the deploy file")
	return nil
}

// Start starts the process of a router.
func (r *Router) Start() {
	cmd := exec.Command(r.command[0], r.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONSLIP_CONFIG=" + r.settings}
	cmd.Stdout, cmd.Stderr = r.log, r.log
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", r.Name, err)
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.process, r.done = cmd, done
	r.mu.Unlock()
	r.record.Add("router %s starts, process %d", r.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		r.record.Add("router %s process %d ended: %v", r.Name, cmd.Process.Pid, err)
		close(done)
	}()
}

// Signal sends a signal to the process of a router.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Add("%v to %s", s, r.Name)
	_ = r.process.Process.Signal(s)
}

// Ended returns a channel that is closed when the process has ended.
func (r *Router) Ended() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// IsReady makes one readiness check.
func (r *Router) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + r.Ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the router is ready.
func (r *Router) WaitReady() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.IsReady() {
			return
		}
	}
	fail("%s is not ready", r.Name)
}

// Close ends all processes that were started.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.mu.Lock()
		process, done := r.process, r.done
		r.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-done
		_ = r.log.Close()
	}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		_ = os.Rename(f.dir, dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
