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

// editedTables writes a file whose tables differ from the fake deployment's.
func editedTables(t *testing.T, d *fakeDeployment) string {
	t.Helper()
	text := strings.Replace(string(d.revisions[0].GetTables()), `"max-tokens": 800`, `"max-tokens": 900`, 1)
	file := t.TempDir() + "/tables.json"
	assert.NilError(t, os.WriteFile(file, withBase(firstRevision, []byte(text)), 0o600))
	return file
}

func twoVMs(t *testing.T) (*fakeDeployment, []*fakeVM, []*httptest.Server) {
	t.Helper()
	d := newDeployment(t)
	vms := []*fakeVM{{deployment: d}, {deployment: d}}
	return d, vms, []*httptest.Server{vms[0].serve(t, false), vms[1].serve(t, false)}
}

// Guards against an edit that comes into force twice, or not at all, after
// its answer was lost.
func TestLostAnswer(t *testing.T) {
	d, vms, servers := twoVMs(t)
	vms[0].lose = 1
	vms[1].refuse = []error{dhcode.Errorf(dhcode.QuorumUnreachable, "2 of 3 voters do not answer")}
	r := runFor(t, servers, "apply", editedTables(t, d))
	assert.Equal(t, r.status, 0, r.err)
	assert.Equal(t, r.out, "revision 42 is accepted\n")
	assert.Equal(t, len(d.revisions), 2)
	assert.Equal(t, len(vms[0].seen), 2)
	assert.DeepEqual(t, vms[0].seen[0], vms[0].seen[1])
	assert.DeepEqual(t, vms[0].seen[:1], vms[1].seen)
	assert.Assert(t, !strings.Contains(string(d.revisions[1].GetTables()), "dandelionhoist revision"))
}

// Guards against an edit that waits for a server without an answer while
// another could take it.
func TestHungServer(t *testing.T) {
	d, vms, servers := twoVMs(t)
	vms[0].clock = dhtimer.NewStepped()
	r := runAt(t, vms[0].clock, servers, "apply", editedTables(t, d))
	assert.Equal(t, r.status, 0, r.err)
	assert.Equal(t, len(vms[1].seen), 1)
	assert.Equal(t, len(d.revisions), 2)
}

// Guards against a watch that ends with the server it began at, or that
// prints a status twice.
func TestWatchStartsAgain(t *testing.T) {
	d, vms, servers := twoVMs(t)
	assert.Equal(t, runFor(t, servers, "apply", editedTables(t, d)).status, 0)
	vms[0].watchBreaks, vms[1].watchBreaks = true, true
	d.behind = 2
	r := runFor(t, servers, "watch", "--count=2")
	assert.Equal(t, r.status, 0, r.err)
	assert.Equal(t, strings.Count(r.out, "ENTRY-VM"), 2, r.out)
	assert.Equal(t, strings.Count(r.err, "watch is started again"), 2, r.err)
}

// Guards against a wrong statement about an edit that was not settled in time.
func TestUnsettledEdit(t *testing.T) {
	refusals := func(code dhcode.Code) []error {
		errs := make([]error, 1000)
		for i := range errs {
			errs[i] = dhcode.WithRetryAfter(dhcode.Errorf(code, "voters"), time.Second)
		}
		return errs
	}
	for _, c := range []struct {
		name  string
		code  dhcode.Code
		lose  int
		class dhcode.Class
		code2 dhcode.Code
		want  string
		flags []string
	}{
		{"never run", dhcode.Leaving, 0, dhcode.ClassUnavailable, dhcode.Leaving, "ran: not-run", nil},
		{"perhaps run", dhcode.QuorumUnreachable, 0, dhcode.ClassUnknown, dhcode.OutcomeUnknown, "--edit-id=", nil},
		{"lost before a refusal", dhcode.NotAuthenticated, 1, dhcode.ClassUnknown, dhcode.OutcomeUnknown, "--edit-id=", nil},
		{"refused", dhcode.NotAuthenticated, 0, dhcode.ClassNotAllowed, dhcode.NotAuthenticated, "ran: not-run", nil},
		{"resent by hand", dhcode.Leaving, 0, dhcode.ClassUnknown, dhcode.OutcomeUnknown, "--edit-id=e-1", []string{"--edit-id=e-1"}},
	} {
		d, vms, servers := twoVMs(t)
		vms[1].refuse = refusals(c.code)
		vms[0].refuse = vms[1].refuse
		if c.lose > 0 {
			vms[0].refuse = append([]error{nil}, vms[0].refuse...)
			vms[0].lose = c.lose
		}
		r := runFor(t, servers, append([]string{"apply", editedTables(t, d)}, c.flags...)...)
		assert.Equal(t, r.status, int(c.class), "%s: %s", c.name, r.err)
		assert.Assert(t, strings.Contains(r.err, c.code2.String()), "%s: %s", c.name, r.err)
		assert.Assert(t, strings.Contains(r.err, c.want), "%s: %s", c.name, r.err)
	}
}

// Guards against an edit that overwrites another operator's.
func TestConflict(t *testing.T) {
	d, vms, servers := twoVMs(t)
	file := editedTables(t, d)
	assert.Equal(t, runFor(t, servers, "apply", file).status, 0)
	r := runFor(t, servers, "apply", file, "--author=marc")
	assert.Equal(t, r.status, int(dhcode.ClassConflict))
	assert.Assert(t, strings.Contains(r.err, "revision 42 is edit "+vms[0].seen[0]), r.err)
	assert.Equal(t, len(d.revisions), 2)
}

// Guards against --wait that returns before the edit is in force, or that
// does not name the entry VMs on which it is not.
func TestWait(t *testing.T) {
	d, _, servers := twoVMs(t)
	d.behind = 5
	r := runFor(t, servers, "apply", "--wait", editedTables(t, d))
	assert.Equal(t, r.status, 0, r.err)
	assert.Equal(t, d.behind, 0)
	assert.Assert(t, strings.Contains(r.out, "revision 42 is in force on every reachable entry VM"), r.out)
	assert.Assert(t, strings.Contains(r.err, "not reachable: entry-mrc-c-1"), r.err)

	d, _, servers = twoVMs(t)
	d.behind = 1 << 30
	r = runFor(t, servers, "--timeout=3s", "apply", "--wait", editedTables(t, d))
	assert.Equal(t, r.status, int(dhcode.ClassNotInForce), r.err)
	assert.Assert(t, strings.Contains(r.err, "revision 42 is not yet in force on entry-mrc-b-1"), r.err)
}

// Guards against output that does not fit in 80 columns.
func TestWidth(t *testing.T) {
	d, _, servers := twoVMs(t)
	d.revisions[0].Author = strings.Repeat("a long name ", 20)
	d.revisions[0].EditId = strings.Repeat("é", 90)
	for _, args := range [][]string{
		{"status"}, {"history"}, {"bills"}, {"watch", "--count=1"}, {"explain", "crew-east", "cut-lists"}, {"diff", editedTables(t, d)},
	} {
		r := runFor(t, servers, args...)
		assert.Equal(t, r.status, 0, "%s: %s", args, r.err)
		for _, line := range strings.Split(r.out, "\n") {
			assert.Assert(t, len([]rune(line)) <= 80, "%s: %q", args, line)
		}
	}
}
