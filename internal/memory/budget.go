// Package memory bounds the memory that callers can make a router use: the heads and bodies of their requests, the
// responses that they do not read, and their connections. All of them draw on one Budget. A Guard scans heads before they
// are decoded, since net/http takes many times their bytes for legal heads with many lines.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
)

const (
	// softShare is the share of the machine's memory, less fixedBytes, up to which the garbage collector lets the process
	// grow.
	softShare = 0.85
	// fixedBytes is the memory of the process that the collector does not count: its program and the kernel's pages for it.
	fixedBytes = 20 << 20
	// budgetShare is the share of the soft limit that is the budget. The rest is for the router's own state and for garbage
	// that is not collected yet.
	budgetShare = 0.4
	// ordinaryBytes is the largest reservation of an ordinary request. It covers a head of 16 KB with 50 lines.
	ordinaryBytes = 192 << 10
	// costlyShare is the share of the budget for larger reservations together. The rest stays free for ordinary requests.
	costlyShare = 0.7
	// messageShare is the share of the soft limit for messages of other routers while they are read.
	messageShare = 0.1
	// metricsInterval is the time between two updates of the metrics.
	metricsInterval = time.Second
	// reliefInterval is the least time between two searches for stalled connections.
	reliefInterval = 100 * time.Millisecond

	// reservedDescriptors is the number of file descriptors for everything but the connections of callers, of requests of
	// other routers, and to backend servers.
	reservedDescriptors = 200
	// callerConnShare and carriedConnShare are the shares of the other descriptors for the connections of callers and of
	// other routers. Each of them may need one to a backend server.
	callerConnShare  = 0.35
	carriedConnShare = 0.15
	// messageConnShare is that for the connections of calls of other routers; minMessageConns of them are among
	// reservedDescriptors.
	messageConnShare = 0.1
	minMessageConns  = 64
	// minConns is the limit of connections if the settings leave fewer.
	minConns = 8
)

type (
	// Budget is the memory that all callers together may use. A reservation above ordinaryBytes is costly; all of these
	// together may take costlyShare of the budget, unless there is only one. The zero value has no limit. It is safe for
	// concurrent use.
	Budget struct {
		Limit int64 // In bytes; zero means unlimited. Set before first use.

		mu       sync.Mutex
		used     int64         // Bytes that are reserved.
		costly   int64         // Part of them in costly reservations.
		freed    chan struct{} // Closed at the next release; nil if nobody waits.
		guards   []*Guard      // Those that can make room.
		relieved [2]time.Time  // When they last began to, for all requests and for costly ones only.
	}

	// change is the change of a reservation from one number of bytes to another, and of what counts as costly.
	change struct {
		from, to             int64
		costlyFrom, costlyTo int64
	}

	// Hold is the part of a budget that one request uses. It is released as a whole. It is safe for concurrent use. A nil
	// Hold has no limit.
	Hold struct {
		Budget *Budget
		Costly bool // Whether it is costly whatever its size. Set before first use.

		mu   sync.Mutex
		used int64
	}
)

// SoftLimit returns the soft limit of the garbage collector for a process that may use a number of bytes.
func SoftLimit(machineBytes int64) int64 {
	return max(int64(softShare*float64(machineBytes))-fixedBytes, machineBytes/4)
}

// BudgetOf returns the limit of the budget in a process that may use a number of bytes; zero if that is zero.
func BudgetOf(machineBytes int64) int64 {
	return int64(budgetShare * float64(SoftLimit(machineBytes)))
}

// MessageBudgetOf returns the limit of the memory for messages of other routers likewise.
func MessageBudgetOf(machineBytes int64) int64 {
	return int64(messageShare * float64(SoftLimit(machineBytes)))
}

// CallerConns returns the limit of the connections of callers for a number of file descriptors; zero if that is zero.
func CallerConns(descriptors int) int { return connLimit(callerConnShare, descriptors) }

// CarriedConns returns the limit of the connections of other routers likewise.
func CarriedConns(descriptors int) int { return connLimit(carriedConnShare, descriptors) }

// MessageConns returns the limit of the connections for calls of other routers likewise.
func MessageConns(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(connLimit(messageConnShare, descriptors), minMessageConns)
}

func connLimit(share float64, descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(int(share*float64(descriptors-reservedDescriptors)), minConns)
}

// Reserve takes a number of bytes from the budget and reports whether there were as many.
func (b *Budget) Reserve(n int64) bool { return b.Resize(0, n) }

// Release gives back a reservation of a number of bytes.
func (b *Budget) Release(n int64) { b.Resize(n, 0) }

// Resize changes a reservation to another number of bytes and reports whether there were as many. A smaller number always
// fits.
func (b *Budget) Resize(from, to int64) bool { return b.resize(newChange(from, to, false)) }

func (b *Budget) resize(c change) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.to > c.from && !b.fits(c) {
		b.relieve(c)
		return false
	}
	b.used += c.to - c.from
	b.costly += c.costlyTo - c.costlyFrom
	if c.to < c.from && b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
	return true
}

// fits reports whether a reservation can grow now. The caller holds the lock.
func (b *Budget) fits(c change) bool {
	if b.Limit <= 0 {
		return true
	}
	if b.used+c.to-c.from > b.Limit {
		return false
	}
	others := b.costly - c.costlyFrom
	return c.costlyTo == 0 || others == 0 || float64(others+c.costlyTo) <= costlyShare*float64(b.Limit)
}

// newChange returns the change of a reservation, which is costly above ordinaryBytes, or whatever its size.
func newChange(from, to int64, costly bool) change {
	c := change{from: from, to: to}
	if costly || from > ordinaryBytes {
		c.costlyFrom = from
	}
	if costly || to > ordinaryBytes {
		c.costlyTo = to
	}
	return c
}

// relieve closes connections whose request makes no progress, since they would keep their memory until their time is over. If
// only costly reservations have no room, it closes only those of costly requests. It does so in the background, as the
// caller may hold locks of a guard, and holds that of the budget.
func (b *Budget) relieve(c change) {
	onlyCostly, last := false, &b.relieved[0]
	if b.used+c.to-c.from <= b.Limit {
		onlyCostly, last = true, &b.relieved[1]
	}
	now := time.Now()
	if now.Sub(*last) < reliefInterval {
		return
	}
	*last = now
	for _, g := range b.guards {
		go g.evictStalled(onlyCostly)
	}
}

// HasRoom reports whether a number of bytes could be reserved now.
func (b *Budget) HasRoom(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := newChange(0, n, false)
	if b.fits(c) {
		return true
	}
	b.relieve(c)
	return false
}

func (b *Budget) register(g *Guard) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guards = append(b.guards, g)
}

// Wait is like Reserve and waits until there are as many bytes, the timeout is over or the context ends.
func (b *Budget) Wait(ctx context.Context, n int64, timeout time.Duration) bool {
	return b.WaitResize(ctx, 0, n, timeout)
}

// WaitResize is like Resize and waits likewise.
func (b *Budget) WaitResize(ctx context.Context, from, to int64, timeout time.Duration) bool {
	return b.await(ctx, newChange(from, to, false), timeout)
}

func (b *Budget) await(ctx context.Context, c change, timeout time.Duration) bool {
	if b.resize(c) {
		return true
	}
	if !b.CanFit(c.to) {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		freed := b.nextRelease()
		if b.resize(c) {
			return true
		}
		select {
		case <-freed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// CanFit reports whether a number of bytes would fit if nothing else were reserved.
func (b *Budget) CanFit(n int64) bool { return b.Limit <= 0 || n <= b.Limit }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Costly returns the part of them in costly reservations.
func (b *Budget) Costly() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.costly
}

// Report sets the metrics reserved, costly and limit until the context ends.
func (b *Budget) Report(ctx context.Context, scope tally.Scope) error {
	scope.Gauge("limit").Update(float64(b.Limit))
	reserved, costly := scope.Gauge("reserved"), scope.Gauge("costly")
	for delay.Sleep(ctx, metricsInterval) {
		reserved.Update(float64(b.Used()))
		costly.Update(float64(b.Costly()))
	}
	return nil
}

func (b *Budget) nextRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// Reserve takes a number of bytes and reports whether there were as many.
func (h *Hold) Reserve(n int64) bool {
	if h == nil || h.Budget == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.Budget.resize(newChange(h.used, h.used+n, h.Costly)) {
		return false
	}
	h.used += n
	return true
}

// Wait is like Reserve and waits until there are as many bytes, the timeout is over or the context ends.
func (h *Hold) Wait(ctx context.Context, n int64, timeout time.Duration) bool {
	if h == nil || h.Budget == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.Budget.await(ctx, newChange(h.used, h.used+n, h.Costly), timeout) {
		return false
	}
	h.used += n
	return true
}

// Release gives a number of bytes back.
func (h *Hold) Release(n int64) {
	if h == nil || h.Budget == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Budget.resize(newChange(h.used, h.used-n, h.Costly))
	h.used -= n
}

// End gives all bytes back.
func (h *Hold) End() {
	if h == nil || h.Budget == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Budget.resize(newChange(h.used, 0, h.Costly))
	h.used = 0
}
