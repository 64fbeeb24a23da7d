package prepaid

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"citronslip/internal/wire"
)

const (
	// maxProofReads is the maximum number of grant rows that are read for their proofs. When a part of the store is
	// unavailable, some of so many rows were most likely written.
	maxProofReads = 16
	// proofReadTimeout is the time that a starting router waits for these rows before it charges the grants without them.
	proofReadTimeout = 250 * time.Millisecond
)

// proof returns what this router can have used of its grants if it ends now. Each row that it writes carries the proof, as
// the row of a single grant cannot always be written.
func (l *Ledger) proof() *wire.PrepaidProof {
	p := &wire.PrepaidProof{Clock: int(l.storeStatus.storeClock.Milliseconds())}
	for _, a := range l.accounts {
		if l.exceedsOpenedPart(a) {
			p.Beyond = append(p.Beyond, wire.PrepaidBeyond{Account: a.name, Used: int(a.used())})
		}
	}
	slices.SortFunc(p.Beyond, func(x, y wire.PrepaidBeyond) int { return cmp.Compare(x.Account, y.Account) })
	return p
}

// exceedsOpenedPart reports whether more than the opened part of a grant is used, which may happen while the store is
// unreachable.
func (l *Ledger) exceedsOpenedPart(a *account) bool {
	return a.grant.Holder == l.Instance && a.used() > int64(a.grant.Opened)
}

// withinOpenedParts reports whether spending is within the opened part of every grant.
func (l *Ledger) withinOpenedParts() bool {
	for _, a := range l.accounts {
		if l.exceedsOpenedPart(a) {
			return false
		}
	}
	return true
}

// maxSpent returns how many tokens of a grant its holder, an earlier process of this router that is dead, can have spent,
// and the silence from which that follows: the longest time for which it can have run without an answer of the store. Each
// row that it wrote gives a bound, and the smallest one holds.
func (s *storeStatus) maxSpent(account string, g grantState) (tokens int, silence time.Duration) {
	opened, amount := int64(g.Opened), int64(g.Amount)
	silence = s.silenceSince(g.Clock)
	if s.predecessor.Holder == g.Holder {
		silence = s.silenceSince(max(g.Clock, s.predecessor.Clock))
	}
	spendable := Spendable(opened, amount, silence)
	for _, p := range s.proofs[g.Holder] {
		proofSilence := s.silenceSince(p.Clock)
		if bound := max(Spendable(opened, amount, proofSilence), usedBeyond(p, account)); bound < spendable {
			spendable, silence = bound, proofSilence
		}
	}
	return int(spendable), silence
}

// silenceSince returns the longest time for which an earlier process of this router can have run after it received the
// store clock, in milliseconds. Without one it is the time after which a whole grant may be spent.
func (s *storeStatus) silenceSince(clock int) time.Duration {
	if clock == 0 {
		return AutonomyDelay + AutonomyRampTime
	}
	return s.startClock - time.Duration(clock)*time.Millisecond
}

// readProofs reads what the grant rows of the previous process prove, if its heartbeat row is so old that more than the
// opened parts may be spent. A row that cannot be read in time only makes the charge larger.
func (l *Ledger) readProofs(ctx context.Context) {
	l.mu.Lock()
	s := &l.storeStatus
	accounts, clock := s.predecessor.Accounts, s.predecessor.Clock
	if p := s.predecessor.Proof; p != nil {
		s.addProof(s.predecessor.Holder, p)
		clock = p.Clock
	}
	isRecent := s.silenceSince(clock) <= AutonomyDelay
	l.mu.Unlock()
	if isRecent {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proofReadTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range accounts[:min(len(accounts), maxProofReads)] {
		group.Go(func() error {
			l.readProof(ctx, name)
			return nil
		})
	}
	_ = group.Wait()
}

// readProof reads the proof in the grant row of an account.
func (l *Ledger) readProof(ctx context.Context, account string) {
	result, err := l.Store.Row(ctx, grantKey(account, l.Node))
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range result.Rows {
		var grant wire.PrepaidGrant
		if decode(row, &grant) == nil { // The writer of the account logs an unreadable row.
			l.storeStatus.addProof(grant.Holder, grant.Proof)
		}
	}
}

// addProof remembers the proof in a row of an earlier process of this router.
func (s *storeStatus) addProof(holder string, proof *wire.PrepaidProof) {
	if proof == nil {
		return // A row of an earlier release.
	}
	if s.proofs == nil {
		s.proofs = make(map[string][]*wire.PrepaidProof)
	}
	s.proofs[holder] = append(s.proofs[holder], proof)
}

// renewProof starts a write of a grant row for its proof, because the heartbeat row cannot be written. The store may answer for
// other rows, also when this router takes it to be away. The caller holds the lock.
func (l *Ledger) renewProof() {
	now := l.Now()
	if now.Sub(l.storeStatus.provedAt) < heartbeatInterval {
		return
	}
	var chosen *account
	for _, a := range l.accounts {
		if a.loaded && a.grant.Holder == l.Instance && (chosen == nil || a.suitsProofBetter(chosen)) {
			chosen = a
		}
	}
	if chosen != nil {
		chosen.proofDue, chosen.proofTriedAt = true, now
		l.startWriter(chosen)
	}
}

// suitsProofBetter reports whether the grant row is more likely to be available than another one: it was written later, or
// both have failed and it was tried longer ago.
func (a *account) suitsProofBetter(other *account) bool {
	if c := a.provedAt.Compare(other.provedAt); c != 0 {
		return c > 0
	}
	return a.proofTriedAt.Before(other.proofTriedAt)
}

// usedBeyond returns the used tokens of a grant if they exceeded its opened part at the time of a proof, or else 0.
func usedBeyond(p *wire.PrepaidProof, account string) int64 {
	for _, b := range p.Beyond {
		if b.Account == account {
			return int64(b.Used)
		}
	}
	return 0
}
