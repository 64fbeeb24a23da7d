package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/pkg/inventory"
)

const (
	// healthStepInterval is the time between two looks for health checks that are due.
	healthStepInterval = 100 * time.Millisecond
	// maxHealthStarts is the number of checks that begin in one step, and maxHealthChecks that of those in flight. After a
	// partition hundreds of servers may be due at once.
	maxHealthStarts = 2
	maxHealthChecks = 8
	// healthTimeout limits one check, which may wait for a slot of the server.
	healthTimeout = 2 * time.Second
)

type (
	// HealthChecker asks backend servers for their health.
	HealthChecker interface {
		// CheckHealth sends a request to the health path of a server. The server is healthy if the outcome is a successful
		// Answered, whose body is closed already.
		CheckHealth(ctx context.Context, server *Server, path string) Outcome
	}

	// HealthProber checks the health of servers whose circuits no request can probe. Set the fields before Run.
	HealthProber struct {
		Dispatcher *Dispatcher
		Checker    HealthChecker
		Directory  *board.Cell[inventory.Directory]
		Logger     *zerolog.Logger
		Metrics    tally.Scope
	}
)

// Run checks servers until the context ends. It always returns nil.
func (h *HealthProber) Run(ctx context.Context) error {
	slots := make(chan struct{}, maxHealthChecks)
	var group sync.WaitGroup
	defer group.Wait()
	for delay.Sleep(ctx, healthStepInterval) {
		for _, name := range h.due(maxHealthChecks - len(slots)) {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				h.check(ctx, name)
			})
		}
	}
	return nil
}

// due returns the names of the servers to check now.
func (h *HealthProber) due(free int) []string {
	directory := h.Directory.Load()
	if directory == nil || free == 0 {
		return nil
	}
	return h.Dispatcher.Pool.Picker.BeginHealthChecks(min(free, maxHealthStarts), func(service string) bool {
		s := directory.Service(service)
		return s != nil && s.HealthPath != ""
	})
}

// check checks the health of a server. What the server asked of this router holds for the check as for any request. As
// health responses may be wrong, they change nothing else: a pause that each of them asks for would keep the server out.
func (h *HealthProber) check(ctx context.Context, name string) {
	picker := h.Dispatcher.Pool.Picker
	healthy := false
	defer func() { picker.EndHealthCheck(name, healthy) }()
	server := h.Dispatcher.Pool.named(name)
	if server == nil {
		return
	}
	service := h.Directory.Load().Service(server.Service)
	if service == nil || service.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	permission, err := h.Dispatcher.Carry(ctx, server.Address, false)
	if err != nil {
		return
	}
	outcome := h.Checker.CheckHealth(ctx, server, service.HealthPath)
	if o, ok := outcome.(Refused); ok && !o.Misdirected && !o.Withheld {
		permission.observe(false, o.Limit) // Brittle servers count it as a rejection.
		h.Dispatcher.Cold.RecordResponse(name, o.Cold)
	}
	answered, ok := outcome.(Answered)
	h.Dispatcher.Cold.RecordResponse(name, answered.Cold)
	healthy = ok && answered.Success
	result := "unhealthy"
	if healthy {
		result = "healthy"
	}
	h.Metrics.Tagged(map[string]string{"result": result}).Counter("health_checks").Inc(1)
	line := event.HealthChecked.Log(h.Logger).Str("server", name).Bool("healthy", healthy)
	switch o := outcome.(type) {
	case NotSent:
		line = line.Err(o.Err)
	case NoResponse:
		line = line.Err(o.Err)
	case Answered, Refused:
	}
	line.Send()
}
