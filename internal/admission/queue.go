package admission

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
	"citronslip/internal/event"
)

const (
	defaultFirst    = 700 * time.Millisecond
	defaultGap      = 65 * time.Millisecond
	defaultLeast    = 4
	defaultMost     = 4096
	defaultInitial  = 64
	defaultLength   = 8192
	defaultPatience = 30 * time.Second
	defaultLead     = 16
	period          = 100 * time.Millisecond
	// safety is the part of the time to its deadline that a new request may be expected to wait. The rest covers
	// changes of the drain rate, so that a queued request is rarely given up later.
	safety = 0.7
	// shortest is the shortest retry time told; below it a retry would meet the same queue.
	shortest = 100 * time.Millisecond
)

type (
	// Queue admits requests. Set the fields before first use; zero settings select the defaults. Run keeps the queue
	// going.
	Queue struct {
		First    time.Duration    // Target for the time to the first token, which the limit keeps; 500 ms if zero.
		Gap      time.Duration    // Target for the time between tokens; 65 ms if zero.
		Least    int              // Least concurrency limit; 4 if zero.
		Most     int              // Largest concurrency limit; 4096 if zero.
		Initial  int              // Concurrency limit at the start; 64 if zero.
		Length   int              // Most queued requests; 8192 if zero.
		Patience time.Duration    // Time to the deadline of tickets without one; 30 s if zero.
		Lead     float64          // Head start of each priority level in mean costs; 16 if zero.
		Now      func() time.Time // time.Now if nil.
		Metrics  tally.Scope      // Optional.
		Logger   *zerolog.Logger  // Optional.

		mu      sync.Mutex
		setup   bool
		meters  meters
		fair    fair
		limit   limit
		drain   drain
		running int
		order   uint64
		first   float64 // Mean time to the first token behind the queue, in seconds.
	}

	// Slot is the permission to run one request.
	Slot struct {
		queue *Queue
		entry *Pending
		since time.Time
		left  bool
	}

	// Pending is a request in the queue.
	Pending struct {
		queue  *Queue
		ticket Ticket
		cost   float64
		order  uint64
		done   func(*Slot, error)
		queued bool
	}

	// answer is a call of a Pending's done function, made after the lock is released.
	answer struct {
		entry *Pending
		slot  *Slot
		err   error
	}

	// meters are the queue's metrics.
	meters struct {
		admitted tally.Counter
		refused  tally.Counter
		shed     tally.Counter
		limit    tally.Gauge
		queued   tally.Gauge
		running  tally.Gauge
	}
)

// Run adapts the limit and gives up late requests until the context ends.
func (q *Queue) Run(ctx context.Context) error {
	delay.Repeat(ctx, period, q.Tick)
	return nil
}

// Enter waits for a slot. It fails with a Refusal at once when the request cannot make its deadline.
func (q *Queue) Enter(ctx context.Context, t Ticket) (*Slot, error) {
	answers := make(chan answer, 1)
	entry := q.Submit(t, func(slot *Slot, err error) {
		answers <- answer{slot: slot, err: err}
	})
	select {
	case a := <-answers:
		return a.slot, a.err
	case <-ctx.Done():
	}
	if !entry.Cancel() {
		if a := <-answers; a.slot != nil {
			a.slot.Leave(Result{})
		}
	}
	return nil, trace.Wrap(ErrCancelled)
}

// Submit is Enter without waiting: done is called once with the slot or the error, possibly before Submit returns,
// unless the request is cancelled before.
func (q *Queue) Submit(t Ticket, done func(*Slot, error)) *Pending {
	q.mu.Lock()
	q.prepare()
	now := q.now()
	t.Weight = max(t.Weight, 1)
	t.Cost = max(t.Cost, 1)
	if t.Deadline.IsZero() {
		t.Deadline = now.Add(cmp.Or(q.Patience, defaultPatience))
	}
	q.order++
	p := &Pending{queue: q, ticket: t, cost: float64(t.Cost), order: q.order, done: done}
	answers := q.admit(p, now)
	q.mu.Unlock()
	deliver(answers)
	return p
}

// Cancel takes the request out of the queue and reports whether it still was there.
func (p *Pending) Cancel() bool {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !p.queued {
		return false
	}
	q.take(p)
	return true
}

// Leave gives the slot back. Calls after the first have no effect.
func (s *Slot) Leave(r Result) {
	q := s.queue
	q.mu.Lock()
	if s.left {
		q.mu.Unlock()
		return
	}
	s.left = true
	now := q.now()
	q.running--
	q.drain.held(s.entry.cost, now.Sub(s.since))
	if r.Cost > 0 {
		q.fair.correct(s.entry.ticket.Account, s.entry.cost, float64(r.Cost))
	}
	answers := q.dispatch(now)
	q.mu.Unlock()
	deliver(answers)
}

// Observe takes a latency sample. Samples should come at the first token and about once a second while a stream runs,
// because those at the end of long streams come too late to protect the servers.
func (q *Queue) Observe(s Sample) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prepare()
	q.limit.observe(s, cmp.Or(q.First, defaultFirst), cmp.Or(q.Gap, defaultGap))
	if s.First > 0 {
		q.first += (s.First.Seconds() - q.first) * 0.05
	}
}

// Tick adapts the limit, gives up late requests and grants free slots. Run calls it ten times a second.
func (q *Queue) Tick() {
	q.mu.Lock()
	q.prepare()
	now := q.now()
	q.drain.step(now)
	least := float64(cmp.Or(q.Least, defaultLeast))
	most := float64(cmp.Or(q.Most, defaultMost))
	lowered := q.limit.adapt(now, q.running, q.fair.queued > 0, least, most)
	answers := q.shed(now)
	shed := len(answers)
	answers = append(answers, q.dispatch(now)...)
	q.fair.forget()
	q.measure()
	limit := int(q.limit.value)
	q.mu.Unlock()
	deliver(answers)
	if lowered {
		event.LimitLowered.Log(q.Logger).Int("limit", limit).Send()
	}
	if shed > 0 {
		event.QueueShed.Log(q.Logger).Int("count", shed).Send()
	}
}

// Stats returns the state of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prepare()
	result := Stats{
		Limit:    int(q.limit.value),
		Running:  q.running,
		Queued:   q.fair.queued,
		Drain:    q.drain.current(q.now(), q.limit.value),
		Accounts: make(map[string]int),
	}
	for _, w := range q.fair.waiting {
		result.Accounts[w.account] = len(w.line)
	}
	return result
}

// admit queues the request or refuses it.
func (q *Queue) admit(p *Pending, now time.Time) []answer {
	slack := p.ticket.Deadline.Sub(now) - q.service()
	if slack <= 0 {
		q.meters.refused.Inc(1)
		return []answer{{entry: p, err: trace.Wrap(&Refusal{Reason: Late})}}
	}
	if q.fair.queued > 0 || q.running >= int(q.limit.value) {
		wait := q.wait(p, now)
		if float64(wait) > safety*float64(slack) {
			q.meters.refused.Inc(1)
			retry := max(wait-time.Duration(safety*float64(slack)), shortest)
			return []answer{{entry: p, err: trace.Wrap(&Refusal{Reason: Late, Retry: retry})}}
		}
	}
	answers := q.push(p, now)
	return append(answers, q.dispatch(now)...)
}

// push puts the request into the queue. When the queue is full, the account with the longest line for its weight loses
// its last request.
func (q *Queue) push(p *Pending, now time.Time) []answer {
	p.queued = true
	q.fair.push(p)
	if q.drain.backlog.IsZero() {
		q.drain.backlog = now
	}
	if q.fair.queued <= cmp.Or(q.Length, defaultLength) {
		return nil
	}
	w := q.fair.largest()
	last := w.line[len(w.line)-1]
	q.take(last)
	q.meters.refused.Inc(1)
	retry := max(waitFor(last.cost, q.rate(now)), shortest)
	return []answer{{entry: last, err: trace.Wrap(&Refusal{Reason: Full, Retry: retry})}}
}

// dispatch grants free slots.
func (q *Queue) dispatch(now time.Time) []answer {
	var answers []answer
	for q.running < int(q.limit.value) {
		p := q.fair.next(cmp.Or(q.Lead, defaultLead))
		if p == nil {
			break
		}
		p.queued = false
		q.fair.grant(p)
		q.running++
		q.drain.granted += p.cost
		q.drain.grant = now
		q.meters.admitted.Inc(1)
		answers = append(answers, answer{entry: p, slot: &Slot{queue: q, entry: p, since: now}})
	}
	q.limit.peak = max(q.limit.peak, q.running)
	q.idle()
	return answers
}

// shed gives up the queued requests that can no longer make their deadlines, at once and not when they expire.
func (q *Queue) shed(now time.Time) []answer {
	var answers []answer
	for _, p := range q.fair.late(now, q.rate(now), q.drain.stall(now)+q.service()) {
		wait := q.wait(p, now)
		retry := max(wait-p.ticket.Deadline.Sub(now), shortest)
		answers = append(answers, answer{entry: p, err: trace.Wrap(&Refusal{Reason: Late, Retry: retry})})
	}
	for _, a := range answers {
		q.take(a.entry)
		q.meters.shed.Inc(1)
	}
	return answers
}

// take removes a queued request.
func (q *Queue) take(p *Pending) {
	p.queued = false
	q.fair.remove(p)
	q.idle()
}

// idle notes the end of a backlog.
func (q *Queue) idle() {
	if q.fair.queued == 0 {
		q.drain.backlog = time.Time{}
	}
}

// wait estimates the time until the request is granted.
func (q *Queue) wait(p *Pending, now time.Time) time.Duration {
	ahead := q.fair.position(p) + p.cost
	wait := waitFor(q.fair.ahead(p.ticket.Account, float64(p.ticket.Weight), ahead), q.rate(now))
	return wait + q.drain.stall(now)
}

func (q *Queue) rate(now time.Time) float64 {
	return q.drain.current(now, q.limit.value)
}

// service returns the mean time from a grant to the first token.
func (q *Queue) service() time.Duration {
	return time.Duration(q.first * float64(time.Second))
}

func (q *Queue) measure() {
	q.meters.limit.Update(q.limit.value)
	q.meters.queued.Update(float64(q.fair.queued))
	q.meters.running.Update(float64(q.running))
}

func (q *Queue) prepare() {
	if q.setup {
		return
	}
	q.setup = true
	q.limit.value = float64(cmp.Or(q.Initial, defaultInitial))
	q.limit.began = q.now()
	scope := q.Metrics
	if scope == nil {
		scope = tally.NoopScope
	}
	q.meters = meters{
		admitted: scope.Counter("admitted"),
		refused:  scope.Counter("refused"),
		shed:     scope.Counter("shed"),
		limit:    scope.Gauge("limit"),
		queued:   scope.Gauge("queued"),
		running:  scope.Gauge("running"),
	}
}

func (q *Queue) now() time.Time {
	if q.Now == nil {
		return time.Now()
	}
	return q.Now()
}

// deliver calls the done functions.
func deliver(answers []answer) {
	for _, a := range answers {
		a.entry.done(a.slot, a.err)
	}
}
