package crash

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// crashThreshold is the number of crashes from which on content counts as their cause. Harmless content can meet
	// two crashes by chance.
	crashThreshold = 3
	// provenThreshold is the same for content that servers have answered before, counted from the latest answer. It
	// may have become harmful by a change of the server's software, or do harm late.
	provenThreshold = 6
	// minRequests is the number of different requests with a part that must have met crashes: a single request meets
	// several because it is retried.
	minRequests = 2
	// maxRequestsPerCrash is the mean number of requests with some content at a crash above which the content is popular.
	maxRequestsPerCrash = 2
	// burstWindow is the time within which crashes of several servers count as one: servers that lose their power together
	// say nothing about the requests that all of them were running.
	burstWindow = 200 * time.Millisecond
	// firstBlock is how long content is blocked after the last of crashThreshold crashes. Each further crash doubles the
	// time, up to recordTTL.
	firstBlock = 30 * time.Second
	// maxRecords is the maximum number of crash records and of proofs in memory.
	maxRecords = 4000

	partPrefix    = "part/"
	requestPrefix = "request/"
)

type (
	// feature is something that requests have in common: a part of their content, or the whole content.
	feature string

	// record is a request that a server process was running when it crashed.
	record struct {
		process     string // Server process.
		fingerprint string
		parts       []string
		progressed  bool          // Whether the server had gone on with its answer, so that no part can be the cause.
		clock       time.Duration // Store clock of the crash.
		own         bool          // Whether this router has written the record.
	}

	// recordKey identifies a record.
	recordKey struct {
		process     string
		fingerprint string
	}

	// verdict is content that crashes servers: requests that have all of the features.
	verdict struct {
		features []feature // Sorted.
		crashes  int
		popular  bool          // Whether several requests with the content were in flight at a crash.
		last     time.Duration // Store clock of the last crash.
	}

	// candidate is a feature that may have caused crashes.
	candidate struct {
		feature   feature
		proven    bool // Whether a server has answered a request with it.
		records   []record
		events    map[int]bool    // Crashes, those within burstWindow counted once.
		processes map[string]bool // Server processes.
		early     map[string]bool // Server processes that crashed before they had gone on with their answers.
		requests  map[string]bool // Fingerprints.
	}

	// evidence finds the content that crashes servers. A server crashes on harmful content whatever else a request holds, so
	// an answer proves all content of its request harmless at that time, and harmful content is among what is common to the
	// requests of several crashes.
	evidence struct {
		records map[recordKey]record
		proofs  map[feature]time.Duration // Store clock of the latest known answer to a request with the feature.
	}
)

func partFeature(part string) feature           { return feature(partPrefix + part) }
func requestFeature(fingerprint string) feature { return feature(requestPrefix + fingerprint) }

// isPart reports whether the feature is a part of a request's content.
func (f feature) isPart() bool { return strings.HasPrefix(string(f), partPrefix) }

// features returns the features of a request: its parts and its whole content.
func (r Request) features() []feature {
	result := make([]feature, 0, len(r.Parts)+1)
	for _, part := range r.Parts {
		result = append(result, partFeature(part))
	}
	return append(result, requestFeature(r.Fingerprint))
}

// features returns what may have caused the crash.
func (r record) features() []feature {
	if r.progressed {
		return []feature{requestFeature(r.fingerprint)}
	}
	return Request{Fingerprint: r.fingerprint, Parts: r.parts}.features()
}

// add adds a record and reports whether it is new. If there are too many, it removes the oldest.
func (e *evidence) add(r record) bool {
	key := recordKey{r.process, r.fingerprint}
	if _, ok := e.records[key]; ok {
		return false
	}
	if e.records == nil {
		e.records = make(map[recordKey]record)
	}
	if len(e.records) >= maxRecords {
		e.removeOldest()
	}
	e.records[key] = r
	return true
}

func (e *evidence) removeOldest() {
	var oldest recordKey
	first := true
	for key, r := range e.records {
		if first || r.clock < e.records[oldest].clock {
			oldest, first = key, false
		}
	}
	delete(e.records, oldest)
}

// prove records that a server answered a request with the feature, and reports whether that is news.
func (e *evidence) prove(f feature, clock time.Duration) bool {
	if known, ok := e.proofs[f]; ok && known >= clock {
		return false
	}
	if e.proofs == nil {
		e.proofs = make(map[feature]time.Duration)
	}
	if len(e.proofs) >= maxRecords {
		clear(e.proofs) // A proof that is still needed is written again.
	}
	e.proofs[f] = clock
	return true
}

// removeExpired removes what is older than recordTTL and returns the keys of the removed records and the removed
// features.
func (e *evidence) removeExpired(clock time.Duration) ([]recordKey, []feature) {
	var records []recordKey
	for key, r := range e.records {
		if clock-r.clock > recordTTL {
			records = append(records, key)
			delete(e.records, key)
		}
	}
	var proofs []feature
	for f, provenAt := range e.proofs {
		if clock-provenAt > recordTTL {
			proofs = append(proofs, f)
			delete(e.proofs, f)
		}
	}
	return records, proofs
}

// suspicions sums up the records by their features.
func (e *evidence) suspicions() map[feature]suspicion {
	processes := make(map[feature]map[string]bool)
	result := make(map[feature]suspicion)
	for _, r := range e.records {
		for _, f := range r.features() {
			if processes[f] == nil {
				processes[f] = make(map[string]bool)
			}
			processes[f][r.process] = true
			result[f] = suspicion{processes: len(processes[f]), last: max(result[f].last, r.clock)}
		}
	}
	return result
}

// findVerdicts returns the content that explains the crashes. It takes the strongest candidate first; crashes that are
// explained say nothing about the other content of their requests. Parts go before whole requests, which meet several
// crashes when they are retried.
func (e *evidence) findVerdicts() []verdict {
	events := e.numberEvents()
	explained := make(map[string]bool) // By process.
	var verdicts []verdict
	for _, kind := range []string{partPrefix, requestPrefix} {
		for best := e.strongest(kind, events, explained); best != nil; best = e.strongest(kind, events, explained) {
			verdicts = append(verdicts, e.newVerdict(best))
			for _, r := range best.records {
				explained[r.process] = true
			}
		}
	}
	return verdicts
}

// numberEvents returns the number of the crash of each process. Crashes within burstWindow have the same number.
func (e *evidence) numberEvents() map[string]int {
	crashedAt := make(map[string]time.Duration)
	for _, r := range e.records {
		if at, ok := crashedAt[r.process]; !ok || r.clock < at {
			crashedAt[r.process] = r.clock
		}
	}
	processes := make([]string, 0, len(crashedAt))
	for process := range crashedAt {
		processes = append(processes, process)
	}
	slices.SortFunc(processes, func(a, b string) int { return cmp.Compare(crashedAt[a], crashedAt[b]) })
	events := make(map[string]int, len(processes))
	event, begin := -1, time.Duration(0)
	for _, process := range processes {
		if event < 0 || crashedAt[process]-begin > burstWindow {
			event++
			begin = crashedAt[process]
		}
		events[process] = event
	}
	return events
}

// strongest returns the candidate of a kind that most likely caused crashes which are not explained yet, or nil if there
// is none.
func (e *evidence) strongest(kind string, events map[string]int, explained map[string]bool) *candidate {
	var best *candidate
	for _, c := range e.candidates(events, explained) {
		if strings.HasPrefix(string(c.feature), kind) && c.isSufficient() && (best == nil || c.compare(best) < 0) {
			best = c
		}
	}
	return best
}

// candidates returns all features that are not proven harmless since the crashes of their records.
func (e *evidence) candidates(events map[string]int, explained map[string]bool) map[feature]*candidate {
	result := make(map[feature]*candidate)
	for _, r := range e.records {
		if explained[r.process] {
			continue
		}
		for _, f := range r.features() {
			provenAt, proven := e.proofs[f]
			if proven && r.clock <= provenAt {
				continue
			}
			c := result[f]
			if c == nil {
				c = &candidate{
					feature: f, proven: proven, events: make(map[int]bool), processes: make(map[string]bool),
					early: make(map[string]bool), requests: make(map[string]bool),
				}
				result[f] = c
			}
			c.records = append(c.records, r)
			c.events[events[r.process]] = true
			c.processes[r.process] = true
			if !r.progressed {
				c.early[r.process] = true
			}
			c.requests[r.fingerprint] = true
		}
	}
	return result
}

// isSufficient reports whether the crashes are enough for a verdict.
func (c *candidate) isSufficient() bool {
	if !c.feature.isPart() {
		return len(c.early) >= crashThreshold || len(c.processes) >= provenThreshold
	}
	threshold := crashThreshold
	if c.proven {
		threshold = provenThreshold
	}
	return len(c.events) >= threshold && len(c.requests) >= minRequests
}

// compare returns a negative number if the candidate is the stronger one: it explains the crashes of more processes, or
// needs fewer requests for as many. Content that many requests share is in flight on every server anyway.
func (c *candidate) compare(other *candidate) int {
	if c.proven != other.proven {
		if c.proven {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(len(other.processes), len(c.processes)),
		cmp.Compare(len(c.requests), len(other.requests)),
		cmp.Compare(c.feature, other.feature),
	)
}

// newVerdict returns the verdict on a candidate. It includes the parts that cannot be told apart from it, as no request in
// the records has one without the other: requests with only some of them are served, which shows the harmful one.
func (e *evidence) newVerdict(c *candidate) verdict {
	v := verdict{crashes: len(c.events), features: []feature{c.feature}, popular: len(c.requests) > maxRequestsPerCrash*len(c.events)}
	for _, r := range c.records {
		v.last = max(v.last, r.clock)
	}
	for _, f := range c.records[0].features() {
		if f != c.feature && e.isInseparable(f, c.feature) {
			v.features = append(v.features, f)
		}
	}
	slices.Sort(v.features)
	return v
}

// isInseparable reports whether two parts, of which no answer is known, are only in the same records.
func (e *evidence) isInseparable(f, other feature) bool {
	if _, proven := e.proofs[f]; proven || !f.isPart() || !other.isPart() {
		return false
	}
	for _, r := range e.records {
		has := r.features()
		if slices.Contains(has, f) != slices.Contains(has, other) {
			return false
		}
	}
	return true
}

// matches reports whether a request with the features has the content of the verdict.
func (v verdict) matches(features []feature) bool {
	for _, f := range v.features {
		if !slices.Contains(features, f) {
			return false
		}
	}
	return true
}

// key identifies the content of the verdict.
func (v verdict) key() string {
	parts := make([]string, 0, len(v.features))
	for _, f := range v.features {
		parts = append(parts, string(f))
	}
	return strings.Join(parts, " ")
}

// blockedUntil returns the store clock until which requests with the content are refused.
func (v verdict) blockedUntil() time.Duration {
	block := firstBlock
	for i := crashThreshold; i < v.crashes && block < recordTTL; i++ {
		block *= 2
	}
	return v.last + min(block, recordTTL)
}
