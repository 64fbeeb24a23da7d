package burn

import (
	"sync"
	"time"

	"citronslip/internal/wire"
)

const (
	// minuteBuckets is the size of the ring buffer of minutes, which covers the windows of up to six hours.
	minuteBuckets = 6 * 60
	// hourBuckets is the size of the ring buffer of hours, which covers three days. The two buffers take 7 KB for each
	// level; a single buffer of minutes for three days would take 70 KB.
	hourBuckets = 3 * 24
)

var (
	windows = []window{
		{name: "5m", buckets: 5},
		{name: "1h", buckets: 60},
		{name: "6h", buckets: minuteBuckets},
		{name: "3d", buckets: hourBuckets, hourly: true},
	}
)

type (
	// window is a time span of the report. It ends with the bucket of the current minute or hour.
	window struct {
		name    string
		buckets int
		hourly  bool // Whether the buckets are hours rather than minutes.
	}

	// bucket counts the requests that finished in one minute or hour.
	bucket struct {
		period int64 // Minutes or hours since the Unix epoch; a bucket of a period outside the window counts as empty.
		good   uint32
		bad    uint32
	}

	// requestCounts holds the ring buffers of one level.
	requestCounts struct {
		mu      sync.Mutex
		minutes [minuteBuckets]bucket
		hours   [hourBuckets]bucket
	}
)

func newRequestCounts() *requestCounts { return new(requestCounts) }

// add counts a request that finished in a minute, given in minutes since the Unix epoch.
func (c *requestCounts) add(minute int64, good bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minutes[minute%minuteBuckets].add(minute, good)
	hour := minute / 60
	c.hours[hour%hourBuckets].add(hour, good)
}

func (b *bucket) add(period int64, good bool) {
	if b.period != period {
		*b = bucket{period: period}
	}
	if good {
		b.good++
		return
	}
	b.bad++
}

// sum returns the numbers of good and bad requests in a window.
func (c *requestCounts) sum(now time.Time, w window) (good, bad int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ring, current := c.minutes[:], now.Unix()/60
	if w.hourly {
		ring, current = c.hours[:], now.Unix()/3600
	}
	for _, b := range ring {
		if b.period <= current && b.period > current-int64(w.buckets) {
			good += int(b.good)
			bad += int(b.bad)
		}
	}
	return good, bad
}

// series returns the burn rate of each hour, oldest first. Hours without requests are left out, since most levels have
// few requests where each account has a level.
func (c *requestCounts) series(now time.Time, goal float64) []wire.BurnPoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	points := []wire.BurnPoint{}
	currentHour := now.Unix() / 3600
	for hour := currentHour - hourBuckets + 1; hour <= currentHour; hour++ {
		bucket := c.hours[hour%hourBuckets]
		if bucket.period != hour {
			continue
		}
		point := wire.BurnPoint{Time: time.Unix(hour*3600, 0).UTC(), Good: int(bucket.good), Bad: int(bucket.bad)}
		point.Rate = burnRate(point.Good, point.Bad, goal)
		points = append(points, point)
	}
	return points
}
