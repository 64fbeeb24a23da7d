// Package board provides the cells through which the controllers of a router share state: each cell is an observable
// value with one writer and any number of readers.
package board

import (
	"sync"
	"sync/atomic"
)

type (
	// Cell holds a value that readers can load and watch for changes. A stored value must not be modified; writers
	// replace it. The zero value is an empty cell.
	Cell[T any] struct {
		mu      sync.Mutex
		value   atomic.Pointer[T]
		changed chan struct{} // Closed at the next change; nil if nobody watches.
	}
)

// Load returns the current value, or nil if none was stored.
func (c *Cell[T]) Load() *T {
	return c.value.Load()
}

// Store replaces the value and wakes all watchers.
func (c *Cell[T]) Store(value *T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value.Store(value)
	c.notify()
}

// Update replaces the value by the result of change, which gets the current value or nil. If the result is nil, the
// cell is left unchanged. No other change can come in between.
func (c *Cell[T]) Update(change func(old *T) *T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	updated := change(c.value.Load())
	if updated == nil {
		return
	}
	c.value.Store(updated)
	c.notify()
}

// Watch returns the current value, or nil if none was stored, and a channel that is closed at the next change.
func (c *Cell[T]) Watch() (*T, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.value.Load(), c.changed
}

func (c *Cell[T]) notify() {
	if c.changed == nil {
		return
	}
	close(c.changed)
	c.changed = nil
}
