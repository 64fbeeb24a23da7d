//go:build review3

package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	// key identifies a row of the store.
	key struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
	}

	// row is a row, or the removal of one.
	row struct {
		key
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"recordVersion"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	// storeAnswer is the body of an answer of the store.
	storeAnswer struct {
		Rows    []row   `json:"rows"`
		HasMore bool    `json:"hasMore"`
		Version int64   `json:"recordVersion"`
		Clock   float64 `json:"nowMs"`
	}

	// storeCopy is a copy of the store.
	storeCopy struct {
		version int64
		rows    map[key]row
	}

	// platformStore is a stand-in of the platform's store.
	platformStore struct {
		address string
		begin   time.Time
		server  *http.Server

		mu      sync.Mutex
		down    bool  // Whether the store is away.
		era     int   // Rises each time that the store comes back from an older copy.
		oldest  int64 // Version from which on changes are kept.
		version int64
		rows    map[key]row
		changes []row
		changed chan struct{}
	}
)

// startStore starts a store at a free loopback port.
func startStore() (*platformStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &platformStore{address: listener.Addr().String(), begin: time.Now(), rows: make(map[key]row), changed: make(chan struct{})}
	handler := http.NewServeMux()
	handler.HandleFunc("POST /v1/rows-tx", s.write)
	handler.HandleFunc("GET /v1/rows-get", s.list)
	handler.HandleFunc("GET /v1/rows-feed", s.feed)
	s.server = &http.Server{Handler: handler}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or a worker does, and reports whether the store was there.
func (s *platformStore) put(table, name string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.apply([]row{{key: key{Table: table, Key: name}, Value: data}})
	return true
}

// remove removes a row as the operator or a worker does.
func (s *platformStore) remove(table, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{key: key{Table: table, Key: name}, Deleted: true}})
}

// apply applies changes as one transaction. The caller holds the lock.
func (s *platformStore) apply(changes []row) {
	s.version++
	for _, r := range changes {
		r.Version = s.version
		if r.Deleted {
			delete(s.rows, r.key)
		} else {
			s.rows[r.key] = r
		}
		s.changes = append(s.changes, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store refuse all calls, or take them again.
func (s *platformStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of the store as it is now.
func (s *platformStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.version, maps.Clone(s.rows)}
}

// restore makes the store be away for a moment and come back from a copy. The operator and the workers write again what they
// wrote.
func (s *platformStore) restore(from storeCopy, away time.Duration) {
	s.mu.Lock()
	s.down = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.rows
	s.down, s.version, s.oldest, s.rows, s.changes = false, from.version, from.version, maps.Clone(from.rows), nil
	s.era++
	var again []row
	for k, r := range latest {
		if k.Table == "op" || k.Table == "servers" {
			again = append(again, r)
		}
	}
	s.apply(again)
}

func (s *platformStore) write(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expect, Puts, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond) // transactionMs
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	status, current := http.StatusOK, []row{}
	for _, e := range request.Expect {
		found := s.rows[e.key]
		found.key = e.key
		current = append(current, found)
		if found.Version != e.Version {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		changes := request.Puts
		for _, removed := range request.Remove {
			removed.Deleted = true
			changes = append(changes, removed)
		}
		s.apply(changes)
		current = []row{}
	}
	s.answer(w, status, current, false)
}

func (s *platformStore) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	from, to := query.Get("from"), query.Get("to")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	rows := []row{}
	for k, found := range s.rows {
		if k.Table == query.Get("table") && k.Part == query.Get("part") && k.Key >= from && (to == "" || k.Key < to) {
			rows = append(rows, found)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	hasMore := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], hasMore)
}

func (s *platformStore) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("afterRevision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.refuse(w) {
			s.mu.Unlock()
			return
		}
		if after > s.version || after < s.oldest {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for _, c := range s.changes {
			if c.Version > after && c.Table == query.Get("table") {
				rows = append(rows, c)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.mu.Lock()
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
	}
}

// refuse answers a call while the store is away, and reports whether it is. The caller holds the lock.
func (s *platformStore) refuse(w http.ResponseWriter) bool {
	if s.down {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.down
}

// answer writes an answer. The caller holds the lock.
func (s *platformStore) answer(w http.ResponseWriter, status int, rows []row, hasMore bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	clock := float64(time.Since(s.begin).Microseconds()) / 1000
	_ = json.NewEncoder(w).Encode(storeAnswer{rows, hasMore, s.version, clock}) // The caller may be gone.
}
