package dispatch

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of time buckets in a window.
	windowBuckets = 10
	// defaultWindow is the length of the window if the settings give none.
	defaultWindow = 10 * time.Second
	// retryShare is the part of the fleet's retry allowance that all routers together use.
	retryShare = 0.8
)

type (
	// RetryBudget limits the attempts beyond the first of each request, per service and time window. The limit is for
	// all routers together: a router may use Ratio of its own requests and an equal part of Slack. Set the fields
	// before first use.
	RetryBudget struct {
		Ratio   float64 // Retries per request.
		Slack   float64 // Retries beyond the ratio in a window, for all routers together.
		Window  time.Duration
		Routers func() int // Number of routers in the fleet.
		Now     func() time.Time

		mu      sync.Mutex
		windows map[string]*retryWindow
	}

	// retryWindow counts the requests to a service and their retries, by time bucket.
	retryWindow struct {
		requests     [windowBuckets]float64
		retries      [windowBuckets]float64
		newestBucket int64 // Number of the newest bucket since the Unix epoch.
	}
)

// Adjust changes the limits. The counts are reset if the length of the window changes.
func (r *RetryBudget) Adjust(ratio, slack float64, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if window != r.Window {
		r.windows = nil
	}
	r.Ratio, r.Slack, r.Window = ratio, slack, window
}

// CountRequest counts a request to a service.
func (r *RetryBudget) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	w.requests[w.newestBucket%windowBuckets]++
}

// Allow reports whether the service may get a retry now, and counts it if so.
func (r *RetryBudget) Allow(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	if !r.available(w) {
		return false
	}
	w.retries[w.newestBucket%windowBuckets]++
	return true
}

// AllowSpare reports whether at most a part of what the service may get is used with one more attempt, and counts it if so.
func (r *RetryBudget) AllowSpare(service string, part float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	if sum(w.retries)+1 > part*r.allowed(w) {
		return false
	}
	w.retries[w.newestBucket%windowBuckets]++
	return true
}

// Available reports whether the service may get a retry now, without counting it.
func (r *RetryBudget) Available(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.available(r.window(service))
}

func (r *RetryBudget) available(w *retryWindow) bool {
	return sum(w.retries)+1 <= r.allowed(w)
}

// allowed returns the number of retries in the window.
func (r *RetryBudget) allowed(w *retryWindow) float64 {
	return retryShare * (r.Ratio*sum(w.requests) + r.Slack/float64(max(r.Routers(), 1)))
}

// window returns the counts of a service after clearing the buckets that have left the window.
func (r *RetryBudget) window(service string) *retryWindow {
	if r.windows == nil {
		r.windows = make(map[string]*retryWindow)
	}
	window := r.Window
	if window < windowBuckets {
		window = defaultWindow
	}
	bucket := r.Now().UnixNano() / int64(window/windowBuckets)
	w := r.windows[service]
	if w == nil {
		w = &retryWindow{newestBucket: bucket}
		r.windows[service] = w
	}
	for steps := 0; w.newestBucket < bucket && steps < windowBuckets; steps++ {
		w.newestBucket++
		w.requests[w.newestBucket%windowBuckets] = 0
		w.retries[w.newestBucket%windowBuckets] = 0
	}
	w.newestBucket = max(w.newestBucket, bucket)
	return w
}

func sum(values [windowBuckets]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
