package dhcontrol

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// confirmTest is a control VM that does nothing by itself, and its clock.
type confirmTest struct {
	*Control
	*dhtimer.Stepped
	// onReading is called at the reading of a clock that readings counts down to.
	onReading func()
	readings  int
}

// newConfirmTest returns a control VM on which version 1 of the document is in force, as
// confirmed ten seconds ago.
func newConfirmTest(t *testing.T) *confirmTest {
	t.Helper()
	c := &confirmTest{Stepped: dhtimer.NewStepped()}
	c.Control = &Control{
		Name: "c0", Zone: "z0", Address: "c0", Incarnation: 7, BackendLease: 4 * time.Second, AnnouncePeriod: 1200 * time.Millisecond,
		Timers: c, Clock: c, Log: slog.New(slog.DiscardHandler), Metrics: dhmetric.New(4),
	}
	c.Build(t.Context())
	c.confirm(1)
	c.Step(10 * time.Second)
	return c
}

// confirm puts a version of the document in force and confirms it, as a majority read does.
func (c *confirmTest) confirm(version uint64) {
	c.applyDocument(&dhpb.Document{Version: version, Text: []byte("text")})
	c.confirmed.Store(int64(c.Elapsed()))
	c.firstConfirmed.CompareAndSwap(0, int64(c.Elapsed()))
}

func (c *confirmTest) read() {
	if c.readings--; c.readings == 0 {
		c.onReading()
	}
}

// Now implements dhtimer.Service.
func (c *confirmTest) Now() time.Time {
	c.read()
	return c.Stepped.Now()
}

// Elapsed implements dhwatch.Clock.
func (c *confirmTest) Elapsed() time.Duration {
	c.read()
	return time.Duration(c.Stepped.Now().UnixNano())
}

// watch returns the response to an entry VM that has version 1 of the document.
func (c *confirmTest) watch(t *testing.T) *dhpb.ControlWatchResponse {
	t.Helper()
	var response *dhpb.ControlWatchResponse
	group := dhgroup.New(t.Context())
	group.Go(func(ctx context.Context) (err error) {
		defer group.Stop()
		response, err = c.buildResponse(ctx, &dhpb.ControlWatchRequest{Vm: "e0", Document: 1})
		return err
	})
	assert.Assert(t, dhfake.Drive(c.Stepped, time.Second, func() bool { return group.Context().Err() != nil }))
	assert.NilError(t, group.Wait())
	return response
}

// Guards against an entry VM that accepts a revoked key for another lease, because a control
// VM reads its document, completes a majority read that brings a newer one, and confirms the
// old document by that read.
func TestResponseConfirmsNoUnreadDocument(t *testing.T) {
	for reading := 1; ; reading++ {
		reached := false
		t.Run(fmt.Sprintf("at reading %d of the clock", reading), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newConfirmTest(t)
				close(c.departures.known)
				c.onReading = func() {
					reached = true
					c.confirm(2)
				}
				c.readings = reading
				response := c.watch(t)
				if response.GetConfirmed() && response.GetConfirmedAge().AsDuration() < 10*time.Second {
					assert.Equal(t, response.GetDocument().GetVersion(), uint64(2))
				}
			})
		})
		if !reached {
			assert.Assert(t, reading > 3, "the clock is read several times")
			return
		}
	}
}

// Guards against an entry VM that accepts a revoked key for another lease, because a control
// VM that has just started withholds the document that revokes it, and confirms the one
// before.
func TestWithheldDocumentIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConfirmTest(t)
		c.firstConfirmed.Store(int64(c.Elapsed())) // the departures are not known
		c.confirm(1)
		assert.Assert(t, c.watch(t).GetConfirmed(), "nothing is withheld")
		c.confirm(2)
		response := c.watch(t)
		assert.Assert(t, response.GetDocument() != nil || !response.GetConfirmed())
		close(c.departures.known)
		response = c.watch(t)
		assert.Equal(t, response.GetDocument().GetVersion(), uint64(2))
		assert.Assert(t, response.GetConfirmed())
	})
}
