package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/board"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

type (
	// testNetwork connects the routers of a test by in-memory connections.
	testNetwork struct {
		mu      sync.Mutex
		routers map[string]*testRouter
		isCut   func(from, to string) bool // Whether two addresses cannot reach each other; nil means that all can.
		conns   map[net.Conn][2]string     // Addresses of both ends.
		now     func() time.Time           // Clock of the routers that are started next.
	}

	// testRouter is one router of a test.
	testRouter struct {
		server          *peer.Server
		membership      *peer.Membership
		members         *board.Cell[peer.Members]
		traffic         *peer.Traffic
		address         string
		ctx             context.Context // Ends the connections.
		stopMembership  context.CancelFunc
		stopConnections context.CancelFunc // Called before stopMembership, it keeps the router from announcing its end.
		clientRunning   sync.WaitGroup     // Waits for the client.
		running         sync.WaitGroup     // Waits for the membership and the accepted connections.
	}
)

// dialFrom returns a function that opens in-memory connections from the address.
func (n *testNetwork) dialFrom(from string) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		target := n.routers[to]
		if target == nil || target.ctx.Err() != nil || n.isCut != nil && (n.isCut(from, to) || n.isCut(to, from)) {
			return nil, errors.New("unreachable")
		}
		near, far := net.Pipe()
		n.conns[near] = [2]string{from, to}
		target.running.Go(func() { target.server.ServeConn(target.ctx, far) })
		return near, nil
	}
}

// setPartition sets which pairs of addresses cannot reach each other and closes their connections.
func (n *testNetwork) setPartition(isCut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut = isCut
	for conn, ends := range n.conns {
		if isCut != nil && isCut(ends[0], ends[1]) {
			_ = conn.Close()
			delete(n.conns, conn)
		}
	}
}

// startRouter starts a router that joins through the seeds.
func (n *testNetwork) startRouter(address, instance string, seeds ...string) *testRouter {
	r := &testRouter{address: address, members: &board.Cell[peer.Members]{}, traffic: &peer.Traffic{}}
	methods := &peer.Methods{}
	connCtx, stopConnections := context.WithCancel(context.Background())
	membershipCtx, stopMembership := context.WithCancel(context.Background())
	r.ctx, r.stopConnections, r.stopMembership = connCtx, stopConnections, stopMembership
	client := &peer.Client{Dial: n.dialFrom(address), Methods: methods, Timeout: time.Second, Traffic: r.traffic}
	r.membership = &peer.Membership{
		Self:    wire.Member{Address: address, Instance: instance, Host: "h", Place: "catania"},
		Seeds:   func() []string { return seeds },
		Client:  client,
		Members: r.members,
		Now:     n.now,
	}
	methods.Hello, methods.Ping = r.membership.Hello, r.membership.Ping
	r.server = &peer.Server{Methods: methods, Traffic: r.traffic}
	n.mu.Lock()
	n.routers[address] = r
	n.mu.Unlock()
	r.clientRunning.Go(func() { _ = client.Run(connCtx) })
	r.running.Go(func() { _ = r.membership.Run(membershipCtx) })
	return r
}

// kill stops the router without an announcement to its neighbours, as a crash does.
func (r *testRouter) kill() {
	r.stopConnections()
	r.clientRunning.Wait()
	r.stopMembership()
	r.running.Wait()
}

// killAll kills all routers.
func killAll(routers []*testRouter) {
	for _, r := range routers {
		r.kill()
	}
}

// member returns the member with the address as this router knows it.
func (r *testRouter) member(address string) wire.Member {
	for _, member := range r.members.Load().List {
		if member.Address == address {
			return member
		}
	}
	return wire.Member{}
}

// startFleet starts the given number of routers, which join through the first one.
func startFleet(n *testNetwork, size int) []*testRouter {
	var routers []*testRouter
	for i := range size {
		routers = append(routers, n.startRouter(fmt.Sprintf("10.0.0.%d:1", i), fmt.Sprintf("i%d", i), "10.0.0.0:1"))
	}
	return routers
}

// totalBytes returns the number of bytes that all routers have sent and received.
func totalBytes(routers []*testRouter) int64 {
	total := int64(0)
	for _, r := range routers {
		total += r.traffic.Read.Load() + r.traffic.Written.Load()
	}
	return total
}

// allSee reports whether the member, as each router but the skipped one knows it, matches. A skip of -1 skips none.
func allSee(routers []*testRouter, skip int, address string, matches func(wire.Member) bool) bool {
	for i, r := range routers {
		if i != skip && !matches(r.member(address)) {
			return false
		}
	}
	return true
}

// Guards against more than 2 KB/s of steady traffic per router, and against a change that does not reach every router:
// a join, a crash, a new instance at the old address whose clock is behind, and a planned stop.
func TestMembershipConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := &testNetwork{routers: make(map[string]*testRouter), conns: make(map[net.Conn][2]string)}
		routers := startFleet(network, 30)
		defer killAll(routers)
		time.Sleep(30 * time.Second)
		for _, r := range routers {
			is.Equal(len(r.members.Load().Live()), 30)
			is.True(len(r.members.Load().Neighbours) <= peer.MaxNeighbours)
		}
		pinged := make(map[string]bool)
		for _, r := range routers {
			for _, address := range r.members.Load().Neighbours {
				pinged[address] = true
			}
		}
		is.Equal(len(pinged), 30) // A router that nobody pings would receive no changes.
		before := totalBytes(routers)
		time.Sleep(30 * time.Second)
		is.True((totalBytes(routers)-before)/(30*30) < 2000) // Bytes per router and second, in both directions.
		restarted := routers[3].address
		old := routers[0].member(restarted)
		routers[3].kill()
		time.Sleep(60 * time.Second)
		is.True(allSee(routers, 3, restarted, func(m wire.Member) bool { return m.State == wire.MemberStateSuspected }))
		network.now = func() time.Time { return time.Now().Add(-time.Hour) }
		routers[3] = network.startRouter(restarted, "replacement", "10.0.0.0:1")
		time.Sleep(30 * time.Second)
		is.True(allSee(routers, -1, restarted, func(m wire.Member) bool {
			return m.Instance == "replacement" && m.State == wire.MemberStateLive && m.Incarnation > old.Incarnation
		}))
		routers[5].membership.Leave(t.Context())
		time.Sleep(20 * time.Second)
		is.True(allSee(routers, -1, routers[5].address, func(m wire.Member) bool { return m.State == wire.MemberStateLeaving }))
		routers[5].stopMembership()
		time.Sleep(20 * time.Second)
		is.True(allSee(routers, 5, routers[5].address, func(m wire.Member) bool { return m.State == wire.MemberStateLeft }))
	})
}

// Guards against two halves of a fleet that do not reconnect after a partition, and against suspicions that are not
// refuted.
func TestMembershipHealsAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := &testNetwork{routers: make(map[string]*testRouter), conns: make(map[net.Conn][2]string)}
		routers := startFleet(network, 20)
		defer killAll(routers)
		time.Sleep(30 * time.Second)
		half := make(map[string]bool)
		for _, r := range routers[:10] {
			half[r.address] = true
		}
		network.setPartition(func(from, to string) bool { return half[from] != half[to] })
		time.Sleep(3 * time.Minute)
		for _, r := range routers {
			is.Equal(len(r.members.Load().Live()), 10)
			is.Equal(len(r.members.Load().List), 20)
		}
		network.setPartition(nil)
		time.Sleep(time.Minute)
		for _, r := range routers {
			is.Equal(len(r.members.Load().Live()), 20)
		}
	})
}
