package ratelimit

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/rendezvous"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// Table is the table of the store with one row for each server process that has named a rate limit.
	Table = "limit"
	// FeedWait is how long the store may hold a feed call of Table. It is shorter than Lease, so that each router has
	// news in time.
	FeedWait = 8 * time.Second
	// writeTimeout is the timeout of one write to the store.
	writeTimeout = time.Second
	// sweepInterval is the time between two searches for limits of processes that are gone, goneTTL how long such a
	// limit is kept.
	sweepInterval = 10 * time.Second
	goneTTL       = 30 * time.Second
	// maxNotifications is the number of routers that are told of a limit at the same time.
	maxNotifications = 16
)

// key returns the key of the row of a process.
func key(p Process) store.Key { return store.Key{Table: Table, Name: p.String()} }

// claim starts to write the row that makes this router the issuer, unless a write is in progress or has just failed. The
// caller holds the lock.
func (l *Limiter) claim(p Process, known *limit) {
	if known.writing || l.Now().Sub(known.wroteAt) < retryInterval {
		return
	}
	known.writing = true
	row := wire.RatelimitRow{Issuer: l.Instance, Address: l.Address, Rate: float64(known.rate), Brittle: float64(known.brittle)}
	before := known.row
	go func() {
		result, err := l.write(p, before.version, &row)
		l.mu.Lock()
		defer l.mu.Unlock()
		wasOffline := known.offline
		l.endWrite(known, err)
		if known.offline && !wasOffline {
			l.notifyMembers(p, known)
		}
		switch {
		case err == nil:
			l.limits[p] = known
			l.becomeIssuer(p, known, issuerRow{row, result.Version})
		case errors.Is(err, store.ErrConflict):
			known.row, known.removing = issuerRow{}, false // The row may be gone.
			l.applyRows(result.Rows)
		}
	}()
}

// notifyMembers tells the other routers of a limit whose row cannot be written. The caller holds the lock.
func (l *Limiter) notifyMembers(p Process, known *limit) {
	report := wire.RatelimitReport{Server: p.Server, Born: int(p.Born), Named: true, Rate: float64(known.rate), Brittle: float64(known.brittle)}
	addresses := slices.DeleteFunc(l.Members(), func(address string) bool { return address == l.Address })
	go func() {
		var group errgroup.Group
		group.SetLimit(maxNotifications)
		for _, address := range addresses {
			group.Go(func() error {
				ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
				defer cancel()
				_, _ = l.sendReport(ctx, address, report) // A router that it does not reach learns the limit from a response.
				return nil
			})
		}
		_ = group.Wait() // The functions return no errors.
	}()
}

// becomeIssuer makes this router the issuer of a limit. The issuers before it may not know that yet. The caller holds the
// lock.
func (l *Limiter) becomeIssuer(p Process, known *limit, row issuerRow) {
	if known.row.Issuer == l.Instance {
		known.row, known.rowLost, known.removing = row, false, false
		return
	}
	now := l.Now()
	known.fullRateAt = now
	if known.row.version != 0 || known.rowLost {
		known.fullRateAt = now.Add(Lease)
	}
	known.rowLost, known.removing = false, false
	event.RateIssuerChanged.Log(l.Logger).Str("process", p.String()).Float64("rate", float64(known.rate)).
		Str("before", known.row.Issuer).Str("issuer", row.Issuer).Int64("version", row.version).Send()
	known.row = row
	known.schedule.restart(now, l.interval(p, known, now))
}

// remove starts to remove the row of a limit that has ended, and retries until it is gone. The caller holds the lock.
func (l *Limiter) remove(p Process, known *limit) {
	if known.writing || l.Now().Sub(known.wroteAt) < retryInterval {
		return
	}
	known.writing = true
	version := known.row.version
	go func() {
		result, err := l.write(p, version, nil)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.endWrite(known, err)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			known.removing = known.removing || errors.Is(err, store.ErrUnknown)
			return
		}
		if l.limits[p] == known && known.row.version == version {
			l.forget(p, "response")
		}
		l.applyRows(result.Rows) // Another router may have written the row.
	}()
}

// keepRow writes the row again if the server has named the limit again while a removal of it is unanswered: a changed row
// can no longer be removed. Until then this router issues permits at unconfirmedShare, as a successor that finds no row does
// not know that there is an issuer. The caller holds the lock.
func (l *Limiter) keepRow(p Process, known *limit) {
	if known.removing && !known.ended && known.row.Issuer == l.Instance {
		l.claim(p, known)
	}
}

// write writes the row of a process, or removes it if row is nil, provided that it has the given version.
func (l *Limiter) write(p Process, version int64, row *wire.RatelimitRow) (store.Result, error) {
	w := store.Write{Expect: []store.Condition{{Key: key(p), Version: version}}}
	if row == nil {
		w.Remove = []store.Key{key(p)}
	} else {
		value, err := json.Marshal(row)
		if err != nil {
			return store.Result{}, err
		}
		w.Puts = []store.Put{{Key: key(p), Value: value}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	result, err := l.Store.Write(ctx, w)
	if err != nil {
		event.RateRowWriteFailed.Log(l.Logger).Str("process", p.String()).Int64("version", version).Err(err).Send()
	}
	return result, err
}

// endWrite records the end of a write. The caller holds the lock.
func (l *Limiter) endWrite(known *limit, err error) {
	known.writing = false
	known.wroteAt = l.Now()
	known.offline = err != nil && !errors.Is(err, store.ErrConflict)
}

// Apply applies rows of Table, or all of them.
func (l *Limiter) Apply(change store.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(change.Rows))
	for _, row := range change.Rows {
		listed[row.Name] = true
	}
	if l.enterEra(change.Era) {
		l.restoreRows(listed)
	}
	l.applyRows(change.Rows)
	if !change.Whole {
		return
	}
	for p, known := range l.limits {
		if !listed[p.String()] && known.row.version != 0 && known.row.version <= change.Version {
			l.forget(p, "store")
		}
	}
}

// enterEra reports whether the store came back from an older copy since the last change. The caller holds the lock.
func (l *Limiter) enterEra(era int64) bool {
	before := l.era
	l.era = max(l.era, era)
	return before != 0 && era > before
}

// restoreRows forgets the versions of all rows, which the store uses again. Limits whose rows it has forgotten stay; their
// issuers write them again. The caller holds the lock.
func (l *Limiter) restoreRows(listed map[string]bool) {
	for p, known := range l.limits {
		known.rowLost = known.rowLost || known.row.version != 0
		known.row.version = 0
		switch {
		case listed[p.String()]:
		case known.row.Issuer == l.Instance:
			l.claim(p, known)
		default:
			known.row = issuerRow{}
		}
	}
}

// applyRows applies rows that are newer than the known ones. The caller holds the lock.
func (l *Limiter) applyRows(rows []store.Row) {
	for _, row := range rows {
		p, ok := parseProcess(row.Name)
		if !ok {
			event.RateRowInvalid.Log(l.Logger).Str("row", row.Name).Int64("version", row.Version).Send()
			continue
		}
		known := l.limits[p]
		switch {
		case known != nil && row.Version < known.row.version:
		case row.Version == 0:
		case row.Deleted:
			if known != nil && known.row.version != 0 {
				l.forget(p, "store")
			} else if known == nil {
				l.markSound(p)
			}
		default:
			l.applyRow(p, row)
		}
	}
}

// applyRow applies the row of a process. The caller holds the lock.
func (l *Limiter) applyRow(p Process, row store.Row) {
	next := issuerRow{version: row.Version}
	if err := json.Unmarshal(row.Value, &next.RatelimitRow); err != nil {
		event.RateRowInvalid.Log(l.Logger).Str("row", row.Name).Int64("version", row.Version).Err(err).Send()
		return
	}
	known := l.limits[p]
	if known == nil {
		known = l.learn(p, wire.RatelimitPermit{}, terms{Rate(next.Rate), Rate(next.Brittle)}, "store")
	}
	if next.Issuer == l.Instance {
		l.becomeIssuer(p, known, next)
		return
	}
	if known.row.Issuer == l.Instance {
		event.RateIssuerChanged.Log(l.Logger).Str("process", p.String()).Float64("rate", float64(known.rate)).
			Str("before", l.Instance).Str("issuer", next.Issuer).Int64("version", next.version).Send()
	}
	known.row, known.ended, known.removing = next, false, false
}

// Run removes limits of processes that are gone, and retries to remove those that have ended, until the context ends. It
// returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	for i := 0; delay.Sleep(ctx, retryInterval); i++ {
		l.removeEnded()
		if i%int(sweepInterval/retryInterval) == 0 {
			l.sweep()
		}
	}
	return nil
}

// removeEnded removes the rows of limits that have ended.
func (l *Limiter) removeEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, known := range l.limits {
		if known.ended {
			l.remove(p, known)
		}
		l.keepRow(p, known)
	}
}

// sweep forgets the limits of processes that have been gone for goneTTL. The row is removed by its issuer or, if that
// does not run, by the router that would succeed it.
func (l *Limiter) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	maps.DeleteFunc(l.unreachable, func(address string, _ time.Time) bool { return !l.isUnreachable(address) })
	maps.DeleteFunc(l.sound, func(p Process, _ bool) bool { return !l.Running(p) })
	members := append(l.Members(), l.Address)
	for p, known := range l.limits {
		switch {
		case l.Running(p):
			known.missingSince = time.Time{}
		case known.missingSince.IsZero():
			known.missingSince = now
		case now.Sub(known.missingSince) < goneTTL:
		case known.row.version == 0:
			l.forget(p, "registry")
		case known.row.Issuer == l.Instance || !slices.Contains(members, known.row.Address) && l.isHome(p, members):
			known.ended = true
		}
	}
}

// isHome reports whether this router has the highest rendezvous hash of the members for a process.
func (l *Limiter) isHome(p Process, members []string) bool {
	return l.Address == rendezvous.Highest(members, func(address string) uint64 { return rendezvous.Hash(address, p.String()) })
}
