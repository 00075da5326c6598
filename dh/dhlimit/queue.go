package dhlimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhcode"
)

// pool is the weighted fair queue of one pool. Accounts share the slots by
// weight (start-time fair queueing over the time that requests run); an
// account's own requests run by priority and then in order of arrival.
type pool struct {
	name           string
	slots, running int
	queued         int
	queues         map[string]*queue
	// virtual is the start tag of the last granted request.
	virtual float64
	all     runTime
	classes map[string]*runTime
}

// savedShare is how much of its unused share an account may use later, in
// seconds of run time for each unit of weight. Without it an account with few
// requests at a time waited for a whole run of its own last one.
const savedShare = 10.0

// queue is the part of one account.
type queue struct {
	account string
	weight  float64
	// tag is the account's start tag; the smallest is granted next.
	tag     float64
	waiters []*waiter // by priority, then arrival
}

// waiter is a request in a queue or in a slot.
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

// runTime follows how long requests run: mean and mean deviation.
type runTime struct {
	mean, deviation time.Duration
	count           int
}

// maxClasses bounds the classes of a pool; others share the pool's run time.
const maxClasses = 64

func newPool(name string, first time.Duration) *pool {
	return &pool{
		name: name, queues: make(map[string]*queue), classes: make(map[string]*runTime),
		all: runTime{mean: first},
	}
}

// run returns how long a request will probably run.
func (p *pool) run(r Request) time.Duration {
	if r.Run > 0 {
		return r.Run
	}
	if t, ok := p.classes[r.Class]; ok {
		return t.mean
	}
	return p.all.mean
}

// slowRun returns how long a run must fit into the time left: one that nearly
// all of the class's requests stay under, so that work on late answers is
// rare. An account within its share gets the benefit of the doubt.
func (p *pool) slowRun(q *queue, r Request) time.Duration {
	t := &p.all
	if c, ok := p.classes[r.Class]; ok {
		t = c
	}
	if q.tag < p.virtual {
		return p.run(r) + t.deviation
	}
	return p.run(r) + 4*t.deviation
}

// wait estimates how long a request waits that has the given number of the
// account's own requests before it. Virtual time passes at slots / weights of
// the waiting accounts, so the request starts when it reaches its start tag;
// and at the latest when all that waits before it has run.
func (p *pool) wait(q *queue, own int) time.Duration {
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
	for _, w := range q.waiters[:own] {
		before += p.run(w.request).Seconds()
	}
	mean, slots := p.all.mean.Seconds(), float64(p.slots)
	turn := max((q.tag-p.virtual+before/q.weight)*weights, before)
	all := before + float64(others)*mean
	next := float64(1+max(p.running-p.slots, 0)) * mean
	return time.Duration((min(turn, all) + next) / slots * float64(time.Second))
}

func (p *pool) enter(r Request, now time.Time, maxQueue int) (*waiter, error) {
	w := &waiter{request: r, pool: p, arrived: now, decided: make(chan struct{})}
	if p.queued == 0 && p.running < p.slots {
		p.start(w, now)
		return w, nil
	}
	q, ok := p.queues[r.Account.Name]
	if !ok {
		q = &queue{account: r.Account.Name, tag: p.virtual - savedShare}
	}
	q.weight = float64(max(r.Account.Weight, 1))
	at := q.place(r.Priority)
	wait := p.wait(q, at)
	if p.slots <= 0 {
		return nil, dhcode.WithRetryAfter(dhcode.Errorf(dhcode.PoolFull, "pool %q has no slot for this VM", p.name), time.Second)
	}
	if err := p.tooLate(q, r, wait, r.Deadline); err != nil {
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

// tooLate refuses a request that would not end within the time left. The
// retry-after is when the queue will have become short enough.
func (p *pool) tooLate(q *queue, r Request, wait, left time.Duration) error {
	need := p.slowRun(q, r)
	if wait <= left-need {
		return nil
	}
	err := dhcode.Errorf(dhcode.WaitTooLong, "pool %q: a wait of %s and a run of %s do not fit into %s",
		p.name, wait.Round(time.Millisecond), need.Round(time.Millisecond), left.Round(time.Millisecond))
	return dhcode.WithRetryAfter(err, max(wait-(left-need), 10*time.Millisecond))
}

// place returns the index of a new request of the given priority.
func (q *queue) place(priority int) int {
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].request.Priority < priority {
		i--
	}
	return i
}

// displace refuses the last request of the account that waits with the most
// requests for its weight, if the new one is entitled to its place.
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
	wait := p.wait(longest, len(longest.waiters))
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
	// An account that is ahead of its share keeps its tag while others wait.
	if len(q.waiters) == 0 && (q.tag <= p.virtual-savedShare || p.queued == 0) {
		delete(p.queues, q.account)
	}
}

// grant gives free slots to waiting requests.
func (p *pool) grant(now time.Time) {
	for p.running < p.slots && p.queued > 0 {
		var next *queue
		for name, q := range p.queues {
			if len(q.waiters) == 0 {
				if q.tag <= p.virtual-savedShare {
					delete(p.queues, name)
				}
				continue
			}
			if next == nil || q.tag < next.tag || (q.tag == next.tag && q.account < next.account) {
				next = q
			}
		}
		w := next.waiters[0]
		p.virtual = max(p.virtual, next.tag)
		w.charged = p.run(w.request).Seconds() / next.weight
		next.tag = max(next.tag, p.virtual-savedShare) + w.charged
		p.remove(w)
		p.start(w, now)
	}
	// Without contention nobody has taken more than their share.
	if p.queued == 0 && p.running < p.slots {
		clear(p.queues)
	}
}

func (p *pool) start(w *waiter, now time.Time) {
	p.running++
	w.granted = now
	close(w.decided)
}

// release frees a slot and corrects the account's tag by the time that the
// request really ran.
func (p *pool) release(w *waiter, now time.Time, ran bool) {
	p.running--
	took := now.Sub(w.granted)
	if ran {
		p.learn(w.request.Class, took)
	}
	if w.queue != nil {
		w.queue.tag += took.Seconds()/w.queue.weight - w.charged
	}
	p.grant(now)
}

func (p *pool) learn(class string, took time.Duration) {
	p.all.learn(took)
	t, ok := p.classes[class]
	if !ok {
		if len(p.classes) >= maxClasses {
			return
		}
		t = &runTime{}
		p.classes[class] = t
	}
	t.learn(took)
}

// learn moves the mean by 1/32 of the difference, which follows a change of
// load within some tens of requests. The first ones count for more.
func (t *runTime) learn(took time.Duration) {
	t.count = min(t.count+1, 32)
	difference := took - t.mean
	t.mean += difference / time.Duration(t.count)
	t.deviation += (difference.Abs() - t.deviation) / time.Duration(t.count)
}

// refuseLate refuses waiting requests that would not end in time, from the end
// of each queue, so that the lowest priority goes first.
func (p *pool) refuseLate(now time.Time) {
	// The order matters, since a refusal shortens the wait of the others.
	for _, name := range slices.Sorted(maps.Keys(p.queues)) {
		q := p.queues[name]
		for i := len(q.waiters) - 1; i >= 0; i-- {
			w := q.waiters[i]
			left := w.request.Deadline - now.Sub(w.arrived)
			// Without slots the wait is unknown, and a slot may be back soon.
			wait := time.Duration(0)
			if p.slots > 0 {
				wait = p.wait(q, i)
			}
			if err := p.tooLate(q, w.request, wait, left); err != nil {
				p.remove(w)
				w.refuse(err)
			}
		}
	}
}
