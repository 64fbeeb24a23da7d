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
	fleetName = "spiffe://citronslip.example/router"
	window    = 30 * time.Second // In which traffic and processor time are measured.
	commits   = 30
)

type (
	// fleet is a number of routers in this process, connected over loopback with TLS.
	fleet struct {
		rows    table.Memory
		objects object.Memory
		members []*member
		stop    context.CancelFunc
		done    sync.WaitGroup
	}

	// member is one router of a fleet.
	member struct {
		adopted board.Cell[config.Version]
		state   board.Cell[wire.ConfigState]
		members board.Cell[peer.Members]
		heard   board.Cell[peer.Heard]
		traffic peer.Traffic
	}
)

// newFleet starts the routers.
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
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{stop: stop}
	for i, listener := range listeners {
		files, err := authority.Issue(fmt.Sprint("router", i), fleetName, 0)
		if err != nil {
			b.Fatal(err)
		}
		settings := &peer.TLS{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key, Name: fleetName}
		f.start(ctx, listener, settings, func() []string { return addresses })
	}
	return f
}

// start runs one router.
func (f *fleet) start(ctx context.Context, listener net.Listener, settings *peer.TLS, addresses func() []string) {
	m := &member{}
	methods := &peer.Methods{}
	client := &peer.Client{TLS: settings, Methods: methods, Traffic: &m.traffic}
	self := wire.Member{Address: listener.Addr().String(), Instance: "i-" + listener.Addr().String(), Host: "entry-1", Place: "catania"}
	membership := &peer.Membership{
		Self: self, Seeds: addresses, Client: client, Members: &m.members, Version: &m.state, Heard: &m.heard,
	}
	controller := &config.Controller{
		Store: &config.Store{Table: &f.rows, Objects: &f.objects},
		Get:   client.Get, Ask: client.Version, Join: client.VersionNow, Parse: parse,
		Adopted: &m.adopted, State: &m.state, Members: &m.members, Heard: &m.heard,
		Seeds: addresses, Instance: self.Instance,
	}
	methods.Hello, methods.Ping = membership.Hello, membership.Ping
	methods.Get, methods.Version = controller.ServeGet, controller.ServeVersion
	server := &peer.Server{Listener: listener, TLS: settings, Methods: methods, Client: client, Traffic: &m.traffic}
	f.members = append(f.members, m)
	f.done.Go(func() { _ = server.Run(ctx) })
	f.done.Go(func() { _ = client.Run(ctx) })
	f.done.Go(func() { _ = membership.Run(ctx) })
	f.done.Go(func() { _ = controller.Run(ctx) })
}

// joined waits until every router knows all others.
func (f *fleet) joined() {
	for _, m := range f.members {
		for {
			members, changed := m.members.Watch()
			if members != nil && len(members.Live()) == len(f.members) {
				break
			}
			<-changed
		}
	}
}

// spread commits one version and returns the times until each router had it in force.
func (f *fleet) spread(b *testing.B, edited int, inventory string) []time.Duration {
	store := &config.Store{Table: &f.rows, Objects: &f.objects}
	change := config.Change{Edited: edited, Inventory: []byte(inventory), Identity: fmt.Sprint(edited), Author: "bench"}
	v, err := store.Commit(b.Context(), change)
	if err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	times := make([]time.Duration, len(f.members))
	var all sync.WaitGroup
	for i, m := range f.members {
		all.Go(func() {
			for {
				adopted, changed := m.adopted.Watch()
				if adopted != nil && adopted.Number >= v.Number {
					times[i] = time.Since(start)
					return
				}
				<-changed
			}
		})
	}
	all.Wait()
	return times
}

// bytes returns what all routers sent and received.
func (f *fleet) bytes() int64 {
	total := int64(0)
	for _, m := range f.members {
		total += m.traffic.Read.Load() + m.traffic.Written.Load()
	}
	return total
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the memory in use after a collection.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// inventoryText returns an inventory of about 20 kB in which each number differs in one line.
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

// BenchmarkFleet measures the control plane: time until a version is in force on all routers, and traffic, processor
// time and memory of one router in steady state.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{10, 25, 50, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measure(b, size)
			}
		})
	}
}

func measure(b *testing.B, size int) {
	before := memory()
	start := time.Now()
	f := newFleet(b, size)
	f.joined()
	b.ReportMetric(time.Since(start).Seconds(), "join-s")
	f.spread(b, 0, inventoryText(0))
	<-time.After(window / 2) // News of the start spread before the steady state is measured.
	bytes, used := f.bytes(), processor()
	<-time.After(window)
	perNode := float64(size) * window.Seconds()
	b.ReportMetric(float64(f.bytes()-bytes)/perNode, "B/node/s")
	b.ReportMetric(100*(processor()-used).Seconds()/perNode, "%core/node")
	b.ReportMetric(float64(memory()-before)/float64(size)/1024, "KiB/node")
	bytes = f.bytes()
	var times, last []time.Duration
	for i := range commits {
		round := f.spread(b, i+1, inventoryText(i+1))
		times = append(times, round...)
		last = append(last, slices.Max(round))
	}
	slices.Sort(times)
	slices.Sort(last)
	b.ReportMetric(times[len(times)/2].Seconds(), "median-s")
	b.ReportMetric(times[len(times)*99/100].Seconds(), "p99-s")
	b.ReportMetric(last[len(last)/2].Seconds(), "all-median-s")
	b.ReportMetric(last[len(last)-1].Seconds(), "all-max-s")
	b.ReportMetric(float64(f.bytes()-bytes)/float64(size*commits), "B/node/change")
	f.stop()
	f.done.Wait()
}
