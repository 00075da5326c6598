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

// Pauses between two sendings of an edit.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

// baseLine is the first line that get writes and apply removes.
var baseLine = regexp.MustCompile(`^// dandelionhoist revision (\d+)\r?\n`)

func withBase(revision uint64, text []byte) []byte {
	return append(fmt.Appendf(nil, "// dandelionhoist revision %d\n", revision), text...)
}

// cutBase returns the text without get's first line and the revision in it.
func cutBase(text []byte) (rest []byte, revision uint64, ok bool) {
	match := baseLine.FindSubmatch(text)
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
		text, revision, named := cutBase(tables.Text())
		if *base != 0 {
			revision, named = *base, true
		}
		if !named {
			newest, err := p.fetch(ctx, 0)
			if err != nil {
				return err
			}
			revision = newest.GetRevision()
		}
		return p.put(ctx, flags, &dhpb.EditTablesRequest{
			EditId: flags.editID, BaseRevision: revision, Tables: text, Author: flags.author,
		})
	}
}

// put sends an edit until it is settled, and waits where asked.
func (p *program) put(ctx context.Context, flags applyFlags, edit *dhpb.EditTablesRequest) error {
	c, err := p.connect()
	if err != nil {
		return err
	}
	resent := edit.GetEditId() != ""
	if !resent {
		edit.EditId = rand.Text()
	}
	fmt.Fprintf(p.Err, "edit %s, base revision %d\n", edit.GetEditId(), edit.GetBaseRevision())
	revision, err := c.edit(ctx, edit, resent)
	if err != nil {
		if dhcode.ClassOf(err) == dhcode.ClassUnknown {
			fmt.Fprintf(p.Err, "to settle it: apply FILE --base=%d --edit-id=%s\n", edit.GetBaseRevision(), edit.GetEditId())
		}
		return err
	}
	if !flags.wait {
		return p.printApplied(revision, nil)
	}
	state, err := c.wait(ctx, revision)
	if err != nil {
		return exitError{dhcode.ClassNotInForce, fmt.Errorf("revision %d is accepted, but its state is not known: %w", revision, err)}
	}
	return p.printApplied(revision, &state)
}

// edit sends an edit to the servers in turn until its fate is known or ctx
// ends, always with the same edit id, so that it comes into force at most once.
// With resent an earlier run of the program has sent the edit, which may be in force.
func (c *client) edit(ctx context.Context, edit *dhpb.EditTablesRequest, resent bool) (revision uint64, err error) {
	maybe := resent // an earlier sending may have been accepted
	for i := 0; ; i++ {
		s := c.servers[(c.first+i)%len(c.servers)]
		err = c.once(ctx, s, func(ctx context.Context, s server) error {
			response, err := s.service.EditTables(ctx, edit)
			revision = response.GetRevision()
			return err
		})
		if err == nil {
			return revision, nil
		}
		if settled(err, maybe) {
			return 0, err
		}
		maybe = maybe || dhcode.RanOf(err) != dhcode.NotRun
		pause := min(firstPause<<min(i/len(c.servers), 10), maxPause)
		if dhtimer.Sleep(ctx, c.timers, max(pause, dhcode.RetryAfterOf(err))) != nil || ctx.Err() != nil {
			return 0, unsettled(err, maybe)
		}
	}
}

// settled reports whether err is the last word about an edit. Refusals that a
// server gives without asking the quorum say nothing about an earlier sending.
func settled(err error, maybe bool) bool {
	switch dhcode.Of(err) {
	case dhcode.EditConflict, dhcode.EditIDReused:
		return true
	}
	return !maybe && final(err)
}

// unsettled is the error of an edit whose time is over.
func unsettled(last error, maybe bool) error {
	if !maybe {
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
		err = p.put(ctx, flags, &dhpb.EditTablesRequest{
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
