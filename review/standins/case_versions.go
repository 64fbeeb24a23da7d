package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamCount is the number of streams that are taken up.
	streamCount = 24
	// streamEvents is the number of events of each.
	streamEvents = 60
	// settled is the time from the start until the upgrade begins.
	settled = 46 * time.Second
)

// caseVersions replaces the workers of a service by those of another software version while the connection on which one machine
// hears of workers is silent, and has clients take streams up there.
func caseVersions(folder string) {
	store := newStore()
	tenant := Tenant{"hule930", "n2ctnfzs989anu6wsjnb", 50_000_000}
	writeConfig(store, 7, []Tenant{tenant})
	var before []*Worker
	for i := range 3 {
		w := &Worker{ID: fmt.Sprintf("i-old%d", i), Service: "orto-model", Zone: "catania", Slots: 128, Work: 20 * time.Millisecond, Interval: 50 * time.Millisecond}
		w.start(store)
		before = append(before, w)
	}
	toStore := newRelay(store.Address)
	stores := slices.Repeat([]string{store.Address}, 6)
	stores[0] = toStore.Address
	routers := startRoutersAt(folder, stores, "catania", "palermo", "siracusa", "agrigento", "messina", "trapani")
	toFirst := newRelay(routers[1].Front)
	time.Sleep(settled)
	if trouble() {
		record("connections of %s to the store that went silent: %d", routers[0].Node, toStore.silence("table=servers"))
		time.Sleep(50 * time.Millisecond)
	}
	for i := range 3 {
		w := &Worker{ID: fmt.Sprintf("i-new%d", i), Service: "orto-model", Zone: "palermo", Slots: 128, Work: 20 * time.Millisecond, Interval: 50 * time.Millisecond, Version: "v2"}
		w.start(store)
	}
	for _, w := range before {
		w.leave()
	}
	record("workers of v2 have started, those of v1 leave and serve on for drainMs and a little longer")
	time.Sleep(300 * time.Millisecond)
	streams := make([]*Stream, streamCount)
	var group sync.WaitGroup
	for i := range streams {
		streams[i] = &Stream{id: newID("s"), key: tenant.Key}
		group.Go(func() { streams[i].read(toFirst.Address, "") })
	}
	time.Sleep(500 * time.Millisecond)
	record("connections of clients to %s are reset", routers[1].Node)
	toFirst.reset()
	group.Wait()
	begun := 0
	for _, s := range streams {
		if s.last > 0 {
			begun++
			group.Go(func() { s.read(routers[0].Front, s.id) })
		}
	}
	group.Wait()
	mixed, resumed := 0, 0
	for _, s := range streams {
		record("stream %s: last event %d, versions %v, parts %d", s.id, s.last, s.versions, s.parts)
		if len(s.versions) > 1 {
			mixed++
		}
		if s.parts > 1 {
			resumed++
		}
	}
	if begun == 0 {
		cannotRun("no stream began")
	}
	verdict(mixed > 2, "%d of %d streams that had begun hold events of two software versions (rule: at most 2); %d went on", mixed, begun, resumed)
}

// Stream is a stream as its client sees it.
type Stream struct {
	id, key  string
	last     int      // Number of the last event.
	versions []string // In the order in which they came.
	parts    int      // Answers with at least one event.
}

// read requests the stream, or the rest of it, and reads events until its end.
func (s *Stream) read(address, resumes string) {
	client := connect(address)
	if client == nil {
		record("client: %s gets no connection", s.id)
		return
	}
	defer client.close()
	id := s.id
	text := ""
	if resumes != "" {
		id = newID("r")
		text = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", resumes, s.last)
	}
	record("client: %s sent for stream %s after event %d", id, s.id, s.last)
	_ = client.conn.SetDeadline(time.Now().Add(15 * time.Second))
	_, _ = fmt.Fprintf(client.conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Citronslip-Request-Id: %s\r\nX-Citronslip-Deadline-Ms: 8000\r\n"+
		"X-Citronslip-Model: m\r\nX-Citronslip-Token-Usage: 1460,%d\r\nX-Citronslip-Prompt-Prefix: 5c1e07a2:800,%x:660\r\n"+
		"Authorization: Bearer %s\r\n%sContent-Length: 2\r\n\r\n{}", planPath, siteHost, id, streamEvents*tokensPerEvent, lastID.Load(), s.key, text)
	response, err := http.ReadResponse(client.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		record("client: %s no answer: %v", id, err)
		return
	}
	record("client: %s answered %d, signature %q", id, response.StatusCode, response.Header.Get("X-Citronslip-Response-Signature"))
	if response.StatusCode != http.StatusOK {
		return
	}
	part := false
	var pending strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		pending.Write(buffer[:n])
		events := strings.Split(pending.String(), "\n\n")
		pending.Reset()
		pending.WriteString(events[len(events)-1])
		for _, event := range events[:len(events)-1] {
			number, version := parseEvent(event)
			if number == 0 {
				continue
			}
			part = true
			s.last = number
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
		}
		if err != nil {
			if err != io.EOF {
				record("client: %s broken off after event %d: %v", id, s.last, err)
			}
			break
		}
	}
	if part {
		s.parts++
	}
}

// parseEvent returns the number and the software version of an event.
func parseEvent(event string) (number int, version string) {
	for _, line := range strings.Split(event, "\n") {
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(value)
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			version, _, _ = strings.Cut(value, " ")
		}
	}
	return number, version
}
