// Package weights is a client of the platform's weight store, which holds the weights of models and adapters.
package weights

import (
	"context"
	"errors"

	"golang.org/x/time/rate"
)

var (
	// ErrLimited is returned when a lookup exceeds the rate limit of the weight store.
	ErrLimited = errors.New("weights: rate limit reached")
	// ErrUnavailable is returned when the weight store did not answer or answered with any other error.
	ErrUnavailable = errors.New("weights: unavailable")
)

type (
	// Weights describes one version of a model or adapter in the store.
	Weights struct {
		Name      string `json:"name"`
		Version   string `json:"version"`
		SizeBytes int64  `json:"size"`
	}

	// Store is the platform's weight store. Engines fetch weights from it; the whole fleet shares its rate limit.
	Store interface {
		// Lookup returns the size of a version, so that a fetch can be scheduled within the rate limit. Its error wraps
		// ErrLimited or ErrUnavailable.
		Lookup(ctx context.Context, name, version string) (Weights, error)
	}

	// Memory is an in-memory Store with a rate limit on lookups. Set the fields before use.
	Memory struct {
		Sizes   map[string]int64 // Size in bytes by "name@version".
		Limiter *rate.Limiter    // Limit on lookups; nil means no limit.
	}
)

// Lookup returns the size of a version, or 0 if Sizes has none. Its error is ErrLimited if the limiter rejects the
// call, or ErrUnavailable if the context has ended.
func (m *Memory) Lookup(ctx context.Context, name, version string) (Weights, error) {
	if ctx.Err() != nil {
		return Weights{}, ErrUnavailable
	}
	if m.Limiter != nil && !m.Limiter.Allow() {
		return Weights{}, ErrLimited
	}
	return Weights{Name: name, Version: version, SizeBytes: m.Sizes[name+"@"+version]}, nil
}
