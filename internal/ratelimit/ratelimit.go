// Package ratelimit keeps the requests that all routers together send to a backend server within the rate limit that
// the server names in its responses, and the requests that a brittle server has to reject below the number that it
// stands. One router, the issuer, hands out a permit for each request to the server. A row of
// the store tells all routers that the limit exists and who issues its permits.
package ratelimit

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"citronslip/internal/wire"
)

const (
	// maxInterval is the longest time between two permits, whatever the limit: only a response shows that the limit has
	// ended.
	maxInterval = time.Minute
)

var (
	// ErrInvalidRate is returned for a text that is not a finite number of at least zero.
	ErrInvalidRate = errors.New("ratelimit: rate is not a finite number of at least zero")
)

type (
	// Rate is a number of requests per second.
	Rate float64

	// Announcement is what a response of a server says about the server's limits. The zero value says that there are
	// none.
	Announcement struct {
		Named    bool  // Whether the response named a valid limit, of requests or of rejections.
		Rate     Rate  // The limit of requests; Unlimited if the response named only one of rejections.
		Brittle  Rate  // Rejections that the process can stand in a second; zero if it named no such number.
		Rejected bool  // Whether the response rejected the request.
		Err      error // Why a named limit is invalid; wraps ErrInvalidRate.
	}

	// Process identifies a process of a backend server.
	Process struct {
		Server string // Name of the server.
		Born   int64  // Start of the process in Unix milliseconds.
	}

	// Permit allows one request to a server process. The zero value is that of a process without a limit.
	Permit struct {
		id   wire.RatelimitPermit
		Wait time.Duration // Time after which the request may be sent.
	}

	// ExhaustedError is returned when no permit is free in time.
	ExhaustedError struct {
		After time.Duration // Time until one is free.
		Full  bool          // Whether the process has no room, so that it is of no use to wait.
	}
)

// Error returns the message with the time until a permit is free.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("ratelimit: no permit is free for %v", e.After)
}

// ParseRate parses a decimal number of requests per second. Its error is ErrInvalidRate.
func ParseRate(text string) (Rate, error) {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0, ErrInvalidRate
	}
	return Rate(value), nil
}

// Interval returns the time between two requests at the rate, from a nanosecond to a minute.
func (r Rate) Interval() time.Duration {
	seconds := 1 / float64(r)
	if r <= 0 || seconds >= maxInterval.Seconds() {
		return maxInterval
	}
	return max(time.Duration(seconds*float64(time.Second)), 1)
}

// String returns the name of the process, which is that of its row.
func (p Process) String() string { return p.Server + "/" + strconv.FormatInt(p.Born, 10) }

// parseProcess parses the name of a process. It reports whether the name is valid.
func parseProcess(name string) (Process, bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return Process{}, false
	}
	born, err := strconv.ParseInt(name[slash+1:], 10, 64)
	return Process{Server: name[:slash], Born: born}, err == nil
}

// isLater reports whether permit a was issued after permit b.
func isLater(a, b wire.RatelimitPermit) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Number > b.Number
}

// Issued reports whether the permit was issued, so that the process has a rate limit.
func (p Permit) Issued() bool { return p.id.Number > 0 }
