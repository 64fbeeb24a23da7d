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
	// maxBody is the largest body of a call. An inventory of 320,000 budgets takes about 30 MB.
	maxBody = 256 << 20
	// remembered is how many versions are searched for a change identity that was applied already.
	remembered = 200
	// listed is the most changes that a conflict lists.
	listed = 1000
)

type (
	// Credential lets one operator in.
	Credential struct {
		Name string // Author of the operator's changes.
		Key  string // Digest of the bearer credential, as inventory.DigestKey writes it.
	}

	// Server is the operators' address of a router. The function fields are the router's parts; a nil one makes its calls
	// unavailable.
	Server struct {
		Credentials []Credential
		// Status returns the state of the fleet as the router sees it.
		Status func(ctx context.Context) (*wire.FleetStatus, error)
		// Explain returns what was done with a request, or ErrNotFound.
		Explain func(ctx context.Context, request string) (*wire.Explanation, error)
		// Burn returns the burn report.
		Burn func(ctx context.Context) (*wire.Burn, error)
		// Apply commits a checked change. If the head is not the base it returns ErrConflict, and if the outcome is not
		// known ErrUnknown. A change whose identity is that of a committed version returns that version.
		Apply func(ctx context.Context, change Change) (wire.ConfigVersion, error)
		// History returns up to limit versions, the newest first.
		History func(ctx context.Context, limit int) ([]wire.ConfigVersion, error)
		// Config returns a version and its inventory; 0 stands for the newest. Without any version it returns ErrNotFound.
		Config func(ctx context.Context, number int) (wire.ConfigVersion, *inventory.Inventory, error)
		// Facts returns what was granted and spent, to check changes against. Budgets with neither may be left out.
		Facts func(ctx context.Context) (inventory.Facts, error)
		// Metrics writes the metrics.
		Metrics http.Handler

		Logger *zerolog.Logger // Nil logs nothing.
		Scope  tally.Scope     // Nil means tally.NoopScope.

		// applying admits one check at a time, since that of a large inventory takes much memory. Bodies are read before,
		// so that an operator whose connection stalls holds up nobody.
		applying sync.Mutex
		once     sync.Once
		digests  [][sha256.Size]byte
	}

	// authorKey is the context key of the operator's name.
	authorKey struct{}
)

// Handler returns the HTTP handler of the operators' address.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.prepare)
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

func (s *Server) prepare() {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	for _, c := range s.Credentials {
		digest, err := inventory.ParseKey(c.Key)
		if err != nil {
			// A digest that cannot be parsed admits nobody: no credential has this one.
			digest = [sha256.Size]byte{}
		}
		s.digests = append(s.digests, digest)
	}
}

// authenticate admits callers with a known credential. All credentials are compared, so that the time does not tell
// which of them came close.
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
			s.refuse(w, http.StatusUnauthorized, wire.Failure{Code: CodeCredential, Message: "the credential is missing or not known"})
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
		s.fail(w, r, ErrUnavailable)
		return
	}
	serve(s, w, r, func(ctx context.Context) (*wire.Explanation, error) {
		return s.Explain(ctx, mux.Vars(r)["request"])
	})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	limit, err := number(r, "limit", 20)
	if err != nil || s.History == nil {
		s.fail(w, r, either(err, ErrUnavailable))
		return
	}
	serve(s, w, r, func(ctx context.Context) (*wire.ConfigHistory, error) {
		versions, err := s.History(ctx, min(limit, remembered))
		return &wire.ConfigHistory{Versions: versions}, err
	})
}

// config answers with the inventory object; the version is in the headers.
func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	n, err := number(r, "version", 0)
	if err != nil || s.Config == nil {
		s.fail(w, r, either(err, ErrUnavailable))
		return
	}
	version, inv, err := s.Config(r.Context(), n)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	object, err := inventory.Encode(inv)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Citronslip-Version", strconv.Itoa(version.Number))
	w.Write(object)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	if s.Apply == nil || s.Config == nil || s.History == nil {
		s.fail(w, r, ErrUnavailable)
		return
	}
	request, err := readApply(w, r)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	s.applying.Lock()
	defer s.applying.Unlock()
	version, err := s.commit(r.Context(), request)
	if err == nil {
		event.ApplyAccepted.Log(s.Logger).Int("version", version.Number).Str("change", version.Change).Str("author", version.Author).Send()
		reply(w, http.StatusOK, version)
		return
	}
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		event.ApplyRefused.Log(s.Logger).Str("change", request.Change).Str("code", refusal.Code).Send()
		s.refuse(w, refusal.Status, refusal.Failure)
	case errors.Is(err, ErrUnknown):
		event.ApplyUnknown.Log(s.Logger).Str("change", request.Change).Send()
		s.fail(w, r, err)
	default:
		s.fail(w, r, err)
	}
}

// readApply reads a change. The buffer has the size of the body from the start, since growing it for a large inventory
// would take several times as much memory.
func readApply(w http.ResponseWriter, r *http.Request) (wire.Apply, error) {
	var request wire.Apply
	if r.ContentLength < 0 || r.ContentLength > maxBody {
		return request, trace.BadParameter("the length of the body is not given or more than %d bytes", maxBody)
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(http.MaxBytesReader(w, r.Body, maxBody), body); err != nil {
		return request, trace.BadParameter("the body broke off: %v", err)
	}
	err := json.Unmarshal(body, &request)
	if err != nil || request.Change == "" || request.Base < 0 {
		return request, trace.BadParameter("the body is no change with an identity and a base version")
	}
	return request, nil
}

// commit checks and commits a change. A change that was committed already is answered with its version before the check,
// since the facts may have moved on.
func (s *Server) commit(ctx context.Context, request wire.Apply) (wire.ConfigVersion, error) {
	versions, err := s.History(ctx, remembered)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return wire.ConfigVersion{}, err
	}
	for _, v := range versions {
		if v.Change == request.Change {
			return v, nil
		}
	}
	doc, err := s.check(ctx, request)
	if err != nil {
		return wire.ConfigVersion{}, err
	}
	author, _ := ctx.Value(authorKey{}).(string)
	change := Change{ID: request.Change, Base: request.Base, Author: author, Inventory: &doc.Inventory}
	version, err := s.Apply(ctx, change)
	if errors.Is(err, ErrConflict) {
		return version, s.conflict(ctx, request.Base)
	}
	return version, err
}

func (s *Server) check(ctx context.Context, request wire.Apply) (*inventory.Document, error) {
	files := make([]inventory.File, len(request.Files))
	for i, f := range request.Files {
		files[i] = inventory.File{Name: f.Name, Text: []byte(f.Text)}
		request.Files[i].Text = "" // Lets go of a copy that may be large.
	}
	var facts inventory.Facts
	if s.Facts != nil {
		var err error
		facts, err = s.Facts(ctx)
		if err != nil {
			return nil, err
		}
	}
	doc, _ := inventory.ParseFiles(files) // The error is one of the findings.
	findings := inventory.Check(doc, facts)
	if len(findings) == 0 {
		return doc, nil
	}
	failure := wire.Failure{Code: CodeFindings, Message: "the inventory has findings", Findings: toWire(findings)}
	return nil, newRefusal(http.StatusUnprocessableEntity, failure)
}

// conflict describes what was changed since the base.
func (s *Server) conflict(ctx context.Context, base int) error {
	head, now, err := s.Config(ctx, 0)
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
	changes := inventory.Diff(before, now)
	for _, change := range changes[:min(len(changes), listed)] {
		failure.Changes = append(failure.Changes, change.String())
	}
	if len(changes) > listed {
		failure.Changes = append(failure.Changes, fmt.Sprintf("and %d more", len(changes)-listed))
	}
	return newRefusal(http.StatusConflict, failure)
}

// serve answers with the result of a part.
func serve[T any](s *Server, w http.ResponseWriter, r *http.Request, call func(context.Context) (*T, error)) {
	if call == nil {
		s.fail(w, r, ErrUnavailable)
		return
	}
	start := time.Now()
	result, err := call(r.Context())
	s.Scope.Timer("call").Record(time.Since(start))
	if err != nil {
		s.fail(w, r, err)
		return
	}
	reply(w, http.StatusOK, result)
}

// fail answers with the failure that an error stands for.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error) {
	status, code := http.StatusInternalServerError, CodeFailed
	switch {
	case errors.Is(err, ErrUnknown):
		status, code = http.StatusServiceUnavailable, CodeUnknown
	case errors.Is(err, ErrUnavailable):
		status, code = http.StatusServiceUnavailable, CodeUnavailable
	case errors.Is(err, ErrNotFound):
		status, code = http.StatusNotFound, CodeNotFound
	case trace.IsBadParameter(err):
		status, code = http.StatusBadRequest, CodeRequest
	}
	if status == http.StatusInternalServerError {
		event.OperatorCallFailed.Log(s.Logger).Str("path", r.URL.Path).Err(err).Send()
	}
	s.refuse(w, status, wire.Failure{Code: code, Message: Message(err)})
}

func (s *Server) refuse(w http.ResponseWriter, status int, failure wire.Failure) {
	s.Scope.Tagged(map[string]string{"code": failure.Code}).Counter("refused").Inc(1)
	reply(w, status, failure)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// number returns a query parameter.
func number(r *http.Request, key string, unset int) (int, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return unset, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, trace.BadParameter("%s is %q; accepted is a number from 0", key, text)
	}
	return n, nil
}

func either(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
