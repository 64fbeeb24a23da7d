package routing

import "time"

const (
	historyStep  = 250 * time.Millisecond
	historySlots = 64 // Covers 16 s; a load report that is later than that is of no use.
)

type (
	// ownWork is the part of a server's work that this router sent.
	ownWork struct {
		running       int32
		pendingTokens [2]int64 // Prompt tokens of requests without a first byte: all, and those of priority above zero.
	}

	// history is a ring buffer of the router's own work at a server over the last seconds, for comparison with load
	// reports that arrive late.
	history struct {
		slots    [historySlots]ownWork
		lastStep int64 // Step of the newest slot, in units of historyStep since the Unix epoch.
	}
)

// record stores the state at the given time.
func (h *history) record(now time.Time, state ownWork) {
	step := now.UnixNano() / int64(historyStep)
	if step <= h.lastStep {
		h.slots[h.lastStep%historySlots] = state
		return
	}
	previous := h.slots[h.lastStep%historySlots]
	for i := max(h.lastStep+1, step-historySlots+1); i < step; i++ {
		h.slots[i%historySlots] = previous
	}
	h.lastStep = step
	h.slots[step%historySlots] = state
}

// at returns the state at the given time, or the nearest one that is still kept.
func (h *history) at(t time.Time) ownWork {
	step := t.UnixNano() / int64(historyStep)
	step = min(step, h.lastStep)
	step = max(step, h.lastStep-historySlots+1, 0)
	return h.slots[step%historySlots]
}
