package dhtimer

import (
	"container/heap"
	"sync"
	"time"
)

// Stepped is a Service whose time advances only through Step and Next. Callbacks
// run on the goroutine that calls these, ordered by due time and then by the
// order in which they were scheduled, so that runs are reproducible.
type Stepped struct {
	mu     sync.Mutex
	now    time.Time
	seq    int
	events eventHeap
}

// event is a scheduled callback; period is 0 for a callback that runs once.
type event struct {
	at        time.Time
	seq       int
	period    time.Duration
	f         func(time.Time)
	cancelled bool
}

// NewStepped returns a stepped service that starts at a fixed time.
func NewStepped() *Stepped {
	return &Stepped{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// Now implements Service.
func (s *Stepped) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Subscribe implements Service.
func (s *Stepped) Subscribe(period time.Duration, f func(now time.Time)) func() {
	return s.add(period, period, f)
}

// After implements Service.
func (s *Stepped) After(d time.Duration, f func(now time.Time)) func() {
	return s.add(d, 0, f)
}

func (s *Stepped) add(d, period time.Duration, f func(time.Time)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	e := &event{at: s.now.Add(max(d, 0)), seq: s.seq, period: period, f: f}
	heap.Push(&s.events, e)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.cancelled = true
	}
}

// Step advances the time by d and runs every callback that falls due meanwhile.
func (s *Stepped) Step(d time.Duration) {
	end := s.Now().Add(d)
	for {
		e := s.next(end)
		if e == nil {
			return
		}
		e.f(e.at)
	}
}

// Next advances the time to the next callback and runs it. It returns false if
// nothing is scheduled.
func (s *Stepped) Next() bool {
	s.mu.Lock()
	if len(s.events) == 0 {
		s.mu.Unlock()
		return false
	}
	at := s.events[0].at
	s.mu.Unlock()
	if e := s.next(at); e != nil {
		e.f(e.at)
	}
	return true
}

// next removes and returns the first event due by end and advances the time to
// it. If there is none, it advances the time to end and returns nil.
func (s *Stepped) next(end time.Time) *event {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.events) > 0 {
		e := s.events[0]
		if e.cancelled {
			heap.Pop(&s.events)
			continue
		}
		if e.at.After(end) {
			break
		}
		heap.Pop(&s.events)
		s.now = e.at
		if e.period <= 0 {
			return e
		}
		// A periodic event is pushed again itself, so that its cancel function
		// stays valid; the caller gets a copy.
		due := &event{at: e.at, f: e.f}
		s.seq++
		e.at, e.seq = e.at.Add(e.period), s.seq
		heap.Push(&s.events, e)
		return due
	}
	s.now = end
	return nil
}

// eventHeap is a heap of events ordered by due time and then by seq.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
