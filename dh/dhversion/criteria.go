package dhversion

import "time"

// AnswerCriteria decides which answers count as bad and which ratings as low. Its limits
// need not be exact, because the same limits apply to a rollout and to the stable
// version that it is compared with.
type AnswerCriteria struct {
	// LowRating is the threshold in [0, 1] below which a rating is low.
	LowRating float64
	// MinTokens is the length in tokens below which an answer is bad.
	MinTokens int
	// SlowFirstToken is the time to first token at or above which an answer is
	// bad; 0 disables this check.
	SlowFirstToken time.Duration
}

// Answer holds the properties of a finished answer that AnswerCriteria.Bad checks.
type Answer struct {
	Failed bool
	// Tokens is the length of the answer. An answer that reached MaxTokens was
	// truncated; MaxTokens 0 means no limit.
	Tokens, MaxTokens int
	FirstToken        time.Duration
}

// Bad reports whether an answer failed, has a wrong length or was slow.
func (c AnswerCriteria) Bad(a Answer) bool {
	return a.Failed ||
		a.Tokens < c.MinTokens ||
		(a.MaxTokens > 0 && a.Tokens >= a.MaxTokens) ||
		(c.SlowFirstToken > 0 && a.FirstToken >= c.SlowFirstToken)
}

// Low reports whether a rating is low.
func (c AnswerCriteria) Low(rating float64) bool { return rating < c.LowRating }
