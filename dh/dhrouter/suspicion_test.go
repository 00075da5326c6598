package dhrouter

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhversion"
)

// Guards against failures that go with a request and count as evidence against the
// version that it happened to run on (incident EXPOSURE), against a failure of the
// target that no other version is asked about, and against a deadline that counts as
// a failure.
func TestFailureIsConfirmedByAnotherVersion(t *testing.T) {
	failed, timedOut, ok := reply(500, text("no")), reply(504, text("late")), reply(200, text("done"))
	for _, c := range []struct {
		name, route, session string
		answers              []func(context.Context, *Outbound) (*Inbound, error)
		releases, bad        []string
		outOfTime            int
		status               int
	}{
		{"the target fails", "look", "", answersOf(failed, ok), []string{"v2", "v1"}, []string{"v2"}, 0, 200},
		{"the request fails everywhere", "look", "", answersOf(failed, failed, failed), []string{"v2", "v1"}, nil, 0, 500},
		{"no second attempt is allowed", "order", "", answersOf(failed), []string{"v2"}, []string{"v2"}, 0, 500},
		{"a session stays", "look", "s", answersOf(failed, ok), []string{"v2"}, []string{"v2"}, 0, 500},
		{"the time runs out", "order", "", answersOf(timedOut), []string{"v2"}, nil, 1, 504},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestRouter(t, c.answers...)
			var bad []string
			outOfTime := 0
			f.Report = func(e Event) {
				if e.OutOfTime {
					outOfTime++
				} else if e.Answered && e.Failed && !e.AfterFailure {
					bad = append(bad, e.Version.Name)
				}
			}
			f.publishRollout(t, dhversion.Rollout{Target: "v2", Share: 1})
			w, _, err := f.ask(t, c.route, func(m *Message) { m.Session = c.session })
			assert.NilError(t, err, c.name)
			assert.Equal(t, w.Code, c.status, c.name)
			var releases []string
			for _, o := range f.transport.sent {
				releases = append(releases, o.Backend.Release)
			}
			assert.DeepEqual(t, releases, c.releases)
			assert.Assert(t, slices.Equal(bad, c.bad), fmt.Sprint(c.name, ": ", bad))
			assert.Equal(t, outOfTime, c.outOfTime, c.name)
		})
	}
}

func answersOf(list ...func(context.Context, *Outbound) (*Inbound, error)) []func(context.Context, *Outbound) (*Inbound, error) {
	return list
}
