package dhengine

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhpb"
)

// raterNoise is the largest error of a simulated rating.
const raterNoise = 0.1

// Rater is a simulated rating service. An answer's score is the quality of its
// model with an error that depends on the prompt and the text.
type Rater struct {
	// Quality is the mean score by model; 0.5 for others.
	Quality map[string]float64
}

// Rate implements dhpbconnect.RatingServiceHandler.
func (r *Rater) Rate(_ context.Context, req *dhpb.RateRequest) (*dhpb.RateResponse, error) {
	quality, ok := r.Quality[req.GetModel()]
	if !ok {
		quality = 0.5
	}
	draw := float64(xxhash.Sum64String(req.GetPrompt()+"\x00"+req.GetText())>>11) / (1 << 53)
	score := quality + raterNoise*(2*draw-1)
	return &dhpb.RateResponse{Score: min(max(score, 0), 1)}, nil
}
