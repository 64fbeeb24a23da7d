package claim_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/claim"
	"citronslip/internal/object"
	"citronslip/internal/table"
)

var (
	submissionKeys = []string{"a", "b", "once-a", "once-b"}
)

// Guards against a second run of a request that must run at most once, a refusal that says "not run" of a request that
// ran, the answer of another request, and a missing or duplicate bill. Table calls are refused or delayed, or lose
// their answers, and routers die between any two steps.
func TestKeyedRequestsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   func(*rapid.T) { m.submit() },
			"retry":    func(*rapid.T) { m.submit() },
			"dispatch": func(*rapid.T) { m.stepOpenSubmission(m.dispatch) },
			"finish":   func(*rapid.T) { m.stepOpenSubmission(m.finish) },
			"finish2":  func(*rapid.T) { m.stepOpenSubmission(m.finish) },
			"give up":  func(*rapid.T) { m.stepOpenSubmission(m.giveUp) },
			"plain":    func(*rapid.T) { m.completeUnkeyed() },
			"plain2":   func(*rapid.T) { m.completeUnkeyed(); m.completeUnkeyed(); m.completeUnkeyed() },
			"resolve":  func(*rapid.T) { r := m.drawRouter(); m.step(r, func() { r.claims.RetryWrites(context.Background()) }) },
			"clean":    func(*rapid.T) { r := m.drawRouter(); m.step(r, func() { _ = r.claims.Cleanup(context.Background()) }) },
			"flush":    func(*rapid.T) { r := m.drawRouter(); m.step(r, func() { _ = r.biller.Flush(context.Background()) }) },
			"land":     func(*rapid.T) { m.table.applyDelayed() },
			"die":      func(*rapid.T) { m.killRouter(m.drawRouter()) },
			"":         func(*rapid.T) { m.checkInvariants() },
		})
		m.finishWithoutFaults()
		m.checkBills()
		m.checkRetention()
	})
}

// stepOpenSubmission runs one step of a randomly drawn open submission, if there is one.
func (m *fleetModel) stepOpenSubmission(run func(*submission)) {
	if len(m.openSubmissions) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.openSubmissions)-1).Draw(m.t, "submission")
	s := m.openSubmissions[i]
	m.step(s.router, func() { run(s) })
}

func (m *fleetModel) removeOpen(s *submission) {
	var remaining []*submission
	for _, other := range m.openSubmissions {
		if other != s {
			remaining = append(remaining, other)
		}
	}
	m.openSubmissions = remaining
}

func (m *fleetModel) submit() {
	key := rapid.SampledFrom(submissionKeys).Draw(m.t, "key")
	body := rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(m.t, "body")
	s := &submission{router: m.drawRouter(), key: key, body: body, atMostOnce: len(key) > 1}
	m.submissions = append(m.submissions, s)
	m.step(s.router, func() { m.begin(s) })
}

func (m *fleetModel) begin(s *submission) {
	hash := claim.Hash([]byte(s.body))
	result, err := s.router.claims.Begin(context.Background(), "garden", s.key, hash)
	if err != nil {
		m.handleUnavailable(s, hash)
		return
	}
	unknown, ok := result.(claim.OutcomeUnknown)
	if ok && !s.atMostOnce {
		result, err = s.router.claims.Takeover(context.Background(), unknown, "garden", s.key, hash)
		if err != nil {
			return
		}
	}
	m.handleResult(s, result)
}

// handleUnavailable handles a submission that could not be claimed: an idempotent request runs without a claim, any
// other is refused and must never run.
func (m *fleetModel) handleUnavailable(s *submission, hash string) {
	if s.atMostOnce {
		s.refused = true
		return
	}
	s.unclaimed = true
	m.handleResult(s, s.router.claims.BeginUnclaimed("garden", s.key, hash))
}

func (m *fleetModel) handleResult(s *submission, result claim.Result) {
	switch r := result.(type) {
	case claim.Claimed:
		s.claim = r.Claim
		m.openSubmissions = append(m.openSubmissions, s)
	case claim.Recorded:
		m.deliver(s, r.Answer)
	case claim.Joined:
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		if answer, err := r.Wait(cancelled); err == nil {
			m.deliver(s, answer)
		}
	case claim.Running:
		m.askHolder(s, r)
	case claim.BodyMismatch:
		s.refused = true
	case claim.OutcomeUnknown: // The caller is told that it is unknown whether the request ran.
	}
}

// askHolder asks the instance that holds the claim for its state, like the JSON-RPC call request.state.
func (m *fleetModel) askHolder(s *submission, running claim.Running) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, r := range m.routers {
		if r.name != running.Instance {
			continue
		}
		report := r.claims.Report(cancelled, "garden", s.key, running.Nonce)
		if report.State == claim.ReportDone {
			m.deliver(s, *report.Answer)
		}
	}
}

func (m *fleetModel) dispatch(s *submission) {
	if s.dispatched {
		return
	}
	s.dispatched = true
	if s.atMostOnce {
		m.executions[s.key]++
	}
}

func (m *fleetModel) finish(s *submission) {
	if !s.dispatched {
		return
	}
	bill := claim.Bill{Key: s.identity(), Account: "garden", Output: 1}
	padding := rapid.SampledFrom([]string{"", "a body of more than forty bytes goes to the object store"}).Draw(m.t, "padding")
	answer := claim.Answer{Status: 200, Body: []byte(s.identity() + padding)}
	m.usageReports[s.router.name] = append(m.usageReports[s.router.name], bill)
	err := s.router.claims.Finish(context.Background(), s.claim, answer, bill)
	if err == nil && !s.unclaimed {
		// The row holds the bill, so it must be recovered without a usage report from the engine.
		reports := m.usageReports[s.router.name]
		m.usageReports[s.router.name] = reports[:len(reports)-1]
	}
	s.router.biller.Add(bill)
	m.deliver(s, answer)
	m.removeOpen(s)
}

// giveUp ends a submission without an answer: its claim is released if it was not dispatched, and otherwise recorded as
// one with an unknown outcome.
func (m *fleetModel) giveUp(s *submission) {
	m.removeOpen(s)
	if s.dispatched {
		_ = s.router.claims.RecordOutcomeUnknown(context.Background(), s.claim)
		return
	}
	if s.atMostOnce && m.executions[s.key] > 0 {
		m.t.Fatalf("request with key %s refused as not run after it ran", s.key)
	}
	s.refused = true
	_ = s.router.claims.Release(context.Background(), s.claim)
}

func (m *fleetModel) deliver(s *submission, answer claim.Answer) {
	if string(answer.Body[:len(s.identity())]) != s.identity() {
		m.t.Fatalf("answer of another request: %s", answer.Body)
	}
	m.delivered[s.identity()] = true
}

// completeUnkeyed completes a request without a key at a randomly drawn router.
func (m *fleetModel) completeUnkeyed() {
	r := m.drawRouter()
	r.lastNumber++
	bill := claim.Bill{Number: r.lastNumber, Account: "garden", Output: 1}
	m.delivered[billID(r.name, bill)] = true
	m.usageReports[r.name] = append(m.usageReports[r.name], bill)
	r.biller.Add(bill)
}

// checkInvariants requires that no request ran or was billed twice, and that none ran after it was refused.
func (m *fleetModel) checkInvariants() {
	for key, count := range m.executions {
		if count > 1 {
			m.t.Fatalf("request with key %s ran %d times", key, count)
		}
	}
	for _, s := range m.submissions {
		if s.refused && s.dispatched {
			m.t.Fatalf("submission with key %s was refused as not run, but ran", s.key)
		}
	}
	for identity, count := range m.countBills() {
		if count > 1 {
			m.t.Fatalf("request %s billed %d times", identity, count)
		}
	}
}

// finishWithoutFaults ends all open requests without further faults, and recovers the bills of dead instances.
func (m *fleetModel) finishWithoutFaults() {
	m.table.noFaults = true
	m.finishMatching(func(s *submission) bool { return !s.atMostOnce || !s.dispatched })
	m.runMaintenance()
	for len(m.table.delayed) > 0 {
		m.table.applyDelayed()
	}
	m.runMaintenance()
	m.now = m.now.Add(25 * time.Hour)
	m.runMaintenance()
	for _, s := range slices.Clone(m.openSubmissions) {
		retry := &submission{router: m.routers[0], key: s.key, body: s.body, atMostOnce: true}
		m.begin(retry)
		if retry.claim != nil {
			m.dispatch(retry)
		}
	}
	m.checkInvariants()
	m.finishMatching(func(*submission) bool { return true })
	m.runMaintenance()
}

func (m *fleetModel) finishMatching(match func(*submission) bool) {
	for _, s := range slices.Clone(m.openSubmissions) {
		if match(s) {
			m.dispatch(s)
			m.finish(s)
		}
	}
}

// runMaintenance recovers the bills of dead routers and lets every router do its periodic work until none is left.
func (m *fleetModel) runMaintenance() {
	ctx := context.Background()
	for name := range m.deadRouters {
		must(m.t, m.routers[0].biller.Recover(ctx, name, m.usageReports[name]))
		delete(m.usageReports, name)
	}
	for range 4 {
		for _, r := range m.routers {
			if unresolved := r.claims.RetryWrites(ctx); unresolved > 0 {
				m.t.Fatalf("%d claims unresolved", unresolved)
			}
			must(m.t, r.claims.Cleanup(ctx))
			must(m.t, r.biller.Flush(ctx))
		}
	}
	m.checkInvariants()
}

// checkBills requires exactly one bill for each request whose answer was delivered, and sums that match their numbers.
func (m *fleetModel) checkBills() {
	bills := m.countBills()
	for identity := range m.delivered {
		if bills[identity] != 1 {
			m.t.Fatalf("completed request %s has %d bills", identity, bills[identity])
		}
	}
	if bills["sum"] != 0 {
		m.t.Fatalf("tokens in the sums differ by %d from the request numbers, at one token each", bills["sum"])
	}
}

// checkRetention requires that finished claims and markers are deleted after the retention time, and that no bill is.
func (m *fleetModel) checkRetention() {
	ctx := context.Background()
	m.now = m.now.Add(25 * time.Hour)
	m.runMaintenance()
	clear(m.executions) // Keys may be used for new requests now.
	for _, key := range submissionKeys {
		// A row that took effect late, of a claim that is never run, is deleted when a new submission asks its holder.
		for _, body := range []string{"1", "2"} {
			m.begin(&submission{router: m.routers[0], key: key, body: body, atMostOnce: true})
			for _, s := range m.openSubmissions {
				m.giveUp(s)
			}
		}
	}
	m.now = m.now.Add(25 * time.Hour)
	m.runMaintenance()
	for _, prefix := range []string{"claim/", "billed/"} {
		rows, err := m.table.Memory.Scan(ctx, prefix, "", 1000)
		must(m.t, err)
		if len(rows) > 0 {
			m.t.Fatalf("%d rows under %s remain, the first is %s = %s", len(rows), prefix, rows[0].Key, rows[0].Value)
		}
	}
	m.checkBills()
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a follower that runs the request itself, or returns before the leader has an answer.
func TestFollowerGetsLeaderAnswer(t *testing.T) {
	is := is.New(t)
	c := claim.Claims{Table: &table.Memory{}, Objects: &object.Memory{}, Instance: "r1"}
	first, err := c.Begin(t.Context(), "garden", "k", claim.Hash(nil))
	is.NoErr(err)
	second, err := c.Begin(t.Context(), "garden", "k", claim.Hash(nil))
	is.NoErr(err)
	go func() {
		_ = c.Finish(t.Context(), first.(claim.Claimed).Claim, claim.Answer{Status: 201}, claim.Bill{})
	}()
	answer, err := second.(claim.Joined).Wait(t.Context())
	is.NoErr(err)
	is.Equal(answer.Status, 201)
}

// Guards against a stalled table that delays a request beyond the timeouts of the table calls.
func TestBeginTimesOutOnStalledTable(t *testing.T) {
	is := is.New(t)
	stalled := &table.Memory{Inject: func(string) table.Fault { return table.FaultStall }}
	c := claim.Claims{Table: stalled, Instance: "r1", Timeout: time.Millisecond}
	_, err := c.Begin(t.Context(), "garden", "k", claim.Hash(nil))
	is.True(errors.Is(err, claim.ErrUnavailable))
}

func ExampleClaims_Begin() {
	claims := claim.Claims{Table: &table.Memory{}, Objects: &object.Memory{}, Instance: "r1"}
	biller := claim.Biller{Table: claims.Table, Instance: "r1"}
	ctx := context.Background()
	for range 2 {
		result, _ := claims.Begin(ctx, "garden", "visit-7", claim.Hash([]byte("two seats")))
		switch r := result.(type) {
		case claim.Claimed:
			bill := claim.Bill{Key: r.Claim.Identity, Account: "garden", Output: 1}
			_ = claims.Finish(ctx, r.Claim, claim.Answer{Status: 201}, bill)
			biller.Add(bill)
			fmt.Println("ran")
		case claim.Recorded:
			fmt.Println("recorded", r.Answer.Status)
		}
	}
	// Output:
	// ran
	// recorded 201
}
