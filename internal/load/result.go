package load

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxLatencyMicros is the upper bound of the histograms in microseconds.
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of the histograms in significant decimal digits.
	significantDigits = 3
)

type (
	// Result holds the outcome counts and latencies of one run.
	Result struct {
		Target          string    `json:"target"`
		Rate            float64   `json:"rate"` // Mean requests per second, as set.
		Seed            uint64    `json:"seed"`
		Start           time.Time `json:"begin"`
		DurationSeconds float64   `json:"time"` // From the start of the run to the end of the last request.
		// Longest delay of a request behind its intended start, in ms. Latencies include the delay.
		MaxLagMs float64           `json:"late"`
		Total    *Counts           `json:"total"`
		ByKind   map[string]Counts `json:"calls"` // By the name of the kind of request.
	}

	// Counts holds the outcome counts and latencies of one kind of request, or of all kinds.
	Counts struct {
		Sent       int                       `json:"sent"`
		Answered   int                       `json:"answered"` // Complete responses.
		Refused    map[string]map[string]int `json:"refused"`  // By code, then by whether the target ran the request.
		Unanswered int                       `json:"lost"`     // Requests without a response.
		Truncated  int                       `json:"cut"`      // Responses that ended early without an error event.
		// Responses with the request ID of an earlier response, or with events after the end of the stream.
		Duplicated  int            `json:"doubled"`
		Interrupted int            `json:"stopped"` // Requests in flight when the run was cancelled.
		Latency     LatencySummary `json:"latency"` // Time to the end of a complete response.
		FirstToken  LatencySummary `json:"first"`   // Time to the first event of a stream.
		TokenGap    LatencySummary `json:"gap"`     // Time between two events of a stream.
		Refusal     LatencySummary `json:"refusal"` // Time to the end of a refusal.
	}

	// LatencySummary summarizes a distribution of durations. The percentiles and the maximum are in milliseconds.
	LatencySummary struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50"`
		P90   float64 `json:"p90"`
		P95   float64 `json:"p95"`
		P99   float64 `json:"p99"`
		P999  float64 `json:"p999"`
		Max   float64 `json:"max"`
	}

	// collector records the outcomes of a run. It may be used by several goroutines at a time.
	collector struct {
		generator *Generator

		mu             sync.Mutex
		kinds          map[string]*tally
		seenRequestIDs map[uint64]struct{} // Hashes of the responses' request IDs.
		maxLag         time.Duration       // Longest delay of a request behind its intended start.
		sentCount      int
		doneCount      int
	}

	// tally holds the running counts and the histograms of one kind of request.
	tally struct {
		Counts
		latency, firstToken, tokenGap, refusal *hdrhistogram.Histogram
	}
)

func newCollector(g *Generator) *collector {
	c := &collector{generator: g, kinds: make(map[string]*tally), seenRequestIDs: make(map[uint64]struct{})}
	for _, kind := range g.Mix {
		c.kinds[kind.Name] = newTally()
	}
	return c
}

func newTally() *tally {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significantDigits) }
	t := &tally{latency: newHistogram(), firstToken: newHistogram(), tokenGap: newHistogram(), refusal: newHistogram()}
	t.Refused = make(map[string]map[string]int)
	return t
}

// recordSent counts a request that is about to be sent, and records its delay behind the intended start.
func (c *collector) recordSent(a arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentCount++
	c.kinds[a.kind.Name].Sent++
	c.maxLag = max(c.maxLag, time.Since(a.start))
}

// progress returns the number of requests sent and completed so far.
func (c *collector) progress() (sent, done int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentCount, c.doneCount
}

// recordEvent records the arrival of a stream event at now. previous is the time of the event before it, zero for the
// first event.
func (c *collector) recordEvent(a arrival, previous, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.kinds[a.kind.Name]
	if previous.IsZero() {
		recordDuration(t.firstToken, now.Sub(a.start))
		return
	}
	recordDuration(t.tokenGap, now.Sub(previous))
}

// recordRequestID counts a response as duplicated if an earlier response had the same request ID.
func (c *collector) recordRequestID(a arrival, id string) {
	if id == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.Sum64String(id)
	if _, ok := c.seenRequestIDs[hash]; ok {
		c.kinds[a.kind.Name].Duplicated++
	}
	c.seenRequestIDs[hash] = struct{}{}
}

// recordOutcome counts a completed request.
func (c *collector) recordOutcome(a arrival, result outcome) {
	elapsed := time.Since(a.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doneCount++
	t := c.kinds[a.kind.Name]
	switch r := result.(type) {
	case answered:
		t.Answered++
		recordDuration(t.latency, elapsed)
		if r.trailingData {
			t.Duplicated++
		}
	case refused:
		t.addRefused(r.code, r.run, 1)
		recordDuration(t.refusal, elapsed)
	case truncated:
		t.Truncated++
	case unanswered:
		t.Unanswered++
	case interrupted:
		t.Interrupted++
	}
}

func (c *Counts) addRefused(code, run string, n int) {
	if c.Refused[code] == nil {
		c.Refused[code] = make(map[string]int)
	}
	c.Refused[code][run] += n
}

func (c *collector) result(runStart time.Time, elapsed time.Duration) *Result {
	g := c.generator
	r := &Result{Target: g.Target, Rate: g.Rate, Seed: g.Seed, Start: runStart.UTC(), DurationSeconds: elapsed.Seconds()}
	r.MaxLagMs = toMilliseconds(c.maxLag)
	r.ByKind = make(map[string]Counts)
	total := newTally()
	for name, t := range c.kinds {
		total.merge(t)
		r.ByKind[name] = t.counts()
	}
	counts := total.counts()
	r.Total = &counts
	return r
}

// merge adds the counts and histograms of another tally.
func (t *tally) merge(other *tally) {
	t.Sent += other.Sent
	t.Answered += other.Answered
	t.Unanswered += other.Unanswered
	t.Truncated += other.Truncated
	t.Duplicated += other.Duplicated
	t.Interrupted += other.Interrupted
	for code, runs := range other.Refused {
		for run, n := range runs {
			t.addRefused(code, run, n)
		}
	}
	t.latency.Merge(other.latency)
	t.firstToken.Merge(other.firstToken)
	t.tokenGap.Merge(other.tokenGap)
	t.refusal.Merge(other.refusal)
}

// counts returns the counts with the histograms summarized.
func (t *tally) counts() Counts {
	result := t.Counts
	result.Latency, result.FirstToken = summarize(t.latency), summarize(t.firstToken)
	result.TokenGap, result.Refusal = summarize(t.tokenGap), summarize(t.refusal)
	return result
}

// summarize returns the percentiles of a histogram of microseconds in milliseconds.
func summarize(h *hdrhistogram.Histogram) LatencySummary {
	quantile := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
	return LatencySummary{
		Count: h.TotalCount(),
		P50:   quantile(50),
		P90:   quantile(90),
		P95:   quantile(95),
		P99:   quantile(99),
		P999:  quantile(99.9),
		Max:   float64(h.Max()) / 1000,
	}
}

// recordDuration adds a duration to a histogram. Values outside its range are clamped.
func recordDuration(h *hdrhistogram.Histogram, value time.Duration) {
	h.RecordValue(min(max(value.Microseconds(), 1), maxLatencyMicros))
}

func toMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Print writes the result as a text table, with a comparison if earlier is not nil.
func (r *Result) Print(w io.Writer, earlier *Result) error {
	fmt.Fprintf(w, "%s at %g/s for %.1f s, seed %d, generator late by at most %.1f ms\n", r.Target, r.Rate, r.DurationSeconds, r.Seed, r.MaxLagMs)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if earlier != nil {
		fmt.Fprintln(table, "figure\tearlier\tnow\tchange\t")
	}
	for _, row := range Compare(earlier, r) {
		if earlier == nil {
			fmt.Fprintf(table, "%s\t%s\t\n", row.Name, formatFigure(row.New))
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t\n", row.Name, formatFigure(row.Old), formatFigure(row.New), formatFigure(row.New-row.Old))
	}
	return table.Flush()
}

// formatFigure formats whole numbers without decimals and others with three.
func formatFigure(value float64) string {
	if value == math.Trunc(value) {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3f", value)
}

// rows returns the metrics in the order of the report, with their values in the New field.
func (c *Counts) rows() []MetricComparison {
	rows := []MetricComparison{{Name: "sent", New: float64(c.Sent)}, {Name: "answered", New: float64(c.Answered)}}
	for _, code := range slices.Sorted(maps.Keys(c.Refused)) {
		for _, run := range slices.Sorted(maps.Keys(c.Refused[code])) {
			rows = append(rows, MetricComparison{Name: "refused " + code + " run " + run, New: float64(c.Refused[code][run])})
		}
	}
	rows = append(rows,
		MetricComparison{Name: "lost", New: float64(c.Unanswered)},
		MetricComparison{Name: "cut", New: float64(c.Truncated)},
		MetricComparison{Name: "doubled", New: float64(c.Duplicated)},
		MetricComparison{Name: "stopped", New: float64(c.Interrupted)})
	rows = append(rows, c.Latency.rows("latency")...)
	rows = append(rows, c.FirstToken.rows("first")...)
	rows = append(rows, c.TokenGap.rows("gap")...)
	return append(rows, c.Refusal.rows("refusal")...)
}

// rows returns the metrics of the distribution under the given name, none if it is empty.
func (s LatencySummary) rows(name string) []MetricComparison {
	if s.Count == 0 {
		return nil
	}
	return []MetricComparison{
		{Name: name + " p50 ms", New: s.P50},
		{Name: name + " p95 ms", New: s.P95},
		{Name: name + " p99 ms", New: s.P99},
		{Name: name + " max ms", New: s.Max},
	}
}
