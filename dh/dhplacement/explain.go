package dhplacement

import (
	"cmp"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhbackend"
)

// Explanation states where a request would be placed and why.
type Explanation struct {
	Placement Placement
	Zone      ZoneExplanation
	// Candidates are all backend servers of the pool: the chosen one, the others that can be
	// chosen by score, and the rest.
	Candidates []CandidateExplanation
}

// ZoneExplanation is the zone decision of a request. Share is the fraction of such requests that
// leave, Gain how much faster they are expected to be elsewhere and Price what that costs.
type ZoneExplanation struct {
	Leaves             bool
	Reason             ZoneReason
	Share              float64
	Gain, Price        time.Duration
	MinGain, RoundTrip time.Duration
}

// CandidateExplanation is a candidate with the terms of its score.
type CandidateExplanation struct {
	Backend *dhbackend.Backend
	// Sampled is set if the choice considers the candidate; the others are scored for comparison only.
	Sampled bool
	// Refused is why the candidate cannot be chosen; it is empty if it can.
	Refused string
	// Score is the sum of the terms, after the factor of a cold start.
	Score                                                    time.Duration
	Wait, PrefillWait, Prefill, Decode, Failures, Zone, Lane time.Duration
	Load                                                     float64
	CachedTokens                                             int
	Cold                                                     bool
}

// The reasons for which a candidate is refused.
const (
	RefusedExcluded = "failed this request before"
	RefusedPermit   = "not permitted"
	RefusedCold     = "in a cold start without a free credit"
	RefusedZone     = "its zone is out of service or ramps up"
	RefusedVersion  = "does not serve the model or version"
)

// recorder collects what a decision considers.
type recorder struct {
	byID       map[string]int // index in candidates
	candidates []CandidateExplanation
	sampling   bool
}

// add records a candidate. One that is scored twice keeps the better score.
func (r *recorder) add(e CandidateExplanation) {
	if r == nil {
		return
	}
	e.Sampled = r.sampling && e.Refused == ""
	at, ok := r.byID[e.Backend.ID]
	switch {
	case !ok:
		r.byID[e.Backend.ID] = len(r.candidates)
		r.candidates = append(r.candidates, e)
	case r.candidates[at].Refused == "" && e.Refused == "" && e.Score < r.candidates[at].Score && r.sampling:
		r.candidates[at] = e
	}
}

// refuse records a candidate that cannot be chosen.
func (r *recorder) refuse(b *dhbackend.Backend, reason string) {
	if r != nil {
		r.add(CandidateExplanation{Backend: b, Refused: reason})
	}
}

// explain completes and records a scored candidate.
func (c *decision) explain(cand *candidate, e CandidateExplanation) {
	s := &c.p.Settings
	e.Failures = scale(s.PerFailure, cand.state.failures(c.now, s.FailureHalfLife))
	if !c.pool.zones[cand.zone].local {
		e.Zone = c.otherZoneCost()
	}
	if !c.inLane(cand) {
		e.Lane = s.OffLane
	}
	c.recorder.add(e)
}

// addOthers records the candidates that the choice did not consider.
func (c *decision) addOthers() {
	c.recorder.sampling = false
	before := *c
	for i := range c.pool.candidates {
		cand := &c.pool.candidates[i]
		switch {
		case !cand.backend.Has(c.r.Version):
			c.recorder.refuse(cand.backend, RefusedVersion)
		case !c.zoneAllowed(cand.zone):
			c.recorder.refuse(cand.backend, RefusedZone)
		default:
			c.score(cand)
		}
	}
	*c = before
}

// Explain runs the decision that Place would make for the next request, and changes no state: the
// next request draws the same random numbers, and no share of a zone is moved.
func (p *Placer) Explain(view *dhbackend.View, r Request) (Explanation, error) {
	rec := &recorder{byID: make(map[string]int), sampling: true}
	placement, zone, err := p.decide(view, r, p.decisions.Load()+1, rec)
	e := Explanation{Placement: placement, Candidates: rec.candidates, Zone: ZoneExplanation{
		Leaves: err == nil && placement.Backend.Zone != p.Zone, Reason: placement.ZoneReason, Share: zone.share, Gain: zone.gain,
		Price: zone.query.price, MinGain: p.Settings.OtherZoneMinGain, RoundTrip: p.Settings.OtherZone,
	}}
	slices.SortStableFunc(e.Candidates, func(a, b CandidateExplanation) int {
		rank := func(e CandidateExplanation) int {
			switch {
			case err == nil && e.Backend == placement.Backend:
				return -1
			case e.Refused != "":
				return 2
			case !e.Sampled:
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Score, b.Score), cmp.Compare(a.Backend.ID, b.Backend.ID))
	})
	return e, err
}
