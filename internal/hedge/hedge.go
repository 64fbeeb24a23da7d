// Package hedge decides whether and when a second attempt of a request is sent to another server while the first one
// waits for its response.
package hedge

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxShare is the largest share of requests that may be hedged.
	MaxShare = 0.1
	// MaxRetryUse is the share of the retry budget up to which hedges are sent. The rest is left to retries, which come first.
	MaxRetryUse = 0.5
	// MaxLoadAge is the age of a load report above which a server's free slots are unknown.
	MaxLoadAge = 2 * time.Second
	// RecheckInterval is the time after which a hedge that was withheld is considered again.
	RecheckInterval = 100 * time.Millisecond

	// sampleTTL and maxSamples bound the times of a route from which its delay is learned.
	sampleTTL  = 2 * time.Minute
	maxSamples = 256
	// minSamples is the number of samples below which a route has no delay.
	minSamples = 20
	// expectedFactor is the multiple of the expected time of a request before which it is not late.
	expectedFactor = 2
	// minDelay is the age below which no attempt is late. Answers that usually take a millisecond or two are late as often because
	// the router's host is busy.
	minDelay = 20 * time.Millisecond
	// leftFactor is the multiple of the expected time at the second server that has to be left until the deadline.
	leftFactor = 2
	// rejectionTTL is how long a service counts as full after one of its servers rejected a request.
	rejectionTTL = time.Second
	// shareWindow is the time over which hedges and requests are compared, in shareBuckets parts.
	shareWindow  = time.Minute
	shareBuckets = 12
)

const (
	// Rejections means that a server of the service rejected a request within the last second.
	Rejections Reason = "rejections"
	// NoServer means that no other server has free slots and needs no permit.
	NoServer Reason = "server"
	// Slower means that the second server is expected to answer no earlier than the first one.
	Slower Reason = "slower"
	// Deadline means that too little time is left for a second attempt.
	Deadline Reason = "deadline"
	// Retries means that retries may need the rest of the retry budget.
	Retries Reason = "retries"
	// Share means that the share of requests that may be hedged is used up.
	Share Reason = "share"
	// Content means that the content of the request is suspected of crashing servers.
	Content Reason = "content"
	// Link means that the network link of the router's host has no bandwidth left.
	Link Reason = "link"
	// Stopping means that the router stops.
	Stopping Reason = "stopping"
	// News means that the process stood still and has not heard of evacuations since.
	News Reason = "news"
)

type (
	// Reason tells why a hedge is withheld. It is empty if the hedge may be sent.
	Reason string

	// Policy decides about the hedges of a router. Set the exported fields before the first use.
	Policy struct {
		Share float64 // Largest share of the requests that may be hedged.
		Now   func() time.Time

		mu           sync.Mutex
		samples      map[string][]sample  // Times of first attempts by route, the oldest first.
		rejections   map[string]time.Time // Time of the last rejection by service.
		requests     [shareBuckets]int
		hedges       [shareBuckets]int
		newestBucket int64 // Number of the newest bucket since the Unix epoch.
	}

	// Attempt is a first attempt that has no usable response yet.
	Attempt struct {
		Route   string
		Service string
		Age     time.Duration // Time since it was sent.
		Left    time.Duration // Time until the deadline of the request.
	}

	// Candidate is the server to which a hedge would be sent.
	Candidate struct {
		LoadAge  time.Duration // Age of its load report.
		Free     int           // Free slots by that report, less what was sent since; zero without a report.
		Expected time.Duration // Expected time until its response.
	}

	// sample is the time that a first attempt took.
	sample struct {
		at   time.Time
		took time.Duration
		cut  bool // Whether the attempt was given up after that time.
	}
)

// CountRequest counts a request that may be hedged.
func (p *Policy) CountRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[p.bucket()]++
}

// RecordTime records the time that a first attempt took until its first usable response.
func (p *Policy) RecordTime(route string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(route, sample{took: took})
}

// RecordCut records that a first attempt was given up after a time. It says something about the route only if that
// time is above the present delay.
func (p *Policy) RecordCut(route string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if quantile, ok := p.quantile(route); ok && after >= quantile {
		p.add(route, sample{took: after, cut: true})
	}
}

// RecordRejection records that a server of the service rejected a request for lack of room.
func (p *Policy) RecordRejection(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rejections == nil {
		p.rejections = make(map[string]time.Time)
	}
	p.rejections[service] = p.Now()
}

// Delay returns the age of a first attempt, which is expected to take a certain time, at which a hedge is considered. It
// returns false if there are too few samples of the route.
func (p *Policy) Delay(route string, expected time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	quantile, ok := p.quantile(route)
	return max(quantile, expectedFactor*expected, minDelay), ok
}

// Check returns why no hedge of the attempt may be sent to any server.
func (p *Policy) Check(a Attempt) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, rejected := p.rejections[a.Service]
	switch {
	case rejected && p.Now().Sub(last) < rejectionTTL:
		return Rejections
	case !p.hasShare():
		return Share
	}
	return ""
}

// Compare returns why no hedge of the attempt may be sent to the candidate.
func (p *Policy) Compare(a Attempt, c Candidate) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.Free <= 0 || c.LoadAge > MaxLoadAge:
		return NoServer
	case a.Left < leftFactor*c.Expected:
		return Deadline
	case c.Expected >= p.remaining(a.Route, a.Age):
		return Slower
	}
	return ""
}

// Take counts a hedge and reports whether it is within the share.
func (p *Policy) Take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasShare() {
		return false
	}
	p.hedges[p.bucket()]++
	return true
}

// hasShare reports whether one more hedge is within the share. The caller holds the lock.
func (p *Policy) hasShare() bool {
	p.bucket()
	requests, hedges := 0, 0
	for i := range shareBuckets {
		requests += p.requests[i]
		hedges += p.hedges[i]
	}
	return float64(hedges+1) <= min(p.Share, MaxShare)*float64(requests)
}

// bucket returns the index of the present bucket after clearing those that have left the window. The caller holds the
// lock.
func (p *Policy) bucket() int64 {
	number := p.Now().UnixNano() / int64(shareWindow/shareBuckets)
	for steps := 0; p.newestBucket < number && steps < shareBuckets; steps++ {
		p.newestBucket++
		p.requests[p.newestBucket%shareBuckets] = 0
		p.hedges[p.newestBucket%shareBuckets] = 0
	}
	p.newestBucket = max(p.newestBucket, number)
	return p.newestBucket % shareBuckets
}

// add adds a sample and drops old ones. The caller holds the lock.
func (p *Policy) add(route string, s sample) {
	if p.samples == nil {
		p.samples = make(map[string][]sample)
	}
	s.at = p.Now()
	list := append(p.current(route), s)
	if len(list) > maxSamples {
		list = list[len(list)-maxSamples:]
	}
	p.samples[route] = list
}

// current returns the samples of a route that are not too old. The caller holds the lock.
func (p *Policy) current(route string) []sample {
	list := p.samples[route]
	oldest := p.Now().Add(-sampleTTL)
	for len(list) > 0 && list[0].at.Before(oldest) {
		list = list[1:]
	}
	return list
}

// quantile returns the time that the share of the route's first attempts exceeds, and false if there are too few
// samples. The caller holds the lock.
func (p *Policy) quantile(route string) (time.Duration, bool) {
	list := p.current(route)
	if len(list) < minSamples {
		return 0, false
	}
	times := make([]time.Duration, 0, len(list))
	for _, s := range list {
		times = append(times, s.took)
	}
	slices.Sort(times)
	slowest := int(min(p.Share, MaxShare) * float64(len(times)))
	return times[len(times)-1-slowest], true
}

// remaining returns the time that an attempt of a certain age is expected to need still. The caller holds the lock.
func (p *Policy) remaining(route string, age time.Duration) time.Duration {
	var beyond time.Duration
	complete := 0
	found := false
	for _, s := range p.current(route) {
		if s.took <= age {
			continue
		}
		found = true
		beyond += s.took - age
		if !s.cut {
			complete++
		}
	}
	if !found {
		return age
	}
	return beyond / time.Duration(max(complete, 1))
}
