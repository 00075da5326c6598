package dhquarantine

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// evidenceWindow is the time for which a crash is evidence.
	evidenceWindow = 3 * time.Minute
	// clearedBefore is the time before the first crash of a part within which an answer
	// clears it: while a whole pool crashes, nobody answers.
	clearedBefore = 5 * time.Second
	// simultaneous is the time within which the ends of several backend servers count as
	// one crash, as when their zone or rack loses power.
	simultaneous = 25 * time.Millisecond
	// aliveAfter is the time after a broken connection from which an announcement of the
	// same incarnation shows that the backend server did not crash.
	aliveAfter = 300 * time.Millisecond
	// minCrashes and minRequests are the evidence that a verdict needs, and minFraction
	// the fraction of the crashes of the pool that must have the part, from around before
	// its first crash to around after its last. With manyCrashes and manyRequests,
	// manyFraction suffices: several parts may crash backend servers at the same time.
	around                    = 2 * time.Second
	minCrashes, minRequests   = 3, 2
	minFraction               = 0.7
	manyCrashes, manyRequests = 5, 3
	manyFraction              = 0.3
	// suspectCrashes is the number of crashes from which a part is suspected: entry
	// VMs are asked whether it was answered, and do not repeat requests with it.
	suspectCrashes = 2
	// settleTime is the time from the suspicion to the verdict, in which entry VMs
	// report answers.
	settleTime = 400 * time.Millisecond
	// maxSuspects bounds the parts that entry VMs are asked about.
	maxSuspects = 64
	// maxRequests bounds the broken requests and maxCleared the answered parts that a
	// control VM keeps.
	maxRequests = 4096
	maxCleared  = 16384
	// passedOnFor is how long an observation is passed on to other control VMs, which
	// keep it: several of their watches, in case some fail. maxPassedOn bounds the
	// observations of each kind in an answer to a watch.
	passedOnFor = 3 * time.Second
	maxPassedOn = 1024
)

// Backends tells which incarnations of backend servers have announced themselves since a
// time.
type Backends interface {
	// AnnouncedSince reports whether an incarnation of a backend server has announced
	// itself after a time.
	AnnouncedSince(id string, incarnation uint64, at time.Time) bool
}

// Investigation finds the parts that crash backend servers on a control VM. Its exported
// fields are set before use. It is safe for use by several goroutines.
type Investigation struct {
	Timers dhtimer.Service
	// Name is this VM's name.
	Name    string
	Log     *slog.Logger
	Metrics *dhmetric.Metrics

	mu       sync.Mutex
	requests map[requestKey]*observation
	answered map[Part]time.Time
	// direct holds when an entry VM last reported to this VM that a part was answered.
	direct   map[Part]time.Time
	verdicts Verdicts
	// suspects holds since when each part has been suspected.
	suspects map[Part]time.Time
	number   uint64
}

type requestKey struct {
	backend     string
	incarnation uint64
	request     uint64
}

// observation is a request whose connection broke.
type observation struct {
	pool  string
	parts []uint64
	at    time.Time
	// direct is when an entry VM first reported it to this VM.
	direct time.Time
}

// Merge applies the observations of entry VMs. They are direct if this VM received
// them from an entry VM; only those are passed on.
func (n *Investigation) Merge(requests []*dhpb.SuspectRequest, answered []*dhpb.AnsweredPart, verdicts []*dhpb.QuarantineVerdict, direct bool) (changed bool) {
	if len(requests)+len(answered)+len(verdicts) == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Timers.Now()
	for _, m := range requests {
		n.addRequest(m, now, direct)
	}
	for _, m := range answered {
		n.addAnswer(partOf(m.GetPart()), now.Add(-max(m.GetAge().AsDuration(), 0)), direct)
	}
	for _, m := range verdicts {
		v := verdictOf(m, now)
		if n.verdicts.Merge(v, now) {
			logVerdict(n.Log, n.Metrics, v, now)
			changed = true
		}
	}
	if changed {
		n.number++
	}
	return changed
}

func (n *Investigation) addRequest(m *dhpb.SuspectRequest, now time.Time, direct bool) {
	k := requestKey{m.GetBackend(), m.GetIncarnation(), m.GetRequest()}
	at := now.Add(-max(m.GetAge().AsDuration(), 0))
	reported := time.Time{}
	if direct {
		reported = now
	}
	if old := n.requests[k]; old != nil {
		if old.direct.IsZero() {
			old.direct = reported
		}
		return
	}
	if len(n.requests) >= maxRequests || m.GetPool() == "" || now.Sub(at) > evidenceWindow {
		return
	}
	if n.requests == nil {
		n.requests = make(map[requestKey]*observation)
	}
	parts := m.GetParts()
	n.requests[k] = &observation{m.GetPool(), parts[:min(len(parts), maxParts)], at, reported}
}

func (n *Investigation) addAnswer(p Part, at time.Time, direct bool) {
	old, known := n.answered[p]
	if !known && len(n.answered) >= maxCleared {
		return
	}
	if n.answered == nil {
		n.answered, n.direct = make(map[Part]time.Time), make(map[Part]time.Time)
	}
	if at.After(old) {
		n.answered[p] = at
	}
	if direct {
		n.direct[p] = n.Timers.Now()
	}
}

// State returns what a caller of a watch learns, with the observations of the entry VMs
// that watch this VM if it is a control VM; nil if there is nothing.
func (n *Investigation) State(forControl bool) *dhpb.QuarantineState {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.number == 0 && len(n.requests) == 0 {
		return nil
	}
	now := n.Timers.Now()
	m := &dhpb.QuarantineState{Number: n.number, Verdicts: n.verdicts.Messages(now)}
	for p := range n.suspects {
		m.Suspects = append(m.Suspects, p.message())
	}
	if !forControl {
		return m
	}
	for k, o := range n.requests {
		if now.Sub(o.direct) <= passedOnFor && len(m.Requests) < maxPassedOn {
			m.Requests = append(m.Requests, &dhpb.SuspectRequest{
				Pool: o.pool, Backend: k.backend, Incarnation: k.incarnation, Request: k.request, Age: durationpb.New(now.Sub(o.at)), Parts: o.parts,
			})
		}
	}
	for p, reported := range n.direct {
		if now.Sub(reported) <= passedOnFor && len(m.Answered) < maxPassedOn {
			m.Answered = append(m.Answered, &dhpb.AnsweredPart{Part: p.message(), Age: durationpb.New(now.Sub(n.answered[p]))})
		}
	}
	return m
}

// Number returns a number that increases with each change of suspects and verdicts.
func (n *Investigation) Number() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.number
}

// Decide adds a verdict of an operator: it quarantines a part for a time, or lifts its
// quarantine.
func (n *Investigation) Decide(p Part, lift bool, remaining time.Duration, operator string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Timers.Now()
	v := Verdict{Part: p, DecidedAt: now, Lifted: lift, Expires: now, DecidedBy: operator}
	if !lift {
		v.Expires = now.Add(min(remaining, maxRemaining))
	}
	if old, ok := n.verdicts.Get(p); ok && !v.DecidedAt.After(old.DecidedAt) {
		v.DecidedAt = old.DecidedAt.Add(time.Millisecond) // the clock of another VM is ahead
	}
	if n.verdicts.Merge(v, now) {
		logVerdict(n.Log, n.Metrics, v, now)
	}
	n.number++
}

// Messages returns all verdicts that are remembered as messages.
func (n *Investigation) Messages() []*dhpb.QuarantineVerdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.verdicts.Messages(n.Timers.Now())
}

// Verdicts returns all verdicts that are remembered.
func (n *Investigation) Verdicts() []Verdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.verdicts.All()
}

// Evaluate decides about the suspected parts, and reports whether suspects or verdicts
// have changed. A verdict waits for a delay that is longer the higher the rank of
// this VM, so that one VM decides.
func (n *Investigation) Evaluate(backends Backends, delay time.Duration) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Timers.Now()
	n.verdicts.Forget(now)
	n.forget(backends, now)
	if len(n.requests) == 0 && len(n.suspects) == 0 {
		return false
	}
	suspects := make(map[Part]time.Time)
	for pool, crashes := range n.crashes() {
		charges := n.charges(pool, crashes, now)
		for _, c := range charges {
			since, known := n.suspects[c.part]
			if !known {
				since = now
				changed = true
				n.logCharge("prompt part suspected", c, len(crashes))
				n.Metrics.Count("quarantine", "suspected")
			}
			if len(suspects) < maxSuspects {
				suspects[c.part] = since
			}
		}
		for _, c := range proved(charges, crashes) {
			if since, ok := suspects[c.part]; ok && now.Sub(since) >= settleTime+delay {
				n.convict(c, now)
				changed = true
			}
		}
	}
	for p := range n.suspects {
		if _, still := suspects[p]; !still {
			changed = true
		}
	}
	n.suspects = suspects
	if changed {
		n.number++
	}
	return changed
}

// forget removes observations that are old or whose backend server did not crash.
func (n *Investigation) forget(backends Backends, now time.Time) {
	for k, o := range n.requests {
		if now.Sub(o.at) > evidenceWindow || backends.AnnouncedSince(k.backend, k.incarnation, o.at.Add(aliveAfter)) {
			delete(n.requests, k)
		}
	}
	for p, at := range n.answered {
		if now.Sub(at) > evidenceWindow+clearedBefore {
			delete(n.answered, p)
			delete(n.direct, p)
		}
	}
}

// crash is the end of one or more backend servers at the same time.
type crash struct {
	at       time.Time
	backends []string
	// requests holds the ids of the requests that were at work, by part.
	requests map[uint64][]uint64
}

// crashes returns the crashes of each pool in order of time.
func (n *Investigation) crashes() map[string][]*crash {
	type server struct {
		backend     string
		incarnation uint64
	}
	ends := make(map[string]map[server]*crash)
	for k, o := range n.requests {
		pool := ends[o.pool]
		if pool == nil {
			pool = make(map[server]*crash)
			ends[o.pool] = pool
		}
		s := server{k.backend, k.incarnation}
		c := pool[s]
		if c == nil {
			c = &crash{at: o.at, backends: []string{k.backend}, requests: make(map[uint64][]uint64)}
			pool[s] = c
		}
		if o.at.Before(c.at) {
			c.at = o.at
		}
		for _, id := range o.parts {
			c.requests[id] = append(c.requests[id], k.request)
		}
	}
	byPool := make(map[string][]*crash)
	for pool, servers := range ends {
		var list []*crash
		for _, c := range servers {
			list = append(list, c)
		}
		slices.SortFunc(list, func(a, b *crash) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.backends[0], b.backends[0]))
		})
		byPool[pool] = joinSimultaneous(list)
	}
	return byPool
}

// joinSimultaneous joins crashes that follow the one before closely.
func joinSimultaneous(list []*crash) []*crash {
	var joined []*crash
	for i, c := range list {
		if i == 0 || c.at.Sub(list[i-1].at) > simultaneous {
			joined = append(joined, c)
			continue
		}
		last := joined[len(joined)-1]
		last.backends = append(last.backends, c.backends...)
		for id, requests := range c.requests {
			last.requests[id] = append(last.requests[id], requests...)
		}
	}
	return joined
}

// charge is the evidence against a part.
type charge struct {
	part Part
	// in holds the indexes of the crashes, requests is the number of requests with the
	// part that were at work.
	in       []int
	requests int
	backends []string
	// convicted is set if the part was in quarantine before.
	convicted bool
}

// charges returns the evidence against the parts of a pool's requests that nobody has
// answered and that enough crashes have in common, the heaviest first. Crashes with a
// part that is in quarantine are explained.
func (n *Investigation) charges(pool string, crashes []*crash, now time.Time) []charge {
	byPart := make(map[uint64]*charge)
	distinct := make(map[uint64]map[uint64]bool)
	for i, c := range crashes {
		if n.explained(pool, c, now) {
			continue
		}
		for id, requests := range c.requests {
			if v, known := n.verdicts.Get(Part{pool, id}); known && !c.at.After(v.settles()) {
				continue
			}
			x := byPart[id]
			if x == nil {
				x = &charge{part: Part{pool, id}}
				byPart[id], distinct[id] = x, make(map[uint64]bool)
			}
			x.in = append(x.in, i)
			x.backends = append(x.backends, c.backends...)
			for _, r := range requests {
				distinct[id][r] = true
			}
		}
	}
	var list []charge
	for id, x := range byPart {
		x.requests = len(distinct[id])
		first := crashes[x.in[0]].at
		v, known := n.verdicts.Get(x.part)
		if n.cleared(x.part, first) {
			continue
		}
		x.convicted = known && !v.Lifted
		if x.convicted || len(x.in) >= suspectCrashes {
			list = append(list, *x)
		}
	}
	slices.SortFunc(list, func(a, b charge) int { return cmp.Or(-a.compare(b), cmp.Compare(a.part.ID, b.part.ID)) })
	return list[:min(len(list), maxSuspects)]
}

// explained reports whether a request with a part in quarantine was at work in a crash.
func (n *Investigation) explained(pool string, c *crash, now time.Time) bool {
	for id := range c.requests {
		if v, ok := n.verdicts.Get(Part{pool, id}); ok && v.InForce(now) {
			return true
		}
	}
	return false
}

// compare orders charges by weight.
func (c charge) compare(d charge) int {
	known := func(c charge) int {
		if c.convicted {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(known(c), known(d)), cmp.Compare(len(c.in), len(d.in)), cmp.Compare(c.requests, d.requests))
}

// proved returns the charges that suffice for a verdict, of those against the parts in
// crashes, the heaviest first. What a heavier charge explains is no evidence against
// another part. Parts that always came together wait for more crashes, and then share
// the verdict.
func proved(charges []charge, crashes []*crash) []charge {
	var list []charge
	explained := make(map[int]bool)
	for len(charges) > 0 {
		c := charges[0]
		together := 1
		for together < len(charges) && charges[together].compare(c) == 0 && slices.Equal(charges[together].in, c.in) {
			together++
		}
		unexplained := slices.DeleteFunc(slices.Clone(c.in), func(crash int) bool { return explained[crash] })
		if c.suffices(unexplained, crashes, together > 1) {
			list = append(list, charges[:together]...)
			for _, crash := range unexplained {
				explained[crash] = true
			}
		}
		charges = charges[together:]
	}
	return list
}

// suffices reports whether a charge that explains the crashes in is enough for a
// verdict.
func (c charge) suffices(in []int, crashes []*crash, tied bool) bool {
	if len(in) == 0 || c.convicted {
		return len(in) > 0
	}
	from, to := crashes[in[0]].at.Add(-around), crashes[in[len(in)-1]].at.Add(around)
	meanwhile := 0
	for _, x := range crashes {
		if !x.at.Before(from) && !x.at.After(to) {
			meanwhile++
		}
	}
	fraction := float64(len(in)) / float64(meanwhile)
	if len(in) >= manyCrashes && c.requests >= manyRequests {
		return fraction >= manyFraction
	}
	return !tied && len(in) >= minCrashes && c.requests >= minRequests && fraction >= minFraction
}

// cleared reports whether a part was answered since shortly before a time.
func (n *Investigation) cleared(p Part, first time.Time) bool {
	at, ok := n.answered[p]
	return ok && at.After(first.Add(-clearedBefore))
}

// convict puts a part into quarantine.
func (n *Investigation) convict(c charge, now time.Time) {
	slices.Sort(c.backends)
	c.backends = slices.Compact(c.backends)
	v := Verdict{
		Part: c.part, DecidedAt: now, Expires: now.Add(Term), Crashes: len(c.in), Requests: c.requests,
		Backends: c.backends[:min(len(c.backends), maxNamed)], DecidedBy: n.Name,
	}
	if old, ok := n.verdicts.Get(c.part); ok && !v.DecidedAt.After(old.DecidedAt) {
		v.DecidedAt = old.DecidedAt.Add(time.Millisecond)
	}
	if n.verdicts.Merge(v, now) {
		logVerdict(n.Log, n.Metrics, v, now)
	}
}

func (n *Investigation) logCharge(text string, c charge, crashes int) {
	n.Log.Warn(text, slog.String("pool", c.part.Pool), slog.String("part", FormatID(c.part.ID)), slog.Int("crashes", len(c.in)),
		slog.Int("of", crashes), slog.Int("requests", c.requests), slog.Bool("convicted-before", c.convicted),
		slog.Any("backends", c.backends[:min(len(c.backends), maxNamed)]))
}
