package router

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/budget"
	"citronslip/internal/caller"
	"citronslip/internal/config"
	"citronslip/internal/memory"
	"citronslip/internal/operator"
	"citronslip/internal/table"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// fleetCallTimeout bounds a call to all routers, so that the status command answers within a second.
	fleetCallTimeout = 700 * time.Millisecond
	// maxFleetCalls bounds the routers that are called at the same time.
	maxFleetCalls = 64
	// maxFacts bounds the budget rows that are read to check a change. Reading more would take longer than an operator
	// waits. Budgets that are not checked are safe all the same: the grants controller never lets a total fall below
	// what was granted.
	maxFacts = 5000
	// factsPageSize is the number of rows of one scan.
	factsPageSize = 500
)

// buildOperatorServer creates the HTTP server for operators, if Settings.Admin is set.
func (r *Router) buildOperatorServer() error {
	if r.Settings.Admin == "" {
		return nil
	}
	credentials, err := readCredentials(r.Settings.Credential)
	if err != nil {
		return err
	}
	server := &operator.Server{
		Credentials: append(credentials, r.Credentials...),
		Status:      r.status,
		Explain:     r.explain,
		Burn:        r.burnReport,
		Apply:       r.apply,
		History:     r.history,
		Config:      r.configVersion,
		Facts:       r.budgetFacts,
		Metrics:     r.metrics,
		Logger:      r.Logger,
		Scope:       r.scope.SubScope("operator"),
	}
	r.operatorServer = &http.Server{
		Addr:              r.Settings.Admin,
		Handler:           r.operatorGuard.Handler(server.Handler()),
		ConnContext:       memory.ConnContext,
		ReadHeaderTimeout: r.Settings.Idle,
		IdleTimeout:       r.Settings.Idle,
		MaxHeaderBytes:    r.Settings.Header,
	}
	return nil
}

// serveOperators serves operators until the server is closed.
func (r *Router) serveOperators(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", r.Settings.Admin)
	if err != nil {
		return trace.Wrap(err)
	}
	return ignoreServerClosed(r.operatorServer.Serve(r.operatorGuard.Listener(listener)))
}

// readCredentials reads a file with one operator per line: a name and a credential in one of the forms that
// inventory.ParseKeyDigest accepts, usually its digest. Lines that begin with # are comments.
func readCredentials(file string) ([]operator.Credential, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var credentials []operator.Credential
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, trace.BadParameter("%s: each line must be a name and a digest such as sha256:...", file)
		}
		if _, err := inventory.ParseKeyDigest(fields[1]); err != nil {
			return nil, trace.Wrap(err, "%s: credential of %s", file, fields[0])
		}
		credentials = append(credentials, operator.Credential{Name: fields[0], Key: fields[1]})
	}
	return credentials, nil
}

// apply commits an operator's change as the next configuration version.
func (r *Router) apply(ctx context.Context, change operator.Change) (wire.ConfigVersion, error) {
	data, err := inventory.Encode(change.Inventory)
	if err != nil {
		return wire.ConfigVersion{}, trace.Wrap(err)
	}
	version, err := r.store.Commit(ctx, config.Change{
		Edited:    change.Base,
		Inventory: data,
		Identity:  change.ID,
		Author:    change.Author,
	})
	if err != nil {
		return wire.ConfigVersion{}, operatorError(err)
	}
	return toWireVersion(version), nil
}

// history returns up to limit configuration versions, newest first.
func (r *Router) history(ctx context.Context, limit int) ([]wire.ConfigVersion, error) {
	versions, err := r.store.History(ctx, limit)
	if err != nil {
		return nil, operatorError(err)
	}
	list := make([]wire.ConfigVersion, 0, len(versions))
	for _, version := range versions {
		list = append(list, toWireVersion(version))
	}
	return list, nil
}

// configVersion returns a configuration version and its inventory; number 0 means the newest.
func (r *Router) configVersion(ctx context.Context, number int) (wire.ConfigVersion, *inventory.Inventory, error) {
	head, err := r.store.Head(ctx)
	if err != nil {
		return wire.ConfigVersion{}, nil, operatorError(err)
	}
	digest := head.Digest
	if number != 0 && number != head.Number {
		digest, err = r.versionDigest(ctx, head.Number, number)
		if err != nil {
			return wire.ConfigVersion{}, nil, err
		}
	}
	version, err := r.store.Load(ctx, digest)
	if err != nil {
		return wire.ConfigVersion{}, nil, operatorError(err)
	}
	parsed, err := inventory.Decode(version.InventoryBytes())
	return toWireVersion(version), parsed, trace.Wrap(err)
}

func (r *Router) versionDigest(ctx context.Context, head, number int) (string, error) {
	if number < 1 || number > head {
		return "", trace.Wrap(operator.ErrNotFound, "version %d; the newest is %d", number, head)
	}
	versions, err := r.store.History(ctx, head-number+1)
	if err != nil {
		return "", operatorError(err)
	}
	for _, version := range versions {
		if version.Number == number {
			return version.Digest, nil
		}
	}
	return "", trace.Wrap(operator.ErrNotFound, "version %d", number)
}

// budgetFacts reads the granted and spent tokens of up to about maxFacts budgets from the table.
func (r *Router) budgetFacts(ctx context.Context) (inventory.RuntimeState, error) {
	facts := inventory.RuntimeState{}
	after := ""
	for read := 0; read < maxFacts; {
		rows, err := r.table.Scan(ctx, budget.RowPrefix, after, factsPageSize)
		if err != nil {
			return facts, operatorError(err)
		}
		for _, row := range rows {
			if err := addFact(&facts, row); err != nil {
				return facts, trace.Wrap(err)
			}
		}
		if len(rows) < factsPageSize {
			return facts, nil
		}
		after = rows[len(rows)-1].Key
		read += len(rows)
	}
	return facts, nil
}

// addFact adds the row of one budget to the facts.
func addFact(facts *inventory.RuntimeState, row table.Row) error {
	key, err := budget.ParseRowKey(row.Key)
	if err != nil {
		return trace.Wrap(err)
	}
	var total budget.Row
	if err := json.Unmarshal(row.Value, &total); err != nil {
		return trace.Wrap(err, "row %s", row.Key)
	}
	if facts.Budgets == nil {
		facts.Budgets = make(map[inventory.BudgetID]inventory.BudgetUsage)
	}
	id := inventory.BudgetID{Account: key.Account, Budget: key.Budget}
	facts.Budgets[id] = inventory.BudgetUsage{Granted: total.Granted, Spent: total.Closed}
	return nil
}

// explain returns the explanation of a request: from this router if it has one, else from one of the other routers. The
// identity of a request names the router that accepted it.
func (r *Router) explain(ctx context.Context, request string) (*wire.Explanation, error) {
	if record := r.front.Explain.Get(request); record != nil {
		explanation := caller.Explanation(record)
		return &explanation, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	var found *wire.Explanation
	var mu sync.Mutex
	r.callPeers(func(address string) {
		answer, err := r.peerClient.ExplainRequest(ctx, address, wire.RequestQuery{Request: request})
		if err != nil || !answer.Found {
			return
		}
		var explanation wire.Explanation
		if json.Unmarshal([]byte(answer.Explanation), &explanation) == nil {
			mu.Lock()
			defer mu.Unlock()
			found = &explanation
		}
	})
	if found == nil {
		return nil, trace.Wrap(operator.ErrNotFound, "no reachable router knows request %s", request)
	}
	return found, nil
}

// callPeers calls a function with the peer address of each other live router, up to maxFleetCalls at a time, and waits
// for all calls.
func (r *Router) callPeers(call func(address string)) {
	var group errgroup.Group
	group.SetLimit(maxFleetCalls)
	live := r.shared.Live.Load()
	if live == nil {
		return
	}
	for _, address := range *live {
		if address == r.Settings.Peer {
			continue
		}
		group.Go(func() error {
			call(address)
			return nil
		})
	}
	// The calls return no errors: a router that does not answer is skipped.
	_ = group.Wait()
}

func (r *Router) burnReport(context.Context) (*wire.Burn, error) {
	return r.burn.Report(), nil
}

func toWireVersion(version *config.Version) wire.ConfigVersion {
	return wire.ConfigVersion{
		Author: version.Author,
		Change: version.Change,
		Digest: version.Digest,
		Number: version.Number,
		Time:   version.Time,
	}
}

// operatorError converts an error of the configuration store or the table into the matching error of package operator.
func operatorError(err error) error {
	switch {
	case errors.Is(err, config.ErrConflict):
		return trace.Wrap(operator.ErrConflict, "%v", err)
	case errors.Is(err, config.ErrOutcomeUnknown):
		return trace.Wrap(operator.ErrOutcomeUnknown, "%v", err)
	case errors.Is(err, config.ErrNoVersion):
		return trace.Wrap(operator.ErrNotFound, "%v", err)
	case errors.Is(err, config.ErrUnavailable), errors.Is(err, table.ErrUnavailable):
		return trace.Wrap(operator.ErrUnavailable, "%v", err)
	default:
		return trace.Wrap(err)
	}
}
