package dhengine

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhpb"
)

// maxRatingError is the maximum absolute error of a simulated rating.
const maxRatingError = 0.1

// Rater is a simulated rating service. The score of an answer is the quality of
// its model plus a pseudo-random error that is a function of prompt and text.
type Rater struct {
	// Quality is the mean score of each model; models that are not listed have
	// 0.5.
	Quality map[string]float64
}

// Rate implements dhpbconnect.RatingServiceHandler.
func (r *Rater) Rate(_ context.Context, req *dhpb.RateRequest) (*dhpb.RateResponse, error) {
	quality, ok := r.Quality[req.GetModel()]
	if !ok {
		quality = 0.5
	}
	draw := float64(xxhash.Sum64String(req.GetPrompt()+"\x00"+req.GetText())>>11) / (1 << 53)
	score := quality + maxRatingError*(2*draw-1)
	return &dhpb.RateResponse{Score: min(max(score, 0), 1)}, nil
}
