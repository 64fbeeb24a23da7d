package resume

import (
	"maps"
	"strconv"
	"time"

	"citronslip/internal/wire"
)

const (
	// maxRecordTime is the longest time for which a record of another router is kept.
	maxRecordTime = 24 * time.Hour
	// keyBase is the base in which the key of a stream is written.
	keyBase = 16
	keyBits = 64
)

type (
	// record says where a stream began.
	record struct {
		origin  Origin
		expires time.Time
		own     bool // Whether this router has served the stream.
	}
)

// Begin records where a stream began. Call it when the first event is forwarded, also of a stream that was taken up. The
// window is the time from then on in which the caller may take the stream up.
func (t *Tracker) Begin(stream Stream, origin Origin, window time.Duration) {
	key := stream.key()
	t.mu.Lock()
	r := &record{origin: origin, expires: t.Now().Add(window + recordMargin), own: true}
	t.store(key, r)
	s := t.state(origin.Service, window+recordMargin)
	t.mu.Unlock()
	if s.Several || !s.Sure {
		t.copyRecords([]*transfer{{key: key, record: r}})
	}
}

// Keep keeps records for another router and returns how many it keeps.
func (t *Tracker) Keep(records wire.ResumeRecords) wire.ResumeAck {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := 0
	for _, r := range records.Records {
		key, err := strconv.ParseUint(r.Stream, keyBase, keyBits)
		left := time.Duration(r.Left) * time.Millisecond
		if err != nil || left <= 0 || left > maxRecordTime {
			continue
		}
		known := t.records[key]
		next := &record{
			origin:  Origin{Service: r.Service, Software: r.Software},
			expires: t.Now().Add(left),
			own:     known != nil && known.own,
		}
		if t.store(key, next) {
			kept++
		}
	}
	return wire.ResumeAck{Kept: kept}
}

// store stores a record, unless there are too many, and reports whether it did. The caller holds the lock.
func (t *Tracker) store(key uint64, r *record) bool {
	if len(t.records) >= maxRecords && t.records[key] == nil {
		t.count("dropped")
		return false
	}
	if t.records == nil {
		t.records = make(map[uint64]*record)
	}
	t.records[key] = r
	return true
}

// lookup returns the record of a stream, or nil. The caller holds the lock.
func (t *Tracker) lookup(key uint64) *record {
	r := t.records[key]
	if r == nil || t.Now().After(r.expires) {
		return nil
	}
	return r
}

// removeExpired forgets the records that are no longer needed.
func (t *Tracker) removeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	maps.DeleteFunc(t.records, func(_ uint64, r *record) bool { return now.After(r.expires) })
}

// encode returns the record as it is sent to another router.
func (r *record) encode(key uint64, now time.Time) wire.ResumeRecord {
	return wire.ResumeRecord{
		Stream:   strconv.FormatUint(key, keyBase),
		Service:  r.origin.Service,
		Software: r.origin.Software,
		Left:     int(r.expires.Sub(now).Milliseconds()),
	}
}
