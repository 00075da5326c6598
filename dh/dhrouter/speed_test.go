package dhrouter

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against answers whose speed is not reported: streams that go on for longer
// than a rollout, and answers that are dropped for a larger model's. A slow version
// then looks like one without answers (scenario hasty, EXPOSURE).
func TestSpeedIsReportedBeforeTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stream strings.Builder
		for i := range pacedEvents + 1 {
			fmt.Fprintf(&stream, "id: %d\ndata: x\n\n", i)
		}
		broken := io.MultiReader(strings.NewReader(stream.String()), errReader{io.ErrUnexpectedEOF})
		f := newTestRouter(t, reply(200, text(event1), events, confidence(1)), reply(200, broken, events), failWith(1))
		var firsts, paces []Speed
		f.ReportSpeed = func(s Speed) {
			if s.MeanEventInterval > 0 {
				paces = append(paces, s)
			} else {
				firsts = append(firsts, s)
			}
		}
		_, _, err := f.ask(t, "plan")
		assert.Assert(t, err != nil)
		assert.Equal(t, len(firsts), 2)
		assert.Equal(t, firsts[0].Version.Model, "small")
		assert.Equal(t, len(paces), 1)
		assert.Equal(t, paces[0].Version.Model, firsts[1].Version.Model)
		assert.Equal(t, paces[0].Class, "plan")
	})
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text(event1+event2), events))
		var reported []time.Duration
		f.ReportSpeed = func(s Speed) { reported = append(reported, s.MeanEventInterval) }
		_, _, err := f.ask(t, "plan")
		assert.NilError(t, err)
		assert.Equal(t, len(reported), 2, "a short stream is paced at its end")
	})
}

// Guards against a second failure of a request that is reported like the first one.
func TestFailuresOfOneRequestAreMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(500, text("")), reply(500, text("")), reply(200, text("done")))
		var after []bool
		f.Report = func(e Event) { after = append(after, e.AfterFailure) }
		_, _, err := f.ask(t, "look")
		assert.NilError(t, err)
		assert.DeepEqual(t, after, []bool{false, true, true})
	})
}
