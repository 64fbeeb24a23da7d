package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/routing"
)

// Guards against servers that get their whole share of requests, or more, as soon as they are no longer cold: processes
// that restart under their names, and all servers of a data centre at once.
func TestShareRisesSlowlyAfterColdStart(t *testing.T) {
	for name, restart := range map[string]bool{"restart": true, "data centre that comes back": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &clock{time: time.Unix(1_000_000, 0)}
			p := &routing.Picker{Router: "r", Now: c.now}
			p.Update(servers(8))
			next := servers(8)
			for i := range next[:4] {
				if restart {
					next[i].Born = 7
				}
			}
			p.Update(next)
			c.time = c.time.Add(3 * time.Second)
			for _, s := range next[:4] {
				p.SlowStartFrom(s.Name, c.time)
			}
			var shares []float64
			var running []*routing.Choice
			for range 6 { // Periods of 5 s.
				returned := 0
				for range 500 {
					choice, err := p.Pick(&routing.Request{Service: "plan", Model: "garden", Prompt: 100, Idempotent: true})
					is.NoErr(err)
					choice.Started()
					if choice.Server.Name < "s4" {
						returned++
					}
					running = append(running, choice)
					if len(running) > 100 { // Each request takes 1 s, and teaches nothing about the server's speed.
						running[0].Done(routing.Cancelled{})
						running = running[1:]
					}
					c.time = c.time.Add(10 * time.Millisecond)
				}
				shares = append(shares, float64(returned)/500)
			}
			t.Logf("shares %.2f", shares)
			is.True(shares[0] < 0.25)
			is.True(shares[0] < shares[2] && shares[2] < shares[5])
			is.True(shares[5] > 0.4)
		})
	}
}
