package config_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"citronslip/internal/board"
	"citronslip/internal/certificate"
	"citronslip/internal/config"
	"citronslip/internal/object"
	"citronslip/internal/peer"
	"citronslip/internal/table"
	"citronslip/internal/wire"
)

const (
	routerIdentity  = "spiffe://citronslip.example/router"
	measureInterval = 30 * time.Second // Over which traffic and CPU time are measured.
	commitCount     = 30
)

type (
	// fleet is a set of routers in this process that are connected over loopback with TLS.
	fleet struct {
		table   table.Memory
		objects object.Memory
		routers []*fleetRouter
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// fleetRouter holds the published state of one router of a fleet.
	fleetRouter struct {
		active  board.Cell[config.Version]
		state   board.Cell[wire.ConfigState]
		members board.Cell[peer.Members]
		heard   board.Cell[peer.AnnouncedVersion]
		traffic peer.Traffic
	}
)

// newFleet starts the given number of routers.
func newFleet(b *testing.B, size int) *fleet {
	authority := &certificate.Authority{Directory: b.TempDir()}
	if err := authority.Create(); err != nil {
		b.Fatal(err)
	}
	var listeners []net.Listener
	var addresses []string
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel}
	for i, listener := range listeners {
		files, err := authority.Issue(fmt.Sprint("router", i), routerIdentity, 0)
		if err != nil {
			b.Fatal(err)
		}
		tls := &peer.TLS{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key, Name: routerIdentity}
		f.startRouter(ctx, listener, tls, func() []string { return addresses })
	}
	return f
}

// startRouter starts one router.
func (f *fleet) startRouter(ctx context.Context, listener net.Listener, tls *peer.TLS, addresses func() []string) {
	r := &fleetRouter{}
	methods := &peer.Methods{}
	client := &peer.Client{TLS: tls, Methods: methods, Traffic: &r.traffic}
	self := wire.Member{Address: listener.Addr().String(), Instance: "i-" + listener.Addr().String(), Host: "entry-1", Place: "catania"}
	membership := &peer.Membership{
		Self: self, Seeds: addresses, Client: client, Members: &r.members, Version: &r.state, Heard: &r.heard,
	}
	controller := &config.Controller{
		Store: &config.Store{Table: &f.table, Objects: &f.objects},
		Get:   client.GetConfigPart, Ask: client.GetConfigState, Join: client.GetConfigStateNow, Parse: acceptAny,
		Adopted: &r.active, State: &r.state, Members: &r.members, Heard: &r.heard,
		Seeds: addresses, Instance: self.Instance,
	}
	methods.Hello, methods.Ping = membership.Hello, membership.Ping
	methods.Get, methods.Version = controller.ServeConfigGet, controller.ServeConfigState
	server := &peer.Server{Listener: listener, TLS: tls, Methods: methods, Client: client, Traffic: &r.traffic}
	f.routers = append(f.routers, r)
	f.running.Go(func() { _ = server.Run(ctx) })
	f.running.Go(func() { _ = client.Run(ctx) })
	f.running.Go(func() { _ = membership.Run(ctx) })
	f.running.Go(func() { _ = controller.Run(ctx) })
}

// awaitMembership waits until every router lists all routers as live.
func (f *fleet) awaitMembership() {
	for _, r := range f.routers {
		for {
			members, changed := r.members.Watch()
			if members != nil && len(members.Live()) == len(f.routers) {
				break
			}
			<-changed
		}
	}
}

// commitAndWait commits one version and returns for each router the time until it was active there.
func (f *fleet) commitAndWait(b *testing.B, edited int, inventory string) []time.Duration {
	store := &config.Store{Table: &f.table, Objects: &f.objects}
	change := config.Change{Edited: edited, Inventory: []byte(inventory), Identity: fmt.Sprint(edited), Author: "bench"}
	v, err := store.Commit(b.Context(), change)
	if err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	latencies := make([]time.Duration, len(f.routers))
	var waiting sync.WaitGroup
	for i, r := range f.routers {
		waiting.Go(func() {
			for {
				active, changed := r.active.Watch()
				if active != nil && active.Number >= v.Number {
					latencies[i] = time.Since(start)
					return
				}
				<-changed
			}
		})
	}
	waiting.Wait()
	return latencies
}

// trafficBytes returns the bytes that all routers have sent and received.
func (f *fleet) trafficBytes() int64 {
	total := int64(0)
	for _, r := range f.routers {
		total += r.traffic.Read.Load() + r.traffic.Written.Load()
	}
	return total
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the heap and stack bytes in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// inventoryText returns an inventory of about 20 kB. Those of two numbers differ in at most two lines.
func inventoryText(number int) string {
	var text strings.Builder
	for i := range 250 {
		total := 1_000_000
		if i == number%250 {
			total += number
		}
		fmt.Fprintf(&text, "[[budget]]\naccount = \"account-%d\"\nname = \"budget-%d\"\ntotal = %d\n\n", i%10, i, total)
	}
	return text.String()
}

// BenchmarkFleet measures the control plane: the time until a version is active on all routers, and the traffic, CPU
// time and memory of one router in steady state.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{10, 25, 50, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	memoryBefore := memoryInUse()
	start := time.Now()
	f := newFleet(b, size)
	f.awaitMembership()
	b.ReportMetric(time.Since(start).Seconds(), "join-s")
	f.commitAndWait(b, 0, inventoryText(0))
	<-time.After(measureInterval / 2) // Lets the messages of the start settle before the steady state is measured.
	bytesBefore, cpuBefore := f.trafficBytes(), cpuTime()
	<-time.After(measureInterval)
	routerSeconds := float64(size) * measureInterval.Seconds()
	b.ReportMetric(float64(f.trafficBytes()-bytesBefore)/routerSeconds, "B/node/s")
	b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/routerSeconds, "%core/node")
	b.ReportMetric(float64(memoryInUse()-memoryBefore)/float64(size)/1024, "KiB/node")
	bytesBefore = f.trafficBytes()
	var latencies, slowest []time.Duration
	for i := range commitCount {
		commitLatencies := f.commitAndWait(b, i+1, inventoryText(i+1))
		latencies = append(latencies, commitLatencies...)
		slowest = append(slowest, slices.Max(commitLatencies))
	}
	slices.Sort(latencies)
	slices.Sort(slowest)
	b.ReportMetric(latencies[len(latencies)/2].Seconds(), "median-s")
	b.ReportMetric(latencies[len(latencies)*99/100].Seconds(), "p99-s")
	b.ReportMetric(slowest[len(slowest)/2].Seconds(), "all-median-s")
	b.ReportMetric(slowest[len(slowest)-1].Seconds(), "all-max-s")
	b.ReportMetric(float64(f.trafficBytes()-bytesBefore)/float64(size*commitCount), "B/node/change")
	f.cancel()
	f.running.Wait()
}
