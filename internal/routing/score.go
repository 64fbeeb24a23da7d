package routing

import "time"

const (
	// longestPrefix bounds the work of one decision; a longer common prefix adds little to the choice.
	longestPrefix = 32
	wrongPlace    = "place not allowed"

	// homeShare is the part of a prefix that its home is expected to hold without a hint.
	homeShare = 0.9
	// noise is the relative random part of a score.
	noise = 0.05
	// golden is the fractional part of the golden ratio.
	golden = 0.6180339887498949
	// gapWeight is how many token gaps count as much as the same time before the first token.
	gapWeight = 8
	// baseTokens is the part of a first token's time that does not depend on the prompt, in prompt tokens.
	baseTokens = 256
	// baseBatch is the batch size at which an iteration takes twice the time of an empty one.
	baseBatch = 32

	// Speeds before any sample. Only their ratio matters, and only until the first samples.
	firstUnit = 1e-4
	gapUnit   = 5e-4

	// runningAge and pendingAge are the ages at which a load report counts half against the router's own view. Queued
	// prompts change much faster than the batch.
	runningAge = 10 * time.Second
	pendingAge = time.Second
	// speedAge is the age at which a learned speed counts half against the fleet's mean, so that a server that was
	// once slow is tried again.
	speedAge = 60 * time.Second
	// leastAlpha is the weight of a new sample once there are many.
	leastAlpha = 0.1
	// mostScale bounds the extrapolation from own work to that of all routers; beyond it one request would count as a
	// full batch.
	mostScale = 8
	// slowest is the share of its speed with which a new server starts.
	slowest = 0.1
)

type (
	// speed is what the picker learned of a server: the time per unit of work before the first token and between
	// tokens.
	speed struct {
		first unit
		gap   unit
	}

	// unit is a learned time per unit of work in seconds.
	unit struct {
		value   float64
		samples int
		time    time.Time
	}

	// share is this router's part of the servers' work, learned from load reports.
	share struct {
		own   float64
		total float64
	}

	// estimate is what a server promises for one request.
	estimate struct {
		score  float64
		first  float64
		gap    float64
		cached int64
		batch  float64
	}
)

// estimate returns what the server promises for the request.
func (p *Picker) estimate(s *server, r *Request, now time.Time, scale float64) estimate {
	batch, ahead := p.expect(s, scale, now, r.Priority > 0)
	cached := min(int64(float64(p.gains[s.number])*s.trust), r.Prompt)
	work := baseTokens + ahead + float64(r.Prompt-cached)
	first := s.speed.first.at(now, p.fleet.first, firstUnit) * work * (baseBatch + batch) / baseBatch
	gap := s.speed.gap.at(now, p.fleet.gap, gapUnit) * (baseBatch + batch + 1)
	reading := p.Reading * p.fleet.first.at(now, p.fleet.first, firstUnit) * float64(r.Prompt-cached)
	score := (first + gapWeight*gap + reading) / p.ramp(s, now)
	return estimate{score: score, first: first, gap: gap, cached: cached, batch: batch}
}

// expect returns the expected batch of the server and the prompt tokens ahead of a new request. Both combine the last
// load report, corrected by the own work since then, with the own work alone; the older the report, the less it counts.
func (p *Picker) expect(s *server, scale float64, now time.Time, urgent bool) (batch, ahead float64) {
	class := 0
	if urgent {
		class = 1
	}
	batch = float64(s.own.running) * scale
	ahead = float64(s.own.pending[class]) * scale
	if !s.loaded {
		return batch, ahead
	}
	queued := s.load.Queued
	if urgent {
		queued = s.load.Urgent
	}
	age := now.Sub(s.load.Time)
	reported := float64(s.load.Running+s.load.Waiting) + scale*float64(s.own.running-s.then.running)
	reported = max(reported, float64(s.own.running))
	waiting := float64(queued) + scale*float64(s.own.pending[class]-s.then.pending[class])
	waiting = max(waiting, float64(s.own.pending[class]))
	batch += (reported - batch) * fresh(age, runningAge)
	ahead += (waiting - ahead) * fresh(age, pendingAge)
	return batch, ahead
}

// ramp returns the share of its speed that counts for a new server.
func (p *Picker) ramp(s *server, now time.Time) float64 {
	if s.added.IsZero() {
		return 1
	}
	full := p.SlowStart
	age := now.Sub(s.added)
	if age >= full {
		return 1
	}
	return max(slowest, float64(age)/float64(full))
}

// learn adds a sample of a server's speed, in seconds per unit.
func (p *Picker) learn(server, fleet *unit, seconds, work float64, now time.Time) {
	if seconds <= 0 || work <= 0 {
		return
	}
	server.add(seconds/work, now)
	fleet.add(seconds/work, now)
}

// add moves the mean towards the sample.
func (u *unit) add(value float64, now time.Time) {
	u.samples++
	alpha := max(leastAlpha, 1/float64(u.samples))
	u.value += (value - u.value) * alpha
	u.time = now
}

// at returns the learned value, moved towards the fleet's with the age of the last sample.
func (u *unit) at(now time.Time, fleet unit, otherwise float64) float64 {
	if fleet.samples == 0 {
		return otherwise
	}
	if u.samples == 0 {
		return fleet.value
	}
	return fleet.value + (u.value-fleet.value)*fresh(now.Sub(u.time), speedAge)
}

// add takes the own and the total work at the time of one load report.
func (s *share) add(own, total float64) {
	const keep = 0.99
	s.own = s.own*keep + own
	s.total = s.total*keep + max(total, own)
}

// scale returns by how much the work of all routers exceeds the own work.
func (s *share) scale() float64 {
	if s.own <= 0 {
		return 1
	}
	return min(s.total/s.own, mostScale)
}

// candidate returns the estimate as part of an explanation.
func (e *estimate) candidate(s *server) Candidate {
	return Candidate{
		Server:  s.conf.Name,
		Score:   e.score,
		First:   seconds(e.first),
		Gap:     seconds(e.gap),
		Cached:  e.cached,
		Running: int(e.batch),
	}
}

// fresh returns one for a new value and one half at the given age.
func fresh(age, half time.Duration) float64 {
	return float64(half) / float64(half+max(age, 0))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
