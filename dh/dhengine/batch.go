package dhengine

import (
	"container/heap"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

// request is a queued or running request.
type request struct {
	req      *dhpb.GenerateRequest
	sink     Sink
	version  dhtable.Version
	arrival  int
	deadline time.Time // zero when none
	seed     uint64
	// tokens is the length of the answer that will be sent; next is the index
	// of its next token and offset the next byte.
	tokens, next int
	offset       int64
	failAt       int // token index at which the request fails, or -1
	prefill      int // prompt tokens left
	share        int // prompt tokens in the current step
	prefilled    bool
	hashes       []uint64
	// detached is set when the caller wants no more calls, ended after Done.
	detached, ended bool
}

func (m *Model) newRequest(req *dhpb.GenerateRequest, sink Sink, now time.Time) *request {
	m.arrivals++
	r := &request{
		req: req, sink: sink, arrival: m.arrivals,
		version: dhtable.Version{Model: req.GetModel(), Name: req.GetVersion()},
		seed:    answerSeed(req.GetPrompt(), req.GetModel(), req.GetVersion()),
		offset:  max(req.GetOffset(), 0), failAt: -1,
	}
	if d := req.GetDeadline(); d != nil {
		r.deadline = now.Add(d.AsDuration())
	}
	r.tokens = answerTokens(r.seed, int(req.GetMaxTokens()))
	r.next = int(r.offset / TokenBytes)
	m.drawFaults(r)
	return r
}

// drawFaults applies the version's faults. The draws depend on the request and
// the seed only, not on the order of arrivals.
func (m *Model) drawFaults(r *request) {
	f, ok := m.faults[r.version]
	if !ok {
		return
	}
	draw := mix(r.seed ^ mix(m.Seed+uint64(r.req.GetAttempt())+1))
	if unit(mix(draw+1)) < f.ErrorRate {
		r.failAt = r.next + int(mix(draw+2)%uint64(max(r.tokens-r.next, 1)))
	}
	if unit(mix(draw+3)) < f.ShortRate {
		r.tokens = max(r.tokens/4, 1)
	}
}

// unit maps x to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// requestHeap orders waiting requests by priority, then by arrival.
type requestHeap struct{ rows requestRows }

func (h *requestHeap) len() int         { return len(h.rows) }
func (h *requestHeap) push(r *request)  { heap.Push(&h.rows, r) }
func (h *requestHeap) pop() *request    { return heap.Pop(&h.rows).(*request) }
func (h *requestHeap) remove(index int) { heap.Remove(&h.rows, index) }

type requestRows []*request

func (h requestRows) Len() int { return len(h) }

func (h requestRows) Less(i, j int) bool {
	if a, b := h[i].req.GetPriority(), h[j].req.GetPriority(); a != b {
		return a > b
	}
	return h[i].arrival < h[j].arrival
}

func (h requestRows) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *requestRows) Push(x any) { *h = append(*h, x.(*request)) }

func (h *requestRows) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

// all returns the running and the waiting requests.
func (m *Model) all() []*request {
	return append(slices.Clone(m.running), m.queue.rows...)
}

// remove takes a request out of queue or batch and reports whether it was there.
func (m *Model) remove(r *request) bool {
	if i := slices.Index(m.queue.rows, r); i >= 0 {
		m.queue.remove(i)
		return true
	}
	i := slices.Index(m.running, r)
	if i < 0 {
		return false
	}
	if m.Kind == dhtable.Service {
		// An execution that has begun has its effect; only its answer is dropped.
		return true
	}
	m.running = slices.Delete(m.running, i, i+1)
	return true
}

// startStep admits waiting requests and starts a batch step unless one runs.
func (m *Model) startStep() {
	if m.Kind == dhtable.Service {
		m.startExecutions()
		return
	}
	if m.stepping || m.state.down {
		return
	}
	now := m.Timers.Now()
	m.admit(now)
	if len(m.running) == 0 {
		return
	}
	m.stepping = true
	d := m.planStep(now) + max(m.stalled.Sub(now), 0)
	epoch := m.epoch
	m.Timers.After(d, func(now time.Time) {
		m.mu.Lock()
		if epoch == m.epoch {
			m.stepping = false
			m.endStep(now)
			m.startStep()
		}
		m.unlockAndDeliver()
	})
}

func (m *Model) admit(now time.Time) {
	for len(m.running) < m.Slots && m.queue.len() > 0 {
		r := m.queue.pop()
		if !r.deadline.IsZero() && !now.Before(r.deadline) {
			m.finish(r, dhcode.WithRan(dhcode.Errorf(dhcode.DeadlineExceeded, "deadline passed in the queue of backend server %q", m.ID), dhcode.NotRun))
			continue
		}
		r.hashes = PrefixHashes(r.hashes[:0], r.version, r.req.GetPrompt())
		prompt := PromptTokens(r.req.GetPrompt()) + r.next
		cached := m.cache.match(r.hashes) * (BlockBytes / PromptTokenBytes)
		r.prefill = max(prompt-cached, 1)
		m.stats.PrefilledTokens += r.prefill
		m.stats.CachedTokens += prompt - r.prefill
		m.running = append(m.running, r)
	}
}

// planStep shares the prefill tokens of a step in order of admission and
// returns the step's time.
func (m *Model) planStep(now time.Time) time.Duration {
	d := m.Costs.Step
	budget := m.Costs.PrefillTokens
	slowest := 1.0
	for _, r := range m.running {
		slowness := max(m.faults[r.version].Slowness, 1)
		slowest = max(slowest, slowness)
		if r.prefilled {
			d += scale(m.Costs.PerSequence, slowness)
			continue
		}
		r.share = min(r.prefill, budget)
		budget -= r.share
		d += scale(time.Duration(r.share)*m.Costs.PerPrefillToken, slowness)
	}
	d += scale(m.Costs.Step, slowest-1)
	if m.state.cold(now) {
		d = scale(d, m.ColdStart.Slowness)
	}
	return d
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// endStep sends the tokens of a step.
func (m *Model) endStep(now time.Time) {
	kept := m.running[:0]
	for _, r := range m.running {
		if m.advance(r, now) {
			kept = append(kept, r)
		}
	}
	clear(m.running[len(kept):])
	m.running = kept
}

// advance applies one step to a running request and reports whether it goes on.
func (m *Model) advance(r *request, now time.Time) bool {
	if !r.deadline.IsZero() && !now.Before(r.deadline) {
		m.finish(r, dhcode.WithRan(dhcode.Errorf(dhcode.DeadlineExceeded, "deadline passed on backend server %q", m.ID), dhcode.DidRun))
		return false
	}
	if !r.prefilled {
		r.prefill -= r.share
		r.share = 0
		if r.prefill > 0 {
			return true
		}
		r.prefilled = true
		m.addToCache(r, now)
	}
	if r.next == r.failAt {
		m.finish(r, dhcode.Errorf(dhcode.BackendFailed, "version %q failed on backend server %q", r.version, m.ID))
		return false
	}
	m.out = append(m.out, delivery{request: r, chunk: r.chunk(1)})
	m.stats.DecodedTokens++
	if r.next < r.tokens {
		return true
	}
	m.finish(r, nil)
	return false
}

// chunk returns the next n tokens and moves the request past them.
func (r *request) chunk(n int) *dhpb.Chunk {
	end := min(r.next+n, r.tokens)
	c := &dhpb.Chunk{
		RequestId: r.req.GetRequestId(), Attempt: r.req.GetAttempt(), Offset: r.offset,
		Model: r.version.Model, Version: r.version.Name,
	}
	var buf [TokenBytes]byte
	text := buf[:0]
	for i := r.next; i < end; i++ {
		text = appendToken(text, r.seed, i)
		c.Tokens++
	}
	if skip := int(r.offset - int64(r.next)*TokenBytes); skip > 0 && skip <= len(text) {
		text = text[skip:]
	}
	c.Text = string(text)
	r.offset += int64(len(c.Text))
	r.next = max(end, r.next)
	c.Last = r.next >= r.tokens
	return c
}
