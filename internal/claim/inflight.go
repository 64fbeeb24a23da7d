package claim

import (
	"context"
)

const (
	// ReportRunning is the state of a request that is running.
	ReportRunning ReportState = "running"
	// ReportDone is the state of a request that has an answer.
	ReportDone ReportState = "done"
	// ReportReleased is the state of a request that was not run and will not be run under this claim.
	ReportReleased ReportState = "released"
	// ReportOutcomeUnknown is the state of a request of which it is unknown whether it was run.
	ReportOutcomeUnknown ReportState = "lost"

	// maxNeverRun bounds the remembered nonces of requests that are never run. A nonce beyond it is reported with
	// ReportOutcomeUnknown, which is correct but less precise.
	maxNeverRun = 100000
)

type (
	// ReportState is the state of a claim at the instance that holds it.
	ReportState string

	// Report is the state of one claim as its holder reports it to other routers. Answer is set only for ReportDone.
	Report struct {
		State  ReportState `json:"state"`
		Answer *Answer     `json:"answer,omitempty"`
	}

	// run is a request in progress in this router: the leader, for which followers with the same key wait.
	run struct {
		bodyHash, nonce string
		done            chan struct{}
		answer          Answer // Valid once done is closed.
		err             error  // Valid once done is closed.
	}

	// boundedSet is a set of up to maxNeverRun strings. Adding one to a full set removes the oldest.
	boundedSet struct {
		members map[string]struct{}
		order   []string // Ring buffer of the members in the order in which they were added.
		oldest  int      // Index of the oldest member once the set is full.
	}
)

// Wait waits for the leader and returns its answer, ErrReleased or ErrOutcomeUnknown, or the error of the context if
// that ends first.
func (j Joined) Wait(ctx context.Context) (Answer, error) {
	select {
	case <-j.run.done:
		return j.run.answer, j.run.err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// Report returns the state of a claim of this instance, for another router that asks. It waits for a running request to
// end until the context ends. If the claim's request is never run, the row is deleted: the other router has seen a row
// whose write took effect late.
func (c *Claims) Report(ctx context.Context, account, key, nonce string) Report {
	c.mu.Lock()
	r := c.runs[rowKey(account, key)]
	neverRun := c.neverRun.contains(nonce)
	c.mu.Unlock()
	if neverRun {
		claim := &Claim{Account: account, Key: key, Nonce: nonce, target: rowTarget{key: rowKey(account, key)}}
		c.addPending(pendingWrite{claim: claim, state: stateReleased})
		return Report{State: ReportReleased}
	}
	if r == nil || r.nonce != nonce {
		return Report{State: ReportOutcomeUnknown}
	}
	select {
	case <-r.done:
		return r.report()
	case <-ctx.Done():
		return Report{State: ReportRunning}
	}
}

func (r *run) report() Report {
	switch r.err {
	case nil:
		return Report{State: ReportDone, Answer: &r.answer}
	case ErrReleased:
		return Report{State: ReportReleased}
	default:
		return Report{State: ReportOutcomeUnknown}
	}
}

// joinOrRegister registers the claim's run as the leader for its key. If there is a leader already, it returns Joined,
// or BodyMismatch if that one's body differs.
func (c *Claims) joinOrRegister(claim *Claim) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.runs[claim.target.key]
	if current != nil {
		return current.join(claim.run.bodyHash)
	}
	if c.runs == nil {
		c.runs = make(map[string]*run)
	}
	c.runs[claim.target.key] = claim.run
	return nil
}

func (r *run) join(bodyHash string) Result {
	if r.bodyHash != bodyHash {
		return BodyMismatch{}
	}
	return Joined{run: r}
}

// completeRun passes the outcome to the followers.
func (c *Claims) completeRun(claim *Claim, answer Answer, err error) {
	claim.run.answer = answer
	claim.run.err = err
	close(claim.run.done)
}

// removeRun unregisters the claim's run, so that the next submission of the key reads the table.
func (c *Claims) removeRun(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := rowKey(claim.Account, claim.Key)
	if r := c.runs[key]; r != nil && r == claim.run {
		delete(c.runs, key)
	}
}

// addNeverRun remembers that the request of a nonce of this instance is never run.
func (c *Claims) addNeverRun(nonce string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.neverRun.add(nonce)
}

func (s *boundedSet) contains(member string) bool {
	_, ok := s.members[member]
	return ok
}

func (s *boundedSet) add(member string) {
	if s.contains(member) {
		return
	}
	if s.members == nil {
		s.members = make(map[string]struct{})
	}
	s.members[member] = struct{}{}
	if len(s.order) < maxNeverRun {
		s.order = append(s.order, member)
		return
	}
	delete(s.members, s.order[s.oldest])
	s.order[s.oldest] = member
	s.oldest = (s.oldest + 1) % maxNeverRun
}
