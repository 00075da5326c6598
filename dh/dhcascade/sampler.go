package dhcascade

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"dandelionhoist.example/dh/dhtimer"
)

// Rater is the rating service: slow, noisy and sometimes down.
type Rater interface {
	// Rate returns a score in [0, 1].
	Rate(ctx context.Context, s Sample) (float64, error)
}

// Sample is an answer that may be rated. Its Score is not set.
type Sample struct {
	Rating
	Prompt, Text string
}

// Sampler rates a bounded sample of the answers. Its fields are set by
// NewSampler, and exported ones may be changed before use.
type Sampler struct {
	Timers  dhtimer.Service
	Planner *Planner
	Rater   Rater
	// Timeout bounds a rating; 0 means 10 s.
	Timeout time.Duration
	// Pause follows a failed rating; 0 means 1 s.
	Pause time.Duration

	limit *rate.Limiter
	queue chan Sample
}

// NewSampler returns a sampler that rates at most perSecond answers, of which
// at most waiting wait.
func NewSampler(timers dhtimer.Service, planner *Planner, rater Rater, perSecond float64, waiting int) *Sampler {
	return &Sampler{
		Timers: timers, Planner: planner, Rater: rater,
		limit: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))),
		queue: make(chan Sample, waiting),
	}
}

// Offer gives an answer for rating and reports whether it will be rated. It
// never waits.
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

// Run rates answers until ctx ends. Several may run at once.
func (s *Sampler) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-s.queue:
			if err := s.rate(ctx, a); err != nil {
				slog.Warn("rating failed", "class", a.Class, "version", a.Version, "error", err)
				if err := dhtimer.Sleep(ctx, s.Timers, durationOr(s.Pause, time.Second)); err != nil {
					return err
				}
			}
		}
	}
}

func (s *Sampler) rate(ctx context.Context, a Sample) error {
	ctx, cancel := dhtimer.WithTimeout(ctx, s.Timers, durationOr(s.Timeout, 10*time.Second))
	defer cancel()
	score, err := s.Rater.Rate(ctx, a)
	if err != nil {
		return err
	}
	a.Score = min(max(score, 0), 1)
	s.Planner.Rate(a.Rating)
	return nil
}

func durationOr(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}
