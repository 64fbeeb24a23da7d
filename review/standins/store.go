package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowID names a row of the store.
type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// storeRow is a row as the store returns it.
type storeRow struct {
	rowID
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"recordVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// storeReply is the body of the store's answers.
type storeReply struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"hasMore"`
	Version int64      `json:"recordVersion"`
	Clock   float64    `json:"nowMs"`
}

// Store is a stand-in of the platform's metadata store: one process, no faults of its own.
type Store struct {
	Address string

	mu      sync.Mutex
	rows    map[rowID]storeRow
	version int64
	changed chan struct{}
	started time.Time
}

// newStore starts a store on a free loopback port.
func newStore() *Store {
	s := &Store{rows: map[rowID]storeRow{}, changed: make(chan struct{}), started: time.Now()}
	listener := listen("127.0.0.1:0")
	s.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveWrite)
	mux.HandleFunc("GET /v1/rows-get", s.serveList)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen on %s: %v", address, err)
	}
	return listener
}

// Put writes a row as the operator or a worker does. It returns when the store has acknowledged the write.
func (s *Store) Put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowID{Table: table, Key: key}, data)
	s.notify()
	return time.Now()
}

// Remove removes a row, as the store does when a worker's entry expires.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.unset(rowID{Table: table, Key: key})
	s.notify()
}

func (s *Store) set(id rowID, value []byte) {
	s.rows[id] = storeRow{rowID: id, Value: value, Version: s.version}
}

func (s *Store) unset(id rowID) {
	if old, ok := s.rows[id]; ok && !old.Deleted {
		s.rows[id] = storeRow{rowID: id, Version: s.version, Deleted: true}
	}
}

// notify wakes the feeds that wait. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) reply(w http.ResponseWriter, status int, rows []storeRow, hasMore bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	if rows == nil {
		rows = []storeRow{}
	}
	_ = json.NewEncoder(w).Encode(storeReply{
		Rows: rows, HasMore: hasMore, Version: s.version, Clock: float64(time.Since(s.started)) / float64(time.Millisecond),
	})
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []storeRow `json:"expect"`
		Puts   []storeRow `json:"puts"`
		Remove []rowID    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond) // transactionMs
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []storeRow
	for _, e := range tx.Expect {
		row, ok := s.rows[e.rowID]
		if !ok || row.Deleted {
			row = storeRow{rowID: e.rowID}
		}
		current = append(current, row)
		conflict = conflict || row.Version != e.Version
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.set(p.rowID, p.Value)
	}
	for _, id := range tx.Remove {
		s.unset(id)
	}
	s.notify()
	s.reply(w, http.StatusOK, nil, false)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for id, row := range s.rows {
		in := id.Table == query.Get("table") && id.Part == query.Get("part") && id.Key >= query.Get("from")
		if in && !row.Deleted && (query.Get("to") == "" || id.Key < query.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("afterRevision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timeout.Stop()
	for ended := false; ; {
		s.mu.Lock()
		var rows []storeRow
		for id, row := range s.rows {
			if id.Table == query.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || ended {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
