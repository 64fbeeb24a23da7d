package operator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/operator"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const secret = "open sesame"

type (
	// memoryStore keeps configuration versions in memory and commits changes as the real store does.
	memoryStore struct {
		mu          sync.Mutex
		versions    []wire.ConfigVersion
		inventories []*inventory.Inventory
		lostAnswers int // Number of next commits that take effect and return ErrOutcomeUnknown.
	}

	// roundTrip is a function that serves as an http.RoundTripper.
	roundTrip func(*http.Request) (*http.Response, error)
)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (s *memoryStore) apply(_ context.Context, c operator.Change) (wire.ConfigVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions {
		if v.Change == c.ID {
			return v, nil
		}
	}
	if c.Base != len(s.versions) {
		return wire.ConfigVersion{}, operator.ErrConflict
	}
	v := wire.ConfigVersion{Number: c.Base + 1, Change: c.ID, Author: c.Author}
	s.versions = append(s.versions, v)
	s.inventories = append(s.inventories, c.Inventory)
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return v, operator.ErrOutcomeUnknown
	}
	return v, nil
}

func (s *memoryStore) history(_ context.Context, limit int) ([]wire.ConfigVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var result []wire.ConfigVersion
	for i := len(s.versions) - 1; i >= 0 && len(result) < limit; i-- {
		result = append(result, s.versions[i])
	}
	return result, nil
}

func (s *memoryStore) config(_ context.Context, number int) (wire.ConfigVersion, *inventory.Inventory, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == 0 {
		number = len(s.versions)
	}
	if number < 1 || number > len(s.versions) {
		return wire.ConfigVersion{}, nil, operator.ErrNotFound
	}
	return s.versions[number-1], s.inventories[number-1], nil
}

func start(t *testing.T, s *operator.Server) *operator.Client {
	t.Helper()
	s.Credentials = []operator.Credential{
		{Name: "ana", Key: inventory.DigestKey(secret)},
		{Name: "ben", Key: "malformed"},
	}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return &operator.Client{Addresses: []string{server.URL}, Credential: secret, Pause: time.Millisecond}
}

func startWithStore(t *testing.T, store *memoryStore) *operator.Client {
	return start(t, &operator.Server{Apply: store.apply, History: store.history, Config: store.config})
}

func change(id string, base int, places ...string) wire.Apply {
	var text strings.Builder
	for _, place := range places {
		fmt.Fprintf(&text, "[[place]]\nname = %q\n", place)
	}
	return wire.Apply{Change: id, Base: base, Files: []wire.InventoryFile{{Name: "a.toml", Text: text.String()}}}
}

// Guards against a change that takes effect twice because its answer was lost, by the table or by the network, and the
// client retried it.
func TestLostAnswerHasNoSecondEffect(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{lostAnswers: 1}
	client := startWithStore(t, store)
	lost := 0
	client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		response, err := http.DefaultTransport.RoundTrip(r)
		if err == nil && lost < 2 {
			lost++
			response.Body.Close()
			return nil, errors.New("connection reset")
		}
		return response, err
	})
	repeats := 0
	client.Repeated = func(id string, _ error) {
		is.Equal(id, "one")
		repeats++
	}
	version, err := client.Apply(t.Context(), change("one", 0, "north"))
	is.NoErr(err)
	is.Equal(version.Number, 1)
	is.Equal(version.Author, "ana")
	is.Equal(repeats, 2)
	is.Equal(len(store.versions), 1)
	_, err = client.Apply(t.Context(), change("two", 1, "north", "south"))
	is.NoErr(err)
	again, err := client.Apply(t.Context(), change("one", 0, "north"))
	is.NoErr(err) // A retry after a later change has no effect.
	is.Equal(again.Number, 1)
	is.Equal(len(store.versions), 2)
}

// Guards against an outcome that is reported as unknown although no router was reached, and against one that is
// reported as known although the first try may have arrived.
func TestUnreachableRouters(t *testing.T) {
	is := is.New(t)
	client := &operator.Client{Addresses: []string{"http://127.0.0.1:1", "http://127.0.0.1:2"}, Pause: time.Millisecond}
	_, err := client.Apply(t.Context(), change("one", 0, "north"))
	is.True(err != nil && !errors.Is(err, operator.ErrOutcomeUnknown))
	ctx, cancel := context.WithCancel(t.Context())
	first := true
	client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		if first {
			first = false
			return nil, errors.New("connection reset")
		}
		return http.DefaultTransport.RoundTrip(r)
	})
	repeats := 0
	client.Repeated = func(string, error) {
		if repeats++; repeats == 3 {
			cancel()
		}
	}
	_, err = client.Apply(ctx, change("one", 0, "north"))
	is.True(errors.Is(err, operator.ErrOutcomeUnknown))
}

// Guards against an operator who overwrites another one's change without seeing it.
func TestConflictShowsDifference(t *testing.T) {
	is := is.New(t)
	client := startWithStore(t, &memoryStore{})
	_, err := client.Apply(t.Context(), change("one", 0, "north"))
	is.NoErr(err)
	_, err = client.Apply(t.Context(), change("two", 1, "north", "south"))
	is.NoErr(err)
	_, err = client.Apply(t.Context(), change("three", 1, "north", "west"))
	var refusal *operator.RefusalError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, operator.CodeConflict)
	is.Equal(*refusal.Version, 2)
	is.Equal(refusal.Changes, []string{"+ place south"})
	inv, number, err := client.Config(t.Context(), 0)
	is.NoErr(err)
	is.Equal(number, 2)
	is.Equal(len(inv.Places), 2)
}

// Guards against a change that is committed although it has findings. One of them depends on tokens already granted,
// which only the router knows.
func TestFindingsPreventCommit(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	undeclared := inventory.BudgetID{Account: "acme", Budget: "main"}
	client := start(t, &operator.Server{Apply: store.apply, History: store.history, Config: store.config,
		Facts: func(context.Context) (inventory.RuntimeState, error) {
			return inventory.RuntimeState{Budgets: map[inventory.BudgetID]inventory.BudgetUsage{undeclared: {Granted: 1}}}, nil
		}})
	_, err := client.Apply(t.Context(), change("one", 0, "north", "north"))
	var refusal *operator.RefusalError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, operator.CodeFindings)
	is.Equal(len(refusal.Findings), 2)
	is.Equal(refusal.Findings[1].Line, 4)
	is.Equal(len(store.versions), 0)
}

// Guards against calls that are served without a credential or with a wrong one, and against a credential file that
// other users can read.
func TestCredentialIsRequired(t *testing.T) {
	is := is.New(t)
	client := startWithStore(t, &memoryStore{})
	for _, wrong := range []string{"", "open", "malformed", inventory.DigestKey(secret)} {
		client.Credential = wrong
		_, err := client.History(t.Context(), 1)
		var refusal *operator.RefusalError
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Status, http.StatusUnauthorized)
	}
	path := filepath.Join(t.TempDir(), "credential")
	is.NoErr(os.WriteFile(path, []byte(secret+"\n"), 0o600))
	credential, err := operator.ReadCredential(path)
	is.NoErr(err)
	is.Equal(credential, secret)
	is.NoErr(os.Chmod(path, 0o644))
	_, err = operator.ReadCredential(path)
	is.True(err != nil)
}

// Guards against a version that is reported as active while a live router lacks it, and against waiting for routers
// that have left.
func TestAwaitReportsRoutersBehind(t *testing.T) {
	is := is.New(t)
	polls := 0
	client := start(t, &operator.Server{Status: func(context.Context) (*wire.FleetStatus, error) {
		polls++
		status := &wire.FleetStatus{Routers: []wire.RouterStatus{
			{Address: "a", State: "live", Version: 3},
			{Address: "b", State: "live", Version: 1 + polls},
			{Address: "c", State: "left", Version: 1},
		}}
		return status, nil
	}})
	var behind []int
	_, err := client.WaitForVersion(t.Context(), 3, time.Minute, func(p operator.Progress) { behind = append(behind, len(p.Behind)) })
	is.NoErr(err)
	is.Equal(behind, []int{1, 0})
	last, err := client.WaitForVersion(t.Context(), 1000, 0, func(operator.Progress) {})
	is.True(err != nil)
	is.Equal(last.Live, 2)
	is.Equal(last.Behind[0].Address, "a")
}

// Guards against errors of the router that reach operators with the wrong code, and against a client that does not try
// the next router when the first one is down.
func TestErrorsKeepTheirCodes(t *testing.T) {
	is := is.New(t)
	client := start(t, &operator.Server{
		Explain: func(_ context.Context, request string) (*wire.Explanation, error) {
			if request == "a/b" {
				return &wire.Explanation{Request: request}, nil
			}
			return nil, operator.ErrNotFound
		},
		Status: func(context.Context) (*wire.FleetStatus, error) { return nil, errors.New("broken") },
	})
	client.Addresses = append([]string{"http://127.0.0.1:1"}, client.Addresses...)
	code := func(err error) string {
		var refusal *operator.RefusalError
		is.True(errors.As(err, &refusal))
		return refusal.Code
	}
	_, err := client.Explain(t.Context(), "r1")
	is.Equal(code(err), operator.CodeNotFound)
	_, err = client.Status(t.Context())
	is.Equal(code(err), operator.CodeInternal)
	_, err = client.Burn(t.Context())
	is.Equal(code(err), operator.CodeUnavailable)
	e, err := client.Explain(t.Context(), "a/b")
	is.NoErr(err)
	is.Equal(e.Request, "a/b")
}
