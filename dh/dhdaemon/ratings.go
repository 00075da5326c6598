package dhdaemon

import (
	"context"

	"golang.org/x/time/rate"

	"dandelionhoist.example/dh/dhcascade"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
)

// maxQueuedRatings bounds the number of answers that wait for a rating.
const maxQueuedRatings = 256

// ratings requests ratings of answers from the platform's rating service.
type ratings struct {
	*dhcascade.Sampler
	daemon *Daemon
	client dhpbconnect.RatingServiceClient
	// inline limits the rate of ratings that callers wait for.
	inline *rate.Limiter
}

func (d *Daemon) newRatings(planner *dhcascade.Planner) *ratings {
	s := d.Settings.Rating
	r := &ratings{
		daemon: d, inline: rate.NewLimiter(rate.Limit(s.PerSecond), max(1, int(s.PerSecond))),
		client: dhpbconnect.NewRatingServiceClient(dhengine.NewHTTPClient(), "http://"+s.Address),
	}
	r.Sampler = dhcascade.NewSampler(d.Timers, planner, r, s.PerSecond, maxQueuedRatings)
	r.Log = d.Log
	return r
}

// Rate implements dhcascade.Rater.
func (r *ratings) Rate(ctx context.Context, s dhcascade.Sample) (float64, error) {
	out, err := r.client.Rate(ctx, &dhpb.RateRequest{
		Class: s.Class, Model: s.Version.Model, Version: s.Version.Name, Prompt: s.Prompt, Text: s.Text,
	})
	if err != nil {
		return 0, err
	}
	r.daemon.node.ReportRating(s.Version, out.GetScore())
	return out.GetScore(), nil
}

// Signal implements dhrouter.Ratings.
func (r *ratings) Signal(ctx context.Context, s dhcascade.Sample) dhcascade.Signal {
	if !r.inline.AllowN(r.daemon.Timers.Now(), 1) {
		return dhcascade.Signal{}
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, r.daemon.Timers, r.daemon.Settings.Rating.Inline.Std())
	defer cancel()
	score, err := r.Rate(ctx, s)
	return dhcascade.Signal{Value: score, Known: err == nil}
}
