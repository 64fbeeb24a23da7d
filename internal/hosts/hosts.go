// Package hosts reads the platform's host list, which says which hosts are in service and which are leaving.
package hosts

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// StateLive is the state of a host in service.
	StateLive State = "live"
	// StateLeaving is the state of a host that will soon be taken out of service.
	StateLeaving State = "leaving"
)

var (
	// ErrUnavailable is returned when the host list cannot be read.
	ErrUnavailable = errors.New("hosts: unavailable")
)

type (
	// State is the state of a host in the list.
	State string

	// Host is one entry of the list.
	Host struct {
		Name    string    `json:"name"`
		Address string    `json:"address"` // IP address and port of the process on the host.
		State   State     `json:"state"`
		Time    time.Time `json:"time"` // When the platform observed the state, by the platform's clock.
	}

	// List is the platform's host list. It lags behind the real state of the hosts.
	List interface {
		Hosts(ctx context.Context) ([]Host, error)
	}

	// MemoryList is an in-memory List. The zero value is an empty list.
	MemoryList struct {
		mu          sync.Mutex
		hosts       []Host
		unavailable bool
	}
)

// Hosts returns a copy of the list, or ErrUnavailable.
func (m *MemoryList) Hosts(ctx context.Context) ([]Host, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil || m.unavailable {
		return nil, ErrUnavailable
	}
	return slices.Clone(m.hosts), nil
}

// Set replaces the list.
func (m *MemoryList) Set(hosts []Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = slices.Clone(hosts)
}

// SetUnavailable makes all calls of Hosts fail with ErrUnavailable, or succeed again.
func (m *MemoryList) SetUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}
