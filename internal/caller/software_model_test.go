package caller_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

type (
	// softwareScenario is one run of streams while the processes of the servers are replaced.
	softwareScenario struct {
		software   []string // Initial software version of each server; empty if it does not tell.
		persistent bool     // Whether servers still know the attempts of the process before.
		streams    []streamScenario
	}

	// streamScenario is one stream.
	streamScenario struct {
		polled bool             // Whether load reports come before it.
		keyed  bool             // Whether it has an idempotency key, under which it is sent once more.
		breaks []int            // Events after which its attempts break off; negative for a whole answer.
		after  [][]serverChange // What happens to the servers at each break.
	}

	// serverChange is what happens to a server when a stream breaks off.
	serverChange struct {
		server   int
		stops    bool   // Whether it aborts all requests from then on, until the end of the stream.
		software string // Software version of its next process if it does not stop.
	}
)

func drawSoftwareScenario(t *rapid.T) softwareScenario {
	version := rapid.SampledFrom([]string{"", "1", "2"})
	scenario := softwareScenario{
		software:   rapid.SliceOfN(version, 1, 5).Draw(t, "software"),
		persistent: rapid.Bool().Draw(t, "persistent"),
	}
	change := rapid.Custom(func(t *rapid.T) serverChange {
		return serverChange{
			server:   rapid.IntRange(1, len(scenario.software)).Draw(t, "server"),
			stops:    rapid.Bool().Draw(t, "stops"),
			software: version.Draw(t, "version"),
		}
	})
	scenario.streams = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) streamScenario {
		return streamScenario{
			polled: rapid.Bool().Draw(t, "polled"),
			keyed:  rapid.Bool().Draw(t, "keyed"),
			breaks: rapid.SliceOfN(rapid.IntRange(-1, answerEvents), 0, 3).Draw(t, "breaks"),
			after:  rapid.SliceOfN(rapid.SliceOfN(change, 0, 3), 3, 3).Draw(t, "after"),
		}
	}), 1, 6).Draw(t, "streams")
	return scenario
}

// play plays a scenario in a synctest bubble and returns the first violation, or an empty string.
func (s softwareScenario) play(t *testing.T) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		engines := newScriptedEngines(s.software...)
		engines.persistent = s.persistent
		f := newTestFrontendFor(t, engines.inventory(), engines)
		defer f.close()
		f.front.Retrier.Ratio = retriesPerRequest
		client := f.client(false)
		for i, stream := range s.streams {
			stream.prepare(engines)
			if stream.polled {
				f.poll(engines)
			}
			var headers []string
			if stream.keyed {
				headers = []string{"Idempotency-Key", fmt.Sprint("key", i)}
			}
			first, err := f.stream(client, headers...)
			if violation = first.violation(err); violation != "" {
				return
			}
			engines.settle()
			time.Sleep(idleTimeout / 2) // Virtual time, after which open circuits are probed again.
			if !stream.keyed {
				continue
			}
			second, err := f.stream(client, headers...)
			if violation = second.violation(err); violation != "" {
				return
			}
			if first.complete && !(second.complete && slices.Equal(first.writers, second.writers)) {
				violation = fmt.Sprintf("%+v was recorded as %+v", first, second)
				return
			}
		}
	})
	return violation
}

// prepare makes the servers follow the scenario of the next stream.
func (s streamScenario) prepare(engines *scriptedEngines) {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	engines.breaks = slices.Clone(s.breaks)
	after := slices.Clone(s.after)
	engines.onBreak = func(string) {
		for _, change := range after[0] {
			name := fmt.Sprint("planner", change.server)
			if change.stops {
				engines.servers[name].down = true
				continue
			}
			engines.replace(name, change.software)
		}
		after = after[1:]
	}
}

// settle ends the scenario of a stream: all servers run and break nothing off.
func (e *scriptedEngines) settle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaks = nil
	for _, server := range e.servers {
		server.down = false
	}
}

// violation returns what is wrong with an answer, or an empty string.
func (a streamedAnswer) violation(err error) string {
	switch {
	case err != nil:
		return err.Error()
	case len(a.distinctWriters()) > 1:
		return fmt.Sprintf("joined: %+v", a)
	case a.status == http.StatusOK && a.complete == a.failed:
		return fmt.Sprintf("neither complete nor failed: %+v", a)
	case a.status != http.StatusOK && a.status < http.StatusBadRequest:
		return fmt.Sprintf("no answer: %+v", a)
	}
	return ""
}

// Guards against an answer, also a recorded one, that processes of two software versions wrote, or one of a known
// version and one of an unknown, whatever is replaced, stopped or reported in between.
func TestNoAnswerHasTwoSoftwareVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violation := drawSoftwareScenario(rt).play(t); violation != "" {
			rt.Fatal(violation)
		}
	})
}
