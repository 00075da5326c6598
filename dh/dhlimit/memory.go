package dhlimit

import "sync/atomic"

// Memory bounds the total size of the whole answers that are held in memory. Its
// zero value permits nothing. It is safe for use by several goroutines.
type Memory struct {
	// Max is the bound in bytes.
	Max int64

	used atomic.Int64
}

// Take reserves n bytes and reports whether they fit. The caller releases them
// with Give.
func (m *Memory) Take(n int64) bool {
	if m.used.Add(n) > m.Max {
		m.used.Add(-n)
		return false
	}
	return true
}

// Give releases n bytes that were reserved with Take.
func (m *Memory) Give(n int64) { m.used.Add(-n) }
