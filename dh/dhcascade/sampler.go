package dhcascade

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"dandelionhoist.example/dh/dhtimer"
)

// Rater calls the rating service, which may be slow, noisy or unavailable.
type Rater interface {
	// Rate returns a score in [0, 1].
	Rate(ctx context.Context, s Sample) (float64, error)
}

// Sample is an answer that is offered for rating. Its Score is not set.
type Sample struct {
	Rating
	Prompt, Text string
}

// Sampler has a bounded sample of the answers rated. NewSampler sets its fields;
// the exported ones may be changed before use.
type Sampler struct {
	Timers  dhtimer.Service
	Planner *Planner
	Rater   Rater
	// Log defaults to slog.Default.
	Log *slog.Logger
	// Timeout bounds a rating; 0 means 10 s.
	Timeout time.Duration
	// Pause is the delay after a failed rating; 0 means 1 s.
	Pause time.Duration

	limit *rate.Limiter
	queue chan Sample
}

// NewSampler returns a sampler that rates at most perSecond answers per second
// and queues at most waiting answers.
func NewSampler(timers dhtimer.Service, planner *Planner, rater Rater, perSecond float64, waiting int) *Sampler {
	return &Sampler{
		Timers: timers, Planner: planner, Rater: rater,
		limit: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))),
		queue: make(chan Sample, waiting),
	}
}

// Offer queues an answer for rating and reports whether it was queued. It never
// blocks.
func (s *Sampler) Offer(a Sample) bool {
	if len(s.queue) == cap(s.queue) || !s.Planner.Sample(a.Rating) || !s.limit.AllowN(s.Timers.Now(), 1) {
		return false
	}
	select {
	case s.queue <- a:
		return true
	default:
		return false
	}
}

// Run rates queued answers until ctx is done. Several goroutines may call it.
func (s *Sampler) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-s.queue:
			if err := s.rate(ctx, a); err != nil {
				s.log().Warn("rating failed", slog.String("class", a.Class), slog.String("version", a.Version.String()), slog.String("error", err.Error()))
				if err := dhtimer.Sleep(ctx, s.Timers, cmp.Or(s.Pause, time.Second)); err != nil {
					return err
				}
			}
		}
	}
}

func (s *Sampler) log() *slog.Logger {
	if s.Log == nil {
		return slog.Default()
	}
	return s.Log
}

func (s *Sampler) rate(ctx context.Context, a Sample) error {
	ctx, cancel := dhtimer.WithTimeout(ctx, s.Timers, cmp.Or(s.Timeout, 10*time.Second))
	defer cancel()
	score, err := s.Rater.Rate(ctx, a)
	if err != nil {
		return err
	}
	a.Score = min(max(score, 0), 1)
	s.Planner.Rate(a.Rating)
	return nil
}
