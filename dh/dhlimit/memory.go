package dhlimit

import "sync/atomic"

// Memory bounds the total size of the whole answers that are held in memory. Its
// zero value permits nothing. It is safe for use by several goroutines.
type Memory struct {
	// Max is the bound in bytes.
	Max int64

	used atomic.Int64
}

// Reserve reserves n bytes and reports whether they fit. The caller releases them
// with Release.
func (m *Memory) Reserve(n int64) bool {
	if m.used.Add(n) > m.Max {
		m.used.Add(-n)
		return false
	}
	return true
}

// Release releases n bytes that were reserved with Reserve.
func (m *Memory) Release(n int64) { m.used.Add(-n) }
