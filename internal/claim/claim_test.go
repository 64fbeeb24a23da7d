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
// ran, the answer of another request, and a missing or duplicate bill. Table calls are refused or delayed, or lose their
// answers, and routers die between any two steps.
func TestKeyedRequestsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   func(*rapid.T) { w.submit() },
			"retry":    func(*rapid.T) { w.submit() },
			"dispatch": func(*rapid.T) { w.stepOpenSubmission(w.dispatch) },
			"finish":   func(*rapid.T) { w.stepOpenSubmission(w.finish) },
			"finish2":  func(*rapid.T) { w.stepOpenSubmission(w.finish) },
			"give up":  func(*rapid.T) { w.stepOpenSubmission(w.giveUp) },
			"plain":    func(*rapid.T) { w.completeUnkeyed() },
			"plain2":   func(*rapid.T) { w.completeUnkeyed(); w.completeUnkeyed(); w.completeUnkeyed() },
			"resolve":  func(*rapid.T) { r := w.drawRouter(); w.step(r, func() { r.claims.Resolve(context.Background()) }) },
			"clean":    func(*rapid.T) { r := w.drawRouter(); w.step(r, func() { _ = r.claims.Clean(context.Background()) }) },
			"flush":    func(*rapid.T) { r := w.drawRouter(); w.step(r, func() { _ = r.biller.Flush(context.Background()) }) },
			"land":     func(*rapid.T) { w.table.applyDelayed() },
			"die":      func(*rapid.T) { w.killRouter(w.drawRouter()) },
			"":         func(*rapid.T) { w.checkInvariants() },
		})
		w.finishWithoutFaults()
		w.checkBills()
		w.checkRetention()
	})
}

// stepOpenSubmission runs one step of a randomly drawn open submission, if there is one.
func (w *fleetModel) stepOpenSubmission(do func(*submission)) {
	if len(w.openSubmissions) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.openSubmissions)-1).Draw(w.t, "submission")
	s := w.openSubmissions[i]
	w.step(s.router, func() { do(s) })
}

func (w *fleetModel) removeOpen(s *submission) {
	var remaining []*submission
	for _, other := range w.openSubmissions {
		if other != s {
			remaining = append(remaining, other)
		}
	}
	w.openSubmissions = remaining
}

func (w *fleetModel) submit() {
	key := rapid.SampledFrom(submissionKeys).Draw(w.t, "key")
	body := rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(w.t, "body")
	s := &submission{router: w.drawRouter(), key: key, body: body, atMostOnce: len(key) > 1}
	w.submissions = append(w.submissions, s)
	w.step(s.router, func() { w.begin(s) })
}

func (w *fleetModel) begin(s *submission) {
	hash := claim.Body([]byte(s.body))
	result, err := s.router.claims.Begin(context.Background(), "garden", s.key, hash)
	if err != nil {
		w.handleUnavailable(s, hash)
		return
	}
	lost, ok := result.(claim.Lost)
	if ok && !s.atMostOnce {
		result, err = s.router.claims.Takeover(context.Background(), lost, "garden", s.key, hash)
		if err != nil {
			return
		}
	}
	w.handleResult(s, result)
}

// handleUnavailable handles a submission that could not be claimed: an idempotent request runs without a claim, any
// other is refused and must never run.
func (w *fleetModel) handleUnavailable(s *submission, hash string) {
	if s.atMostOnce {
		s.refused = true
		return
	}
	s.unclaimed = true
	w.handleResult(s, s.router.claims.Unclaimed("garden", s.key, hash))
}

func (w *fleetModel) handleResult(s *submission, result claim.Result) {
	switch r := result.(type) {
	case claim.Claimed:
		s.claim = r.Claim
		w.openSubmissions = append(w.openSubmissions, s)
	case claim.Recorded:
		w.deliver(s, r.Answer)
	case claim.Joined:
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		if answer, err := r.Wait(ended); err == nil {
			w.deliver(s, answer)
		}
	case claim.Running:
		w.askHolder(s, r)
	case claim.Mismatch:
		s.refused = true
	case claim.Lost: // The caller is told that it is unknown whether the request ran.
	}
}

// askHolder asks the instance that holds the claim for its state, like the JSON-RPC call request.state.
func (w *fleetModel) askHolder(s *submission, running claim.Running) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, r := range w.routers {
		if r.name != running.Instance {
			continue
		}
		report := r.claims.Report(ended, "garden", s.key, running.Nonce)
		if report.State == claim.ReportDone {
			w.deliver(s, *report.Answer)
		}
	}
}

func (w *fleetModel) dispatch(s *submission) {
	if s.dispatched {
		return
	}
	s.dispatched = true
	if s.atMostOnce {
		w.executions[s.key]++
	}
}

func (w *fleetModel) finish(s *submission) {
	if !s.dispatched {
		return
	}
	bill := claim.Bill{Key: s.identity(), Account: "garden", Output: 1}
	padding := rapid.SampledFrom([]string{"", "a body of more than forty bytes goes to the object store"}).Draw(w.t, "padding")
	answer := claim.Answer{Status: 200, Body: []byte(s.identity() + padding)}
	w.usageReports[s.router.name] = append(w.usageReports[s.router.name], bill)
	err := s.router.claims.Finish(context.Background(), s.claim, answer, bill)
	if err == nil && !s.unclaimed {
		// The row holds the bill, so it must be recovered without a usage report from the engine.
		reports := w.usageReports[s.router.name]
		w.usageReports[s.router.name] = reports[:len(reports)-1]
	}
	s.router.biller.Add(bill)
	w.deliver(s, answer)
	w.removeOpen(s)
}

// giveUp ends a submission without an answer: its claim is released if it was not dispatched, and lost otherwise.
func (w *fleetModel) giveUp(s *submission) {
	w.removeOpen(s)
	if s.dispatched {
		_ = s.router.claims.Lose(context.Background(), s.claim)
		return
	}
	if s.atMostOnce && w.executions[s.key] > 0 {
		w.t.Fatalf("request with key %s refused as not run after it ran", s.key)
	}
	s.refused = true
	_ = s.router.claims.Release(context.Background(), s.claim)
}

func (w *fleetModel) deliver(s *submission, answer claim.Answer) {
	if string(answer.Body[:len(s.identity())]) != s.identity() {
		w.t.Fatalf("answer of another request: %s", answer.Body)
	}
	w.delivered[s.identity()] = true
}

// completeUnkeyed completes a request without a key at a randomly drawn router.
func (w *fleetModel) completeUnkeyed() {
	r := w.drawRouter()
	r.lastNumber++
	bill := claim.Bill{Number: r.lastNumber, Account: "garden", Output: 1}
	w.delivered[billID(r.name, bill)] = true
	w.usageReports[r.name] = append(w.usageReports[r.name], bill)
	r.biller.Add(bill)
}

// checkInvariants requires that no request ran or was billed twice, and that none ran after it was refused.
func (w *fleetModel) checkInvariants() {
	for key, count := range w.executions {
		if count > 1 {
			w.t.Fatalf("request with key %s ran %d times", key, count)
		}
	}
	for _, s := range w.submissions {
		if s.refused && s.dispatched {
			w.t.Fatalf("submission with key %s was refused as not run, but ran", s.key)
		}
	}
	for identity, count := range w.countBills() {
		if count > 1 {
			w.t.Fatalf("request %s billed %d times", identity, count)
		}
	}
}

// finishWithoutFaults ends all open requests without further faults, and recovers the bills of dead instances.
func (w *fleetModel) finishWithoutFaults() {
	w.table.noFaults = true
	w.finishMatching(func(s *submission) bool { return !s.atMostOnce || !s.dispatched })
	w.runMaintenance()
	for len(w.table.delayed) > 0 {
		w.table.applyDelayed()
	}
	w.runMaintenance()
	w.now = w.now.Add(25 * time.Hour)
	w.runMaintenance()
	for _, s := range slices.Clone(w.openSubmissions) {
		again := &submission{router: w.routers[0], key: s.key, body: s.body, atMostOnce: true}
		w.begin(again)
		if again.claim != nil {
			w.dispatch(again)
		}
	}
	w.checkInvariants()
	w.finishMatching(func(*submission) bool { return true })
	w.runMaintenance()
}

func (w *fleetModel) finishMatching(match func(*submission) bool) {
	for _, s := range slices.Clone(w.openSubmissions) {
		if match(s) {
			w.dispatch(s)
			w.finish(s)
		}
	}
}

// runMaintenance recovers the bills of dead routers and lets every router do its periodic work until none is left.
func (w *fleetModel) runMaintenance() {
	ctx := context.Background()
	for name := range w.deadRouters {
		must(w.t, w.routers[0].biller.Recover(ctx, name, w.usageReports[name]))
		delete(w.usageReports, name)
	}
	for range 4 {
		for _, r := range w.routers {
			if unresolved := r.claims.Resolve(ctx); unresolved > 0 {
				w.t.Fatalf("%d claims unresolved", unresolved)
			}
			must(w.t, r.claims.Clean(ctx))
			must(w.t, r.biller.Flush(ctx))
		}
	}
	w.checkInvariants()
}

// checkBills requires exactly one bill for each request whose answer was delivered, and sums that match their numbers.
func (w *fleetModel) checkBills() {
	bills := w.countBills()
	for identity := range w.delivered {
		if bills[identity] != 1 {
			w.t.Fatalf("completed request %s has %d bills", identity, bills[identity])
		}
	}
	if bills["sum"] != 0 {
		w.t.Fatalf("tokens in the sums differ by %d from the request numbers, at one token each", bills["sum"])
	}
}

// checkRetention requires that finished claims and markers are deleted after the retention time, and that no bill is.
func (w *fleetModel) checkRetention() {
	ctx := context.Background()
	w.now = w.now.Add(25 * time.Hour)
	w.runMaintenance()
	clear(w.executions) // Keys may be used for new requests now.
	for _, key := range submissionKeys {
		// A row that took effect late, of a claim that is never run, is deleted when a new submission asks its holder.
		for _, body := range []string{"1", "2"} {
			w.begin(&submission{router: w.routers[0], key: key, body: body, atMostOnce: true})
			for _, s := range w.openSubmissions {
				w.giveUp(s)
			}
		}
	}
	w.now = w.now.Add(25 * time.Hour)
	w.runMaintenance()
	for _, prefix := range []string{"claim/", "billed/"} {
		rows, err := w.table.Memory.Scan(ctx, prefix, "", 1000)
		must(w.t, err)
		if len(rows) > 0 {
			w.t.Fatalf("%d rows under %s remain, the first is %s = %s", len(rows), prefix, rows[0].Key, rows[0].Value)
		}
	}
	w.checkBills()
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
	first, err := c.Begin(t.Context(), "garden", "k", claim.Body(nil))
	is.NoErr(err)
	second, err := c.Begin(t.Context(), "garden", "k", claim.Body(nil))
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
	_, err := c.Begin(t.Context(), "garden", "k", claim.Body(nil))
	is.True(errors.Is(err, claim.ErrUnavailable))
}

func ExampleClaims_Begin() {
	claims := claim.Claims{Table: &table.Memory{}, Objects: &object.Memory{}, Instance: "r1"}
	biller := claim.Biller{Table: claims.Table, Instance: "r1"}
	ctx := context.Background()
	for range 2 {
		result, _ := claims.Begin(ctx, "garden", "visit-7", claim.Body([]byte("two seats")))
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
