package dhversion

import "time"

// Judge says which answers count as bad and which ratings as low. Its limits
// need not be exact, because a rollout is compared with the stable version
// under the same ones.
type Judge struct {
	// LowRating is the rating in [0, 1] below which a rating is low.
	LowRating float64
	// MinTokens is the length below which an answer is bad.
	MinTokens int
	// SlowFirstToken is the time to first token from which an answer is bad; 0 means none.
	SlowFirstToken time.Duration
}

// Answer is what is known of an answer when it ends.
type Answer struct {
	Failed bool
	// Tokens is the answer's length; an answer that reached MaxTokens was cut off.
	Tokens, MaxTokens int
	FirstToken        time.Duration
}

// Bad reports whether an answer failed, has a wrong length or was slow.
func (j Judge) Bad(a Answer) bool {
	return a.Failed ||
		a.Tokens < j.MinTokens ||
		(a.MaxTokens > 0 && a.Tokens >= a.MaxTokens) ||
		(j.SlowFirstToken > 0 && a.FirstToken >= j.SlowFirstToken)
}

// Low reports whether a rating is low.
func (j Judge) Low(rating float64) bool { return rating < j.LowRating }
