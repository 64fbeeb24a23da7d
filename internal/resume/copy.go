package resume

import (
	"context"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/wire"
)

const (
	// sendCheckInterval is the time between two checks whether all records are handed over.
	sendCheckInterval = 10 * time.Millisecond
)

type (
	// outbox holds the records that wait for one router. Those that come while a call is made go out with the next one.
	outbox struct {
		pending []*transfer
	}

	// transfer is a record on its way to other routers.
	transfer struct {
		key    uint64
		record *record
		spares []string // Further routers, for those that cannot be reached.
	}
)

// copyOwn hands the records of this router's streams of a service to other routers.
func (t *Tracker) copyOwn(service string) {
	t.copyRecords(t.selectRecords(func(r *record) bool { return r.own && r.origin.Service == service }))
}

// HandOver hands all records that other routers may need to them, before this router ends. It returns when they are delivered,
// or when the context ends.
func (t *Tracker) HandOver(ctx context.Context) {
	t.copyRecords(t.selectRecords(func(r *record) bool {
		s := t.state(r.origin.Service, r.expires.Sub(t.Now()))
		return s.Several || !s.Sure
	}))
	for t.isSending() && delay.Sleep(ctx, sendCheckInterval) {
	}
}

// selectRecords returns the records that are still needed and that selected accepts, which is called with the lock held.
func (t *Tracker) selectRecords(selected func(r *record) bool) []*transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var transfers []*transfer
	for key, r := range t.records {
		if now.Before(r.expires) && selected(r) {
			transfers = append(transfers, &transfer{key: key, record: r})
		}
	}
	return transfers
}

// isSending reports whether records wait for other routers.
func (t *Tracker) isSending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.outboxes) > 0
}

// copyRecords hands records to the first of their homes. The lock is taken for each of them, so that first events and questions
// of other routers do not wait for many.
func (t *Tracker) copyRecords(transfers []*transfer) {
	if len(transfers) == 0 {
		return
	}
	routers := newRing(t.Members())
	for _, tr := range transfers {
		homes := routers.homes(tr.key)
		first := homes[:min(len(homes), copies)]
		tr.spares = homes[len(first):]
		t.mu.Lock()
		for _, address := range first {
			t.enqueue(address, tr)
		}
		t.mu.Unlock()
	}
}

// enqueue adds a record to those that wait for a router. The caller holds the lock.
func (t *Tracker) enqueue(address string, tr *transfer) {
	box := t.outboxes[address]
	if box == nil {
		if t.outboxes == nil {
			t.outboxes = make(map[string]*outbox)
		}
		box = &outbox{}
		t.outboxes[address] = box
		go t.deliver(address, box)
	}
	if len(box.pending) >= maxPending {
		t.count("dropped")
		return
	}
	box.pending = append(box.pending, tr)
}

// deliver hands the waiting records to a router until there are none. Those that it does not take go to another router.
func (t *Tracker) deliver(address string, box *outbox) {
	for {
		batch := t.takePending(address, box)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		_, err := t.Peers.Keep(ctx, address, t.encode(batch))
		cancel()
		if err != nil {
			event.RecordsNotCopied.Log(t.Logger).Str("peer", address).Int("records", len(batch)).Err(err).Send()
			t.Metrics.Counter("copies_failed").Inc(int64(len(batch)))
			t.useSpares(batch)
			continue
		}
		t.Metrics.Counter("copies").Inc(int64(len(batch)))
	}
}

// takePending returns the records that wait, and removes the outbox if there are none.
func (t *Tracker) takePending(address string, box *outbox) []*transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	batch := box.pending
	box.pending = nil
	if len(batch) == 0 {
		delete(t.outboxes, address)
	}
	return batch
}

// useSpares hands records that a router did not take to the next of their homes.
func (t *Tracker) useSpares(batch []*transfer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tr := range batch {
		if len(tr.spares) > 0 {
			next := tr.spares[0]
			tr.spares = tr.spares[1:]
			t.enqueue(next, tr)
		}
	}
}

func (t *Tracker) encode(batch []*transfer) wire.ResumeRecords {
	now := t.Now()
	records := wire.ResumeRecords{Records: make([]wire.ResumeRecord, 0, len(batch))}
	for _, tr := range batch {
		records.Records = append(records.Records, tr.record.encode(tr.key, now))
	}
	return records
}
