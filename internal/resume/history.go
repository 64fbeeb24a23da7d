package resume

import (
	"slices"
	"time"

	"citronslip/internal/event"
	"citronslip/internal/wire"
)

type (
	// history is what a router knows of the software versions of one service.
	history struct {
		present   []string  // Versions of the servers in use, sorted.
		latest    string    // One of the versions that served last.
		severalAt time.Time // When more than one version served last; zero if that was not seen.
	}
)

// Observe records the software versions of all servers, one Origin for each. Records of running streams are handed to other
// routers as soon as a service has several versions.
func (t *Tracker) Observe(servers []Origin) {
	for _, service := range t.updateHistories(servers) {
		go t.copyOwn(service)
	}
}

// updateHistories records the software versions of all servers and returns the services that have several from now on.
func (t *Tracker) updateHistories(servers []Origin) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	if t.watchedAt.IsZero() {
		t.watchedAt = now
	}
	present := make(map[string][]string)
	for _, s := range servers {
		if !slices.Contains(present[s.Service], s.Software) {
			present[s.Service] = append(present[s.Service], s.Software)
		}
	}
	for service := range present {
		if t.histories == nil {
			t.histories = make(map[string]*history)
		}
		if t.histories[service] == nil {
			t.histories[service] = &history{}
		}
	}
	var several []string
	for service, h := range t.histories {
		versions := present[service]
		slices.Sort(versions)
		if !slices.Equal(versions, h.present) && t.updateHistory(service, h, versions, now) {
			several = append(several, service)
		}
	}
	return several
}

// updateHistory records changed versions of a service and reports whether it has several from now on. The caller holds the
// lock.
func (t *Tracker) updateHistory(service string, h *history, versions []string, now time.Time) bool {
	wasSeveral := len(h.present) > 1
	replaced := len(versions) == 1 && h.latest != "" && versions[0] != h.latest
	if wasSeveral || len(versions) > 1 || replaced {
		h.severalAt = now
		event.ServiceSoftwareChanged.Log(t.Logger).Str("service", service).Strs("before", h.present).Strs("versions", versions).Send()
	}
	h.present = versions
	if len(versions) > 0 {
		h.latest = versions[len(versions)-1]
	}
	return !wasSeveral && (len(versions) > 1 || replaced)
}

// watchedFor reports whether the router has known the servers throughout the window until now. The caller holds the lock.
func (t *Tracker) watchedFor(window time.Duration) bool {
	return !t.watchedAt.IsZero() && t.Now().Sub(t.watchedAt) >= window
}

// state returns what is known of the versions that served in a service within the window until now. The caller holds the
// lock.
func (t *Tracker) state(service string, window time.Duration) wire.ResumeState {
	now := t.Now()
	s := wire.ResumeState{Service: service}
	s.Sure = t.watchedFor(window) || t.rows.read && !t.watchedAt.IsZero()
	if h := t.histories[service]; h != nil {
		s.Software = h.latest
		s.Several = len(h.present) > 1 || !h.severalAt.IsZero() && now.Sub(h.severalAt) < window
	}
	return s
}
