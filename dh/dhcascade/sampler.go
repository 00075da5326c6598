package dhcascade

import (
	"cmp"
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
	// Log defaults to slog.Default.
	Log *slog.Logger
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
