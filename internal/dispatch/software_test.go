package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/dispatch"
	"citronslip/internal/resume"
	"citronslip/internal/store"
)

// twoVersions returns two servers of each of two software versions.
func twoVersions() []dispatch.Server {
	return []dispatch.Server{
		{Name: "a", Service: "s", Born: 1, Software: "v1"}, {Name: "b", Service: "s", Born: 1, Software: "v2"},
		{Name: "c", Service: "s", Born: 1, Software: "v1"}, {Name: "d", Service: "s", Born: 1, Software: "v2"},
	}
}

// newTestStreams returns a tracker for the only router of a fleet, which has known the servers for an hour.
func newTestStreams(servers []dispatch.Server) *resume.Tracker {
	logger := zerolog.Nop()
	t := &resume.Tracker{
		Members:    func() []string { return nil },
		Joined:     func() bool { return true },
		Store:      &store.Memory{},
		Current:    func(context.Context) bool { return true },
		Leads:      func() bool { return false },
		StoreClock: func() time.Duration { return time.Second },
		Now:        time.Now,
		Logger:     &logger,
		Metrics:    tally.NoopScope,
	}
	t.Now = func() time.Time { return time.Now().Add(-time.Hour) }
	t.Observe(dispatch.Origins(servers))
	t.Now = time.Now
	return t
}

// Guards against events of two software versions in one answer when its stream moves to another server.
func TestMovedStreamStaysAtItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	for i := range 20 {
		b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				return brokenAnswer(eventText(1, 2))
			}
			return completeAnswer(eventText(3, 4))
		})
		b.Pool.Picker.Rand = func() float64 { return float64(i) / 20 }
		b.Pool.Update(twoVersions())
		a := b.serve("/stream/1")
		is.True(a.ended)
		is.Equal(a.body.String(), eventText(1, 4))
		is.Equal(b.sends[0].Server.Software, b.sends[1].Server.Software)
	}
}

// Guards against a stream that goes on at another software version for lack of a server of its own.
func TestStreamEndsWithoutServerOfItsSoftwareVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2"}, {"", "v2"}, {"v1", ""}} {
		t.Run(fmt.Sprint(versions), func(t *testing.T) {
			is := is.New(t)
			b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return brokenAnswer(eventText(1, 2)) })
			b.Pool.Update([]dispatch.Server{
				{Name: "a", Service: "s", Born: 1, Software: versions[0]}, {Name: "b", Service: "s", Born: 1, Software: versions[1]},
			})
			a := b.serve("/stream/1")
			is.True(a.aborted)
			is.Equal(a.body.String(), eventText(1, 2))
			is.Equal(len(b.sends), 1)
		})
	}
}

// Guards against keeping a request that has no events yet at the software version of its first server.
func TestRequestWithoutEventsMayGoToAnySoftwareVersion(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return brokenAnswer("id: 1\nda")
		}
		return completeAnswer(eventText(1, 4))
	})
	b.Pool.Update([]dispatch.Server{
		{Name: "a", Service: "s", Born: 1, Software: "v1"}, {Name: "b", Service: "s", Born: 1, Software: "v2"},
	})
	a := b.serve("/stream/1")
	is.True(a.ended)
	is.Equal(a.body.String(), eventText(1, 4))
}

// Guards against joining events of a process that has taken the place of the server with another software version.
func TestStreamDoesNotGoOnAtRestartedServerOfAnotherVersion(t *testing.T) {
	is := is.New(t)
	var b *testDispatcher
	b = newTestDispatcher(func(_ context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
		switch number {
		case 1:
			return brokenAnswer(eventText(1, 2))
		case 2:
			servers := twoVersions()
			for i := range servers {
				if servers[i].Name == a.Server.Name {
					servers[i].Born, servers[i].Software = 2, "v3"
				}
			}
			b.Pool.Update(servers)
		}
		return completeAnswer(eventText(3, 4))
	})
	b.Pool.Update(twoVersions())
	a := b.serve("/stream/1")
	is.True(a.aborted)
	is.Equal(a.body.String(), eventText(1, 2))
}

// takeUp serves a request that takes a stream up after its second event.
func (b *testDispatcher) takeUp(first string) *callerResponse {
	r := request("/stream/1")
	r.ID, r.Resumes, r.LastEvent = "second", first, "2"
	a := &callerResponse{}
	b.Serve(context.Background(), r, a)
	return a
}

// Guards against events of two software versions over the requests with which a caller takes its stream up.
func TestStreamIsTakenUpAtItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	servers := append(twoVersions(), dispatch.Server{Name: "e", Service: "s", Software: "v1"}, dispatch.Server{Name: "f", Service: "s", Software: "v2"})
	for i := range 20 {
		b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
			if number < 3 {
				return brokenAnswer(eventText(number, number))
			}
			return completeAnswer(eventText(3, 4))
		})
		b.Pool.Picker.Rand = func() float64 { return float64(i) / 20 }
		b.Pool.Update(servers)
		b.Streams.Observe(dispatch.Origins(servers))
		is.True(b.serve("/stream/1").aborted)
		a := b.takeUp("id")
		is.True(a.ended)
		is.Equal(a.body.String(), eventText(3, 4))
		for _, attempt := range b.sends {
			is.Equal(attempt.Server.Software, b.sends[0].Server.Software)
		}
	}
}

// Guards against a guess of the software version, and against a refusal while only one version serves.
func TestStreamOfUnknownSoftwareVersionIsRefused(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return completeAnswer(eventText(3, 4)) })
	is.True(b.takeUp("of the only version").ended)
	b.Pool.Update(twoVersions())
	b.Streams.Observe(dispatch.Origins(twoVersions()))
	b.sends = nil
	for _, first := range []string{"gone", ""} {
		a := b.takeUp(first)
		is.Equal(a.refusal.Reason, dispatch.StreamUnknown)
		is.True(a.refusal.Reason.NotExecuted())
	}
	is.Equal(len(b.sends), 0)
}
