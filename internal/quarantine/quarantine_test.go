package quarantine_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/quarantine"
	"citronslip/internal/table"
)

var (
	harmlessRequests = []string{"good1", "good2", "good3"}
)

// Guards against a request that crashes more than two servers, and against a harmless request that is quarantined
// although fewer than two crashes hit it. Copies run at several routers at once, routers are partitioned and replaced,
// and answers of routers and of the table are lost.
func TestAtMostTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetModel(t)
		actions := map[string]func(*rapid.T){
			"admit":     func(*rapid.T) { w.admit() },
			"admit2":    func(*rapid.T) { w.admit() },
			"dispatch":  func(*rapid.T) { w.dispatch() },
			"dispatch2": func(*rapid.T) { w.dispatch() },
			"end":       func(*rapid.T) { w.endCopy() },
			"handle":    func(*rapid.T) { w.handleCrashes(w.drawNode()) },
			"partition": func(*rapid.T) { w.drawPartitions() },
			"replace":   func(*rapid.T) { w.replaceRouter() },
			"tick":      func(*rapid.T) { w.advanceSecond() },
			"restart":   func(*rapid.T) { w.advance(int(restartTime / time.Second)) },
			"wait":      func(*rapid.T) { w.waitForCopies() },
			"":          func(*rapid.T) { w.checkInvariants() },
		}
		for range 3 { // Sequences of the default length are too short to reach a third crash.
			t.Repeat(actions)
		}
		w.checkHarmlessServed()
	})
}

func isHarmful(fingerprint string) bool {
	return strings.HasPrefix(fingerprint, "bad")
}

func (w *fleetModel) request(fingerprint string) quarantine.Request {
	server := rapid.SampledFrom(w.servers).Draw(w.t, "server")
	return quarantine.Request{Fingerprint: fingerprint, Server: server, Scope: "m", Servers: w.servers}
}

func (w *fleetModel) admit() {
	n := w.drawNode()
	fingerprint := rapid.SampledFrom([]string{"bad1", "bad1", "bad1", "bad1", "bad2", "good1", "good2", "good3"}).Draw(w.t, "fingerprint")
	decision, err := n.guard.Admit(context.Background(), w.request(fingerprint))
	if run, ok := decision.(quarantine.Run); ok && err == nil {
		w.admitted = append(w.admitted, admittedCopy{node: n, run: run})
		n.admitted[fingerprint] = true
	}
}

func (w *fleetModel) dispatch() {
	if len(w.admitted) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.admitted)-1).Draw(w.t, "admitted")
	a := w.admitted[i]
	w.admitted = slices.Delete(w.admitted, i, i+1)
	if w.now.After(a.run.Until) || w.isDown(a.run.Server) {
		_ = a.node.guard.Cancelled(context.Background(), a.run)
		return
	}
	w.running = append(w.running, a)
}

// endCopy completes a harmless copy, or lets a harmful one crash its server.
func (w *fleetModel) endCopy() {
	if len(w.running) == 0 {
		return
	}
	a := w.running[rapid.IntRange(0, len(w.running)-1).Draw(w.t, "running")]
	w.finishCopy(a)
}

func (w *fleetModel) finishCopy(a admittedCopy) {
	if isHarmful(a.run.Fingerprint) {
		w.crashServer(a)
		return
	}
	w.running = slices.DeleteFunc(w.running, func(other admittedCopy) bool { return other == a })
	_ = a.node.guard.Finished(context.Background(), a.run)
}

// drawPartitions assigns the routers to random partitions.
func (w *fleetModel) drawPartitions() {
	for _, n := range w.nodes {
		n.partition = rapid.IntRange(0, 2).Draw(w.t, "group")
	}
}

// crashesKnownToHomes reports whether the home routers of all crashed copies of a router can record the crashes for it.
func (w *fleetModel) crashesKnownToHomes(n *routerNode) bool {
	for _, a := range w.unhandledCopies {
		home := w.homes[n.instance+a.run.Fingerprint]
		if a.node == n && (a.run.Trial || a.run.Slot != quarantine.SlotFree || home == nil || home == n || w.deadRouters[home.instance]) {
			return false
		}
	}
	return n.guard.Waiting() == 0
}

// replaceRouter ends a router and starts another process on its host. The crashes that the router detected are either
// recorded, or known to the home routers, which then do not end before they have recorded them: if a router and the home
// router of its copy both ended first, no router would know of the crash.
func (w *fleetModel) replaceRouter() {
	n := w.drawNode()
	if n.onlyWitness || !w.crashesKnownToHomes(n) {
		w.catchUp(n)
	}
	for _, a := range w.unhandledCopies {
		if a.node == n {
			w.homes[n.instance+a.run.Fingerprint].onlyWitness = true
		}
	}
	w.deadRouters[n.instance] = true
	w.nodes[slices.Index(w.nodes, n)] = w.startRouter(n.host, false)
	onReplaced := func(a admittedCopy) bool { return a.node == n }
	w.unhandledCopies = slices.DeleteFunc(w.unhandledCopies, onReplaced)
	for fingerprint := range n.admitted {
		w.possibleCrashes[fingerprint]++ // The outcome of its trial, or of its copy on a crashed server, is unknown.
	}
	w.admitted = slices.DeleteFunc(w.admitted, onReplaced)
	w.running = slices.DeleteFunc(w.running, onReplaced)
}

// advance lets the given number of seconds pass.
func (w *fleetModel) advance(seconds int) {
	for range seconds {
		w.advanceSecond()
	}
}

// waitForCopies ends all copies and lets enough time pass that every router knows they have ended.
func (w *fleetModel) waitForCopies() {
	for len(w.running) > 0 {
		w.finishCopy(w.running[0])
	}
	for _, a := range w.admitted {
		_ = a.node.guard.Cancelled(context.Background(), a.run)
	}
	w.admitted = nil
	w.advance(int(restartTime / time.Second))
	w.now = w.now.Add(2 * maxRunTime)
	for _, n := range w.nodes {
		w.catchUp(n)
	}
}

// checkInvariants requires that no request crashed more than two servers, and that no harmless request is quarantined
// unless two crashes may have hit it.
func (w *fleetModel) checkInvariants() {
	for fingerprint, count := range w.crashes {
		if count > 2 {
			w.t.Fatalf("request %s crashed %d servers", fingerprint, count)
		}
	}
	for _, n := range w.nodes {
		for _, fingerprint := range harmlessRequests {
			record, _ := n.guard.Lookup(fingerprint)
			if record.Quarantined() && w.possibleCrashes[fingerprint] < 2 {
				w.t.Fatalf("harmless request %s quarantined: %+v", fingerprint, record)
			}
		}
	}
}

// checkHarmlessServed requires that harmless requests are served again once faults and partitions have ended.
func (w *fleetModel) checkHarmlessServed() {
	w.waitForCopies()
	w.noFaults = true
	for _, n := range w.nodes {
		n.partition = 0
	}
	n := w.nodes[0]
	for _, fingerprint := range harmlessRequests {
		if record, _ := n.guard.Lookup(fingerprint); record.Quarantined() {
			continue
		}
		if !w.completes(n, fingerprint) {
			record, ok := n.guard.Lookup(fingerprint)
			w.t.Fatalf("harmless request %s is not served: %+v %v", fingerprint, record, ok)
		}
	}
}

// completes reports whether a harmless request is completed and no longer a suspect, or is quarantined after two possible
// crashes.
func (w *fleetModel) completes(n *routerNode, fingerprint string) bool {
	for range 100 { // A new home router grants free slots after a little more than maxRunTime, which is a minute here.
		decision, err := n.guard.Admit(context.Background(), w.request(fingerprint))
		run, ok := decision.(quarantine.Run)
		if ok && err == nil {
			must(w.t, n.guard.Finished(context.Background(), run))
			_, suspect := n.guard.Lookup(fingerprint)
			return !suspect
		}
		if _, quarantined := decision.(quarantine.Quarantined); quarantined {
			return w.possibleCrashes[fingerprint] > 1
		}
		w.advanceSecond()
	}
	return false
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against table calls in the admission of requests that are no suspects.
func TestAdmitWithoutSuspectSkipsTable(t *testing.T) {
	is := is.New(t)
	var m table.Memory
	g := quarantine.Guard{Table: &m, Instance: "r", Host: "h", Hosts: func() []string { return []string{"h"} }, Fresh: true}
	is.NoErr(g.Sync(t.Context()))
	before := m.Stats()
	for _, content := range []string{"a", "b", "b"} {
		request := quarantine.Request{Fingerprint: quarantine.Fingerprint("garden", "m", []byte(content)), Server: "s1"}
		decision, err := g.Admit(t.Context(), request)
		is.NoErr(err)
		run := decision.(quarantine.Run)
		is.Equal(run.Server, "s1")
		is.NoErr(g.Finished(t.Context(), run))
	}
	is.Equal(m.Stats(), before)
}

func ExampleGuard_Admit() {
	guard := quarantine.Guard{
		Table: &table.Memory{}, Instance: "r1", Host: "h1", Fresh: true,
		Hosts: func() []string { return []string{"h1"} },
	}
	ctx := context.Background()
	_ = guard.Sync(ctx)
	request := quarantine.Request{Fingerprint: quarantine.Fingerprint("garden", "plan", []byte("roses")), Server: "s2"}
	decision, _ := guard.Admit(ctx, request)
	switch d := decision.(type) {
	case quarantine.Run:
		fmt.Println("run on", d.Server)
		_ = guard.Finished(ctx, d)
	case quarantine.Later:
		fmt.Println("later:", d.Reason)
	case quarantine.Quarantined:
		fmt.Println("quarantined")
	}
	// Output: run on s2
}

func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{12, 400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkAdmit(b, count) })
	}
}

func benchmarkAdmit(b *testing.B, count int) {
	hosts := make([]string, count)
	for i := range hosts {
		hosts[i] = fmt.Sprint("h", i)
	}
	g := quarantine.Guard{
		Table: &table.Memory{}, Instance: "r", Host: "h0", Fresh: true,
		Hosts: func() []string { return hosts },
		Ask: func(_ context.Context, _ string, r quarantine.Reserve) (quarantine.Grant, error) {
			return quarantine.Grant{Server: r.Server}, nil
		},
		Free: func(string, quarantine.Done) {},
	}
	if err := g.Sync(b.Context()); err != nil {
		b.Fatal(err)
	}
	request := quarantine.Request{Fingerprint: quarantine.Fingerprint("garden", "m", []byte("a")), Server: "s1"}
	b.ReportAllocs()
	for b.Loop() {
		decision, err := g.Admit(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		_ = g.Finished(b.Context(), decision.(quarantine.Run))
	}
}
