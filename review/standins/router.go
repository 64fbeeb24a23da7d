package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// machineMemoryMB is memoryMb of the machines of the site.
const machineMemoryMB = 134

// Router is a process of the project under test.
type Router struct {
	Node, Zone string
	Front      string // Address for clients.

	ready   string
	control string
	config  string
	command *exec.Cmd
	done    chan struct{} // Closed when the process has ended.
}

// runCommand returns the words of the run command in the deploy file.
func runCommand() []string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(data)
	if match == nil {
		cannotRun("deploy/system.toml has no run command")
	}
	return strings.Fields(string(match[1]))
}

// freePorts returns free ports of an address, of which two follow each other at the end.
func freePorts(ip string) (front, ready, control, internal int) {
	port := func(p int) int {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return 0
		}
		defer func() { _ = l.Close() }()
		return l.Addr().(*net.TCPAddr).Port
	}
	for range 100 {
		front, ready, control, internal = port(0), port(0), port(0), port(0)
		if internal > 0 && port(internal+1) > 0 {
			return front, ready, control, internal
		}
	}
	cannotRun("no free ports on %s", ip)
	return 0, 0, 0, 0
}

// startRouters starts one router in each zone and waits until all are ready.
func startRouters(folder string, store *Store, zones ...string) []*Router {
	return startRoutersAt(folder, slices.Repeat([]string{store.Address}, len(zones)), zones...)
}

// startRoutersAt does the same with an address of the store for each router.
func startRoutersAt(folder string, stores []string, zones ...string) []*Router {
	var routers []*Router
	type ports struct{ front, ready, control, internal int }
	var all []ports
	var seeds []string
	for i := range zones {
		var p ports
		p.front, p.ready, p.control, p.internal = freePorts(machineIP(i))
		all = append(all, p)
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", machineIP(i), p.control)))
	}
	for i, zone := range zones {
		p, ip := all[i], machineIP(i)
		r := &Router{
			Node: "front-" + zone + "-1", Zone: zone, Front: fmt.Sprintf("%s:%d", ip, p.front),
			ready: fmt.Sprintf("%s:%d", ip, p.ready), control: fmt.Sprintf("%s:%d", ip, p.control),
			config: filepath.Join(folder, "settings-"+zone+".toml"),
		}
		writeSettings(r, ip, stores[i], strings.Join(seeds[:min(len(seeds), 3)], ","), p.internal, zones)
		r.start(folder)
		routers = append(routers, r)
	}
	for _, r := range routers {
		r.awaitReady()
	}
	return routers
}

func machineIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

func writeSettings(r *Router, ip, store, seeds string, internal int, zones []string) {
	regions := ""
	for _, zone := range zones {
		regions += zone + " = \"sicilia\"\n"
	}
	text := fmt.Sprintf(`node = %q
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "sicilia"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
countsTowardTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
%s
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
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
`, r.Node, ip, r.Zone, internal, internal+1, seeds, regions, r.Front, r.ready, r.control, machineMemoryMB, store)
	if err := os.WriteFile(r.config, []byte(text), 0o644); err != nil {
		cannotRun("%v", err)
	}
}

func (r *Router) start(folder string) {
	words := runCommand()
	r.command = exec.Command(words[0], words[1:]...)
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CITRONSLIP_CONFIG=" + r.config}
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(folder, "router-"+r.Zone+".log"))
	if err != nil {
		cannotRun("%v", err)
	}
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		cannotRun("start %v: %v", words, err)
	}
	r.done = make(chan struct{})
	go func() {
		_ = r.command.Wait()
		close(r.done)
	}()
	atEnd(r.kill)
	record("%s: process %d started, clients at %s", r.Node, r.command.Process.Pid, r.Front)
}

func (r *Router) kill() {
	_ = r.command.Process.Kill() // Only this process, which the script has started.
	<-r.done
}

// running reports whether the process has not ended.
func (r *Router) running() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

func (r *Router) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := client.Get("http://" + r.ready + "/v1/readiness"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	cannotRun("%s is not ready after 20 s", r.Node)
}

// peakMemoryMB returns the largest resident memory that the process has had; zero if it has ended.
func (r *Router) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	var kilobytes int
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, _ = fmt.Sscan(rest, &kilobytes)
		}
	}
	return kilobytes >> 10
}
