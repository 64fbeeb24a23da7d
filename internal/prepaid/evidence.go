package prepaid

import (
	"cmp"
	"slices"
	"time"

	"citronslip/internal/wire"
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
	for _, p := range s.proofs(g.Holder) {
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

// proofs returns the proofs in the rows of an earlier process of this router.
func (s *storeStatus) proofs(holder string) []*wire.PrepaidProof {
	if s.predecessor.Holder != holder || s.predecessor.Proof == nil {
		return nil
	}
	return []*wire.PrepaidProof{s.predecessor.Proof}
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
