package quarantine

import (
	"context"
	"slices"
	"strings"
	"time"
)

type (
	// slotUse is the use of one fingerprint's free slot by copies on one server.
	slotUse struct {
		server        string
		copyDeadlines map[string]time.Time // Time after which a copy has certainly ended, by its holder.
	}

	// reportedCrash holds the crashes of one request that peers reported, and the time of the last report.
	reportedCrash struct {
		record Record
		at     time.Time
	}

	// listHistory holds the lists of names that were in force when copies that may still run were admitted, the current
	// list last.
	listHistory struct {
		lists []nameList
	}

	// nameList is a list of declared routers or servers.
	nameList struct {
		names []string
		until time.Time // Time after which all copies admitted under the list have ended; zero for the current list.
	}
)

// GrantFreeSlot grants the free slot to a copy of a fingerprint whose home is this router. All copies get the same
// server until the last of them has ended. For a suspect the result is the record instead, unless the copy is a trial
// and the free slot has no crash yet.
func (g *Guard) GrantFreeSlot(r ReserveRequest) SlotGrant {
	now := g.now()
	record, suspect := g.Lookup(r.Fingerprint)
	g.mu.Lock()
	defer g.mu.Unlock()
	if suspect && (!r.Trial || record.Free != "") {
		return SlotGrant{Record: &record}
	}
	if !g.isHome(r.Fingerprint, now) {
		return SlotGrant{}
	}
	g.removeExpiredCopies(r.Fingerprint, now)
	slot := g.freeSlots[r.Fingerprint]
	if slot == nil {
		slot = &slotUse{server: r.Server, copyDeadlines: make(map[string]time.Time)}
		g.addFreeSlot(r.Fingerprint, slot)
	}
	slot.copyDeadlines[r.Holder] = now.Add(g.maxCopyLifetime())
	return SlotGrant{Server: slot.server}
}

// isHome reports whether this router is the fingerprint's home and all copies have ended that may have been granted by
// another home or by an earlier process of this host.
func (g *Guard) isHome(fingerprint string, now time.Time) bool {
	hosts := g.Hosts()
	if len(g.hostLists.lists) == 0 && !g.Fresh {
		g.hostLists.lists = []nameList{{until: now.Add(g.maxCopyLifetime())}}
	}
	g.hostLists.setCurrent(hosts, now, g.maxCopyLifetime())
	return firstRanked(fingerprint, hosts) == g.Host && g.hostLists.isStable(fingerprint)
}

func (g *Guard) addFreeSlot(fingerprint string, slot *slotUse) {
	if g.freeSlots == nil {
		g.freeSlots = make(map[string]*slotUse)
	}
	g.freeSlots[fingerprint] = slot
}

func (g *Guard) removeExpiredCopies(fingerprint string, now time.Time) {
	slot := g.freeSlots[fingerprint]
	if slot == nil {
		return
	}
	for holder, until := range slot.copyDeadlines {
		if now.After(until) {
			delete(slot.copyDeadlines, holder)
		}
	}
	if len(slot.copyDeadlines) == 0 {
		delete(g.freeSlots, fingerprint)
	}
}

// EndCopy ends the copy of one holder in the free slot, and frees the slot if it was the last one.
func (g *Guard) EndCopy(d CopyDone) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slot := g.freeSlots[d.Fingerprint]
	if slot == nil {
		return
	}
	delete(slot.copyDeadlines, d.Holder)
	if len(slot.copyDeadlines) == 0 {
		delete(g.freeSlots, d.Fingerprint)
	}
}

// AddCrashReport adds a crash that this router detected or that a peer sent. It is kept until this router has brought
// the row of the fingerprint up to date, or until Sync finds it older than maxCrashWriteTime, within which the router
// that detected the crash has recorded it.
func (g *Guard) AddCrashReport(r CrashReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reported == nil {
		g.reported = make(map[string]reportedCrash)
	}
	record := g.reported[r.Fingerprint].record.merge(AdmittedCopy{Slot: r.Slot, Server: r.Server}.crashRecord())
	g.reported[r.Fingerprint] = reportedCrash{record: record, at: g.now()}
}

// RecordServerDown notes that a server crashed. If the router that holds a copy there died before it could record the
// crash, this router records it as the home of the fingerprint.
func (g *Guard) RecordServerDown(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for fingerprint, slot := range g.freeSlots {
		if slot.server != server {
			continue
		}
		for holder := range slot.copyDeadlines {
			admitted := AdmittedCopy{Fingerprint: fingerprint, Server: server, Slot: SlotFree, holder: holder}
			g.possibleOrphans = append(g.possibleOrphans, admitted)
		}
	}
}

// orphanedCopies returns the copies on crashed servers whose routers are dead.
func (g *Guard) orphanedCopies(ctx context.Context) []AdmittedCopy {
	g.mu.Lock()
	g.possibleOrphans = slices.DeleteFunc(g.possibleOrphans, func(admitted AdmittedCopy) bool {
		slot := g.freeSlots[admitted.Fingerprint]
		return slot == nil || slot.copyDeadlines[admitted.holder].Before(g.now())
	})
	candidates := slices.Clone(g.possibleOrphans)
	g.mu.Unlock()
	return slices.DeleteFunc(candidates, func(admitted AdmittedCopy) bool {
		return !g.isDead(ctx, admitted.holder[:strings.LastIndex(admitted.holder, "/")])
	})
}

func (g *Guard) isDead(ctx context.Context, instance string) bool {
	if g.Dead == nil || instance == g.Instance {
		return false
	}
	dead, err := g.Dead(ctx, instance)
	return err == nil && dead
}

// setCurrent makes names the current list. The previous list is kept until the copies admitted under it have ended.
func (h *listHistory) setCurrent(names []string, now time.Time, maxCopyLifetime time.Duration) {
	h.lists = slices.DeleteFunc(h.lists, func(l nameList) bool { return !l.until.IsZero() && now.After(l.until) })
	last := len(h.lists) - 1
	if last >= 0 && h.lists[last].until.IsZero() {
		if slices.Equal(h.lists[last].names, names) {
			return
		}
		h.lists[last].until = now.Add(maxCopyLifetime)
	}
	h.lists = append(h.lists, nameList{names: slices.Clone(names)})
}

// isStable reports whether all lists rank the same name first for a fingerprint.
func (h *listHistory) isStable(fingerprint string) bool {
	current := firstRanked(fingerprint, h.lists[len(h.lists)-1].names)
	for _, l := range h.lists {
		if firstRanked(fingerprint, l.names) != current {
			return false
		}
	}
	return true
}
