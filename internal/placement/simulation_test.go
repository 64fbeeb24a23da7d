package placement_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"pgregory.net/rapid"

	"citronslip/internal/board"
	"citronslip/internal/placement"
	"citronslip/internal/table"
	"citronslip/internal/weights"
)

const (
	commandDelay = 10 * time.Second
	loadTime     = 5 * time.Second
)

var (
	errAnswerLost = errors.New("answer lost")
	minReady      = map[string]int{"a": 2, "b": 1}
)

type (
	// engine is a simulated engine.
	engine struct {
		fences  bool
		state   placement.EngineState
		readyAt time.Time
	}

	// inFlightCommand is a command that has not reached its engine yet.
	inFlightCommand struct {
		server string
		placement.Command
		deadline time.Time
	}

	// candidate is a router that competes for the lease.
	candidate struct {
		*placement.Reconciler
		paused, stepping bool
	}

	// simulation runs several routers against simulated engines and a table with faults, on a simulated clock.
	simulation struct {
		t                      *rapid.T
		now                    time.Time
		faultFree, nestedPause bool // Whether nothing fails; whether a router is paused within its step.
		unboundedDelay         bool // Whether old commands may arrive after commandDelay; engines check fences then.
		table                  table.Memory
		engines                map[string]*engine
		servers                []string
		declared               placement.DeclaredState
		candidates             []*candidate
		inFlight               []inFlightCommand
		highestFence           uint64 // Highest fencing number of a command sent.
		engineMu               sync.Mutex
	}

	// engineClient is the connection of one router to the engines.
	engineClient struct {
		*simulation
		candidate *candidate
	}
)

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		unboundedDelay: rapid.Bool().Draw(t, "late"), engines: make(map[string]*engine),
	}
	sim.table.Now = func() time.Time { return sim.now }
	sim.table.Inject = sim.drawFault
	for i := range 4 {
		name := fmt.Sprintf("s%d", i)
		sim.servers = append(sim.servers, name)
		sim.engines[name] = &engine{fences: sim.unboundedDelay || i%2 == 0}
	}
	sim.drawDeclared()
	for i := range 3 {
		c := &candidate{}
		c.Reconciler = &placement.Reconciler{
			Service: "models", Instance: fmt.Sprintf("r%d", i), Table: &sim.table, Engines: engineClient{sim, c},
			Weights: &weights.Memory{Sizes: map[string]int64{"a@1": 10, "a@2": 10, "b@1": 5}}, Rate: 10,
			Declared: func() placement.DeclaredState { return sim.declared }, Term: 6 * time.Second, Delay: commandDelay, Stuck: time.Minute,
			Status: &board.Cell[placement.Status]{}, Now: func() time.Time { return sim.now },
		}
		sim.candidates = append(sim.candidates, c)
	}
	return sim
}

// drawDeclared draws new declared layouts. Each server has model a. At least two servers have model b, more than its
// minimum.
func (s *simulation) drawDeclared() {
	s.declared = placement.DeclaredState{Ready: minReady}
	for i, name := range s.servers {
		layout := placement.Layout{Role: "serve", Models: []placement.ModelVersion{{Name: "a", Version: s.drawVersion()}}}
		if i < 2 || rapid.Bool().Draw(s.t, "b") {
			layout.Models = append(layout.Models, placement.ModelVersion{Name: "b", Version: s.drawVersion()})
		}
		server := placement.Server{Name: name, Fences: s.engines[name].fences, Layout: layout}
		s.declared.Servers = append(s.declared.Servers, server)
	}
}

func (s *simulation) drawVersion() string {
	return rapid.SampledFrom([]string{"1", "2"}).Draw(s.t, "version")
}

func (s *simulation) drawFault(string) table.Fault {
	if s.faultFree {
		return table.FaultNone
	}
	s.pauseCandidate(true)
	faults := []table.Fault{table.FaultNone, table.FaultNone, table.FaultNone, table.FaultRefuse, table.FaultLose}
	return rapid.SampledFrom(faults).Draw(s.t, "fault")
}

// pauseCandidate may pause the calling router in the middle of its step while the others go on.
func (s *simulation) pauseCandidate(allowLong bool) {
	if s.faultFree || s.nestedPause || rapid.IntRange(0, 5).Draw(s.t, "pause") > 0 {
		return
	}
	s.nestedPause = true
	defer func() { s.nestedPause = false }()
	lengths := []int{1, 8}
	if allowLong {
		lengths = append(lengths, 60)
	}
	s.runSeconds(rapid.SampledFrom(lengths).Draw(s.t, "seconds"))
}

// State returns the state of an engine.
func (e engineClient) State(_ context.Context, server string) (placement.EngineState, error) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.engines[server].state, nil
}

// Command sends a command, which may be dropped, refused, delayed, or carried out without an answer.
func (e engineClient) Command(_ context.Context, server string, command placement.Command) error {
	e.highestFence = max(e.highestFence, command.Fence)
	inFlight := inFlightCommand{server: server, Command: command, deadline: e.now.Add(commandDelay)}
	e.requireLatestFence(command.Fence)
	e.pauseCandidate(e.unboundedDelay)
	outcome := "ok"
	if !e.faultFree {
		outcome = rapid.SampledFrom([]string{"ok", "ok", "lost", "dropped", "delayed", "delayed", "refused"}).Draw(e.t, "fate")
	}
	switch outcome {
	case "refused":
		return placement.ErrRefused
	case "dropped":
		return errAnswerLost
	case "delayed":
		e.inFlight = append(e.inFlight, inFlight)
		return errAnswerLost
	case "lost":
		_ = e.deliver(inFlight)
		return errAnswerLost
	}
	return e.deliver(inFlight)
}

// requireLatestFence requires that no other router has taken the lease when a command is sent.
func (s *simulation) requireLatestFence(fence uint64) {
	faultFree := s.faultFree
	s.faultFree = true
	defer func() { s.faultFree = faultFree }()
	stored, err := s.table.Get(context.Background(), "lease/models")
	var row struct{ Fence uint64 }
	if err != nil || json.Unmarshal(stored.Value, &row) != nil || row.Fence > fence {
		s.t.Fatalf("command with fencing number %d sent while the lease row is %+v, %v", fence, row, err)
	}
}

// deliver lets an engine act on a command. No model may drop from its minimum of ready servers, or more, to fewer.
func (s *simulation) deliver(command inFlightCommand) error {
	target := s.engines[command.server]
	if target.fences {
		if command.Fence < target.state.Fence {
			return placement.ErrFenced
		}
		target.state.Fence = command.Fence
	}
	if slices.Equal(target.state.Models, command.Layout.Models) && target.state.Role == command.Layout.Role {
		return nil
	}
	before := s.readyByModel()
	target.state.Layout, target.state.Ready, target.readyAt = command.Layout, false, s.now.Add(loadTime)
	for model, count := range s.readyByModel() {
		if count < minReady[model] && count < before[model] && before[model] >= minReady[model] {
			s.t.Fatalf("command with fencing number %d left %d ready servers of model %s", command.Fence, count, model)
		}
	}
	return nil
}

// readyByModel returns the number of ready servers of each model.
func (s *simulation) readyByModel() map[string]int {
	ready := map[string]int{"a": 0, "b": 0}
	for _, e := range s.engines {
		for _, version := range e.state.Models {
			if e.state.Ready {
				ready[version.Name]++
			}
		}
	}
	return ready
}

// tick advances the time by one second. A delayed command arrives when the command delay ends. With unboundedDelay the
// command of a former holder stays in flight until deliverMatching selects it.
func (s *simulation) tick() {
	s.now = s.now.Add(time.Second)
	for _, e := range s.engines {
		if len(e.state.Models) > 0 && !e.readyAt.After(s.now) {
			e.state.Ready = true
		}
	}
	s.deliverMatching(func(command inFlightCommand) bool {
		return !s.now.Before(command.deadline) && (!s.unboundedDelay || command.Fence == s.highestFence)
	})
}

// deliverMatching delivers the delayed commands that match.
func (s *simulation) deliverMatching(matches func(inFlightCommand) bool) {
	var rest, arrived []inFlightCommand
	for _, command := range s.inFlight {
		if matches(command) {
			arrived = append(arrived, command)
			continue
		}
		rest = append(rest, command)
	}
	s.inFlight = rest
	for _, command := range arrived {
		_ = s.deliver(command)
	}
}
