package certificate

import (
	"os"
	"slices"
	"sync"
	"time"
)

type (
	// Reloader caches a value that is read from files, such as a certificate and its key, and reads it again when one
	// of the files has changed. Files and Read are set before the first call of Current. Current is safe for concurrent
	// use.
	Reloader[T any] struct {
		Files []string           // Paths of the files to watch.
		Read  func() (*T, error) // Reads the value from the files.

		mu         sync.Mutex
		value      *T
		fileStates []fileState // States of Files before the last call of Read.
	}

	// fileState is compared to detect that a file has changed. It is zero if the file cannot be examined.
	fileState struct {
		modified time.Time
		size     int64
	}
)

// Current returns the current value and whether this call has read it from changed files. If Read fails, for example
// because a new certificate was written before its key, Current keeps the previous value and returns it with the error
// once; it calls Read again when a file has changed. While no value has been read, value is nil and each call reads.
func (w *Reloader[T]) Current() (value *T, changed bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := w.stat()
	if w.value != nil && slices.Equal(states, w.fileStates) {
		return w.value, false, nil
	}
	value, err = w.Read()
	if err != nil {
		w.fileStates = states
		return w.value, false, err
	}
	w.value, w.fileStates = value, states
	return value, true, nil
}

// stat returns the states of Files in the same order.
func (w *Reloader[T]) stat() []fileState {
	states := make([]fileState, len(w.Files))
	for i, path := range w.Files {
		if info, err := os.Stat(path); err == nil {
			states[i] = fileState{info.ModTime(), info.Size()}
		}
	}
	return states
}
