package dhcode_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
)

// Guards against wrapping that loses the result code, the retry-after hint or
// whether the request ran.
func TestWrappedErrorsKeepCode(t *testing.T) {
	err := dhcode.Errorf(dhcode.QueueFull, "queue of pool %q is full", "atelier-llm")
	err = dhcode.WithRetryAfter(fmt.Errorf("ask: %w", err), 2*time.Second)
	assert.Equal(t, dhcode.Of(err), dhcode.QueueFull)
	assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)
	assert.Equal(t, dhcode.RetryAfterOf(err), 2*time.Second)
	assert.Equal(t, dhcode.RanOf(dhcode.WithRan(err, dhcode.RanUnknown)), dhcode.RanUnknown)
	assert.Equal(t, dhcode.Of(errors.New("plain")), dhcode.Internal)
	assert.Equal(t, dhcode.Of(context.DeadlineExceeded), dhcode.DeadlineExceeded)
}

// Guards against two codes with the same name, and against a name that Parse
// does not map back to its code.
func TestNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, c := range dhcode.Codes() {
		assert.Assert(t, !seen[c.String()], "%s is used twice", c)
		seen[c.String()] = true
		assert.Equal(t, dhcode.Parse(c.String()), c)
	}
}
