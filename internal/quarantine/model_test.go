package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"citronslip/internal/quarantine"
	"citronslip/internal/table"
)

const (
	restartTime = 10 * time.Second // Time from the crash of a server until it serves again.
	maxRunTime  = time.Minute
)

type (
	// routerNode is one router process of the model.
	routerNode struct {
		host, instance   string
		partition        int // Routers reach each other only within the same partition.
		guard            *quarantine.Guard
		admitted         map[string]bool
		onlyWitness      bool      // Whether the router, as home, is the only one that knows of a crash.
		unhandledCrashes []string  // Servers whose crash the router has not handled yet.
		lastCaughtUp     time.Time // Last time at which the router had read the table and had nothing left to write.
	}

	// admittedCopy is a copy of a request that a router admitted.
	admittedCopy struct {
		node *routerNode
		copy quarantine.AdmittedCopy
	}

	// fleetModel models the routers, the backend servers and the copies of requests, and keeps track of what really
	// happened.
	fleetModel struct {
		t               *rapid.T
		table           table.Memory
		noFaults        bool
		now             time.Time
		started         int
		nodes           []*routerNode
		deadRouters     map[string]bool
		homes           map[string]*routerNode // Home router that granted last, by instance and fingerprint.
		servers         []string
		downUntil       map[string]time.Time
		admitted        []admittedCopy
		running         []admittedCopy
		unhandledCopies []admittedCopy // Copies on crashed servers whose router has not handled the crash yet.
		crashes         map[string]int // Servers crashed by a request, by its fingerprint.
		possibleCrashes map[string]int // Server crashes and router deaths that may have hit a copy, by fingerprint.
	}
)

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{
		t:               t,
		now:             time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		deadRouters:     make(map[string]bool),
		homes:           make(map[string]*routerNode),
		servers:         []string{"s1", "s2", "s3", "s4", "s5"},
		downUntil:       make(map[string]time.Time),
		crashes:         make(map[string]int),
		possibleCrashes: make(map[string]int),
	}
	m.table.Now = func() time.Time { return m.now }
	m.table.Inject = m.drawFault
	fresh := rapid.Bool().Draw(t, "fresh")
	for i := range 4 {
		m.nodes = append(m.nodes, m.startRouter(fmt.Sprintf("h%d", i), fresh))
	}
	return m
}

func (m *fleetModel) drawFault(string) table.Fault {
	if m.noFaults {
		return table.FaultNone
	}
	faults := []table.Fault{table.FaultNone, table.FaultNone, table.FaultNone, table.FaultRefuse, table.FaultLose}
	return rapid.SampledFrom(faults).Draw(m.t, "fault")
}

func (m *fleetModel) startRouter(host string, fresh bool) *routerNode {
	m.started++
	n := &routerNode{host: host, instance: fmt.Sprintf("%s-%d", host, m.started), lastCaughtUp: m.now, admitted: make(map[string]bool)}
	n.guard = &quarantine.Guard{
		Table: &m.table, Instance: n.instance, Host: host, Fresh: fresh, Longest: maxRunTime,
		Hosts: func() []string { return []string{"h0", "h1", "h2", "h3"} },
		Now:   func() time.Time { return m.now },
		Ask: func(_ context.Context, home string, r quarantine.ReserveRequest) (quarantine.SlotGrant, error) {
			return m.askHome(n, home, r)
		},
		Tell: func(r quarantine.CrashReport) {
			m.deliverToPeers(n, func(peer *routerNode) { peer.guard.AddCrashReport(r) })
		},
		Free: func(home string, d quarantine.CopyDone) {
			m.deliverToPeers(n, func(peer *routerNode) {
				if peer.host == home {
					peer.guard.EndCopy(d)
				}
			})
		},
		Dead: func(_ context.Context, instance string) (bool, error) { return m.deadRouters[instance], nil },
	}
	return n
}

// askHome calls the home router. The answer may be lost after the home router granted the slot.
func (m *fleetModel) askHome(n *routerNode, home string, r quarantine.ReserveRequest) (quarantine.SlotGrant, error) {
	for _, peer := range m.nodes {
		if peer.host != home || peer.partition != n.partition {
			continue
		}
		grant := peer.guard.GrantFreeSlot(r)
		m.homes[n.instance+r.Fingerprint] = peer
		if rapid.IntRange(0, 5).Draw(m.t, "answer") == 0 {
			break
		}
		return grant, nil
	}
	return quarantine.SlotGrant{}, errors.New("no answer")
}

// deliverToPeers delivers a message to each peer in the same partition with some probability.
func (m *fleetModel) deliverToPeers(n *routerNode, deliver func(*routerNode)) {
	for _, peer := range m.nodes {
		if peer != n && peer.partition == n.partition && rapid.Bool().Draw(m.t, "delivered") {
			deliver(peer)
		}
	}
}

func (m *fleetModel) drawNode() *routerNode {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "node")]
}

func (m *fleetModel) isDown(server string) bool {
	return m.now.Before(m.downUntil[server])
}

// crashServer crashes the server that runs a harmful copy, which ends all copies on it.
func (m *fleetModel) crashServer(cause admittedCopy) {
	server := cause.copy.Server
	m.crashes[cause.copy.Fingerprint]++
	m.downUntil[server] = m.now.Add(restartTime)
	var remaining []admittedCopy
	hit := make(map[string]bool)
	for _, a := range m.running {
		if a.copy.Server != server {
			remaining = append(remaining, a)
			continue
		}
		m.unhandledCopies = append(m.unhandledCopies, a)
		hit[a.copy.Fingerprint] = true
	}
	m.running = remaining
	for fingerprint := range hit {
		m.possibleCrashes[fingerprint]++
	}
	for _, n := range m.nodes {
		n.unhandledCrashes = append(n.unhandledCrashes, server)
	}
}

// handleCrashes lets a router record the crashes that it has detected.
func (m *fleetModel) handleCrashes(n *routerNode) {
	seen := n.unhandledCrashes
	n.unhandledCrashes = nil
	for _, server := range seen {
		var copies []quarantine.AdmittedCopy
		n.guard.RecordServerDown(server)
		m.unhandledCopies = slices.DeleteFunc(m.unhandledCopies, func(a admittedCopy) bool {
			handled := a.node == n && a.copy.Server == server
			if handled {
				copies = append(copies, a.copy)
			}
			return handled
		})
		_ = n.guard.RecordCrashed(context.Background(), copies)
	}
}

// advanceSecond lets a second pass. Each router records crashes and reads the records at the latest after 3 s.
func (m *fleetModel) advanceSecond() {
	m.now = m.now.Add(time.Second)
	for _, n := range m.nodes {
		if m.now.Sub(n.lastCaughtUp) >= 3*time.Second {
			m.catchUp(n)
			continue
		}
		if n.guard.Sync(context.Background()) == nil && len(n.unhandledCrashes) == 0 && n.guard.UnwrittenEnds() == 0 {
			n.lastCaughtUp = m.now
		}
	}
}

// catchUp lets a router handle all crashes and read the records without faults.
func (m *fleetModel) catchUp(n *routerNode) {
	previous := m.noFaults
	m.noFaults = true
	m.handleCrashes(n)
	if err := n.guard.Sync(context.Background()); err != nil {
		m.t.Fatal(err)
	}
	if n.guard.UnwrittenEnds() > 0 {
		m.t.Fatalf("router %s has not written the ends of %d copies", n.instance, n.guard.UnwrittenEnds())
	}
	n.lastCaughtUp, n.onlyWitness = m.now, false
	m.noFaults = previous
}
