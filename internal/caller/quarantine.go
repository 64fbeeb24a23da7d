package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/engine"
	"citronslip/internal/quarantine"
	"citronslip/internal/routing"
)

const (
	// crashProbeTimeout bounds the query whether a server that broke a connection is still running. It leaves time for
	// asking through another router after a connection could not be opened.
	crashProbeTimeout = 1500 * time.Millisecond
	// crashExitWindow is the time that a crashing server gets to stop answering before it is queried.
	crashExitWindow = 20 * time.Millisecond
	// maxServerListWait is the longest wait after changes of the server list. If the guard asks for a longer one, a
	// request that is not suspected of crashing servers proceeds.
	maxServerListWait = 2 * time.Second
)

// pickServer picks a backend server for an attempt, within the limits on requests that may crash servers. While no
// server accepts work, it waits until the call's startDeadline.
func (c *call) pickServer(ctx context.Context, request *routing.Request) (*routing.Choice, quarantine.AdmittedCopy, *Refusal) {
	request.Explain = &routing.Explanation{}
	for {
		choice, err := c.front.Picker.Pick(request)
		if err == nil {
			admitted, pinned, refusal := c.admitExecution(ctx, request, choice)
			if pinned != nil || refusal != nil {
				return pinned, admitted, refusal
			}
			err = routing.ErrUnavailable
		}
		if errors.Is(err, routing.ErrNoServer) && request.Version != "" {
			// During a version change no server may have loaded the new version yet. Until then the old one is used.
			request.Version = ""
			continue
		}
		if c.noServerRuns(request) {
			return nil, quarantine.AdmittedCopy{}, noSoftwareRefusal(request.Software)
		}
		if errors.Is(err, routing.ErrNoServer) || time.Now().After(c.startDeadline) || !delay.Sleep(ctx, pickRetryInterval) {
			return nil, quarantine.AdmittedCopy{}, noServerRefusal(err)
		}
		// Servers that were tried before may accept work by now.
		request.Tried = nil
	}
}

// admitExecution asks the quarantine guard where the request may run and returns a choice of that server. If there is
// neither a choice nor a refusal, the request cannot run now.
func (c *call) admitExecution(
	ctx context.Context, request *routing.Request, choice *routing.Choice,
) (quarantine.AdmittedCopy, *routing.Choice, *Refusal) {
	if c.fingerprint == "" || c.front.Guard == nil {
		return quarantine.AdmittedCopy{}, choice, nil
	}
	decision, err := c.front.Guard.Admit(ctx, quarantine.Request{
		Fingerprint: c.fingerprint,
		Server:      choice.Server.Name,
		Scope:       c.serverSetName(),
		Servers:     c.declaredServers(),
	})
	if err != nil {
		choice.Done(routing.Cancelled{})
		message := "the request crashed a backend server before and cannot be tried while the table does not answer"
		return quarantine.AdmittedCopy{}, nil, newRetryableRefusal(http.StatusServiceUnavailable, CodeQuarantine, message, time.Second)
	}
	switch decision := decision.(type) {
	case quarantine.AdmittedCopy:
		return c.pinToServer(ctx, request, choice, decision)
	case quarantine.Quarantined:
		choice.Done(routing.Cancelled{})
		message := "the request is quarantined: backend servers crashed each time it ran"
		return quarantine.AdmittedCopy{}, nil, newRefusal(http.StatusUnprocessableEntity, CodeQuarantine, message)
	case quarantine.RetryLater:
		if decision.After > maxServerListWait && !c.isSuspect() {
			return c.front.Guard.AdmitUnplaced(c.fingerprint, choice.Server.Name), choice, nil
		}
		choice.Done(routing.Cancelled{})
		if time.Now().Add(decision.After).After(c.startDeadline) {
			message := "the request may have crashed a backend server: " + decision.Reason
			return quarantine.AdmittedCopy{}, nil, newRetryableRefusal(http.StatusServiceUnavailable, CodeQuarantine, message, decision.After)
		}
		delay.Sleep(ctx, decision.After)
		return quarantine.AdmittedCopy{}, nil, nil
	default:
		panic("unknown decision")
	}
}

// pinToServer returns a choice of the server of the slot that the guard assigned (see package quarantine), or nil if
// that server accepts no work now. In the latter case, a request that is not a suspect gives up the fixed slot and
// keeps the server that routing chose. A request that needs another software version than that server's is refused.
func (c *call) pinToServer(
	ctx context.Context, request *routing.Request, choice *routing.Choice, admitted quarantine.AdmittedCopy,
) (quarantine.AdmittedCopy, *routing.Choice, *Refusal) {
	if choice.Server.Name != admitted.Server {
		pinnedRequest := *request
		pinnedRequest.Only = admitted.Server
		pinnedRequest.Tried = nil
		pinnedChoice, err := c.front.Picker.Pick(&pinnedRequest)
		if err != nil && admitted.Slot == quarantine.SlotFixed && !admitted.Trial {
			c.cancelExecution(ctx, admitted)
			return c.front.Guard.AdmitUnplaced(c.fingerprint, choice.Server.Name), choice, nil
		}
		choice.Done(routing.Cancelled{})
		if err != nil {
			c.cancelExecution(ctx, admitted)
			if c.noServerRuns(&pinnedRequest) {
				return admitted, nil, noSoftwareRefusal(request.Software)
			}
			return admitted, nil, nil
		}
		choice = pinnedChoice
	}
	if !admitted.Trial {
		return admitted, choice, nil
	}
	load, err := c.queryLoad(ctx, choice.Server.Address)
	if err != nil {
		// A server that is already down must not count as crashed by the trial.
		choice.Done(routing.ConnectionRefused{})
		c.cancelExecution(ctx, admitted)
		return admitted, nil, nil
	}
	c.front.RecordProcess(admitted.Server, load)
	return admitted, choice, nil
}

// isSuspect reports whether the request is known to have crashed a server.
func (c *call) isSuspect() bool {
	_, suspect := c.front.Guard.Lookup(c.fingerprint)
	return suspect
}

// admissionExpired reports whether an attempt may no longer be sent, because its admission is too old or because the
// request has crashed a server in the meantime.
func (c *call) admissionExpired(a *attempt) bool {
	if a.admittedCopy.Fingerprint == "" || a.admittedCopy.Trial {
		return false
	}
	return c.isSuspect() || time.Now().After(a.admittedCopy.Until)
}

// queryLoad asks a backend server for its load.
func (c *call) queryLoad(ctx context.Context, address string) (engine.Load, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	return c.front.Engines.Load(ctx, address)
}

// cancelExecution tells the guard that an execution neither completed nor crashed its server.
func (c *call) cancelExecution(ctx context.Context, admitted quarantine.AdmittedCopy) {
	if admitted.Fingerprint == "" {
		return
	}
	// The guard retries if this fails.
	_ = c.front.Guard.RecordCancelled(context.WithoutCancel(ctx), admitted)
}

// finishExecution tells the guard that an execution completed.
func (c *call) finishExecution(ctx context.Context, admitted quarantine.AdmittedCopy) {
	if admitted.Fingerprint == "" {
		return
	}
	if c.front.Crashes != nil {
		c.front.Crashes.RecordFinished(c.content)
	}
	// The guard retries if this fails.
	_ = c.front.Guard.RecordFinished(context.WithoutCancel(ctx), admitted)
}

// handleBrokenExecution handles an execution whose connection broke. It counts as a crash unless the server answers and
// is still the same process: a crashed server may be running again within milliseconds.
func (c *call) handleBrokenExecution(ctx context.Context, a *attempt) {
	if a.admittedCopy.Fingerprint == "" {
		return
	}
	ctx = context.WithoutCancel(ctx)
	delay.Sleep(ctx, crashExitWindow)
	load, err := c.queryLoad(ctx, a.choice.Server.Address)
	if err == nil && a.serverProcess != "" && load.Start == a.serverProcess {
		c.cancelExecution(ctx, a.admittedCopy)
		return
	}
	c.recordCrash(a)
	c.front.Guard.RecordServerDown(a.admittedCopy.Server)
	// The guard retries if this fails; peers are notified at once.
	_ = c.front.Guard.RecordCrashed(ctx, []quarantine.AdmittedCopy{a.admittedCopy})
}

// serverSetName names the set of servers that may run the request.
func (c *call) serverSetName() string {
	return c.ruleDecision.Service + "/" + c.record.Model
}

// declaredServers returns the names of all declared servers that may run the request, whatever their state.
func (c *call) declaredServers() []string {
	backends := c.index.ServiceBackends(c.ruleDecision.Service)
	if c.record.Model != "" {
		backends = c.index.ModelBackends(c.record.Model)
	}
	var names []string
	for _, backend := range backends {
		if c.ruleDecision.AllowsPlace(backend.Place) {
			names = append(names, backend.Name)
		}
	}
	return names
}
