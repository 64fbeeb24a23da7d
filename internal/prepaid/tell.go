package prepaid

import (
	"context"
	"time"

	"citronslip/internal/wire"
)

const (
	// tellTimeout is the timeout of telling another router of a budget row.
	tellTimeout = 200 * time.Millisecond
	// maxPeersTold is the maximum number of other routers that are told of one write.
	maxPeersTold = 6
	// minPeersTold is the minimum number of routers that must have acknowledged the growth of a grant before the new part is
	// spent while the store does not answer. One of them may be lost together with this router.
	minPeersTold = 2
)

type (
	// growthNotice tells other routers of a larger grant and counts their acknowledgements.
	growthNotice struct {
		amount  int64 // Amount of the grant.
		missing int   // Acknowledgements that are still needed.
	}
)

// tellPeers tells other routers of a budget row that counts a larger grant of this router. They read the row only later, and
// must know of the grant if the store forgets it while this router is down or cannot reach the store. The caller holds the
// lock.
func (l *Ledger) tellPeers(a *account) {
	a.notice = nil
	if l.Peers == nil {
		return
	}
	known := wire.PrepaidKnown{Account: a.name, Sum: a.budget.PrepaidSum}
	addresses := l.lenderAddresses(a)
	addresses = addresses[:min(len(addresses), maxPeersTold)]
	notice := &growthNotice{amount: int64(a.grant.Amount), missing: max(len(addresses)/2+1, minPeersTold)}
	a.notice = notice
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			if l.Peers.Tell(ctx, address, known) == nil { // Otherwise that router reads the row later.
				l.recordTold(a, notice)
			}
		}()
	}
}

// recordTold records that one more router knows of the growth in a notice. Later growth and shrinking replace the notice, so
// that late acknowledgements of an earlier one have no effect.
func (l *Ledger) recordTold(a *account, notice *growthNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	notice.missing--
	if notice.missing == 0 && a.notice == notice {
		a.knownAmount = notice.amount
		l.admitWaiters(a)
	}
}

// limitKnownAmount adjusts the acknowledged amount to a grant that was written. The caller holds the lock.
func (a *account) limitKnownAmount(next grantState, era int64) {
	if era != a.era {
		a.knownAmount, a.notice = 0, nil // The routers reconcile what they know with the rows of the new era.
	}
	if int64(next.Amount) < int64(a.grant.Amount) {
		a.knownAmount, a.notice = min(a.knownAmount, int64(next.Amount)), nil
	}
}

// LearnBudget remembers the changes in a budget row that another router has written, for the time after the store has come
// back from an older copy. It ignores accounts that the configuration in force does not name, and reports whether it took
// the changes over.
func (l *Ledger) LearnBudget(known wire.PrepaidKnown) bool {
	directory := l.Directory()
	if directory == nil {
		return false
	}
	if _, ok := directory.Budget(known.Account); !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountByName(known.Account)
	changed := a.told.merge(&budgetState{PrepaidSum: known.Sum})
	if changed && a.loaded && a.era == l.storeStatus.era && int64(known.Sum.Era) < a.era {
		a.era, a.restored = 0, nil // Reconcile once more.
		l.startWriter(a)
	}
	return true
}

// wasTold reports whether other routers have told this one of changes.
func (a *account) wasTold() bool { return len(a.told.Eras) > 0 }
