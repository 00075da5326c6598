package dhentry

import "time"

// countWindow is how long a number of entry VMs is remembered. A control VM that
// has just started has heard from few of them, and a VM that divides a bound by
// such a number takes the part of others.
const countWindow = 15 * time.Second

// recentMaximum is the highest number observed in the last one to two windows.
type recentMaximum struct {
	began             time.Time
	previous, current int
}

func (m *recentMaximum) observe(now time.Time, n int) {
	if now.Sub(m.began) >= countWindow {
		m.began, m.previous, m.current = now, m.current, 0
	}
	m.current = max(m.current, n)
}

func (m *recentMaximum) value() int { return max(m.previous, m.current) }
