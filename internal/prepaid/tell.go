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
)

// tellPeers tells other routers of a budget row that counts a larger grant of this router. They read the row only later, and
// must know of the grant if the store forgets it while this router is down or cannot reach the store. The caller holds the
// lock.
func (l *Ledger) tellPeers(a *account) {
	if l.Peers == nil {
		return
	}
	known := wire.PrepaidKnown{Account: a.name, Sum: a.budget.PrepaidSum}
	addresses := l.lenderAddresses(a)
	for _, address := range addresses[:min(len(addresses), maxPeersTold)] {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			_ = l.Peers.Tell(ctx, address, known) // That router reads the row later.
		}()
	}
}

// LearnBudget remembers the changes in a budget row that another router has written, for the time after the store has come
// back from an older copy. It ignores accounts that the configuration in force does not name.
func (l *Ledger) LearnBudget(known wire.PrepaidKnown) {
	directory := l.Directory()
	if directory == nil {
		return
	}
	if _, ok := directory.Budget(known.Account); !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountByName(known.Account)
	news := a.told.merge(&budgetState{PrepaidSum: known.Sum})
	if news && a.loaded && a.era == l.storeStatus.era && int64(known.Sum.Era) < a.era {
		a.era, a.restored = 0, nil // Reconcile once more.
		l.startWriter(a)
	}
}

// wasTold reports whether other routers have told this one of changes.
func (a *account) wasTold() bool { return len(a.told.Eras) > 0 }
