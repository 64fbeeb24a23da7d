// Package object is the client of the platform's object store, with an in-memory store for tests and test doubles.
package object

import (
	"bytes"
	"context"
	"errors"
	"sync"
)

var (
	// ErrNotFound is returned when no object has the key.
	ErrNotFound = errors.New("object: no such object")
	// ErrUnavailable is returned when a call of the store fails.
	ErrUnavailable = errors.New("object: unavailable")
)

type (
	// Store is the platform's object store. Objects are immutable, so a Put can be repeated safely.
	Store interface {
		// Put stores an object under a key. The error is ErrUnavailable.
		Put(ctx context.Context, key string, value []byte) error
		// Get returns the object of a key, or ErrNotFound or ErrUnavailable.
		Get(ctx context.Context, key string) ([]byte, error)
	}

	// Memory is an in-memory Store. It is safe for concurrent use. The zero value is an empty store.
	Memory struct {
		// Down makes calls fail while it returns true. Set it before first use.
		Down func() bool

		mu      sync.Mutex
		objects map[string][]byte
	}
)

// Put implements Store. The first object of a key stays.
func (m *Memory) Put(ctx context.Context, key string, value []byte) error {
	if ctx.Err() != nil || m.down() {
		return ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = make(map[string][]byte)
	}
	if _, ok := m.objects[key]; !ok {
		m.objects[key] = bytes.Clone(value)
	}
	return nil
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) ([]byte, error) {
	if ctx.Err() != nil || m.down() {
		return nil, ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	value, ok := m.objects[key]
	if !ok {
		return nil, ErrNotFound
	}
	return bytes.Clone(value), nil
}

// down reports whether calls are to fail.
func (m *Memory) down() bool {
	return m.Down != nil && m.Down()
}
