package burn_test

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/burn"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

var startTime = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func testInventory() *inventory.Inventory {
	return &inventory.Inventory{
		Accounts: []inventory.ClientAccount{{Name: "acme"}, {Name: "bolt", WorseOutcome: inventory.WorseOverspend}},
		Levels: []inventory.ServiceLevel{
			{Name: "chat", Service: "chat", Goal: 0.9, MaxTimeToFirstToken: "1s", MaxTokenGap: "100ms"},
			{Name: "plan", Model: "plan", Goal: 0.99, MaxTimeToFirstToken: "500ms"},
			{Name: "acme", Account: "acme", Goal: 0.5},
			{Name: "acme-chat", Account: "acme", Service: "chat", Goal: 0.5},
			{Name: "all", Goal: 0.5},
		},
	}
}

// Guards against windows that include too many or too few requests. The counts are compared with a scan of all samples.
func TestWindowCountsMatchScanOfSamples(t *testing.T) {
	windowLengths := map[string]time.Duration{"5m": 5 * time.Minute, "1h": time.Hour, "6h": 6 * time.Hour, "3d": 72 * time.Hour}
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		r := burn.Recorder{Now: func() time.Time { return now }}
		r.SetInventory(testInventory())
		var goodTimes, badTimes []time.Time
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 60, 900, 7200, 90000}).Draw(t, "step")) * time.Second)
			s := burn.Sample{Service: "chat", Model: "plan", Account: "bolt"}
			s.First = time.Duration(rapid.IntRange(0, 1400).Draw(t, "first")) * time.Millisecond
			s.Outcome = burn.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
			r.Observe(s)
			switch {
			case s.Outcome == burn.NotCounted:
			case s.Outcome == burn.Answered && s.First <= time.Second:
				goodTimes = append(goodTimes, now)
			default:
				badTimes = append(badTimes, now)
			}
			if rapid.IntRange(0, 9).Draw(t, "sets inventory") == 0 {
				r.SetInventory(testInventory())
			}
		}
		level := r.Report().Levels[0]
		for _, w := range level.Windows {
			good, bad := countInWindow(goodTimes, now, windowLengths[w.Window]), countInWindow(badTimes, now, windowLengths[w.Window])
			if w.Good != good || w.Bad != bad {
				t.Fatalf("%s: got %d good, %d bad, expected %d, %d", w.Window, w.Good, w.Bad, good, bad)
			}
			if good+bad > 0 && math.Abs(w.Rate-float64(bad)/float64(good+bad)/0.1) > 1e-9 {
				t.Fatalf("burn rate %v does not match the counts", w.Rate)
			}
		}
	})
}

// countInWindow counts the times in a window that ends with the bucket of the current minute or hour.
func countInWindow(times []time.Time, now time.Time, span time.Duration) int {
	bucketSize := time.Minute
	if span > 6*time.Hour {
		bucketSize = time.Hour
	}
	windowStart := now.Truncate(bucketSize).Add(bucketSize - span)
	inWindow := 0
	for _, at := range times {
		if !at.Before(windowStart) {
			inWindow++
		}
	}
	return inWindow
}

// Guards against samples that count for a level of another service, model or account, against justified refusals that
// count as failures, and against a merge that modifies its reports.
func TestSamplesCountOnlyForMatchingLevels(t *testing.T) {
	is := is.New(t)
	r := burn.Recorder{Now: func() time.Time { return startTime }}
	r.Observe(burn.Sample{})
	r.SetInventory(testInventory())
	r.Observe(burn.Sample{Service: "chat", Model: "plan", Account: "acme", First: 600 * time.Millisecond})
	r.Observe(burn.Sample{Service: "chat", Model: "other", Account: "bolt", Gap: time.Second})
	r.Observe(burn.Sample{Service: "booking", Account: "acme", Outcome: burn.FalselyRefused})
	r.Observe(burn.Sample{Service: "booking", Account: "acme", Outcome: burn.NotCounted})
	report := r.Report()
	var got []string
	for _, l := range report.Levels {
		got = append(got, fmt.Sprint(l.Name, l.Windows[0].Good, l.Windows[0].Bad))
	}
	is.Equal(got, []string{"chat1 1", "plan0 1", "acme1 1", "acme-chat1 0", "all2 1"})
	is.Equal(report.Accounts[0], wire.AccountBurn{Account: "acme", Weigh: "refusal", Requests: 3, Refusals: 1})
	merged := burn.Merge(report, report)
	is.Equal(merged.Levels[0].Windows[3], wire.WindowBurn{Window: "3d", Good: 2, Bad: 2, Rate: report.Levels[0].Windows[3].Rate})
	is.Equal(merged.Accounts[0].Requests, 6)
	is.Equal(report.Levels[0].Windows[3].Good, 1)
}

// Guards against a wrong date of exhaustion, overspend that is not reported, and memory that grows with the number of
// budgets.
func TestReportForecastsBudgetExhaustion(t *testing.T) {
	is := is.New(t)
	now := startTime
	r := burn.Recorder{Now: func() time.Time { return now }}
	reading := func(budget string, total, spent int) burn.Reading {
		id := inventory.BudgetID{Account: "acme", Budget: budget}
		return burn.Reading{BudgetID: id, Total: inventory.Tokens(total), Spent: inventory.Tokens(spent)}
	}
	for hour := range 30 {
		now = startTime.Add(time.Duration(hour) * time.Hour)
		r.RecordReadings([]burn.Reading{reading("idle", 100, 5), reading("even", 1240, 10*hour), reading("over", 10, 12)})
	}
	report := r.Report()
	is.Equal(len(report.Budgets), 3)
	is.Equal(report.Budgets[0].Over, 2)
	is.Equal(report.Budgets[1], wire.BudgetBurn{
		Account: "acme", Budget: "even", Total: 1240, Spent: 290, Day: 240, End: now.Add(95 * time.Hour).Format(time.DateOnly),
	})
	is.Equal(report.Budgets[2].End, "")
	readings := make([]burn.Reading, burn.MaxTrackedBudgets+50)
	for i := range readings {
		readings[i] = reading(fmt.Sprint("b", i), 100+i, 50)
	}
	now = now.Add(time.Hour)
	r.RecordReadings(readings)
	now = now.Add(time.Hour)
	r.RecordReadings(readings[:1])
	is.Equal(len(r.Report().Budgets), burn.MaxReportedBudgets)
}

// Guards against a page that loads external resources, is not well-formed, or does not escape names.
func TestHTMLPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	report := sampleReport()
	report.Budgets[0].Budget = "<script>alert(1)</script>"
	report.Levels[0].Name = "<b>bold</b>&"
	report.Levels[1].Series = report.Levels[1].Series[:1]
	report.Levels[2].Series = nil
	var out bytes.Buffer
	is.NoErr(burn.WriteHTML(&out, report))
	page := out.String()
	is.True(!strings.Contains(page, "<script") && !strings.Contains(page, "<b>bold"))
	is.True(!strings.Contains(page, "href=\"http") && !strings.Contains(page, "src="))
	is.Equal(strings.Count(page, "<svg"), 6)
	for _, part := range strings.Split(page, "<svg")[1:] {
		svg, _, _ := strings.Cut(part, "</svg>")
		decoder := xml.NewDecoder(strings.NewReader("<svg" + svg + "</svg>"))
		for {
			_, err := decoder.Token()
			if err == io.EOF {
				break
			}
			is.NoErr(err)
		}
	}
	if path := os.Getenv("BURN_PAGE"); path != "" {
		is.NoErr(os.WriteFile(path, out.Bytes(), 0o644))
	}
}

// sampleReport returns the report after 80 hours with 20 requests and one budget reading each.
func sampleReport() *wire.Burn {
	now := startTime
	r := burn.Recorder{Now: func() time.Time { return now }}
	r.SetInventory(testInventory())
	for hour := range 80 {
		now = startTime.Add(time.Duration(hour) * time.Hour)
		for i := range 20 {
			s := burn.Sample{Service: "chat", Model: "plan", Account: "acme", First: time.Duration(i*hour) * time.Millisecond}
			r.Observe(s)
		}
		r.RecordReadings([]burn.Reading{{BudgetID: inventory.BudgetID{Account: "acme", Budget: "main"}, Total: 10_000, Spent: inventory.Tokens(100 * hour)}})
	}
	return r.Report()
}

// Guards against text tables without the time of the report or the spent share of a budget.
func TestWriteText(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(burn.WriteText(&out, sampleReport()))
	lines := strings.Split(out.String(), "\n")
	is.Equal(lines[0], "Burn at 2026-03-04T07:00:00Z")
	is.True(slices.ContainsFunc(lines, func(l string) bool {
		return strings.HasPrefix(l, "acme/main") && strings.Contains(l, "79.0%")
	}))
}

func BenchmarkObserve(b *testing.B) {
	var r burn.Recorder
	inv := testInventory()
	for i := range 1700 {
		inv.Levels = append(inv.Levels, inventory.ServiceLevel{Name: fmt.Sprint("a", i), Account: fmt.Sprint("account-", i), Goal: 0.9})
	}
	r.SetInventory(inv)
	s := burn.Sample{Service: "chat", Model: "plan", Account: "acme", First: time.Second}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Observe(s)
		}
	})
}

func BenchmarkReport(b *testing.B) {
	var r burn.Recorder
	inv := testInventory()
	for i := range 1700 {
		inv.Levels = append(inv.Levels, inventory.ServiceLevel{Name: fmt.Sprint("a", i), Account: fmt.Sprint("account-", i), Goal: 0.9})
	}
	r.SetInventory(inv)
	readings := make([]burn.Reading, 320_000)
	for i := range readings {
		readings[i].BudgetID = inventory.BudgetID{Account: fmt.Sprint("account-", i%1700), Budget: fmt.Sprint("budget-", i)}
		readings[i].Total, readings[i].Spent = 1000, inventory.Tokens(i%1000)
	}
	r.RecordReadings(readings)
	for b.Loop() {
		if len(r.Report().Levels) < 1700 {
			b.Fatal("levels are missing")
		}
	}
}
