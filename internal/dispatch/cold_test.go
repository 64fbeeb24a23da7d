package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/coldstart"
	"citronslip/internal/dispatch"
	"citronslip/internal/wire"
)

const (
	coldTime = 3 * time.Second
)

// newColdDispatcher returns a dispatcher of a single router with more cold servers than one request tries, and with the
// server "warm".
func newColdDispatcher() *testDispatcher {
	logger := zerolog.Nop()
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return completeAnswer("answer") })
	b.Cold = &coldstart.Limiter{
		Address: "10.0.0.1:1", Now: time.Now, Logger: &logger, Metrics: tally.NoopScope,
		View:    func() ([]string, bool) { return nil, true },
		NewsAge: func() time.Duration { return 0 },
		Terms:   func(string) coldstart.Terms { return coldstart.Terms{Duration: coldTime, Rate: 0.9} },
	}
	born := time.Now().UnixMilli()
	servers := []dispatch.Server{{Name: "warm", Service: "s", Born: 1}}
	cold := []coldstart.Server{{Name: "warm", Service: "s", Born: 1}}
	for i := range 50 {
		name := fmt.Sprintf("cold%d", i)
		servers = append(servers, dispatch.Server{Name: name, Service: "s", Born: born})
		cold = append(cold, coldstart.Server{Name: name, Service: "s", Born: born})
	}
	b.Pool.Update(servers)
	b.Cold.Observe(cold)
	return b
}

// Guards against requests that are refused because many cold servers look idle, while another server takes them, and
// against requests without a permit.
func TestColdServersArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newColdDispatcher()
		counts := make(map[string]int)
		for begin := time.Now(); time.Since(begin) < coldTime; time.Sleep(5 * time.Millisecond) {
			response := &callerResponse{}
			b.Serve(t.Context(), request("/safe/1"), response)
			if !response.ended {
				t.Fatalf("refused: %+v", response.refusal)
			}
		}
		for _, a := range b.sends {
			counts[a.Server.Name]++
			if a.Server.Name != "warm" && !a.Permitted {
				t.Fatalf("sent to %s without a permit", a.Server.Name)
			}
		}
		for name, n := range counts {
			if name != "warm" && n > 2 {
				t.Errorf("%d requests to %s", n, name)
			}
		}
	})
}

// refusingIssuers stands for other routers whose permits are all taken.
type refusingIssuers struct{}

func (refusingIssuers) Take(context.Context, string, wire.ColdstartTake) (wire.ColdstartAnswer, error) {
	time.Sleep(time.Millisecond)
	return wire.ColdstartAnswer{Issuer: true, Wait: int((2 * time.Second).Microseconds())}, nil
}

// Guards against a request that is refused after it was refused permits for many cold servers, or that asks for all of
// them, although another server takes it.
func TestRequestAsksForFewColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newColdDispatcher()
		b.Cold.View = func() ([]string, bool) { return []string{"10.0.0.2:1", "10.0.0.3:1"}, false }
		b.Cold.Peers = refusingIssuers{}
		begin := time.Now()
		is.True(b.serve("/safe/1").ended)
		is.Equal(b.sends[0].Server.Name, "warm")
		is.True(time.Since(begin) < 10*time.Millisecond)
	})
}

// Guards against a refusal that comes late or names no time, or a time after the cold start, if all servers are cold, and
// against a cold start without an end.
func TestRetryAfterOfColdServersIsTruthful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newColdDispatcher()
		b.Cold.MarkCold("") // The warm server, too.
		begin := time.Now()
		refused := 0
		for time.Since(begin) < coldTime {
			response := &callerResponse{}
			sent := time.Now()
			b.Serve(t.Context(), request("/safe/1"), response)
			if response.refusal == nil {
				continue
			}
			refused++
			is.Equal(response.refusal.Reason, dispatch.RateLimited)
			is.True(time.Since(sent) < 10*time.Millisecond)
			is.True(response.refusal.After > 0 && response.refusal.After <= time.Until(begin.Add(coldTime)))
			time.Sleep(10 * time.Millisecond)
		}
		is.True(refused > 0)
		is.True(b.serve("/safe/1").ended)
	})
}
