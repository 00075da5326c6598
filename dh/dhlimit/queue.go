package dhlimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhcode"
)

// pool is the weighted fair queue of one pool. Accounts share the slots in
// proportion to their weights (start-time fair queueing over the run time of
// requests); an account's own requests run by priority and then in order of
// arrival.
type pool struct {
	name           string
	slots, running int
	queued         int
	queues         map[string]*queue
	// virtualTime is the start tag of the last granted request.
	virtualTime float64
	overall     runTime
	classes     map[string]*runTime
}

// maxUnusedShare is how much of its unused share an account may use later, in
// seconds of run time per unit of weight. Without it, each request of an account
// with few concurrent requests waited for as long as its previous request had
// run.
const maxUnusedShare = 10.0

// queue holds the waiting requests of one account.
type queue struct {
	account string
	weight  float64
	// startTag orders the accounts; the account with the smallest is granted next.
	startTag float64
	waiters  []*waiter // by priority, then arrival
}

// waiter is a request that waits in a queue or holds a slot.
type waiter struct {
	request Request
	pool    *pool
	queue   *queue
	arrived time.Time
	granted time.Time
	charged float64
	decided chan struct{}
	err     error
}

func (w *waiter) refuse(err error) {
	w.err = err
	close(w.decided)
}

// runTime tracks the mean and mean deviation of the run time of requests.
type runTime struct {
	mean, deviation time.Duration
	count           int
}

// maxClasses bounds the classes tracked per pool; other classes use the pool's
// mean run time.
const maxClasses = 64

func newPool(name string, first time.Duration) *pool {
	return &pool{
		name: name, queues: make(map[string]*queue), classes: make(map[string]*runTime),
		overall: runTime{mean: first},
	}
}

// expectedRun returns the expected run time of a request.
func (p *pool) expectedRun(r Request) time.Duration {
	if r.ExpectedRun > 0 {
		return r.ExpectedRun
	}
	if t, ok := p.classes[r.Class]; ok {
		return t.mean
	}
	return p.overall.mean
}

// requiredRun returns the run time that must fit into the time left: the expected
// run time plus four mean deviations, which nearly all requests of the class stay
// below, so that few slots are spent on late answers. For an account within its
// share it is only one mean deviation, so that fewer of its requests are refused.
func (p *pool) requiredRun(q *queue, r Request) time.Duration {
	t := &p.overall
	if c, ok := p.classes[r.Class]; ok {
		t = c
	}
	if q.startTag < p.virtualTime {
		return p.expectedRun(r) + t.deviation
	}
	return p.expectedRun(r) + 4*t.deviation
}

// estimateWait estimates how long a request waits with the given number of
// requests of its own account ahead of it. Virtual time advances at the rate of
// slots / the sum of the weights of the waiting accounts, and the request starts
// when virtual time reaches its start tag, but at the latest when all requests
// ahead of it have run.
func (p *pool) estimateWait(q *queue, ahead int) time.Duration {
	if p.slots <= 0 {
		return math.MaxInt64
	}
	weights := q.weight
	others := 0
	for _, o := range p.queues {
		if o != q && len(o.waiters) > 0 {
			weights += o.weight
			others += len(o.waiters)
		}
	}
	before := 0.0
	for _, w := range q.waiters[:ahead] {
		before += p.expectedRun(w.request).Seconds()
	}
	mean, slots := p.overall.mean.Seconds(), float64(p.slots)
	fairWait := max((q.startTag-p.virtualTime+before/q.weight)*weights, before)
	maxWait := before + float64(others)*mean
	next := float64(1+max(p.running-p.slots, 0)) * mean
	return time.Duration((min(fairWait, maxWait) + next) / slots * float64(time.Second))
}

func (p *pool) enqueue(r Request, now time.Time, maxQueue int) (*waiter, error) {
	w := &waiter{request: r, pool: p, arrived: now, decided: make(chan struct{})}
	if p.queued == 0 && p.running < p.slots {
		p.start(w, now)
		return w, nil
	}
	q, ok := p.queues[r.Account.Name]
	if !ok {
		q = &queue{account: r.Account.Name, startTag: p.virtualTime - maxUnusedShare}
	}
	q.weight = float64(max(r.Account.Weight, 1))
	at := q.insertIndex(r.Priority)
	wait := p.estimateWait(q, at)
	if p.slots <= 0 {
		return nil, dhcode.WithRetryAfter(dhcode.Errorf(dhcode.PoolFull, "pool %q has no slot for this VM", p.name), time.Second)
	}
	if err := p.checkDeadline(q, r, wait, r.Deadline); err != nil {
		return nil, err
	}
	if p.queued >= maxQueue && !p.displace(q, r.Priority) {
		return nil, dhcode.WithRetryAfter(dhcode.Errorf(dhcode.QueueFull, "the queue of pool %q is full", p.name), wait)
	}
	p.queues[q.account] = q
	w.queue = q
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[at+1:], q.waiters[at:])
	q.waiters[at] = w
	p.queued++
	return w, nil
}

// checkDeadline returns an error for a request that would not end within the time
// left. Its retry-after is the time until the queue is expected to be short enough.
func (p *pool) checkDeadline(q *queue, r Request, wait, left time.Duration) error {
	required := p.requiredRun(q, r)
	if wait <= left-required {
		return nil
	}
	err := dhcode.Errorf(dhcode.WaitTooLong, "pool %q: a wait of %s and a run of %s do not fit into %s",
		p.name, wait.Round(time.Millisecond), required.Round(time.Millisecond), left.Round(time.Millisecond))
	return dhcode.WithRetryAfter(err, max(wait-(left-required), 10*time.Millisecond))
}

// insertIndex returns the index at which to insert a request of the given priority.
func (q *queue) insertIndex(priority int) int {
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].request.Priority < priority {
		i--
	}
	return i
}

// displace makes room in a full queue: it refuses the last request of the account
// with the most waiting requests per unit of weight. It returns false if that
// account is q's own and the last request does not have a lower priority than the
// new one.
func (p *pool) displace(q *queue, priority int) bool {
	longest := q
	length := float64(len(q.waiters)+1) / q.weight
	for _, o := range p.queues {
		n := float64(len(o.waiters)) / o.weight
		if n > length || (n == length && longest != q && o.account < longest.account) {
			longest, length = o, n
		}
	}
	if len(longest.waiters) == 0 {
		return false
	}
	last := longest.waiters[len(longest.waiters)-1]
	if longest == q && last.request.Priority >= priority {
		return false
	}
	wait := p.estimateWait(longest, len(longest.waiters))
	p.remove(last)
	last.refuse(dhcode.WithRetryAfter(dhcode.Errorf(dhcode.QueueFull, "the queue of pool %q is full", p.name), wait))
	return true
}

func (p *pool) remove(w *waiter) {
	q := w.queue
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			p.queued--
			break
		}
	}
	// An account that has used more than its share keeps its start tag while
	// other accounts wait.
	if len(q.waiters) == 0 && (q.startTag <= p.virtualTime-maxUnusedShare || p.queued == 0) {
		delete(p.queues, q.account)
	}
}

// grant gives free slots to waiting requests.
func (p *pool) grant(now time.Time) {
	for p.running < p.slots && p.queued > 0 {
		var next *queue
		for name, q := range p.queues {
			if len(q.waiters) == 0 {
				if q.startTag <= p.virtualTime-maxUnusedShare {
					delete(p.queues, name)
				}
				continue
			}
			if next == nil || q.startTag < next.startTag || (q.startTag == next.startTag && q.account < next.account) {
				next = q
			}
		}
		w := next.waiters[0]
		p.virtualTime = max(p.virtualTime, next.startTag)
		w.charged = p.expectedRun(w.request).Seconds() / next.weight
		next.startTag = max(next.startTag, p.virtualTime-maxUnusedShare) + w.charged
		p.remove(w)
		p.start(w, now)
	}
	// When no request waits, no account has used more than its share.
	if p.queued == 0 && p.running < p.slots {
		clear(p.queues)
	}
}

func (p *pool) start(w *waiter, now time.Time) {
	p.running++
	w.granted = now
	close(w.decided)
}

// release frees a slot and corrects the account's start tag to the actual run
// time of the request.
func (p *pool) release(w *waiter, now time.Time, ran bool) {
	p.running--
	took := now.Sub(w.granted)
	if ran {
		p.observe(w.request.Class, took)
	}
	if w.queue != nil {
		w.queue.startTag += took.Seconds()/w.queue.weight - w.charged
	}
	p.grant(now)
}

func (p *pool) observe(class string, took time.Duration) {
	p.overall.observe(took)
	t, ok := p.classes[class]
	if !ok {
		if len(p.classes) >= maxClasses {
			return
		}
		t = &runTime{}
		p.classes[class] = t
	}
	t.observe(took)
}

// observe moves the mean by 1/32 of the difference, so that it follows a change of
// load within some tens of requests. The first 32 requests are weighted equally.
func (t *runTime) observe(took time.Duration) {
	t.count = min(t.count+1, 32)
	difference := took - t.mean
	t.mean += difference / time.Duration(t.count)
	t.deviation += (difference.Abs() - t.deviation) / time.Duration(t.count)
}

// refuseLate refuses waiting requests that would not end in time. It starts at
// the end of each queue, so that requests of the lowest priority are refused first.
func (p *pool) refuseLate(now time.Time) {
	// The order of the accounts is fixed, because each refusal shortens the wait of
	// the other requests.
	for _, name := range slices.Sorted(maps.Keys(p.queues)) {
		q := p.queues[name]
		for i := len(q.waiters) - 1; i >= 0; i-- {
			w := q.waiters[i]
			left := w.request.Deadline - now.Sub(w.arrived)
			// Without slots the wait is unknown, and slots may be available again soon.
			wait := time.Duration(0)
			if p.slots > 0 {
				wait = p.estimateWait(q, i)
			}
			if err := p.checkDeadline(q, w.request, wait, left); err != nil {
				p.remove(w)
				w.refuse(err)
			}
		}
	}
}
