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
			Cause: &dhpb.QuarantineCause{Pool: "p", Id: id}, DecidedAt: 1, Remaining: durationpb.New(dhquarantine.Term), Crashes: 3, Requests: 2,
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
		q.Update(&dhpb.QuarantineState{Number: 2, Suspects: []*dhpb.QuarantineSuspect{{Pool: "p", Id: 2}}})
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
		kinds := map[dhpb.CauseKind]int{}
		for _, a := range report.GetAnswered() {
			kinds[a.GetCause().GetKind()]++
		}
		assert.DeepEqual(t, kinds, map[dhpb.CauseKind]int{dhpb.CauseKind_CAUSE_KIND_PROMPT_PART: 2, dhpb.CauseKind_CAUSE_KIND_REQUEST: 1})
	})
}

// requestQuarantine returns a filter with a state about the request that ask sends with
// changes.
func requestQuarantine(f *testRouter, t *testing.T, route string, update func(id uint64) *dhpb.QuarantineState, change func(m *Message)) *dhquarantine.Filter {
	t.Helper()
	q := quarantineOf(f)
	recorder := &recordingQuarantine{Filter: q}
	f.Quarantine = recorder
	before := f.transport.answers
	f.transport.answers = answersOf(reply(200, text(event1), events), reply(200, text("done")))
	_, _, err := f.ask(t, route, change)
	assert.NilError(t, err)
	f.transport.answers, f.transport.sent = before, nil
	q.Update(update(recorder.runs[0].Fingerprint))
	f.Quarantine = recorder
	recorder.runs = nil
	return q
}

// recordingQuarantine keeps the ends of attempts that it is told.
type recordingQuarantine struct {
	*dhquarantine.Filter
	runs []dhquarantine.Run
}

// RecordEnd implements Quarantine.
func (q *recordingQuarantine) RecordEnd(r dhquarantine.Run) {
	q.runs = append(q.runs, r)
	q.Filter.RecordEnd(r)
}

func quarantined(id uint64) *dhpb.QuarantineState {
	return &dhpb.QuarantineState{Number: 2, Verdicts: []*dhpb.QuarantineVerdict{{
		Cause: &dhpb.QuarantineCause{Id: id, Kind: dhpb.CauseKind_CAUSE_KIND_REQUEST}, DecidedAt: 1,
		Remaining: durationpb.New(dhquarantine.Term), Crashes: 3, Requests: 1,
	}}}
}

func suspected(crashes uint32, since time.Duration) func(id uint64) *dhpb.QuarantineState {
	return func(id uint64) *dhpb.QuarantineState {
		return &dhpb.QuarantineState{Number: 2, Suspects: []*dhpb.QuarantineSuspect{{
			Id: id, Kind: dhpb.CauseKind_CAUSE_KIND_REQUEST, Crashes: crashes, SinceCrash: durationpb.New(since),
		}}}
	}
}

func body(text string) func(m *Message) { return func(m *Message) { m.Body = []byte(text) } }

// Guards against a request in quarantine that reaches a backend server, and against
// refusing another one with the same path or body (incident BUDGET, whole requests).
func TestForwardRefusesQuarantinedRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(m *Message)
		refused bool
	}{
		{"again", body("a"), true},
		{"again with another id and prompt", func(m *Message) { body("a")(m); m.ID = "another"; prompt(5, 6)(m) }, true},
		{"another body", body("b"), false},
		{"no body", body(""), false},
		{"another query", func(m *Message) { body("a")(m); m.Target += "?x=1" }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestRouter(t, reply(200, text("done")))
			requestQuarantine(f, t, "look", quarantined, body("a"))
			_, begun, err := f.ask(t, "look", c.change)
			if !c.refused {
				assert.NilError(t, err, c.name)
				return
			}
			assert.Equal(t, dhcode.Of(err), dhcode.RequestQuarantined, c.name)
			assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun, c.name)
			assert.Assert(t, !begun && len(f.transport.sent) == 0 && dhcode.RetryAfterOf(err) > 0, c.name)
		})
	}
}

// Guards against a suspected request that is sent to several backend servers, or soon
// after a crash, and against one that waits although it cannot be sent in time.
func TestForwardSendsSuspectsOneAtATime(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes uint32
		since   time.Duration
		sends   int
		waits   bool
	}{
		{"long after its crashes", 2, time.Minute, 1, true},
		{"soon after its second crash", 2, 0, 1, true},
		{"soon after its fifth crash", 5, 0, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestRouter(t, failWith(dhcode.RanUnknown), reply(200, text(event1), events))
			requestQuarantine(f, t, "plan", suspected(c.crashes, c.since), body("a"))
			start := f.timers.Now()
			_, _, err := f.ask(t, "plan", body("a"))
			assert.Assert(t, err != nil, c.name)
			assert.Equal(t, len(f.transport.sent), c.sends, c.name)
			assert.Equal(t, f.timers.Now().Sub(start) > 100*time.Millisecond, c.waits, c.name)
			assert.Equal(t, dhcode.RanOf(err) == dhcode.NotRun, c.sends == 0, c.name)
		})
	}
}

// Guards against runs that are no evidence although their backend server may end because
// of them: after some events, left by the router, without a prompt.
func TestForwardRecordsEndsOfRuns(t *testing.T) {
	lost := failWith(dhcode.RanUnknown)
	for _, c := range []struct {
		name    string
		route   string
		answers []func(context.Context, *Outbound) (*Inbound, error)
		want    []dhquarantine.Outcome
	}{
		{"after some events", "plan", answersOf(reply(200, resetAfter(event1+event2), events), reply(200, text(event3), events)), []dhquarantine.Outcome{dhquarantine.Broken, dhquarantine.Answered}},
		{"without a prompt", "look", answersOf(lost, reply(200, text("done"))), []dhquarantine.Outcome{dhquarantine.Broken, dhquarantine.Answered}},
		{"a failure of the backend server", "look", answersOf(reply(500, text("no")), reply(200, text("done"))), []dhquarantine.Outcome{dhquarantine.Answered, dhquarantine.Answered}},
		{"not sent", "look", answersOf(failWith(dhcode.NotRun), reply(200, text("done"))), []dhquarantine.Outcome{dhquarantine.Answered}},
		{"a signature is missing", "look", answersOf(reply(200, text("odd"), func(in *Inbound) { in.Sealed = false }), reply(200, text("done"))), []dhquarantine.Outcome{dhquarantine.Left, dhquarantine.Answered}},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestRouter(t, c.answers...)
			q := &recordingQuarantine{Filter: quarantineOf(f)}
			f.Quarantine = q
			_, _, err := f.ask(t, c.route)
			assert.NilError(t, err, c.name)
			var got []dhquarantine.Outcome
			for _, r := range q.runs {
				got = append(got, r.Outcome)
				assert.Equal(t, r.Fingerprint, q.runs[0].Fingerprint, c.name)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}
