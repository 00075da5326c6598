package dhlimit

import "sync/atomic"

// Memory bounds the total size of what is held in memory, such as whole answers. Its
// zero value permits nothing. It is safe for use by several goroutines.
type Memory struct {
	// Max is the bound in bytes.
	Max int64

	used atomic.Int64
}

// Reserve reserves n bytes and reports whether they fit. The caller releases them
// with Release.
func (m *Memory) Reserve(n int64) bool { return m.ReserveBelow(n, m.Max) }

// ReserveBelow reserves n bytes like Reserve, within a lower bound on all that is reserved.
func (m *Memory) ReserveBelow(n, bound int64) bool {
	if m.used.Add(n) > bound {
		m.used.Add(-n)
		return false
	}
	return true
}

// Release releases n bytes that were reserved with Reserve.
func (m *Memory) Release(n int64) { m.used.Add(-n) }

// Used returns the number of reserved bytes.
func (m *Memory) Used() int64 { return m.used.Load() }
