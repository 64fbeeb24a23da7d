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
		m := newFleetModel(t)
		actions := map[string]func(*rapid.T){
			"admit":     func(*rapid.T) { m.admit() },
			"admit2":    func(*rapid.T) { m.admit() },
			"dispatch":  func(*rapid.T) { m.dispatch() },
			"dispatch2": func(*rapid.T) { m.dispatch() },
			"end":       func(*rapid.T) { m.endCopy() },
			"handle":    func(*rapid.T) { m.handleCrashes(m.drawNode()) },
			"partition": func(*rapid.T) { m.drawPartitions() },
			"replace":   func(*rapid.T) { m.replaceRouter() },
			"tick":      func(*rapid.T) { m.advanceSecond() },
			"restart":   func(*rapid.T) { m.advance(int(restartTime / time.Second)) },
			"wait":      func(*rapid.T) { m.waitForCopies() },
			"":          func(*rapid.T) { m.checkInvariants() },
		}
		for range 3 { // Sequences of the default length are too short to reach a third crash.
			t.Repeat(actions)
		}
		m.checkHarmlessServed()
	})
}

func isHarmful(fingerprint string) bool {
	return strings.HasPrefix(fingerprint, "bad")
}

func (m *fleetModel) request(fingerprint string) quarantine.Request {
	server := rapid.SampledFrom(m.servers).Draw(m.t, "server")
	return quarantine.Request{Fingerprint: fingerprint, Server: server, Scope: "m", Servers: m.servers}
}

func (m *fleetModel) admit() {
	n := m.drawNode()
	fingerprint := rapid.SampledFrom([]string{"bad1", "bad1", "bad1", "bad1", "bad2", "good1", "good2", "good3"}).Draw(m.t, "fingerprint")
	decision, err := n.guard.Admit(context.Background(), m.request(fingerprint))
	if admitted, ok := decision.(quarantine.AdmittedCopy); ok && err == nil {
		m.admitted = append(m.admitted, admittedCopy{node: n, copy: admitted})
		n.admitted[fingerprint] = true
	}
}

func (m *fleetModel) dispatch() {
	if len(m.admitted) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.admitted)-1).Draw(m.t, "admitted")
	a := m.admitted[i]
	m.admitted = slices.Delete(m.admitted, i, i+1)
	if m.now.After(a.copy.Until) || m.isDown(a.copy.Server) {
		_ = a.node.guard.RecordCancelled(context.Background(), a.copy)
		return
	}
	m.running = append(m.running, a)
}

// endCopy completes a harmless copy, or lets a harmful one crash its server.
func (m *fleetModel) endCopy() {
	if len(m.running) == 0 {
		return
	}
	a := m.running[rapid.IntRange(0, len(m.running)-1).Draw(m.t, "running")]
	m.finishCopy(a)
}

func (m *fleetModel) finishCopy(a admittedCopy) {
	if isHarmful(a.copy.Fingerprint) {
		m.crashServer(a)
		return
	}
	m.running = slices.DeleteFunc(m.running, func(other admittedCopy) bool { return other == a })
	_ = a.node.guard.RecordFinished(context.Background(), a.copy)
}

// drawPartitions assigns the routers to random partitions.
func (m *fleetModel) drawPartitions() {
	for _, n := range m.nodes {
		n.partition = rapid.IntRange(0, 2).Draw(m.t, "group")
	}
}

// crashesKnownToHomes reports whether the home routers of all crashed copies of a router can record the crashes for it.
func (m *fleetModel) crashesKnownToHomes(n *routerNode) bool {
	for _, a := range m.unhandledCopies {
		home := m.homes[n.instance+a.copy.Fingerprint]
		if a.node == n && (a.copy.Trial || a.copy.Slot != quarantine.SlotFree || home == nil || home == n || m.deadRouters[home.instance]) {
			return false
		}
	}
	return n.guard.UnwrittenEnds() == 0
}

// replaceRouter ends a router and starts another process on its host. The crashes that the router detected are either
// recorded, or known to the home routers, which then do not end before they have recorded them: if a router and the
// home router of its copy both ended first, no router would know of the crash.
func (m *fleetModel) replaceRouter() {
	n := m.drawNode()
	if n.onlyWitness || !m.crashesKnownToHomes(n) {
		m.catchUp(n)
	}
	for _, a := range m.unhandledCopies {
		if a.node == n {
			m.homes[n.instance+a.copy.Fingerprint].onlyWitness = true
		}
	}
	m.deadRouters[n.instance] = true
	m.nodes[slices.Index(m.nodes, n)] = m.startRouter(n.host, false)
	onReplaced := func(a admittedCopy) bool { return a.node == n }
	m.unhandledCopies = slices.DeleteFunc(m.unhandledCopies, onReplaced)
	for fingerprint := range n.admitted {
		m.possibleCrashes[fingerprint]++ // The outcome of its trial, or of its copy on a crashed server, is unknown.
	}
	m.admitted = slices.DeleteFunc(m.admitted, onReplaced)
	m.running = slices.DeleteFunc(m.running, onReplaced)
}

// advance lets the given number of seconds pass.
func (m *fleetModel) advance(seconds int) {
	for range seconds {
		m.advanceSecond()
	}
}

// waitForCopies ends all copies and lets enough time pass that every router knows they have ended.
func (m *fleetModel) waitForCopies() {
	for len(m.running) > 0 {
		m.finishCopy(m.running[0])
	}
	for _, a := range m.admitted {
		_ = a.node.guard.RecordCancelled(context.Background(), a.copy)
	}
	m.admitted = nil
	m.advance(int(restartTime / time.Second))
	m.now = m.now.Add(2 * maxRunTime)
	for _, n := range m.nodes {
		m.catchUp(n)
	}
}

// checkInvariants requires that no request crashed more than two servers, and that no harmless request is quarantined
// unless two crashes may have hit it.
func (m *fleetModel) checkInvariants() {
	for fingerprint, count := range m.crashes {
		if count > 2 {
			m.t.Fatalf("request %s crashed %d servers", fingerprint, count)
		}
	}
	for _, n := range m.nodes {
		for _, fingerprint := range harmlessRequests {
			record, _ := n.guard.Lookup(fingerprint)
			if record.Quarantined() && m.possibleCrashes[fingerprint] < 2 {
				m.t.Fatalf("harmless request %s quarantined: %+v", fingerprint, record)
			}
		}
	}
}

// checkHarmlessServed requires that harmless requests are served again once faults and partitions have ended.
func (m *fleetModel) checkHarmlessServed() {
	m.waitForCopies()
	m.noFaults = true
	for _, n := range m.nodes {
		n.partition = 0
	}
	n := m.nodes[0]
	for _, fingerprint := range harmlessRequests {
		if record, _ := n.guard.Lookup(fingerprint); record.Quarantined() {
			continue
		}
		if !m.completes(n, fingerprint) {
			record, ok := n.guard.Lookup(fingerprint)
			m.t.Fatalf("harmless request %s is not served: %+v %v", fingerprint, record, ok)
		}
	}
}

// completes reports whether a harmless request is completed and no longer a suspect, or is quarantined after two
// possible crashes.
func (m *fleetModel) completes(n *routerNode, fingerprint string) bool {
	for range 100 { // A new home router grants free slots after a little more than maxRunTime, which is a minute here.
		decision, err := n.guard.Admit(context.Background(), m.request(fingerprint))
		admitted, ok := decision.(quarantine.AdmittedCopy)
		if ok && err == nil {
			must(m.t, n.guard.RecordFinished(context.Background(), admitted))
			_, suspect := n.guard.Lookup(fingerprint)
			return !suspect
		}
		if _, quarantined := decision.(quarantine.Quarantined); quarantined {
			return m.possibleCrashes[fingerprint] > 1
		}
		m.advanceSecond()
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
		admitted := decision.(quarantine.AdmittedCopy)
		is.Equal(admitted.Server, "s1")
		is.NoErr(g.RecordFinished(t.Context(), admitted))
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
	case quarantine.AdmittedCopy:
		fmt.Println("run on", d.Server)
		_ = guard.RecordFinished(ctx, d)
	case quarantine.RetryLater:
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
		Ask: func(_ context.Context, _ string, r quarantine.ReserveRequest) (quarantine.SlotGrant, error) {
			return quarantine.SlotGrant{Server: r.Server}, nil
		},
		Free: func(string, quarantine.CopyDone) {},
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
		_ = g.RecordFinished(b.Context(), decision.(quarantine.AdmittedCopy))
	}
}
