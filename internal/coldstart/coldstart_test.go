package coldstart_test

import (
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"citronslip/internal/coldstart"
)

// newLimiter returns the limiter of a router that is not listed yet, so that it gets no permits.
func newLimiter() *coldstart.Limiter {
	logger := zerolog.Nop()
	return &coldstart.Limiter{
		Address: "r0", Now: time.Now, Logger: &logger, Metrics: tally.NoopScope,
		View:    func() ([]string, bool) { return nil, false },
		NewsAge: func() time.Duration { return 0 },
		Terms: func(service string) coldstart.Terms {
			if service == "plain" {
				return coldstart.Terms{}
			}
			return terms
		},
	}
}

// Guards against cold servers that count as warm and get the requests of all routers, and against a sound fleet that
// counts as cold and gets hardly any.
func TestServersCountAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := func(ago time.Duration) int64 { return time.Now().Add(-ago).UnixMilli() }
		servers := []coldstart.Server{
			{Name: "sound", Place: "z", Born: started(time.Hour), Row: 1},
			{Name: "recent", Place: "y", Born: started(coldTime + 9*time.Second), Row: 1},
			{Name: "ahead", Place: "y", Born: started(-time.Minute), Row: 1},
			{Name: "row", Place: "y", Born: started(time.Hour), Remaining: 500 * time.Millisecond, Row: 1},
			{Name: "plain", Service: "plain", Place: "z", Born: started(0), Remaining: time.Second, Row: 1},
		}
		l := newLimiter()
		expect := func(names ...string) {
			t.Helper()
			cold := l.ColdServers()
			slices.Sort(cold)
			is.Equal(cold, names)
		}
		l.Observe(servers)
		expect("ahead", "recent", "row")
		time.Sleep(600 * time.Millisecond)
		l.Observe(servers) // The same rows, with a remaining time that has passed.
		expect("ahead", "recent")
		time.Sleep(coldTime)
		expect()
		servers[3].Row, servers[0].Born = 2, started(2*time.Hour) // A new row; a new process, whatever its clock says.
		l.Observe(servers)
		expect("row", "sound")
		time.Sleep(coldTime)
		l.Observe(servers[1:])
		l.Observe(servers) // The row of a process lapsed and came back.
		l.RecordResponse("recent", time.Second)
		expect("recent")
		time.Sleep(coldTime)
		l.MarkCold("z")
		expect("sound")
		_, err := l.Acquire(t.Context(), "plain", 0)
		is.NoErr(err)
		_, err = l.Acquire(t.Context(), "sound", 0)
		is.True(err != nil)
		time.Sleep(coldTime)
		_, err = l.Acquire(t.Context(), "sound", 0)
		is.NoErr(err)
	})
}

// Guards against permits that exceed a narrow bound as soon as routers stand in for the issuer, and against a rate that
// is lowered without need.
func TestLimitKeepsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := coldstart.Terms{Duration: time.Second, Rate: rapid.Float64Range(0.1, 100).Draw(t, "rate")}
		bound := coldstart.Bound{Factor: rapid.Float64Range(1, 2).Draw(t, "factor"), Slack: rapid.Float64Range(4, 10).Draw(t, "slack")}
		most := bound.Factor*before.Rate + bound.Slack
		rate := before.Limit(bound).Rate
		perSecond := func(rate float64) float64 { return math.Ceil(rate) + 3*math.Ceil(rate/3) }
		if perSecond(rate) > most {
			t.Fatalf("rate %v sends %v requests in a second, allowed %v", rate, perSecond(rate), most)
		}
		if rate < before.Rate && perSecond(before.Rate) <= most {
			t.Fatalf("rate %v lowered to %v", before.Rate, rate)
		}
	})
	is.New(t).Equal(terms.Limit(coldstart.Bound{Factor: 1.5, Slack: 5}), terms)
}
