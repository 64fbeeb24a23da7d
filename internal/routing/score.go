package routing

import (
	"math"
	"time"
)

const (
	// maxPrefixBlocks bounds the work of one decision; a longer common prefix hardly changes the choice.
	maxPrefixBlocks = 32
	// placeNotAllowed is the exclusion reason that findBest tells from the others.
	placeNotAllowed = "place not allowed"
	// evacuated is the exclusion reason of servers in evacuated data centres.
	evacuated = "evacuated"

	// defaultHome is the fraction of a prefix that its home server is expected to hold if the index has no entry.
	defaultHome = 0.9
	// defaultNoise is the random part of a score, relative to it.
	defaultNoise = 0.05
	// goldenRatioFraction is the fractional part of the golden ratio.
	goldenRatioFraction = 0.6180339887498949
	// tokenGapWeight is the number of token gaps that are added to the time to the first token in a score.
	tokenGapWeight = 8
	// fixedTokens is the part of the time to the first token that does not depend on the prompt, expressed in prompt
	// tokens.
	fixedTokens = 256
	// doublingBatch is the batch size at which an iteration takes twice as long as with an empty batch.
	doublingBatch = 32

	// Seconds per unit of work before any sample. Only their ratio matters, and only until the first samples.
	defaultFirstTokenUnit = 1e-4
	defaultTokenGapUnit   = 5e-4

	// runningHalfAge and pendingHalfAge are the ages at which a load report weighs as much as the router's own view.
	// Queued prompts change much faster than the batch.
	runningHalfAge = 10 * time.Second
	pendingHalfAge = time.Second
	// speedHalfAge is the age at which a learned speed weighs as much as the fleet's mean, so that a server that was
	// slow once is tried again.
	speedHalfAge = 60 * time.Second
	// minAlpha is the weight of a new sample in the moving average once there are many samples.
	minAlpha = 0.1
	// maxScale bounds the extrapolation from the router's own work to that of all routers; beyond it, one request would
	// count as a full batch.
	maxScale = 8
	// coldShare is the share of its speed at which a server is rated before its slow start begins. Its requests are bounded
	// by permits meanwhile, which would stay unused at the share with which the slow start begins.
	coldShare = 0.5
	// minSlowStartShare is the share of its speed with which a new or recovered server starts.
	minSlowStartShare = 0.1
)

type (
	// speed is the learned speed of a server: the time per unit of work before the first token and between tokens.
	speed struct {
		firstToken unitTime
		tokenGap   unitTime
	}

	// unitTime is a learned time per unit of work, in seconds.
	unitTime struct {
		value      float64
		samples    int
		lastSample time.Time
	}

	// workShare is this router's share of the servers' running requests, learned from load reports.
	workShare struct {
		own   float64 // Decaying sum of this router's running requests.
		total float64 // Decaying sum of all routers' running and waiting requests.
	}

	// estimate is the expected service of one request by a server. Times are in seconds.
	estimate struct {
		score        float64
		firstToken   float64
		tokenGap     float64
		cachedTokens int64
		batchSize    float64
		tokenTime    float64 // Part of firstToken for each prompt token that is not cached.
		tokenScore   float64 // Part of score for each prompt token that is not cached.
		delayScore   float64 // Part of score for each second that the first token is later.
	}
)

// estimate returns the expected service of the request by the server.
func (p *Picker) estimate(s *server, r *Request, now time.Time, scale float64) estimate {
	batchSize, tokensAhead := p.expectedWork(s, scale, now, r.Priority > 0)
	cachedTokens := p.expectedTokens(s, r)
	work := fixedTokens + tokensAhead + float64(r.Prompt-cachedTokens)
	firstToken := s.speed.firstToken.at(now, p.fleetSpeed.firstToken, defaultFirstTokenUnit) * work * (doublingBatch + batchSize) / doublingBatch
	tokenGap := s.speed.tokenGap.at(now, p.fleetSpeed.tokenGap, defaultTokenGapUnit) * (doublingBatch + batchSize + 1)
	fleetUnit := p.fleetSpeed.firstToken.at(now, p.fleetSpeed.firstToken, defaultFirstTokenUnit)
	promptCost := p.Reading * fleetUnit * float64(r.Prompt-cachedTokens)
	factor := s.workTime.factor(now)
	firstToken *= factor
	tokenGap *= factor
	share := p.slowStartShare(s, now)
	score := (firstToken + tokenGapWeight*tokenGap + promptCost) / share
	tokenTime := firstToken / work
	return estimate{
		score: score, firstToken: firstToken, tokenGap: tokenGap, cachedTokens: cachedTokens, batchSize: batchSize,
		tokenTime: tokenTime, tokenScore: (tokenTime + p.Reading*fleetUnit) / share, delayScore: 1 / share,
	}
}

// expectedWork returns the expected batch size of the server and the prompt tokens ahead of a new request. Both are a
// weighted mean of the last load report, corrected by the change of the own work since then, and of the own work alone;
// the older the report, the lower its weight.
func (p *Picker) expectedWork(s *server, scale float64, now time.Time, urgent bool) (batchSize, tokensAhead float64) {
	priorityClass := 0
	if urgent {
		priorityClass = 1
	}
	batchSize = float64(s.ownWork.running) * scale
	tokensAhead = float64(s.ownWork.pendingTokens[priorityClass]) * scale
	if !s.hasLoad {
		return batchSize, tokensAhead
	}
	queuedTokens := s.load.Queued
	if urgent {
		queuedTokens = s.load.Urgent
	}
	age := now.Sub(s.load.Time)
	reportedBatch := float64(s.load.Running+s.load.Waiting) + scale*float64(s.ownWork.running-s.ownAtReport.running)
	reportedBatch = max(reportedBatch, float64(s.ownWork.running))
	reportedAhead := float64(queuedTokens) + scale*float64(s.ownWork.pendingTokens[priorityClass]-s.ownAtReport.pendingTokens[priorityClass])
	reportedAhead = max(reportedAhead, float64(s.ownWork.pendingTokens[priorityClass]))
	batchSize += (reportedBatch - batchSize) * freshness(age, runningHalfAge)
	tokensAhead += (reportedAhead - tokensAhead) * freshness(age, pendingHalfAge)
	return batchSize, tokensAhead
}

// freeSlots returns the slots that were free by the last load report, less the requests that all routers have probably sent
// since. It is zero if requests were waiting or the server has not reported its slots.
func (p *Picker) freeSlots(s *server) int {
	if !s.hasLoad || s.load.Waiting > 0 {
		return 0
	}
	since := math.Ceil(p.workShare.scale() * float64(s.ownWork.running-s.ownAtReport.running))
	return max(s.load.Slots-max(s.load.Running+int(since), int(s.ownWork.running)), 0)
}

// slowStartShare returns the share of its speed at which a server is rated; less than one during its slow start.
func (p *Picker) slowStartShare(s *server, now time.Time) float64 {
	if s.slowStartBegin.IsZero() {
		return 1
	}
	rampTime := p.SlowStart
	age := now.Sub(s.slowStartBegin)
	switch {
	case age >= rampTime:
		return 1
	case age < 0:
		return coldShare
	}
	return max(minSlowStartShare, float64(age)/float64(rampTime))
}

// learnFrom adds a time that the server took, as learn does, without the part that its work time explains: estimate adds that
// part again by the work time at the time of a decision. If it were learned too, it would count twice.
func (p *Picker) learnFrom(s *server, own, fleet *unitTime, seconds, work float64, now time.Time) {
	p.learn(own, fleet, seconds/s.workTime.factor(now), work, now)
}

// learn adds a sample, the time in seconds that an amount of work took, to the speeds of the server and of the fleet.
func (p *Picker) learn(server, fleet *unitTime, seconds, work float64, now time.Time) {
	if seconds <= 0 || work <= 0 {
		return
	}
	server.add(seconds/work, now)
	fleet.add(seconds/work, now)
}

// add adds a sample to the moving average.
func (u *unitTime) add(value float64, now time.Time) {
	u.samples++
	alpha := max(minAlpha, 1/float64(u.samples))
	u.value += (value - u.value) * alpha
	u.lastSample = now
}

// at returns the learned value, which approaches the fleet's value as the last sample ages, or the fallback if the
// fleet has no samples.
func (u *unitTime) at(now time.Time, fleet unitTime, fallback float64) float64 {
	if fleet.samples == 0 {
		return fallback
	}
	if u.samples == 0 {
		return fleet.value
	}
	return fleet.value + (u.value-fleet.value)*freshness(now.Sub(u.lastSample), speedHalfAge)
}

// add adds the router's own and the total number of requests at the time of one load report.
func (w *workShare) add(own, total float64) {
	const decay = 0.99
	w.own = w.own*decay + own
	w.total = w.total*decay + max(total, own)
}

// scale returns the ratio of all routers' work to the own work, at most maxScale.
func (w *workShare) scale() float64 {
	if w.own <= 0 {
		return 1
	}
	return min(w.total/w.own, maxScale)
}

// candidate returns the estimate as a candidate of an explanation.
func (e *estimate) candidate(s *server) Candidate {
	return Candidate{
		Server:           s.config.Name,
		Score:            e.score,
		TimeToFirstToken: toDuration(e.firstToken),
		TokenGap:         toDuration(e.tokenGap),
		CachedTokens:     e.cachedTokens,
		Running:          int(e.batchSize),
	}
}

// freshness returns the weight of a value by its age: one if new, one half at halfAge, and less beyond.
func freshness(age, halfAge time.Duration) float64 {
	return float64(halfAge) / float64(halfAge+max(age, 0))
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
