package main

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtimer"
)

// writeEditedTables writes a file of tables that differ from those of the fake
// deployment.
func writeEditedTables(t *testing.T, d *fakeDeployment) string {
	t.Helper()
	text := strings.Replace(string(d.revisions[0].GetTables()), `"max-tokens": 800`, `"max-tokens": 900`, 1)
	file := t.TempDir() + "/tables.json"
	assert.NilError(t, os.WriteFile(file, addRevisionLine(firstRevision, []byte(text)), 0o600))
	return file
}

func serveTwoVMs(t *testing.T) (*fakeDeployment, []*fakeVM, []*httptest.Server) {
	t.Helper()
	d := newFakeDeployment(t)
	vms := []*fakeVM{{deployment: d}, {deployment: d}}
	return d, vms, []*httptest.Server{vms[0].serve(t, false), vms[1].serve(t, false)}
}

// Guards against an edit that comes into force twice, or not at all, when it is
// sent again after its answer was lost.
func TestApplyAfterLostAnswer(t *testing.T) {
	d, vms, servers := serveTwoVMs(t)
	vms[0].lostAnswers = 1
	vms[1].editErrors = []error{dhcode.Errorf(dhcode.QuorumUnreachable, "2 of 3 voters do not answer")}
	r := runCommand(t, servers, "apply", writeEditedTables(t, d))
	assert.Equal(t, r.status, 0, r.err)
	assert.Equal(t, r.out, "revision 42 is accepted\n")
	assert.Equal(t, len(d.revisions), 2)
	assert.Equal(t, len(vms[0].editIDs), 2)
	assert.DeepEqual(t, vms[0].editIDs[0], vms[0].editIDs[1])
	assert.DeepEqual(t, vms[0].editIDs[:1], vms[1].editIDs)
	assert.Assert(t, !strings.Contains(string(d.revisions[1].GetTables()), "dandelionhoist revision"))
}

// Guards against an edit that keeps waiting for an unresponsive server although
// another server could accept it.
func TestApplyUnresponsiveServer(t *testing.T) {
	d, vms, servers := serveTwoVMs(t)
	vms[0].clock = dhtimer.NewStepped()
	r := runCommandWithClock(t, vms[0].clock, servers, "apply", writeEditedTables(t, d))
	assert.Equal(t, r.status, 0, r.err)
	assert.Equal(t, len(vms[1].editIDs), 1)
	assert.Equal(t, len(d.revisions), 2)
}

// Guards against a watch that stops when its first server ends the stream, or
// that prints the same status twice.
func TestWatchRestart(t *testing.T) {
	d, vms, servers := serveTwoVMs(t)
	assert.Equal(t, runCommand(t, servers, "apply", writeEditedTables(t, d)).status, 0)
	vms[0].watchBreaks, vms[1].watchBreaks = true, true
	d.laggingStatuses = 2
	r := runCommand(t, servers, "watch", "--count=2")
	assert.Equal(t, r.status, 0, r.err)
	assert.Equal(t, strings.Count(r.out, "ENTRY-VM"), 2, r.out)
	assert.Equal(t, strings.Count(r.err, "watch is started again"), 2, r.err)
}

// Guards against a wrong report about an edit that was not confirmed within the
// time limit.
func TestApplyTimeoutOutcome(t *testing.T) {
	refusals := func(code dhcode.Code) []error {
		errs := make([]error, 1000)
		for i := range errs {
			errs[i] = dhcode.WithRetryAfter(dhcode.Errorf(code, "voters"), time.Second)
		}
		return errs
	}
	for _, c := range []struct {
		name        string
		code        dhcode.Code
		lostAnswers int
		wantClass   dhcode.Class
		wantCode    dhcode.Code
		wantText    string
		flags       []string
	}{
		{"never run", dhcode.Leaving, 0, dhcode.ClassUnavailable, dhcode.Leaving, "ran: not-run", nil},
		{"perhaps run", dhcode.QuorumUnreachable, 0, dhcode.ClassUnknown, dhcode.OutcomeUnknown, "--edit-id=", nil},
		{"lost before a refusal", dhcode.NotAuthenticated, 1, dhcode.ClassUnknown, dhcode.OutcomeUnknown, "--edit-id=", nil},
		{"refused", dhcode.NotAuthenticated, 0, dhcode.ClassNotAllowed, dhcode.NotAuthenticated, "ran: not-run", nil},
		{"resent by hand", dhcode.Leaving, 0, dhcode.ClassUnknown, dhcode.OutcomeUnknown, "--edit-id=e-1", []string{"--edit-id=e-1"}},
	} {
		d, vms, servers := serveTwoVMs(t)
		vms[1].editErrors = refusals(c.code)
		vms[0].editErrors = vms[1].editErrors
		if c.lostAnswers > 0 {
			vms[0].editErrors = append([]error{nil}, vms[0].editErrors...)
			vms[0].lostAnswers = c.lostAnswers
		}
		r := runCommand(t, servers, append([]string{"apply", writeEditedTables(t, d)}, c.flags...)...)
		assert.Equal(t, r.status, int(c.wantClass), "%s: %s", c.name, r.err)
		assert.Assert(t, strings.Contains(r.err, c.wantCode.String()), "%s: %s", c.name, r.err)
		assert.Assert(t, strings.Contains(r.err, c.wantText), "%s: %s", c.name, r.err)
	}
}

// Guards against an edit that overwrites another operator's.
func TestApplyConflict(t *testing.T) {
	d, vms, servers := serveTwoVMs(t)
	file := writeEditedTables(t, d)
	assert.Equal(t, runCommand(t, servers, "apply", file).status, 0)
	r := runCommand(t, servers, "apply", file, "--author=marc")
	assert.Equal(t, r.status, int(dhcode.ClassConflict))
	assert.Assert(t, strings.Contains(r.err, "revision 42 is edit "+vms[0].editIDs[0]), r.err)
	assert.Equal(t, len(d.revisions), 2)
}

// Guards against --wait returning before the edit is in force, or not naming
// the entry VMs on which it is not yet in force.
func TestApplyWait(t *testing.T) {
	d, _, servers := serveTwoVMs(t)
	d.laggingStatuses = 5
	r := runCommand(t, servers, "apply", "--wait", writeEditedTables(t, d))
	assert.Equal(t, r.status, 0, r.err)
	assert.Equal(t, d.laggingStatuses, 0)
	assert.Assert(t, strings.Contains(r.out, "revision 42 is in force on every reachable entry VM"), r.out)
	assert.Assert(t, strings.Contains(r.err, "not reachable: entry-mrc-c-1"), r.err)

	d, _, servers = serveTwoVMs(t)
	d.laggingStatuses = 1 << 30
	r = runCommand(t, servers, "--timeout=3s", "apply", "--wait", writeEditedTables(t, d))
	assert.Equal(t, r.status, int(dhcode.ClassNotInForce), r.err)
	assert.Assert(t, strings.Contains(r.err, "revision 42 is not yet in force on entry-mrc-b-1"), r.err)
}

// Guards against output wider than 80 columns.
func TestOutputWidth(t *testing.T) {
	d, _, servers := serveTwoVMs(t)
	d.revisions[0].Author = strings.Repeat("a long name ", 20)
	d.revisions[0].EditId = strings.Repeat("é", 90)
	for _, args := range [][]string{
		{"status"}, {"history"}, {"bills"}, {"watch", "--count=1"}, {"explain", "crew-east", "cut-lists"}, {"diff", writeEditedTables(t, d)},
	} {
		r := runCommand(t, servers, args...)
		assert.Equal(t, r.status, 0, "%s: %s", args, r.err)
		for _, line := range strings.Split(r.out, "\n") {
			assert.Assert(t, len([]rune(line)) <= 80, "%s: %q", args, line)
		}
	}
}
