package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// maxBodyBytes bounds the body of a call and of its answer. An inventory of 320,000 budgets takes about 30 MB.
	maxBodyBytes = 256 << 20
	// maxVersions bounds the versions that the history returns, and those that are searched for the identity of a
	// change that was committed already.
	maxVersions = 200
	// maxConflictChanges bounds the changes that the answer to a conflict lists.
	maxConflictChanges = 1000
)

type (
	// Credential authenticates one operator.
	Credential struct {
		Name string // Name of the operator, recorded as the author of changes.
		Key  string // Digest of the bearer credential, as inventory.DigestKey returns it.
	}

	// Server is the operators' interface of a router. The router supplies the function fields; a call whose function is
	// nil is answered with CodeUnavailable.
	Server struct {
		Credentials []Credential
		// Status returns the state of the fleet as the router sees it.
		Status func(ctx context.Context) (*wire.FleetStatus, error)
		// Explain returns how the routers handled a request, or ErrNotFound.
		Explain func(ctx context.Context, request string) (*wire.Explanation, error)
		// Burn returns the report of how fast budgets are used up.
		Burn func(ctx context.Context) (*wire.Burn, error)
		// Apply commits a checked change. It returns ErrConflict if the newest version is not the base, and
		// ErrOutcomeUnknown if the outcome is unknown. For a change identity that was committed already it returns that
		// version.
		Apply func(ctx context.Context, change Change) (wire.ConfigVersion, error)
		// History returns up to limit versions, newest first.
		History func(ctx context.Context, limit int) ([]wire.ConfigVersion, error)
		// Config returns a version and its inventory; 0 means the newest. It returns ErrNotFound if the version does
		// not exist.
		Config func(ctx context.Context, number int) (wire.ConfigVersion, *inventory.Inventory, error)
		// Facts returns the granted and spent tokens of budgets, which a change is checked against. Budgets with
		// neither may be left out.
		Facts func(ctx context.Context) (inventory.RuntimeState, error)
		// Metrics serves the metrics; nil means that there is no such path.
		Metrics http.Handler

		Logger *zerolog.Logger // Nil logs nothing.
		Scope  tally.Scope     // Nil means tally.NoopScope.

		// applyMu limits the checks to one at a time, since checking a large inventory takes much memory. Bodies are
		// read before it is locked, so that an operator's stalled connection does not block other operators.
		applyMu     sync.Mutex
		prepareOnce sync.Once
		digests     [][sha256.Size]byte // Digests of Credentials, in their order.
	}

	// authorKey is the context key of the operator's name.
	authorKey struct{}
)

// Handler returns the HTTP handler of the operators' interface.
func (s *Server) Handler() http.Handler {
	s.prepareOnce.Do(s.prepare)
	router := mux.NewRouter()
	router.HandleFunc("/status", s.status).Methods(http.MethodGet)
	router.HandleFunc("/explain/{request:.+}", s.explain).Methods(http.MethodGet)
	router.HandleFunc("/burn", s.burn).Methods(http.MethodGet)
	router.HandleFunc("/history", s.history).Methods(http.MethodGet)
	router.HandleFunc("/config", s.config).Methods(http.MethodGet)
	router.HandleFunc("/apply", s.apply).Methods(http.MethodPost)
	if s.Metrics != nil {
		router.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	}
	router.Use(s.authenticate)
	return router
}

// prepare sets the defaults and parses the digests of the credentials.
func (s *Server) prepare() {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	for _, c := range s.Credentials {
		digest, err := inventory.ParseKeyDigest(c.Key)
		if err != nil {
			// An invalid digest is replaced by zeros, which no credential hashes to.
			digest = [sha256.Size]byte{}
		}
		s.digests = append(s.digests, digest)
	}
}

// authenticate passes on calls with a known credential. It always compares all digests in constant time, so that the
// response time reveals nothing about them.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Scope.Counter("calls").Inc(1)
		secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(secret))
		found := -1
		for i := range s.digests {
			if subtle.ConstantTimeCompare(digest[:], s.digests[i][:]) == 1 {
				found = i
			}
		}
		if !ok || secret == "" || found < 0 {
			event.CredentialRefused.Log(s.Logger).Str("remote", r.RemoteAddr).Send()
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.replyFailure(w, http.StatusUnauthorized, wire.Failure{Code: CodeBadCredential, Message: "the credential is missing or not known"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, s.Credentials[found].Name)))
	})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	serve(s, w, r, s.Status)
}

func (s *Server) burn(w http.ResponseWriter, r *http.Request) {
	serve(s, w, r, s.Burn)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	if s.Explain == nil {
		s.replyError(w, r, ErrUnavailable)
		return
	}
	serve(s, w, r, func(ctx context.Context) (*wire.Explanation, error) {
		return s.Explain(ctx, mux.Vars(r)["request"])
	})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	limit, err := numberParam(r, "limit", 20)
	if err != nil || s.History == nil {
		s.replyError(w, r, firstError(err, ErrUnavailable))
		return
	}
	serve(s, w, r, func(ctx context.Context) (*wire.ConfigHistory, error) {
		versions, err := s.History(ctx, min(limit, maxVersions))
		return &wire.ConfigHistory{Versions: versions}, err
	})
}

// config answers with the encoded inventory; a header carries the version number.
func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	number, err := numberParam(r, "version", 0)
	if err != nil || s.Config == nil {
		s.replyError(w, r, firstError(err, ErrUnavailable))
		return
	}
	version, inv, err := s.Config(r.Context(), number)
	if err != nil {
		s.replyError(w, r, err)
		return
	}
	object, err := inventory.Encode(inv)
	if err != nil {
		s.replyError(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Citronslip-Version", strconv.Itoa(version.Number))
	w.Write(object)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	if s.Apply == nil || s.Config == nil || s.History == nil {
		s.replyError(w, r, ErrUnavailable)
		return
	}
	request, err := readApply(w, r)
	if err != nil {
		s.replyError(w, r, err)
		return
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	version, err := s.commit(r.Context(), request)
	if err == nil {
		event.ApplyAccepted.Log(s.Logger).Int("version", version.Number).Str("change", version.Change).Str("author", version.Author).Send()
		reply(w, http.StatusOK, version)
		return
	}
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal):
		event.ApplyRefused.Log(s.Logger).Str("change", request.Change).Str("code", refusal.Code).Send()
		s.replyFailure(w, refusal.Status, refusal.Failure)
	case errors.Is(err, ErrOutcomeUnknown):
		event.ApplyUnknown.Log(s.Logger).Str("change", request.Change).Send()
		s.replyError(w, r, err)
	default:
		s.replyError(w, r, err)
	}
}

// readApply reads a change. The buffer is allocated with the size of the body, since growing it for a large inventory
// would take several times as much memory.
func readApply(w http.ResponseWriter, r *http.Request) (wire.Apply, error) {
	var request wire.Apply
	if r.ContentLength < 0 || r.ContentLength > maxBodyBytes {
		return request, trace.BadParameter("the length of the body is not given or more than %d bytes", maxBodyBytes)
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(http.MaxBytesReader(w, r.Body, maxBodyBytes), body); err != nil {
		return request, trace.BadParameter("the body broke off: %v", err)
	}
	err := json.Unmarshal(body, &request)
	if err != nil || request.Change == "" || request.Base < 0 {
		return request, trace.BadParameter("the body is no change with an identity and a base version")
	}
	return request, nil
}

// commit checks and commits a change. For a change that was committed already it returns that version without a check,
// since the granted and spent tokens may have changed since.
func (s *Server) commit(ctx context.Context, request wire.Apply) (wire.ConfigVersion, error) {
	versions, err := s.History(ctx, maxVersions)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return wire.ConfigVersion{}, err
	}
	for _, v := range versions {
		if v.Change == request.Change {
			return v, nil
		}
	}
	doc, err := s.checkInventory(ctx, request)
	if err != nil {
		return wire.ConfigVersion{}, err
	}
	author, _ := ctx.Value(authorKey{}).(string)
	change := Change{ID: request.Change, Base: request.Base, Author: author, Inventory: &doc.Inventory}
	version, err := s.Apply(ctx, change)
	if errors.Is(err, ErrConflict) {
		return version, s.describeConflict(ctx, request.Base)
	}
	return version, err
}

// checkInventory parses and checks the files of a change. An inventory with findings gives a *RefusalError.
func (s *Server) checkInventory(ctx context.Context, request wire.Apply) (*inventory.Document, error) {
	files := make([]inventory.File, len(request.Files))
	for i, f := range request.Files {
		files[i] = inventory.File{Name: f.Name, Text: []byte(f.Text)}
		request.Files[i].Text = "" // Releases a copy that may be large.
	}
	var facts inventory.RuntimeState
	if s.Facts != nil {
		var err error
		facts, err = s.Facts(ctx)
		if err != nil {
			return nil, err
		}
	}
	doc, _ := inventory.ParseFiles(files) // Check reports the error as a finding.
	findings := inventory.Check(doc, facts)
	if len(findings) == 0 {
		return doc, nil
	}
	failure := wire.Failure{Code: CodeFindings, Message: "the inventory has findings", Findings: toWire(findings)}
	return nil, newRefusal(http.StatusUnprocessableEntity, failure)
}

// describeConflict returns a refusal that lists what was changed since the base version.
func (s *Server) describeConflict(ctx context.Context, base int) error {
	head, current, err := s.Config(ctx, 0)
	if err != nil {
		return err
	}
	before := &inventory.Inventory{}
	if base > 0 {
		_, before, err = s.Config(ctx, base)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return err
		}
	}
	failure := wire.Failure{Code: CodeConflict, Message: "another change was applied since version " + strconv.Itoa(base), Version: &head.Number}
	if before == nil {
		failure.Message = "there is no version " + strconv.Itoa(base) + " to compare with"
		return newRefusal(http.StatusConflict, failure)
	}
	changes := inventory.Diff(before, current)
	for _, change := range changes[:min(len(changes), maxConflictChanges)] {
		failure.Changes = append(failure.Changes, change.String())
	}
	if len(changes) > maxConflictChanges {
		failure.Changes = append(failure.Changes, fmt.Sprintf("and %d more", len(changes)-maxConflictChanges))
	}
	return newRefusal(http.StatusConflict, failure)
}

// serve answers a call with the result of a function field of the server, which may be nil, and records how long it
// took.
func serve[T any](s *Server, w http.ResponseWriter, r *http.Request, call func(context.Context) (*T, error)) {
	if call == nil {
		s.replyError(w, r, ErrUnavailable)
		return
	}
	start := time.Now()
	result, err := call(r.Context())
	s.Scope.Timer("call").Record(time.Since(start))
	if err != nil {
		s.replyError(w, r, err)
		return
	}
	reply(w, http.StatusOK, result)
}

// replyError answers with the status and the code of an error, and logs errors that have no code of their own.
func (s *Server) replyError(w http.ResponseWriter, r *http.Request, err error) {
	status, code := http.StatusInternalServerError, CodeInternal
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		status, code = http.StatusServiceUnavailable, CodeOutcomeUnknown
	case errors.Is(err, ErrUnavailable):
		status, code = http.StatusServiceUnavailable, CodeUnavailable
	case errors.Is(err, ErrNotFound):
		status, code = http.StatusNotFound, CodeNotFound
	case trace.IsBadParameter(err):
		status, code = http.StatusBadRequest, CodeBadRequest
	}
	if status == http.StatusInternalServerError {
		event.OperatorCallFailed.Log(s.Logger).Str("path", r.URL.Path).Err(err).Send()
	}
	s.replyFailure(w, status, wire.Failure{Code: code, Message: ErrorText(err)})
}

// replyFailure answers with a failure and counts it by its code.
func (s *Server) replyFailure(w http.ResponseWriter, status int, failure wire.Failure) {
	s.Scope.Tagged(map[string]string{"code": failure.Code}).Counter("refused").Inc(1)
	reply(w, status, failure)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// numberParam returns the query parameter key as a number from 0, or fallback if it is not set.
func numberParam(r *http.Request, key string, fallback int) (int, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, trace.BadParameter("%s is %q; accepted is a number from 0", key, text)
	}
	return n, nil
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
