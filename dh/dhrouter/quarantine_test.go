package dhrouter

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquarantine"
)

// quarantineOf returns a filter with verdicts about parts of pool "p".
func quarantineOf(f *testRouter, parts ...uint64) *dhquarantine.Filter {
	q := &dhquarantine.Filter{Timers: f.timers, Log: slog.New(slog.DiscardHandler), Metrics: dhmetric.New(4)}
	update := &dhpb.QuarantineState{Number: 1}
	for _, id := range parts {
		update.Verdicts = append(update.Verdicts, &dhpb.QuarantineVerdict{
			Part: &dhpb.PromptPart{Pool: "p", Id: id}, DecidedAt: 1, Remaining: durationpb.New(dhquarantine.Term), Crashes: 3, Requests: 2,
		})
	}
	q.Update(update)
	return q
}

func prompt(ids ...uint64) func(m *Message) {
	return func(m *Message) {
		for _, id := range ids {
			m.Prompt = append(m.Prompt, PromptPart{ID: id, Tokens: 10})
		}
	}
}

// Guards against a request with a quarantined part that reaches a backend server, that
// waits, or whose caller is not told that it did not run and when to come back
// (incident BUDGET), and against refusing one because of its last part.
func TestForwardRefusesQuarantinedParts(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(m *Message)
		refused bool
	}{
		{"first part", prompt(7, 8, 9), true},
		{"middle part", prompt(8, 7, 9), true},
		{"last part", prompt(8, 9, 7), false},
		{"only part", prompt(7), false},
		{"other parts", prompt(8, 9), false},
		{"no parts", prompt(), false},
		{"after an entry that cannot be read", func(m *Message) { prompt(8)(m); m.Unordered = []uint64{7} }, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestRouter(t, reply(200, text("done")))
			f.Quarantine = quarantineOf(f, 7)
			start := f.timers.Now()
			_, begun, err := f.ask(t, "look", c.change)
			if !c.refused {
				assert.NilError(t, err, c.name)
				return
			}
			assert.Equal(t, dhcode.Of(err), dhcode.PromptQuarantined, c.name)
			assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun, c.name)
			assert.Assert(t, dhcode.RetryAfterOf(err) > dhquarantine.Term/2, c.name)
			assert.Assert(t, !begun && len(f.transport.sent) == 0 && f.timers.Now().Sub(start) < 10*time.Millisecond, c.name)
		})
	}
}

// Guards against a request that ends one backend server after the other because each
// broken connection is repeated, and against its neighbours that are given up although
// they only need another backend server (incident BUDGET).
func TestForwardStopsAfterEarlyBreaks(t *testing.T) {
	lost := failWith(dhcode.RanUnknown)
	for _, c := range []struct {
		name    string
		route   string
		answers []func(context.Context, *Outbound) (*Inbound, error)
		parts   []uint64
		sends   int
		ok      bool
	}{
		{"it breaks each connection", "plan", answersOf(lost), []uint64{1, 2, 3}, 2, false},
		{"after its first event", "plan", answersOf(reply(200, resetAfter(event1), events), reply(200, resetAfter(event2), events)), []uint64{1, 2, 3}, 2, false},
		{"its neighbour", "plan", answersOf(lost, reply(200, text(event1), events)), []uint64{1, 2, 3}, 2, true},
		{"a stream that had begun", "plan", answersOf(
			reply(200, resetAfter(event1+event2), events), lost, reply(200, text(event3), events)), []uint64{1, 2, 3}, 3, true},
		{"not sent", "plan", answersOf(failWith(dhcode.NotRun), failWith(dhcode.NotRun), reply(200, text(event1), events)), []uint64{1, 2, 3}, 3, true},
		{"a request without a prompt", "look", answersOf(lost, lost, reply(200, text("done"))), nil, 3, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestRouter(t, c.answers...)
			f.Quarantine = quarantineOf(f)
			_, _, err := f.ask(t, c.route, prompt(c.parts...))
			assert.Equal(t, err == nil, c.ok, "%s: %v", c.name, err)
			assert.Equal(t, len(f.transport.sent), c.sends, c.name)
			if !c.ok {
				assert.Equal(t, dhcode.RanOf(err) == dhcode.NotRun, false, c.name)
			}
		})
	}
}

// Guards against a retry with a part that got its verdict meanwhile, and against saying
// "not run" of the request then.
func TestForwardQuarantineHoldsForRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *testRouter
		f = newTestRouter(t, func(ctx context.Context, o *Outbound) (*Inbound, error) {
			f.Quarantine = quarantineOf(f, 2)
			return failWith(dhcode.RanUnknown)(ctx, o)
		}, reply(http.StatusOK, text(event1), events))
		f.Quarantine = quarantineOf(f)
		_, _, err := f.ask(t, "plan", prompt(1, 2, 3))
		assert.Equal(t, len(f.transport.sent), 1)
		assert.Equal(t, dhcode.RanOf(err), dhcode.RanUnknown)
	})
}

// Guards against a suspected part that is repeated, against crashes that are not
// reported, and against answers that do not clear their parts.
func TestForwardReportsSuspectsAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, failWith(dhcode.RanUnknown))
		q := quarantineOf(f)
		q.Update(&dhpb.QuarantineState{Number: 2, Suspects: []*dhpb.PromptPart{{Pool: "p", Id: 2}}})
		f.Quarantine = q
		_, _, err := f.ask(t, "plan", prompt(1, 2, 3))
		assert.Assert(t, err != nil)
		assert.Equal(t, len(f.transport.sent), 1)
		var report dhpb.EntryReport
		q.Report(&report)
		assert.Equal(t, len(report.GetRequests()), 1)
		assert.DeepEqual(t, report.GetRequests()[0].GetParts(), []uint64{1, 2})
		assert.Equal(t, len(report.GetAnswered()), 0)

		f.transport.answers = answersOf(reply(200, text(event1+event2), events))
		_, _, err = f.ask(t, "plan", prompt(1, 2, 4))
		assert.NilError(t, err)
		report = dhpb.EntryReport{}
		q.Report(&report)
		assert.Equal(t, len(report.GetAnswered()), 2)
	})
}
