package dhcode_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhcode"
)

// Guards against a docs/RESULT-CODES.md that differs from the code. The flag
// -update rewrites the page.
func TestResultCodesPage(t *testing.T) {
	golden.Assert(t, resultCodesPage(), "../../../docs/RESULT-CODES.md")
}

// Guards against a code without a meaning or action, and against a class that
// contradicts whether the code means that the request ran.
func TestDescriptions(t *testing.T) {
	for _, c := range dhcode.Codes() {
		assert.Assert(t, c.Meaning() != "" && c.Action() != "", c)
		switch c.Class() {
		case dhcode.ClassUnavailable, dhcode.ClassInvalid, dhcode.ClassNotAllowed:
			assert.Equal(t, c.Ran(), dhcode.NotRun, c.String())
		case dhcode.ClassUnknown:
			assert.Equal(t, c.Ran(), dhcode.RanUnknown, c.String())
		case dhcode.ClassRan, dhcode.ClassOK:
			assert.Equal(t, c.Ran(), dhcode.DidRun, c.String())
		}
	}
}

// Guards against an exit status that contradicts the error's explicit value of
// whether the request ran.
func TestClassOf(t *testing.T) {
	streamBroken := dhcode.Errorf(dhcode.StreamBroken, "connection")
	for _, c := range []struct {
		err  error
		want dhcode.Class
	}{
		{nil, dhcode.ClassOK},
		{errors.New("plain"), dhcode.ClassInternal},
		{streamBroken, dhcode.ClassUnknown},
		{dhcode.WithRan(streamBroken, dhcode.NotRun), dhcode.ClassUnavailable},
		{dhcode.WithRan(streamBroken, dhcode.DidRun), dhcode.ClassRan},
		{dhcode.WithRan(dhcode.Errorf(dhcode.Leaving, "vm"), dhcode.RanUnknown), dhcode.ClassUnknown},
		{dhcode.Errorf(dhcode.EditConflict, "edit"), dhcode.ClassConflict},
	} {
		assert.Equal(t, dhcode.ClassOf(c.err), c.want, "%v", c.err)
	}
}

func resultCodesPage() string {
	var b strings.Builder
	b.WriteString(`# Result codes

Every answer of dandelionhoist that is not a success carries a numbered result code. Numbers are never reused. Over connect, an error carries the metadata ` + "`dh-code`" + ` (name), ` + "`dh-ran`" + ` (` + "`not-run`, `ran` or `unknown`" + `) and, where there is a hint, ` + "`dh-retry-after`" + ` (a duration such as ` + "`1.5s`" + `); package ` + "`dhwire`" + ` reads and writes them.

The column "ran" is what the code alone says. An error can be more exact: then ` + "`dh-ran`" + ` holds. A ` + "`not-run`" + ` answer to a request with an idempotency key closes the key, so that the request never runs: send it again with a new key.

This page is written by ` + "`go test ./dh/dhcode -update`" + `; a test keeps it equal to package ` + "`dhcode`" + `.

| number | name | ran | meaning | what to do | exit class |
| ---: | --- | --- | --- | --- | --- |
`)
	for _, c := range dhcode.Codes() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s | %d %s |\n", int(c), c, c.Ran(), c.Meaning(), c.Action(), int(c.Class()), c.Class())
	}
	b.WriteString(`
## Exit status of the command line

The exit status of ` + "`dandelionhoist`" + ` is the number of the class. Where an error says itself whether the request ran, that decides between the classes ` + "`unavailable`, `unknown` and `ran`" + `. Commands that change nothing never end with ` + "`unknown`" + `.

| exit status | class | meaning |
| ---: | --- | --- |
`)
	for _, c := range dhcode.Classes() {
		fmt.Fprintf(&b, "| %d | `%s` | %s |\n", int(c), c, c.Meaning())
	}
	return b.String()
}
