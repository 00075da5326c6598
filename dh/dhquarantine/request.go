package dhquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRequestCrashes is the number of crashes that a verdict about a whole request
	// needs at least, and maxByChance the highest expected number of harmless requests
	// that would have the same evidence.
	minRequestCrashes = 3
	maxByChance       = 1e-3
	// tiedCrashes is the number of crashes from which requests that always crashed
	// together share the verdict.
	tiedCrashes = 6
	// shortWindow and longWindow are the times around a crash in which the crashes of the
	// pool show how likely one was; unseenCrashes is added for the long one.
	shortWindow   = 2 * time.Second
	longWindow    = 10 * time.Second
	unseenCrashes = 0.5
	// isolatedAfter is the time after a crash from which a request that is sent is not one
	// of those that the crash broke.
	isolatedAfter = 500 * time.Millisecond
	// downTime is how long a backend server that crashed is away.
	downTime = 2 * time.Second
	// minExposure is the least time for which a request counts as at work: of many harmless
	// requests, some were at work for a short time only when their backend server ended.
	minExposure = 250 * time.Millisecond
)

// requestCharges returns the evidence against whole requests that nobody has answered
// since their crashes, those that were in the most crashes first. Crashes with a cause that is in
// quarantine are explained.
func (n *Investigation) requestCharges(crashes []*crash, backends Backends, now time.Time) []charge {
	byRequest := make(map[uint64]*charge)
	for i, c := range crashes {
		if n.explained(c, now) {
			continue
		}
		for fingerprint := range c.atWork {
			cause := Cause{Kind: WholeRequest, ID: fingerprint}
			if n.settled(cause, c.at) || !n.answered[cause].Before(c.at) {
				continue
			}
			x := byRequest[fingerprint]
			if x == nil {
				x = &charge{cause: cause, requests: 1, convicted: n.wasConvicted(cause)}
				byRequest[fingerprint] = x
			}
			x.in = append(x.in, i)
			x.backends = append(x.backends, c.backends...)
		}
	}
	e := n.newEvidence(crashes, backends, now)
	var list []charge
	for _, x := range byRequest {
		if x.convicted || len(x.in) >= suspectCrashes {
			x.byChance = e.byChance(*x, x.in)
			list = append(list, *x)
		}
	}
	slices.SortFunc(list, func(a, b charge) int {
		return cmp.Or(-cmp.Compare(len(a.in), len(b.in)), cmp.Compare(a.byChance, b.byChance), a.cause.compare(b.cause))
	})
	list = list[:min(len(list), maxCharges)]
	e.prove(list)
	return list
}

func (n *Investigation) newEvidence(crashes []*crash, backends Backends, now time.Time) *evidence {
	e := &evidence{crashes: crashes, sizes: make(map[string]int), reached: make([]float64, 1, len(crashes)+1)}
	counts := make(map[uint64]int)
	for _, c := range crashes {
		if e.sizes[c.pool] == 0 {
			e.sizes[c.pool] = max(backends.Size(c.pool), 1)
		}
		if n.explained(c, now) {
			continue
		}
		for fingerprint := range c.atWork {
			k := counts[fingerprint] + 1
			if counts[fingerprint] = k; k == len(e.reached) {
				e.reached = append(e.reached, 0)
			}
			e.reached[k]++
		}
	}
	return e
}

// prove marks the charges that suffice for a verdict, the heaviest first. What a
// heavier charge may explain is no evidence against another request, even while the heavier
// one awaits its verdict: the neighbours of the cause were at work in some of its crashes.
func (e *evidence) prove(charges []charge) {
	claimed := make(map[int]bool)
	for i, c := range charges {
		in := slices.DeleteFunc(slices.Clone(c.in), func(crash int) bool { return claimed[crash] })
		tied := slices.ContainsFunc(charges, func(d charge) bool { return d.cause != c.cause && slices.Equal(d.in, c.in) })
		if tied && len(c.in) >= tiedCrashes {
			in = c.in // they share the verdict
		}
		charges[i].proved = (c.convicted && len(in) > 0) ||
			(len(in) >= minRequestCrashes && e.byChance(c, in) <= maxByChance && (!tied || len(in) >= tiedCrashes))
		for _, crash := range in {
			claimed[crash] = true
		}
	}
}

// evidence holds the crashes that are to be explained.
type evidence struct {
	crashes []*crash
	// sizes holds the number of backend servers of each pool.
	sizes map[string]int
	// reached holds how many requests were at work in that many crashes or more, whether
	// they were answered later or not.
	reached []float64
}

// byChance returns the expected number of harmless requests that were at work in the
// crashes in and were not answered meanwhile. As many as have reached some of the crashes
// may be harmless; at each further one, such a request was on the wrong backend server for
// as long as it was at work there.
func (e *evidence) byChance(c charge, in []int) float64 {
	if len(in) == 0 {
		return 1
	}
	least, further := 1.0, 1.0
	for k := len(in) - 1; k > 0; k-- {
		further *= min(e.chance(c, in[k]), 1)
		least = min(least, e.reached[min(k, len(e.reached)-1)]*further)
	}
	return least
}

// chance returns the probability that a harmless request was at work in crash i: that
// one of the backend servers that ran it at the time ended while it ran there. If it was
// sent once, some time after the crash before, its own crashes do not count: nothing but
// the cause itself makes backend servers end when a request is sent.
func (e *evidence) chance(c charge, i int) float64 {
	crashes := e.crashes
	x := crashes[i]
	exposure, attempts, first := time.Duration(0), 0, x.at
	for _, y := range crashes[i:] {
		for _, since := range y.atWork[c.cause.ID] {
			if since.Before(x.at) {
				exposure += x.at.Sub(since)
				attempts++
				first = since
			}
		}
	}
	var own []int
	if attempts == 1 && !slices.ContainsFunc(crashes[:i], func(y *crash) bool {
		return y.pool == x.pool && first.Sub(y.at) < isolatedAfter
	}) {
		own = c.in
	}
	up := float64(up(x, crashes, e.sizes))
	chance := endsPerSecond(x, crashes, own) / up * max(exposure, minExposure).Seconds()
	if len(x.backends) > 1 {
		chance = max(chance, float64(len(x.backends))/up)
	}
	return chance
}

// up returns how many backend servers of the pool of a crash were up before it.
func up(x *crash, crashes []*crash, sizes map[string]int) int {
	n := sizes[x.pool]
	for _, y := range crashes {
		if y.pool == x.pool && y.at.Before(x.at) && x.at.Sub(y.at) <= downTime {
			n -= len(y.backends)
		}
	}
	return max(n, 1)
}

// endsPerSecond returns how many backend servers of the pool of a crash ended in a second
// around it, without those of some crashes.
func endsPerSecond(x *crash, crashes []*crash, without []int) float64 {
	within := func(window time.Duration) (ends float64) {
		for i, y := range crashes {
			if y.pool == x.pool && y.at.Sub(x.at).Abs() <= window/2 && !slices.Contains(without, i) {
				ends += float64(len(y.backends))
			}
		}
		return ends
	}
	return max(within(shortWindow)/shortWindow.Seconds(), (within(longWindow)+unseenCrashes)/longWindow.Seconds())
}
