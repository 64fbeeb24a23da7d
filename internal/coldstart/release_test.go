package coldstart_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"citronslip/internal/coldstart"
	"citronslip/internal/wire"
)

// earlierRelease is a client of routers that do not know the call for permits.
type earlierRelease struct{}

// Take implements coldstart.PeerClient.
func (earlierRelease) Take(context.Context, string, wire.ColdstartTake) (wire.ColdstartAnswer, error) {
	return wire.ColdstartAnswer{}, coldstart.ErrUnsupported
}

// Guards against cold servers that get no requests while their issuers are routers of an earlier release, and against routers
// that then together exceed the rate.
func TestIssuersOfEarlierRelease(t *testing.T) {
	const members, servers, seconds = 12, 20, 60
	synctest.Test(t, func(t *testing.T) {
		addresses := make([]string, members)
		for i := range addresses {
			addresses[i] = fmt.Sprintf("r%d", i)
		}
		permits := make(map[string]int)
		for i := range members / 2 { // The others are of the earlier release.
			l := newLimiter()
			l.Address, l.Peers = addresses[i], earlierRelease{}
			l.View = func() ([]string, bool) {
				return append(append([]string{}, addresses[:i]...), addresses[i+1:]...), true
			}
			l.Terms = func(string) coldstart.Terms { return coldstart.Terms{Duration: time.Hour, Rate: coldRate} }
			var known []coldstart.Server
			for s := range servers {
				known = append(known, coldstart.Server{Name: fmt.Sprintf("s%d", s), Born: time.Now().UnixMilli()})
			}
			l.Observe(known)
			for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, s := range known {
					if permit, err := l.Acquire(t.Context(), s.Name, 0); err == nil && permit.Issued {
						permits[s.Name]++
					}
				}
			}
		}
		for s := range servers {
			name := fmt.Sprintf("s%d", s)
			if n := permits[name]; n == 0 || float64(n) > coldRate*seconds*1.5 {
				t.Errorf("%s got %d permits in %d s at a rate of %g", name, n, seconds, coldRate)
			}
		}
	})
}
