package placement_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/board"
	"citronslip/internal/placement"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

// Guards against commands that leave a model with fewer ready servers than its minimum, commands of a former lease
// holder that take effect, and servers that never reach their declared layouts. Routers pause at any point, answers of
// the table are lost, and commands are dropped, refused, delayed, or carried out without an answer.
func TestServersConvergeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"step":    func(*rapid.T) { sim.stepOne() },
			"steps":   func(*rapid.T) { sim.runSeconds(5) },
			"minute":  func(*rapid.T) { sim.runSeconds(40) },
			"tick":    func(*rapid.T) { sim.tick() },
			"pause":   func(*rapid.T) { c := sim.drawCandidate(); c.paused = !c.paused },
			"declare": func(*rapid.T) { sim.drawDeclared() },
			"land":    func(*rapid.T) { sim.deliverOne() },
		})
		sim.checkConvergence()
	})
}

func (s *simulation) drawCandidate() *candidate {
	return s.candidates[rapid.IntRange(0, len(s.candidates)-1).Draw(s.t, "holder")]
}

func (s *simulation) stepOne() {
	s.stepCandidate(s.drawCandidate())
}

// stepCandidate runs one step of a router, unless the router is paused or already in a step.
func (s *simulation) stepCandidate(c *candidate) {
	if c.paused || c.stepping {
		return
	}
	c.stepping = true
	defer func() { c.stepping = false }()
	_ = c.Step(context.Background())
}

// runSeconds advances the time by count seconds. All routers step in every other second.
func (s *simulation) runSeconds(count int) {
	for range count {
		s.tick()
		if s.now.Second()%2 > 0 {
			continue
		}
		for _, c := range s.candidates {
			s.stepCandidate(c)
		}
	}
}

// deliverOne delivers one of the delayed commands.
func (s *simulation) deliverOne() {
	if len(s.inFlight) == 0 {
		return
	}
	chosen := s.inFlight[rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "command")]
	s.deliverMatching(func(command inFlightCommand) bool {
		return command.server == chosen.server && command.deadline == chosen.deadline
	})
}

// checkConvergence ends the faults, delivers all commands, and requires that all servers reach their declared layouts.
func (s *simulation) checkConvergence() {
	s.faultFree = true
	for _, c := range s.candidates {
		c.paused = false
	}
	s.runSeconds(30)
	s.deliverMatching(func(inFlightCommand) bool { return true })
	s.runSeconds(140)
	for _, server := range s.declared.Servers {
		e := s.engines[server.Name]
		same := len(e.state.Models) == len(server.Layout.Models) && e.state.Ready
		for i := range server.Layout.Models {
			same = same && e.state.Models[i] == server.Layout.Models[i]
		}
		if !same {
			s.t.Fatalf("%s runs %+v, declared is %+v; status shows %+v", server.Name, e.state, server.Layout, s.differences())
		}
	}
	if remaining := s.differences(); len(remaining) > 0 {
		s.t.Fatalf("status shows differences: %+v", remaining)
	}
}

// differences returns the differences in the status of the lease holder.
func (s *simulation) differences() []placement.Difference {
	for _, c := range s.candidates {
		if status := c.Status.Load(); status.Leader {
			return status.Differences
		}
	}
	s.t.Fatal("no router holds the lease")
	return nil
}

// Guards against a declared state without the versions and adapters of the models.
func TestDeclareKeepsVersionsAndAdapters(t *testing.T) {
	is := is.New(t)
	inv := inventory.Inventory{
		Models: []inventory.Model{
			{Name: "plan", Service: "models", Version: "3", Adapters: []string{"roses"}, MinReady: 2},
			{Name: "other", Service: "else", Version: "1"},
		},
		Backends: []inventory.BackendServer{
			{Name: "s1", Service: "models", EnforcesFencing: true, Models: []string{"plan"}},
			{Name: "s2", Service: "else", Models: []string{"other"}},
		},
	}
	declared := placement.DeclaredStateOf(&inv, "models")
	is.Equal(declared.Ready, map[string]int{"plan": 2})
	is.Equal(len(declared.Servers), 1)
	is.Equal(declared.Servers[0].Layout, placement.Layout{
		Role:     inventory.RoleServe,
		Models:   []placement.ModelVersion{{Name: "plan", Version: "3"}},
		Adapters: []string{"roses"},
	})
}

// Guards against a delayed command of a former lease holder that takes effect on an engine that checks fencing numbers,
// but that has received no command from the new holder, since its layout was already as declared.
func TestEnginesRefuseCommandsOfFormerHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.faultFree = true
		sim.runSeconds(90)
		formerFence := sim.highestFence
		for _, c := range sim.candidates {
			c.paused = c.Status.Load().Leader
		}
		sim.runSeconds(60)
		for name, e := range sim.engines {
			command := placement.Command{Fence: formerFence, Layout: placement.Layout{Role: "serve"}}
			if e.fences && !errors.Is(sim.deliver(inFlightCommand{server: name, Command: command}), placement.ErrFenced) {
				t.Fatalf("%s accepted a command with the former fencing number %d", name, formerFence)
			}
		}
	})
}

// Guards against several servers that fetch weights at once and together exceed the fetch rate of the service.
func TestFetchesStayWithinWeightRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.faultFree = true
		for range 120 {
			loaded := sim.countLoaded()
			sim.runSeconds(1)
			if sim.countLoaded() > loaded+1 {
				t.Fatalf("%d servers fetch at once", sim.countLoaded()-loaded)
			}
		}
		if sim.countLoaded() != len(sim.servers) {
			t.Fatalf("%d servers were sent a layout with models", sim.countLoaded())
		}
	})
}

// countLoaded counts the servers that have been sent a layout with models.
func (s *simulation) countLoaded() int {
	count := 0
	for _, e := range s.engines {
		if len(e.state.Models) > 0 {
			count++
		}
	}
	return count
}

// Guards against a planned stop after which the next holder has to wait until the lease expires.
func TestResignReleasesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var rows table.Memory
		var status board.Cell[placement.Status]
		start := func(ctx context.Context, name string) chan error {
			r := placement.Reconciler{Service: "models", Instance: name, Table: &rows, Status: &status}
			r.Declared = func() placement.DeclaredState { return placement.DeclaredState{} }
			done := make(chan error, 1)
			go func() { done <- r.Run(ctx) }()
			return done
		}
		first, stopFirst := context.WithCancel(t.Context())
		done := start(first, "r1")
		synctest.Wait()
		is.True(status.Load().Leader)
		stopFirst()
		is.NoErr(<-done)
		second, stopSecond := context.WithCancel(t.Context())
		done = start(second, "r2")
		synctest.Wait()
		is.True(status.Load().Leader)
		is.Equal(status.Load().Fence, uint64(2))
		stopSecond()
		is.NoErr(<-done)
	})
}
