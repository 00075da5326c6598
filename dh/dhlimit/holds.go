package dhlimit

import (
	"sync"
	"time"
)

const (
	// holdWeight is the weight of one answer in the mean time that a request holds a
	// slot.
	holdWeight = 1.0 / 32
	// lowHoldUp is the relative step up of the low hold time for an answer above it and
	// lowHoldDown the part of the difference that an answer below it counts. It falls fast:
	// after a loss of all VMs the first answers may all have waited, and a time that is too
	// long makes a pool look contended.
	lowHoldUp, lowHoldDown = 0.01, 0.3
	// shortHold is the mean time below which sums of loads, which are 0.4 to 0.7 s old,
	// say little about the present. A request that finds others ahead of it takes a
	// multiple of its own time then, so the low hold time is used.
	shortHold = 500 * time.Millisecond
	// maxHolds bounds the number of tracked routes.
	maxHolds = 256
)

// Holds tracks how long requests of each route of a pool hold a slot if they do not wait
// for one. The zero value is ready to use. It is safe for use by several goroutines.
type Holds struct {
	mu   sync.Mutex
	rows map[holdKey]hold
}

type holdKey struct{ pool, route string }

type hold struct {
	mean, low time.Duration
	count     int
}

// Observe records how long a request held a slot. contended is set if it may have waited
// for one, busy if half of the slots were taken; then the time says only that the
// request needs no longer.
func (h *Holds) Observe(pool, route string, took time.Duration, busy, contended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := holdKey{pool, route}
	row, known := h.rows[k]
	if !known {
		if len(h.rows) >= maxHolds {
			return
		}
		if h.rows == nil {
			h.rows = make(map[holdKey]hold)
		}
		h.rows[k] = hold{took, took, 1}
		return
	}
	if !contended || took < row.mean {
		row.count++
		row.mean += time.Duration(max(holdWeight, 1/float64(row.count)) * float64(took-row.mean))
	}
	switch {
	case took < row.low:
		row.low += time.Duration(lowHoldDown * float64(took-row.low))
	case !busy:
		row.low = time.Duration(float64(row.low) * (1 + lowHoldUp))
	}
	h.rows[k] = row
}

// Get returns how long a request of a route is expected to hold a slot; 0 if no request
// of the route has been answered.
func (h *Holds) Get(pool, route string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.rows[holdKey{pool, route}]
	if row.mean < shortHold {
		return row.low
	}
	return row.mean
}
