package admission

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

type (
	// flow is the queue of one account.
	flow struct {
		account    string
		weight     float64
		startTag   float64    // Virtual time at which its next request starts; it advances by granted cost over weight.
		queuedCost float64    // Total cost of the queued requests.
		requests   []*Pending // Queued requests, in the order in which they are granted.
	}

	// backlogCurve is the cost granted to all accounts together as a function of the virtual time. Its slices are in
	// the order in which the accounts' queues become empty.
	backlogCurve struct {
		emptyAt    []float64 // Virtual time until each account's queue is empty, ascending.
		costBefore []float64 // Total cost of the queues that become empty before each of them.
		weightFrom []float64 // Total weight of each of them and those after it.
	}

	// fairQueue orders the flows by start-time fair queueing. The virtual time is the smallest start tag of the
	// accounts that wait; an account that was idle joins at the virtual time, so that it cannot claim shares for its
	// idle time.
	fairQueue struct {
		flows       map[string]*flow
		waiting     []*flow // Flows with queued requests.
		virtualTime float64
		queued      int     // Number of queued requests.
		meanCost    float64 // Mean cost of a request.
	}
)

// enqueue adds the request to its account's queue, which is ordered by priority, then deadline, then arrival.
func (f *fairQueue) enqueue(p *Pending) {
	fl := f.flows[p.request.Account]
	if fl == nil {
		fl = &flow{account: p.request.Account}
		if f.flows == nil {
			f.flows = make(map[string]*flow)
		}
		f.flows[p.request.Account] = fl
	}
	fl.weight = float64(p.request.Weight)
	if len(fl.requests) == 0 {
		fl.startTag = max(fl.startTag, f.virtualTime)
		f.waiting = append(f.waiting, fl)
	}
	at, _ := slices.BinarySearchFunc(fl.requests, p, func(a, b *Pending) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	fl.requests = slices.Insert(fl.requests, at, p)
	fl.queuedCost += p.cost
	f.queued++
	if f.meanCost == 0 {
		f.meanCost = p.cost
	}
	f.meanCost += (p.cost - f.meanCost) * 0.01
}

// next returns the request that is to be granted next, or nil if none is queued. A head start of lead mean costs per
// priority level lets urgent requests go first, while the account's share stays the same in the long run.
func (f *fairQueue) next(lead float64) *Pending {
	var best *flow
	var lowestTag float64
	for _, fl := range f.waiting {
		startTag := fl.startTag - float64(fl.requests[0].request.Priority)*lead*f.meanCost
		if best == nil || startTag < lowestTag {
			best, lowestTag = fl, startTag
		}
	}
	if best == nil {
		return nil
	}
	return best.requests[0]
}

// grant removes the request and charges its cost to its account.
func (f *fairQueue) grant(p *Pending) {
	fl := f.flows[p.request.Account]
	lowest := fl.startTag
	for _, other := range f.waiting {
		lowest = min(lowest, other.startTag)
	}
	f.virtualTime = max(f.virtualTime, lowest)
	fl.startTag += p.cost / fl.weight
	f.remove(p)
}

// remove removes the request without charging its account.
func (f *fairQueue) remove(p *Pending) {
	fl := f.flows[p.request.Account]
	at := slices.Index(fl.requests, p)
	fl.requests = slices.Delete(fl.requests, at, at+1)
	fl.queuedCost -= p.cost
	f.queued--
	if len(fl.requests) > 0 {
		return
	}
	fl.queuedCost = 0
	at = slices.Index(f.waiting, fl)
	f.waiting = slices.Delete(f.waiting, at, at+1)
}

// correctCost replaces the expected cost charged to an account by the actual one.
func (f *fairQueue) correctCost(account string, expected, actual float64) {
	if fl := f.flows[account]; fl != nil {
		fl.startTag += (actual - expected) / fl.weight
	}
}

// evictIdle removes the accounts without queued requests whose past use no longer affects the order, which bounds
// memory use.
func (f *fairQueue) evictIdle() {
	for name, fl := range f.flows {
		if len(fl.requests) == 0 && fl.startTag <= f.virtualTime {
			delete(f.flows, name)
		}
	}
}

// costAhead returns the total cost that is granted by the time the given cost of an account is granted: that cost, and
// for each other account the cost that its weight entitles it to in the meantime.
func (f *fairQueue) costAhead(account string, weight, cost float64) float64 {
	total := cost
	for _, other := range f.waiting {
		if other.account != account {
			total += min(other.queuedCost, cost*other.weight/weight)
		}
	}
	return total
}

// backlogCurve returns the backlog as a function of the virtual time. It is computed once for many requests, whereas
// costAhead visits every account for each request.
func (f *fairQueue) backlogCurve() *backlogCurve {
	flows := slices.Clone(f.waiting)
	slices.SortFunc(flows, func(a, b *flow) int { return cmp.Compare(a.queuedCost/a.weight, b.queuedCost/b.weight) })
	curve := &backlogCurve{emptyAt: make([]float64, len(flows)), costBefore: make([]float64, len(flows)+1)}
	for i, fl := range flows {
		curve.emptyAt[i] = fl.queuedCost / fl.weight
		curve.costBefore[i+1] = curve.costBefore[i] + fl.queuedCost
	}
	curve.weightFrom = make([]float64, len(flows)+1)
	for i := len(flows) - 1; i >= 0; i-- {
		curve.weightFrom[i] = curve.weightFrom[i+1] + flows[i].weight
	}
	return curve
}

// costUntil returns the cost that all accounts are granted while the virtual time advances by the given amount.
func (c *backlogCurve) costUntil(virtualTime float64) float64 {
	emptied := sort.SearchFloat64s(c.emptyAt, virtualTime)
	return c.costBefore[emptied] + virtualTime*c.weightFrom[emptied]
}

// longestQueue returns the flow with the most queued requests relative to its weight.
func (f *fairQueue) longestQueue() *flow {
	var result *flow
	for _, fl := range f.waiting {
		if result == nil || float64(len(fl.requests))/fl.weight > float64(len(result.requests))/result.weight {
			result = fl
		}
	}
	return result
}

// lateRequests returns the requests that can no longer meet their deadlines at the given drain rate, in cost per
// second. Extra is the time that each request takes in addition to its wait in the queue.
func (f *fairQueue) lateRequests(now time.Time, drainRate float64, extra time.Duration) []*Pending {
	var result []*Pending
	curve := f.backlogCurve()
	for _, fl := range f.waiting {
		cost := 0.0
		for _, p := range fl.requests {
			wait := drainTime(curve.costUntil((cost+p.cost)/fl.weight), drainRate)
			if now.Add(wait + extra).After(p.request.Deadline) {
				result = append(result, p)
				continue
			}
			cost += p.cost
		}
	}
	return result
}

// costBefore returns the cost of the queued requests of p's account that are granted before p.
func (f *fairQueue) costBefore(p *Pending) float64 {
	fl := f.flows[p.request.Account]
	if fl == nil {
		return 0
	}
	cost := 0.0
	for _, other := range fl.requests {
		if !other.before(p) {
			break
		}
		cost += other.cost
	}
	return cost
}

// before reports whether the request is granted before the other one of the same account.
func (p *Pending) before(other *Pending) bool {
	switch {
	case p.request.Priority != other.request.Priority:
		return p.request.Priority > other.request.Priority
	case !p.request.Deadline.Equal(other.request.Deadline):
		return p.request.Deadline.Before(other.request.Deadline)
	default:
		return p.sequence < other.sequence
	}
}

// drainTime returns the time in which the cost is granted at the drain rate, in cost per second. It is zero if the rate
// is unknown, because an unknown rate is no reason to refuse a request.
func drainTime(cost, drainRate float64) time.Duration {
	const maxSeconds = 1e6 // Keeps the conversion to time.Duration within range.
	if drainRate <= 0 {
		return 0
	}
	return time.Duration(min(cost/drainRate, maxSeconds) * float64(time.Second))
}
