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
	// tokens is the length of the answer that will be sent. nextToken is the
	// index of the next token to send and offset the position of its next byte.
	tokens, nextToken int
	offset            int64
	failAt            int // token index at which the request fails, or -1
	remainingPrefill  int // prompt tokens that are not yet prefilled
	stepPrefill       int // prompt tokens prefilled in the current step
	prefilled         bool
	hashes            []uint64
	// detached is set when the caller has cancelled and the sink must not be
	// called again; ended is set when the result has been queued for the sink.
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
	r.nextToken = int(r.offset / TokenBytes)
	m.drawFaults(r)
	return r
}

// drawFaults decides which faults of the version apply to the request. The
// decision depends only on the request and the seed, not on the order of
// arrival.
func (m *Model) drawFaults(r *request) {
	f, ok := m.faults[r.version]
	if !ok {
		return
	}
	draw := mix(r.seed ^ mix(m.Seed+uint64(r.req.GetAttempt())+1))
	if unitFloat(mix(draw+1)) < f.ErrorRate {
		r.failAt = r.nextToken + int(mix(draw+2)%uint64(max(r.tokens-r.nextToken, 1)))
	}
	if unitFloat(mix(draw+3)) < f.ShortRate {
		r.tokens = max(r.tokens/4, 1)
	}
}

// unitFloat maps x to [0, 1).
func unitFloat(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// requestHeap orders waiting requests by descending priority, then by arrival.
type requestHeap struct{ requests requestSlice }

func (h *requestHeap) len() int         { return len(h.requests) }
func (h *requestHeap) push(r *request)  { heap.Push(&h.requests, r) }
func (h *requestHeap) pop() *request    { return heap.Pop(&h.requests).(*request) }
func (h *requestHeap) remove(index int) { heap.Remove(&h.requests, index) }

type requestSlice []*request

func (h requestSlice) Len() int { return len(h) }

func (h requestSlice) Less(i, j int) bool {
	if a, b := h[i].req.GetPriority(), h[j].req.GetPriority(); a != b {
		return a > b
	}
	return h[i].arrival < h[j].arrival
}

func (h requestSlice) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *requestSlice) Push(x any) { *h = append(*h, x.(*request)) }

func (h *requestSlice) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

// allRequests returns the running and the waiting requests.
func (m *Model) allRequests() []*request {
	return append(slices.Clone(m.running), m.queue.requests...)
}

// remove takes a request out of the queue or the batch and reports whether it
// was in either.
func (m *Model) remove(r *request) bool {
	if i := slices.Index(m.queue.requests, r); i >= 0 {
		m.queue.remove(i)
		return true
	}
	i := slices.Index(m.running, r)
	if i < 0 {
		return false
	}
	if m.Kind == dhtable.Service {
		// An execution that has begun cannot be undone and keeps its slot to
		// the end; only its answer is dropped.
		return true
	}
	m.running = slices.Delete(m.running, i, i+1)
	return true
}

// startStep admits waiting requests and starts a batch step unless one is in
// progress.
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
	d := m.planStep(now) + max(m.stalledUntil.Sub(now), 0)
	epoch := m.epoch
	m.Timers.After(d, func(now time.Time) {
		m.mu.Lock()
		if epoch == m.epoch {
			m.stepping = false
			m.completeStep(now)
			m.startStep()
		}
		m.unlockAndDeliver()
	})
}

// admit moves requests from the queue to free slots, drops those past their
// deadline and computes how much of each prompt must be prefilled.
func (m *Model) admit(now time.Time) {
	for len(m.running) < m.Slots && m.queue.len() > 0 {
		r := m.queue.pop()
		if !r.deadline.IsZero() && !now.Before(r.deadline) {
			m.finish(r, dhcode.WithRan(dhcode.Errorf(dhcode.DeadlineExceeded, "deadline passed in the queue of backend server %q", m.ID), dhcode.NotRun))
			continue
		}
		r.hashes = PrefixHashes(r.hashes[:0], r.version, r.req.GetPrompt())
		prompt := PromptTokens(r.req.GetPrompt()) + r.nextToken
		cached := m.cache.match(r.hashes) * (BlockBytes / PromptTokenBytes)
		r.remainingPrefill = max(prompt-cached, 1)
		m.stats.PrefilledTokens += r.remainingPrefill
		m.stats.CachedTokens += prompt - r.remainingPrefill
		m.running = append(m.running, r)
	}
}

// planStep allots the prefill tokens of a step to requests in order of
// admission and returns the duration of the step.
func (m *Model) planStep(now time.Time) time.Duration {
	d := m.Costs.Step
	budget := m.Costs.PrefillTokens
	maxSlowness := 1.0
	for _, r := range m.running {
		slowness := max(m.faults[r.version].Slowness, 1)
		maxSlowness = max(maxSlowness, slowness)
		if r.prefilled {
			d += scale(m.Costs.PerSequence, slowness)
			continue
		}
		r.stepPrefill = min(r.remainingPrefill, budget)
		budget -= r.stepPrefill
		d += scale(time.Duration(r.stepPrefill)*m.Costs.PerPrefillToken, slowness)
	}
	d += scale(m.Costs.Step, maxSlowness-1)
	if m.state.cold(now) {
		d = scale(d, m.ColdStart.Slowness)
	}
	return d
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// completeStep queues the tokens of a step for delivery and removes the
// requests that have ended.
func (m *Model) completeStep(now time.Time) {
	kept := m.running[:0]
	for _, r := range m.running {
		if m.advance(r, now) {
			kept = append(kept, r)
		}
	}
	clear(m.running[len(kept):])
	m.running = kept
}

// advance applies one step to a running request and reports whether the
// request continues.
func (m *Model) advance(r *request, now time.Time) bool {
	if !r.deadline.IsZero() && !now.Before(r.deadline) {
		m.finish(r, dhcode.WithRan(dhcode.Errorf(dhcode.DeadlineExceeded, "deadline passed on backend server %q", m.ID), dhcode.DidRun))
		return false
	}
	if !r.prefilled {
		r.remainingPrefill -= r.stepPrefill
		r.stepPrefill = 0
		if r.remainingPrefill > 0 {
			return true
		}
		r.prefilled = true
		m.addToCache(r, now)
	}
	if r.nextToken == r.failAt {
		m.finish(r, dhcode.Errorf(dhcode.BackendFailed, "version %q failed on backend server %q", r.version, m.ID))
		return false
	}
	m.deliveries = append(m.deliveries, delivery{request: r, chunk: r.chunk(1)})
	m.stats.DecodedTokens++
	if r.nextToken < r.tokens {
		return true
	}
	m.finish(r, nil)
	return false
}

// chunk returns up to n next tokens and advances the request past them.
func (r *request) chunk(n int) *dhpb.Chunk {
	end := min(r.nextToken+n, r.tokens)
	c := &dhpb.Chunk{
		RequestId: r.req.GetRequestId(), Attempt: r.req.GetAttempt(), Offset: r.offset,
		Model: r.version.Model, Version: r.version.Name,
	}
	var buf [TokenBytes]byte
	text := buf[:0]
	for i := r.nextToken; i < end; i++ {
		text = appendToken(text, r.seed, i)
		c.Tokens++
	}
	if skip := int(r.offset - int64(r.nextToken)*TokenBytes); skip > 0 && skip <= len(text) {
		text = text[skip:]
	}
	c.Text = string(text)
	r.offset += int64(len(c.Text))
	r.nextToken = max(end, r.nextToken)
	c.Last = r.nextToken >= r.tokens
	return c
}
