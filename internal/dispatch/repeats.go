package dispatch

import (
	"sync"
	"time"
)

const (
	// repeatBuckets divide the window of the repeats.
	repeatBuckets = 10
	// defaultWindow is the window if the settings tell none.
	defaultWindow = 10 * time.Second
	// repeatMargin is the part of the shared allowance that the routers use together.
	repeatMargin = 0.8
)

type (
	// Repeats bounds the sends beyond the first of each request, per service and window. All routers share the bound;
	// each takes the ratio of its own requests and an equal part of the slack. Set the fields before first use.
	Repeats struct {
		Ratio   float64
		Slack   float64
		Window  time.Duration
		Routers func() int
		Now     func() time.Time

		mu       sync.Mutex
		services map[string]*repeatWindow
	}

	repeatWindow struct {
		firsts  [repeatBuckets]float64
		repeats [repeatBuckets]float64
		at      int64 // Number of the newest bucket.
	}
)

// Adjust changes the bounds. What was counted in windows of another length is forgotten.
func (r *Repeats) Adjust(ratio, slack float64, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if window != r.Window {
		r.services = nil
	}
	r.Ratio, r.Slack, r.Window = ratio, slack, window
}

// First counts a request to a service.
func (r *Repeats) First(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	w.firsts[w.at%repeatBuckets]++
}

// Again takes one repeat out of the allowance and reports whether there was one.
func (r *Repeats) Again(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	allowed := repeatMargin * (r.Ratio*sum(w.firsts) + r.Slack/float64(max(r.Routers(), 1)))
	if sum(w.repeats)+1 > allowed {
		return false
	}
	w.repeats[w.at%repeatBuckets]++
	return true
}

// window returns the counts of a service, without those that left the window.
func (r *Repeats) window(service string) *repeatWindow {
	if r.services == nil {
		r.services = make(map[string]*repeatWindow)
	}
	window := r.Window
	if window < repeatBuckets {
		window = defaultWindow
	}
	bucket := r.Now().UnixNano() / int64(window/repeatBuckets)
	w := r.services[service]
	if w == nil {
		w = &repeatWindow{at: bucket}
		r.services[service] = w
	}
	for steps := 0; w.at < bucket && steps < repeatBuckets; steps++ {
		w.at++
		w.firsts[w.at%repeatBuckets] = 0
		w.repeats[w.at%repeatBuckets] = 0
	}
	w.at = max(w.at, bucket)
	return w
}

func sum(values [repeatBuckets]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
