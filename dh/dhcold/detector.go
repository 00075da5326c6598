package dhcold

import "time"

const (
	// slowFactor is the multiple of the mean time to first token above which a
	// time counts as slow. Load alone does not slow a backend server that much.
	slowFactor = 4
	// slowFloor is the smallest time that can count as slow, so that jitter of
	// short times does not.
	slowFloor = 300 * time.Millisecond
	// minConsecutive is the number of consecutive slow or normal times that
	// changes the state.
	minConsecutive = 3
	// minSamples is the number of times that the mean needs before others are
	// compared with it.
	minSamples = 16
)

// detector detects from the times to first token that a backend server has become
// cold although it announces itself as ready.
type detector struct {
	mean         time.Duration
	count        int
	slow, normal int
	cold         bool
}

func (d *detector) add(taken time.Duration) {
	if d.count >= minSamples && taken > max(slowFactor*d.mean, slowFloor) {
		d.slow, d.normal = d.slow+1, 0
		d.cold = d.cold || d.slow >= minConsecutive
		return
	}
	d.slow, d.normal = 0, d.normal+1
	if d.normal >= minConsecutive {
		d.cold = false
	}
	d.count = min(d.count+1, minSamples)
	d.mean += (taken - d.mean) / time.Duration(d.count)
}

// FirstToken records the time to first token of a request. After three
// consecutive slow times, a ready backend server is treated as cold until three
// consecutive normal times follow.
func (c *Credits) FirstToken(id string, taken time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Times of an announced cold start do not count towards the mean.
	if r, ok := c.byBackend[id]; ok && (r.coldDetector.cold || !r.cold()) {
		r.coldDetector.add(taken)
		r.observe(c.now())
	}
}

// Suspect treats a ready backend server as cold until three consecutive normal
// times to first token, for example after its connections broke or when another
// VM reports it as cold.
func (c *Credits) Suspect(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.byBackend[id]; ok {
		r.coldDetector.cold, r.coldDetector.normal = true, 0
		r.observe(c.now())
	}
}

// Suspected returns the backend servers that this VM treats as cold although they
// announce themselves as ready. The other entry VMs are told about them.
func (c *Credits) Suspected() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, r := range c.byBackend {
		if r.coldDetector.cold {
			ids = append(ids, id)
		}
	}
	return ids
}
