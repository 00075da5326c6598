package dhquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes and minRequests are the evidence that a verdict about a part needs, and
	// minFraction the fraction of the crashes of the pool that must have the part, from
	// around before its first crash to around after its last. With manyCrashes and
	// manyRequests, manyFraction suffices: several parts may crash backend servers at the
	// same time.
	around                    = 2 * time.Second
	minCrashes, minRequests   = 3, 2
	minFraction               = 0.7
	manyCrashes, manyRequests = 5, 3
	manyFraction              = 0.3
)

// partCharges returns the evidence against the parts that nobody has answered and that
// enough crashes of their pool have in common, the heaviest first. Crashes with a cause
// that is in quarantine are explained.
func (n *Investigation) partCharges(crashes []*crash, now time.Time) []charge {
	byPart := make(map[Cause]*charge)
	distinct := make(map[Cause]map[uint64]int)
	for i, c := range crashes {
		if n.explained(c, now) {
			continue
		}
		for id, requests := range c.requests {
			part := Cause{Pool: c.pool, ID: id}
			if n.settled(part, c.at) {
				continue
			}
			x := byPart[part]
			if x == nil {
				x = &charge{cause: part}
				byPart[part], distinct[part] = x, make(map[uint64]int)
			}
			x.in = append(x.in, i)
			x.backends = append(x.backends, c.backends...)
			for r := range n.distinctRequests(c, requests) {
				distinct[part][r]++
			}
		}
	}
	var list []charge
	for part, x := range byPart {
		if n.partCleared(part, crashes[x.in[0]].at) {
			continue
		}
		x.requests = len(distinct[part])
		x.convicted = n.wasConvicted(part)
		if x.convicted || len(x.in) >= suspectCrashes {
			list = append(list, *x)
		}
	}
	slices.SortFunc(list, func(a, b charge) int { return cmp.Or(-a.compare(b), a.cause.compare(b.cause)) })
	list = list[:min(len(list), maxCharges)]
	provePart(list, crashes, distinct)
	return list
}

// distinctRequests returns the different requests among attempts that were at work in a
// crash: by fingerprint if the request may itself be the cause, otherwise by id.
func (n *Investigation) distinctRequests(c *crash, attempts []attemptID) map[uint64]bool {
	distinct := make(map[uint64]bool, len(attempts))
	for _, a := range attempts {
		if n.answered[Cause{Kind: WholeRequest, ID: a.fingerprint}].Before(c.at) {
			distinct[a.fingerprint] = true
		} else {
			distinct[a.id] = true
		}
	}
	return distinct
}

// partCleared reports whether a part was answered since shortly before a time.
func (n *Investigation) partCleared(part Cause, first time.Time) bool {
	at, ok := n.answered[part]
	return ok && at.After(first.Add(-clearedBefore))
}

// compare orders charges against parts by weight.
func (c charge) compare(d charge) int {
	known := func(c charge) int {
		if c.convicted {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(known(c), known(d)), cmp.Compare(len(c.in), len(d.in)), cmp.Compare(c.requests, d.requests))
}

// provePart marks the charges that suffice for a verdict, of those against the parts in
// crashes, the heaviest first. distinct holds in how many crashes each request with a part
// was. What a heavier charge explains is no evidence against another part. Parts that
// always came together wait for more crashes, and then share the verdict.
func provePart(charges []charge, crashes []*crash, distinct map[Cause]map[uint64]int) {
	explained := make(map[int]bool)
	for len(charges) > 0 {
		c := charges[0]
		together := 1
		for together < len(charges) && charges[together].compare(c) == 0 && slices.Equal(charges[together].in, c.in) {
			together++
		}
		unexplained := slices.DeleteFunc(slices.Clone(c.in), func(crash int) bool { return explained[crash] })
		if c.suffices(unexplained, crashes, together > 1, distinct[c.cause]) {
			for i := range charges[:together] {
				charges[i].proved = true
			}
			for _, crash := range unexplained {
				explained[crash] = true
			}
		}
		charges = charges[together:]
	}
}

// suffices reports whether a charge against a part that explains the crashes in is enough
// for a verdict.
func (c charge) suffices(in []int, crashes []*crash, tied bool, requests map[uint64]int) bool {
	if len(in) == 0 || c.convicted {
		return len(in) > 0
	}
	if explainedByOne(len(c.in), requests) {
		return false
	}
	from, to := crashes[in[0]].at.Add(-around), crashes[in[len(in)-1]].at.Add(around)
	meanwhile := 0
	for _, x := range crashes {
		if x.pool == c.cause.Pool && !x.at.Before(from) && !x.at.After(to) {
			meanwhile++
		}
	}
	fraction := float64(len(in)) / float64(meanwhile)
	if len(in) >= manyCrashes && c.requests >= manyRequests {
		return fraction >= manyFraction
	}
	return !tied && len(in) >= minCrashes && c.requests >= minRequests && fraction >= minFraction
}

// explainedByOne reports whether one request was at work in so many of the crashes with a
// part that it explains them better than the part, which sound requests may share.
func explainedByOne(crashes int, requests map[uint64]int) bool {
	most := 0
	for _, n := range requests {
		most = max(most, n)
	}
	return crashes-most < max(most-1, 1)
}
