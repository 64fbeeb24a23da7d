package prepaid

import (
	"time"

	"citronslip/internal/store"
)

const (
	// resizeInterval is the time between two looks at the size of one grant.
	resizeInterval = time.Second
	// reopenPart is the part of what is opened ahead at which more is opened.
	reopenPart = 0.8
	// growPart and shrinkFactor are the parts of its size at which a grant is written anew.
	growPart     = 0.6
	shrinkFactor = 2
	// freshRow is the age of an account's row at which it is read again before a request is refused.
	freshRow = 150 * time.Millisecond
	// neverVersion is a version that no row has.
	neverVersion = int64(1) << 60
	// scarceTime is how long grants of an account stay smaller by scarcePart after a request found nothing free.
	scarceTime = 4 * time.Second
	scarcePart = 4
	// shrinkLeast is the smallest surplus that is given back, in tokens.
	shrinkLeast = 4000
)

type (
	// planned is the state of the rows after a write.
	planned struct {
		sum sumState
		own grantState
	}
)

// plan returns the next write of an account, if one is due.
func (l *Ledger) plan(a *account) (store.Write, planned, bool) {
	if l.stopped {
		return store.Write{}, planned{}, false
	}
	if !a.loaded || a.stale {
		return l.look(a)
	}
	if a.own.Holder != l.Instance {
		switch {
		case a.own.version == 0 && !l.covers(a):
			return l.fallShort(a) // A grant of nothing is not worth competing for.
		case a.own.Amount == 0 && len(a.waiting) == 0:
			return store.Write{}, planned{}, false // There is nothing to give back.
		}
		return l.take(a)
	}
	size := l.size(a)
	needed := int64(0)
	for _, w := range a.waiting {
		needed += w.tokens
	}
	next := planned{sum: a.sum, own: a.own}
	next.sum.declare(a.version, a.total)
	base := a.used() + needed
	opened := max(base+size.Open, int64(a.own.Opened))
	amount := int64(a.own.Amount)
	low := base+int64(growPart*float64(size.Open+size.Reserve)) > amount
	spare := Growth(next.sum.free()-max(0, base-amount), max(0, amount-base))
	surplus := amount - base - size.Open - size.Reserve
	switch {
	case base > int64(a.own.Opened) && base <= amount:
		// Only the own row changes; others do not compete for it.
		next.own.Opened = int(min(opened, amount))
		return l.single(a, next)
	case needed > 0 || low && spare > 0 && l.due(a):
		grown := min(base+size.Open+size.Reserve, max(base, amount)+spare)
		amount = max(amount, min(grown, amount+next.sum.free()))
	case float64(amount-base) > shrinkFactor*float64(size.Open+size.Reserve) && l.surplus(a, surplus):
		amount = base + size.Open + size.Reserve
		opened = min(opened, base+size.Open)
		a.lower(opened)
	case a.used()+int64(reopenPart*float64(size.Open)) > int64(a.own.Opened) && a.own.Opened < a.own.Amount:
		next.own.Opened = int(min(opened, amount))
		return l.single(a, next)
	case next.sum.Total != a.sum.Total && l.due(a):
	default:
		return store.Write{}, planned{}, false
	}
	if needed > 0 && base > amount && !l.fits(a, amount) {
		return l.fallShort(a)
	}
	next.sum.Granted += int(amount) - a.own.Amount
	next.own.Amount = int(amount)
	next.own.Opened = int(min(opened, amount))
	return l.both(a, next)
}

// lower bounds what may be spent until a write is answered that makes the grant smaller. Of several writes without an
// answer any one may have taken effect, so that the smallest bound holds.
func (a *account) lower(limit int64) {
	if a.cap < 0 || limit < a.cap {
		a.cap = limit
	}
}

// fallShort refuses the waiting requests that the budget does not cover, once the account's row is fresh.
func (l *Ledger) fallShort(a *account) (store.Write, planned, bool) {
	if l.Now().Sub(a.read) > freshRow {
		return l.look(a)
	}
	a.exact, a.scarce = l.Now(), l.Now()
	l.refuse(a)
	if len(a.waiting) > 0 {
		return l.plan(a)
	}
	return store.Write{}, planned{}, false
}

// look returns a write whose conditions cannot hold, so that the store answers with the rows.
func (l *Ledger) look(a *account) (store.Write, planned, bool) {
	return store.Write{Expect: []store.Expect{
		{Key: sumKey(a.name), Version: neverVersion},
		{Key: grantKey(a.name, l.Node), Version: neverVersion},
	}}, planned{}, true
}

// covers reports whether what is free covers the first waiting request, or none waits.
func (l *Ledger) covers(a *account) bool {
	return len(a.waiting) == 0 || a.waiting[0].tokens <= a.free()
}

// fits reports whether an amount covers the first waiting request.
func (l *Ledger) fits(a *account, amount int64) bool {
	return len(a.waiting) > 0 && a.used()+a.waiting[0].tokens <= amount
}

// surplus reports whether tokens beyond the size of a grant are to be given back now: all of them while another request
// lacks them.
func (l *Ledger) surplus(a *account, tokens int64) bool {
	if l.scarce(a) {
		return tokens > 0
	}
	return tokens > shrinkLeast && l.due(a)
}

// due reports whether a write that no request waits for is due, and notes it.
func (l *Ledger) due(a *account) bool {
	now := l.Now()
	if now.Sub(a.checked) < resizeInterval {
		return false
	}
	a.checked = now
	return true
}

// size returns the size that an account's grant is to have.
func (l *Ledger) size(a *account) Size {
	if !l.holds(a) {
		return Size{}
	}
	size := Need{
		Demand:  a.meter.at(l.Now()),
		Rest:    a.sum.free() + int64(a.own.Amount) - a.used(),
		Total:   int64(a.sum.Total),
		Routers: l.members.holders(),
	}.Size()
	if l.scarce(a) {
		size.Open /= scarcePart
		size.Reserve /= scarcePart
	}
	return size
}

// scarce reports whether a request found nothing free shortly before.
func (l *Ledger) scarce(a *account) bool {
	return !a.scarce.IsZero() && l.Now().Sub(a.scarce) < scarceTime
}

// take opens this instance's grant. A grant of an earlier process of this router ends: that process is dead, since this
// one has its name.
func (l *Ledger) take(a *account) (store.Write, planned, bool) {
	next := planned{sum: a.sum, own: grantState{version: a.own.version}}
	next.own.Holder = l.Instance
	next.sum.declare(a.version, a.total)
	if a.own.version != 0 {
		next.sum.Granted -= a.own.Amount
		next.sum.Closed += l.charge(a.own)
	}
	return l.both(a, next)
}

// charge returns what counts as spent of a grant whose holder, a process before this one, is dead.
func (l *Ledger) charge(g grantState) int {
	return int(Spendable(int64(g.Opened), int64(g.Amount), l.contact.silence(g)))
}

// single returns a write of the own row alone.
func (l *Ledger) single(a *account, next planned) (store.Write, planned, bool) {
	key := grantKey(a.name, l.Node)
	next.own.Clock = int(l.contact.clock.Milliseconds())
	return store.Write{
		Expect: []store.Expect{{Key: key, Version: a.own.version}},
		Puts:   []store.Put{{Key: key, Value: encode(next.own.PrepaidGrant)}},
	}, next, true
}

// both returns a write of the own row and the account's row.
func (l *Ledger) both(a *account, next planned) (store.Write, planned, bool) {
	own, sum := grantKey(a.name, l.Node), sumKey(a.name)
	next.own.Clock = int(l.contact.clock.Milliseconds())
	return store.Write{
		Expect: []store.Expect{{Key: own, Version: a.own.version}, {Key: sum, Version: a.sum.version}},
		Puts: []store.Put{
			{Key: own, Value: encode(next.own.PrepaidGrant)},
			{Key: sum, Value: encode(next.sum.PrepaidSum)},
		},
	}, next, true
}
