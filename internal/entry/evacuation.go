package entry

import (
	"time"

	"citronslip/internal/evacuation"
	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// maxOperatorAge is the age of the store's last answer to the follower of the operator's rows from which on they are
	// fetched from other routers, although the store answers other calls. It is above the longest time between two answers
	// without changes, for which the store holds a call.
	maxOperatorAge = 5 * time.Second
	// maxIsolation is the time without an answer of the store or another router from which on a router is not ready, since it
	// learns of no evacuation. Routers are asked from minFetchStoreAge on, in at least two rounds until then.
	maxIsolation = 4 * time.Second
)

// buildEvacuations builds the tracker of evacuated data centres if the deployment has evacuations.
func (r *Router) buildEvacuations() {
	if !r.Settings.Evacuations {
		return
	}
	r.pool.Evacuations = &r.evacuations
	r.evacuated = &evacuation.Tracker{
		Decode:  r.Evacuation,
		Places:  &r.evacuations,
		Ended:   func(place string) { r.cold.MarkCold(place) }, // Its servers may have become cold meanwhile.
		Changed: r.pool.Refresh,
		Now:     time.Now,
		Logger:  r.Logger,
		Metrics: r.scope.SubScope("evacuation"),
	}
	r.standstill = &evacuation.Standstill{Now: time.Now, Age: func() time.Duration {
		age := r.operator.Age()
		if answered := r.peerAnsweredAt.Load(); answered != nil {
			age = min(age, time.Since(*answered))
		}
		return age
	}}
}

// applyOperator applies changed rows of the operator.
func (r *Router) applyOperator(change store.Change) {
	if r.evacuated != nil {
		r.evacuated.Apply(change)
	}
	r.applyDirectory(change)
}

// knowsEvacuations reports whether it is known which data centres are evacuated.
func (r *Router) knowsEvacuations() bool {
	return r.evacuated == nil || r.evacuations.Load() != nil
}

// regions returns the function that returns the region of each data centre; nil if home regions do not apply.
func (r *Router) regions() func() map[string]string {
	if r.Settings.Regions == nil {
		return nil
	}
	return func() map[string]string { return r.activeSettings.Load().Regions }
}

// queryEvacuations returns the version of the evacuations that this router knows, to ask another router for newer ones.
func (r *Router) queryEvacuations() *wire.RelayEvacuations {
	if r.evacuated == nil {
		return nil
	}
	version, era := r.evacuated.Version()
	return &wire.RelayEvacuations{Version: int(version), Era: int(era)}
}

// answerEvacuations returns the evacuations, without rows if they are not newer than those of the router that asks. It returns
// nil if this router has none or the other one asks for none, as one of an earlier release.
func (r *Router) answerEvacuations(query *wire.RelayEvacuations) *wire.RelayEvacuations {
	if r.evacuated == nil || query == nil {
		return nil
	}
	change, newer := r.evacuated.Newer(int64(query.Version), int64(query.Era))
	if !newer {
		version, era := r.evacuated.Version()
		return &wire.RelayEvacuations{Version: int(version), Era: int(era)}
	}
	answer := &wire.RelayEvacuations{Version: int(change.Version), Era: int(change.Era)}
	for _, row := range change.Rows {
		answer.Rows = append(answer.Rows, *encodeRow(row))
	}
	return answer
}

// tellsEvacuations reports whether an answer of another router tells which data centres are evacuated. That of a router of an
// earlier release, and of one that has not read them yet, does not.
func (r *Router) tellsEvacuations(answer *wire.RelayEvacuations) bool {
	return r.evacuated == nil || answer != nil && answer.Version >= 0
}

// applyRelayedEvacuations applies the evacuations that another router knows if they are newer than those it was asked with: it
// sends the rows only then.
func (r *Router) applyRelayedEvacuations(query, answer *wire.RelayEvacuations, address string) {
	if r.evacuated == nil || query == nil || answer == nil {
		return
	}
	if answer.Era < query.Era || answer.Era == query.Era && answer.Version <= query.Version {
		return
	}
	change := store.Change{Whole: true, Version: int64(answer.Version), Era: int64(answer.Era), Source: address}
	for _, w := range answer.Rows {
		row, err := decodeRow(w)
		if err != nil {
			event.RelayFailed.Log(r.Logger).Str("peer", address).Err(err).Send()
			return
		}
		row.Table, row.Part = r.DirectoryKey.Table, r.DirectoryKey.Part
		change.Rows = append(change.Rows, row)
	}
	r.evacuated.Apply(change)
}

// isolated reports whether neither the store nor another router answers, although others are known. Such a router learns of no
// evacuation, so that the balancer should use others. If most are isolated, it uses all of them.
func (r *Router) isolated() bool {
	if r.evacuated == nil || r.relayCache.storeAge() < maxIsolation || len(r.ledger.PeerAddresses()) == 0 {
		return false
	}
	answered := r.peerAnsweredAt.Load()
	return answered == nil || time.Since(*answered) >= maxIsolation
}
