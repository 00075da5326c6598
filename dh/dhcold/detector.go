package dhcold

import "time"

const (
	// slowFactor is how many times the usual time to first token a cold
	// backend server takes at least; load alone stays below it.
	slowFactor = 4
	// slowFloor keeps jitter of short times from looking cold.
	slowFloor = 300 * time.Millisecond
	// inRow is how many slow or normal times in a row change the state.
	inRow = 3
	// enough is how many times make up the usual one.
	enough = 16
)

// detector finds out from times to first token that a backend server that
// announces itself as ready has turned cold.
type detector struct {
	usual        time.Duration
	count        int
	slow, normal int
	cold         bool
}

func (d *detector) add(taken time.Duration) {
	if d.count >= enough && taken > max(slowFactor*d.usual, slowFloor) {
		d.slow, d.normal = d.slow+1, 0
		d.cold = d.cold || d.slow >= inRow
		return
	}
	d.slow, d.normal = 0, d.normal+1
	if d.normal >= inRow {
		d.cold = false
	}
	d.count = min(d.count+1, enough)
	d.usual += (taken - d.usual) / time.Duration(d.count)
}

// FirstToken tells the time to first token of a request. Three slow ones in a
// row on a ready backend server make it cold until three normal ones follow.
func (c *Credits) FirstToken(id string, taken time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Times of an announced cold start are not usual.
	if r, ok := c.rows[id]; ok && (r.turned.cold || !r.cold()) {
		r.turned.add(taken)
		r.observe(c.now())
	}
}

// Suspect treats a ready backend server as cold until three normal times to
// first token, for example after its connections broke or when another VM
// found it cold.
func (c *Credits) Suspect(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.rows[id]; ok {
		r.turned.cold, r.turned.normal = true, 0
		r.observe(c.now())
	}
}

// Suspected returns the ready backend servers that this VM found cold, for
// the other entry VMs.
func (c *Credits) Suspected() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, r := range c.rows {
		if r.turned.cold {
			ids = append(ids, id)
		}
	}
	return ids
}
