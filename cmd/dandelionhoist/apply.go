package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// Delays between two attempts to send an edit.
const (
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// revisionLine matches the first line that get writes and apply removes.
var revisionLine = regexp.MustCompile(`^// dandelionhoist revision (\d+)\r?\n`)

func addRevisionLine(revision uint64, text []byte) []byte {
	return append(fmt.Appendf(nil, "// dandelionhoist revision %d\n", revision), text...)
}

// cutRevisionLine returns the text without the first line that get writes, and
// the revision in that line.
func cutRevisionLine(text []byte) (rest []byte, revision uint64, ok bool) {
	match := revisionLine.FindSubmatch(text)
	if match == nil {
		return text, 0, false
	}
	revision, err := strconv.ParseUint(string(match[1]), 10, 64)
	return text[len(match[0]):], revision, err == nil
}

// applyFlags are the flags that apply and edit share.
type applyFlags struct {
	author string
	editID string
	wait   bool
}

func (f *applyFlags) add(p *program, clause *kingpin.CmdClause) {
	clause.Flag("author", "Name that the history shows.").Default(p.Getenv("USER")).
		Envar("DANDELIONHOIST_AUTHOR").StringVar(&f.author)
	clause.Flag("wait", "Return when the edit is in force on every reachable entry VM.").Short('w').BoolVar(&f.wait)
}

func (p *program) applyCommand(clause *kingpin.CmdClause) command {
	var flags applyFlags
	flags.add(p, clause)
	clause.Flag("edit-id", "Id of an earlier sending of the same edit whose answer was lost.").StringVar(&flags.editID)
	base := clause.Flag("base", "Revision that the edit starts from; by default the one in the file's first line, else the newest.").Uint64()
	file := clause.Arg("file", "File of tables.").Required().String()
	return func(ctx context.Context) error {
		tables, err := readTables(*file)
		if err != nil {
			return err
		}
		text, revision, baseKnown := cutRevisionLine(tables.Text())
		if *base != 0 {
			revision, baseKnown = *base, true
		}
		if !baseKnown {
			newest, err := p.fetch(ctx, 0)
			if err != nil {
				return err
			}
			revision = newest.GetRevision()
		}
		return p.submitEdit(ctx, flags, &dhpb.EditTablesRequest{
			EditId: flags.editID, BaseRevision: revision, Tables: text, Author: flags.author,
		})
	}
}

// submitEdit sends an edit until its outcome is known and, with --wait, waits
// until it is in force.
func (p *program) submitEdit(ctx context.Context, flags applyFlags, edit *dhpb.EditTablesRequest) error {
	c, err := p.connect()
	if err != nil {
		return err
	}
	resent := edit.GetEditId() != ""
	if !resent {
		edit.EditId = rand.Text()
	}
	fmt.Fprintf(p.Err, "edit %s, base revision %d\n", edit.GetEditId(), edit.GetBaseRevision())
	revision, err := c.editWithRetry(ctx, edit, resent)
	if err != nil {
		if dhcode.ClassOf(err) == dhcode.ClassUnknown {
			fmt.Fprintf(p.Err, "to settle it: apply FILE --base=%d --edit-id=%s\n", edit.GetBaseRevision(), edit.GetEditId())
		}
		return err
	}
	if !flags.wait {
		return p.printApplied(revision, nil)
	}
	state, err := c.waitInForce(ctx, revision)
	if err != nil {
		return exitError{dhcode.ClassNotInForce, fmt.Errorf("revision %d is accepted, but its state is not known: %w", revision, err)}
	}
	return p.printApplied(revision, &state)
}

// editWithRetry sends an edit to the servers in turn until its outcome is known
// or ctx ends. Every attempt has the same edit id, so the edit comes into force
// at most once. If resent is set, an earlier run of the program has sent the
// edit, which may already be in force.
func (c *client) editWithRetry(ctx context.Context, edit *dhpb.EditTablesRequest, resent bool) (revision uint64, err error) {
	mayHaveRun := resent // an earlier attempt may have been accepted
	for i := 0; ; i++ {
		s := c.servers[(c.preferred+i)%len(c.servers)]
		err = c.callServer(ctx, s, func(ctx context.Context, s server) error {
			response, err := s.service.EditTables(ctx, edit)
			revision = response.GetRevision()
			return err
		})
		if err == nil {
			return revision, nil
		}
		if outcomeKnown(err, mayHaveRun) {
			return 0, err
		}
		mayHaveRun = mayHaveRun || dhcode.RanOf(err) != dhcode.NotRun
		delay := min(initialRetryDelay<<min(i/len(c.servers), 10), maxRetryDelay)
		if dhtimer.Sleep(ctx, c.timers, max(delay, dhcode.RetryAfterOf(err))) != nil || ctx.Err() != nil {
			return 0, editTimeoutError(err, mayHaveRun)
		}
	}
}

// outcomeKnown reports whether err decides the outcome of an edit. A refusal
// that a server gives without asking the quorum does not tell whether an
// earlier attempt was accepted.
func outcomeKnown(err error, mayHaveRun bool) bool {
	switch dhcode.Of(err) {
	case dhcode.EditConflict, dhcode.EditIDReused:
		return true
	}
	return !mayHaveRun && isDefinitive(err)
}

// editTimeoutError returns the error of an edit that was not confirmed within
// the time limit; last is the error of the last attempt.
func editTimeoutError(last error, mayHaveRun bool) error {
	if !mayHaveRun {
		return dhcode.WithRan(fmt.Errorf("the edit was not accepted in time: %w", last), dhcode.NotRun)
	}
	return dhcode.Errorf(dhcode.OutcomeUnknown, "the edit may come into force: %v", last)
}

func (p *program) editCommand(clause *kingpin.CmdClause) command {
	var flags applyFlags
	flags.add(p, clause)
	return func(ctx context.Context) error {
		newest, err := p.fetch(ctx, 0)
		if err != nil {
			return err
		}
		file, text, err := p.editFile(ctx, newest)
		if err != nil {
			return err
		}
		if bytes.Equal(text, newest.GetTables()) {
			fmt.Fprintln(p.Err, "nothing was changed")
			return removeFile(file)
		}
		// The time limit starts after the editor has ended.
		ctx, cancel := dhtimer.WithTimeout(ctx, p.Timers, p.flags.timeout)
		defer cancel()
		err = p.submitEdit(ctx, flags, &dhpb.EditTablesRequest{
			BaseRevision: newest.GetRevision(), Tables: text, Author: flags.author,
		})
		var exit exitError
		if err != nil && !(errors.As(err, &exit) && exit.class == dhcode.ClassNotInForce) {
			fmt.Fprintf(p.Err, "the edited tables are kept in %s\n", file)
			return err
		}
		return errors.Join(err, removeFile(file))
	}
}

// checkEdited parses an edited file and prints what it changes.
func (p *program) checkEdited(file string, base, data []byte) error {
	after, err := parseLocal(file, data)
	if err != nil {
		return err
	}
	before, err := parseLocal("base", base)
	if err != nil {
		return err
	}
	p.writeDiff(p.Err, dhtable.Diff(before, after))
	return nil
}
