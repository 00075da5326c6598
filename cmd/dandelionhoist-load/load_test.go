package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhworkload"
)

// runLoad sends a few hundred requests to a fake deployment.
func runLoad(t *testing.T, s *fakeState, workload string) *report {
	t.Helper()
	s.answers = make(map[string]string)
	w, _ := dhworkload.ByName(workload)
	var keys strings.Builder
	keys.WriteString(`{"accounts": {`)
	for _, a := range w.Accounts {
		keys.WriteString(`"` + a.Name + `": "` + a.Name + `",`)
	}
	keys.WriteString("}}")
	file := filepath.Join(t.TempDir(), "keys.json")
	assert.NilError(t, os.WriteFile(file, []byte(keys.String()), 0o600))
	l := &load{
		Timers:   pollClock{new(sync.Mutex), dhtimer.NewStepped()},
		Options:  dhworkload.Options{Seed: 3, Rate: 4, Run: "run"},
		Duration: 90 * time.Second, Timeout: time.Hour, InFlight: 1000, Break: 0.8,
		CheckText: func(ask *dhpb.AskRequest, a answer) error {
			if a.Text != s.text(ask) {
				return errors.New("the text is not that of the request")
			}
			return nil
		},
	}
	callers, operators := s.serve(t)
	f := flags{workload: workload, keys: file, operatorKeyFile: file, servers: callers, operatorServers: operators}
	assert.NilError(t, l.configure(f))
	report := l.run(t.Context())
	l.settle(t.Context(), report)
	return report
}

// Guards against false alarms, and against callers that do not break, resume,
// resend and cancel.
func TestNoViolation(t *testing.T) {
	for _, workload := range dhworkload.Names() {
		for _, fault := range []string{"", "lost answers"} {
			r := runLoad(t, &fakeState{fault: fault}, workload)
			assert.Equal(t, r.violationCount, 0, "%s, %s: %q", workload, fault, r.violations)
			sent, done, refused := 0, 0, 0
			for _, c := range r.classes {
				sent, done, refused = sent+c.sent, done+c.done, refused+c.refused
				assert.Equal(t, c.whole.TotalCount(), int64(c.done))
			}
			assert.Assert(t, sent > 250, sent)
			assert.Equal(t, refused, 0, "%v", r.refusals)
			assert.Equal(t, done, sent)
			assert.Equal(t, len(r.requests), sent)
			assert.Assert(t, r.retries["resumed at its offset"] > 20, r.retries)
			assert.Assert(t, r.resends > 0)
			assert.Assert(t, r.cancels > 0)
			assert.Assert(t, r.billing.complete)
			assert.Equal(t, r.billing.bills, sent)
			if fault != "" {
				assert.Assert(t, r.retries["asked again"] > 0, r.retries)
				assert.Assert(t, r.retries["order sent again with its key"] > 0, r.retries)
			}
		}
	}
}

// Guards against a checker that misses a broken promise.
func TestViolations(t *testing.T) {
	for fault, want := range map[string]string{
		"gap":              "came at offset",
		"repeated chunk":   "came at offset",
		"other request":    "a chunk of request other came in the answer",
		"old attempt":      "a chunk of attempt 1 came after attempt 2",
		"other version":    "a chunk of oak/v9 came in an answer of oak/v1",
		"truncated":        "without a last chunk",
		"wrong text":       "the text is not that of the request",
		"order runs twice": "answers that are not marked as replayed",
		"billed twice":     "is billed twice",
		"no bill":          "was answered and is not billed",
		"billed refusal":   "was refused as not run and",
	} {
		r := runLoad(t, &fakeState{fault: fault}, "tringles")
		assert.Assert(t, r.violationCount > 0, fault)
		assert.Assert(t, strings.Contains(strings.Join(r.violations, "\n"), want), "%s: %q", fault, r.violations)
	}
}

// Guards against a session whose version changes unseen, and against alarms
// about one whose move the answer states.
func TestSessionVersion(t *testing.T) {
	var sessions sessionTable
	sessions.put("s", sessions.get("s"), answer{Model: "oak", Version: "v1", SessionToken: "t1"})
	sessions.put("s", sessions.get("s"), answer{Model: "pine", Version: "v7", SessionToken: "t2"})
	c := &call{load: &load{}, before: sessions.get("s"), answer: answer{Model: "oak", Version: "v2"}}
	assert.Equal(t, c.before.token, "t2")
	assert.ErrorContains(t, c.check(), "was on oak/v1 and got oak/v2")
	c.answer.SessionMoved = true
	assert.NilError(t, c.check())
	c.answer = answer{Model: "elm", Version: "v1"}
	assert.NilError(t, c.check())
}

// Guards against refusals that count as violations or get lost.
func TestRefusals(t *testing.T) {
	r := runLoad(t, &fakeState{fault: "refusal"}, "kandy")
	assert.Equal(t, r.violationCount, 0, "%q", r.violations)
	assert.Equal(t, r.refusals[refusal{dhcode.QueueFull, dhcode.NotRun}], len(r.requests))
}

// Guards against a report that does not fit in 80 columns, or changes its form unseen.
func TestReport(t *testing.T) {
	w := dhworkload.Tringles()
	r := newReport(w)
	g := dhworkload.NewGenerator(w, dhworkload.Options{Seed: 1, Rate: 1, Run: "run"})
	for i := range 400 {
		c := &call{request: g.Next()}
		c.answer = answer{Model: "oak", Version: "v1", Text: "x"}
		c.latency.first = time.Duration(i+1) * time.Millisecond
		c.latency.whole = 3 * c.latency.first
		c.latency.between = []time.Duration{20 * time.Millisecond, time.Duration(i) * time.Microsecond}
		var err error
		switch i % 20 {
		case 3:
			err = dhcode.Errorf(dhcode.QueueFull, "queue")
		case 7:
			err = dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "backend"), dhcode.DidRun)
		case 11:
			err = violationf("a chunk at offset 3 came at offset 0")
		}
		r.add(c, err)
	}
	r.addRetry("resumed at its offset")
	r.notSent("cut-lists")
	r.billing = billing{read: true, complete: true, bills: 340, cost: 12345.5}
	r.quality = []qualityRow{{"oak/v1", 0.9312, 340}}
	var text, object bytes.Buffer
	assert.NilError(t, r.print(&text, false))
	assert.NilError(t, r.print(&object, true))
	for _, line := range strings.Split(text.String(), "\n") {
		assert.Assert(t, len(line) <= 80, line)
	}
	golden.Assert(t, text.String(), "report.golden")
	golden.Assert(t, object.String(), "report-json.golden")
}

// Guards against a command line that starts with arguments it cannot use.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"--workload=other", "--keys=k", "--server=http://h"},
		{"--workload=kandy", "--keys=none.json", "--server=http://h"},
		{"--workload=kandy", "--keys=../../deploy/tringles/keys.json", "--server=http://h"},
		{"--workload=kandy", "--keys=../../deploy/kandy/keys.json", "--server=h:1"},
		{"--workload=kandy", "--keys=../../deploy/kandy/keys.json", "--server=http://h", "--rate=0"},
		{"--workload=kandy", "--keys=../../deploy/kandy/keys.json", "--server=http://h", "--operator-server=h:1", "--operator-key-file=../../deploy/kandy/keys.json"},
	} {
		var out, errs bytes.Buffer
		assert.Equal(t, run(t.Context(), args, &out, &errs, dhtimer.NewStepped()), dhcode.ClassUsage, "%q", args)
		assert.Assert(t, errs.Len() > 0)
	}
}
