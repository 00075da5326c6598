// Package dhedit decides edits of the operators' tables and keeps the decided
// revisions.
//
// There is no leader. An edit names its base revision n. Register edit/<id>
// is set once to the edit's content hash, then register revision/<n+1> is set
// once to the edit. The edit that revision/<n+1> holds has won, so the answer to
// an edit is a function of the registers: a resend through any VM, at any later
// time, gets the first answer again. Revision n+1 is only written when
// revision n is decided, so decided revisions have no gaps.
//
// # Usage
//
//	revisions := &dhedit.Revisions{Timers: timers}
//	editor := &dhedit.Editor{Registers: registers, Revisions: revisions}
//	revision, err := editor.Edit(ctx, dhedit.Edit{ID: id, Base: 6, Author: "ines", Text: text})
//	var conflict *dhedit.Conflict
//	if errors.As(err, &conflict) { ... } // another edit won revision 7
//
// A starting VM calls CatchUp before it accepts work, and holds a Lease to
// know whether its newest revision may be out of date.
package dhedit

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

const (
	// maxNameBytes limits edit ids and authors, which are stored forever.
	maxNameBytes = 128
	valueFormat  = 1
)

// Register stores small values on a quorum.
type Register interface {
	// Update applies f to the value of key and returns the value in force. The
	// code quorum-unreachable means that the outcome is unknown.
	Update(ctx context.Context, key string, f func(old []byte) ([]byte, error)) ([]byte, error)
	// Read returns the value in force, or nil when there is none.
	Read(ctx context.Context, key string) ([]byte, error)
}

// Edit is a proposed next revision of the tables.
type Edit struct {
	// ID is chosen by the operator's program and must not be reused for other content.
	ID string
	// Base is the revision that the text was made from.
	Base   uint64
	Author string
	Text   []byte
}

// Conflict is the error of an edit that lost its revision; it identifies the edit
// that won.
type Conflict struct {
	EditID, Author string
	Revision       uint64
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d is already edit %q by %q", c.Revision, c.EditID, c.Author)
}

// Editor decides edits through registers. Its fields are set before use.
type Editor struct {
	Registers Register
	// Revisions receives the decided revisions.
	Revisions *Revisions
	// Decided, if set, is called with each revision that an edit through this
	// editor has won.
	Decided func(*Revision)

	compaction
}

// Edit proposes an edit as the revision after its base and returns the number of
// the revision. Codes: tables-invalid and request-malformed, with nothing
// written; base-revision-unknown; edit-id-reused; edit-conflict with a *Conflict
// in the chain; edit-unknown when no quorum answered, in which case resending the
// edit determines the outcome.
func (e *Editor) Edit(ctx context.Context, edit Edit) (uint64, error) {
	if err := checkNames(edit); err != nil {
		return 0, err
	}
	tables, err := dhtable.Parse("tables", edit.Text)
	if err != nil {
		return 0, err
	}
	if err := e.checkBase(ctx, edit.Base); err != nil {
		return 0, err
	}
	hash := sha256.Sum256(edit.Text)
	if err := e.reserveID(ctx, edit, hash[:]); err != nil {
		return 0, err
	}
	value := &dhpb.RevisionValue{
		Format: valueFormat,
		Header: &dhpb.RevisionHeader{Revision: edit.Base + 1, EditId: edit.ID, Author: edit.Author, ContentHash: hash[:]},
		Tables: edit.Text,
	}
	winner, err := e.decide(ctx, value)
	if err != nil {
		return 0, err
	}
	if winner.GetEditId() != edit.ID {
		return 0, dhcode.Wrap(dhcode.EditConflict, &Conflict{
			EditID: winner.GetEditId(), Author: winner.GetAuthor(), Revision: winner.GetRevision(),
		})
	}
	e.publish(&Revision{Header: headerOf(winner), Tables: tables.WithRevision(winner.GetRevision())})
	return winner.GetRevision(), nil
}

func checkNames(edit Edit) error {
	if edit.ID == "" || len(edit.ID) > maxNameBytes {
		return dhcode.Errorf(dhcode.RequestMalformed, "edit id has %d bytes, expected 1 to %d", len(edit.ID), maxNameBytes)
	}
	if len(edit.Author) > maxNameBytes {
		return dhcode.Errorf(dhcode.RequestMalformed, "author has %d bytes, at most %d are accepted", len(edit.Author), maxNameBytes)
	}
	return nil
}

// checkBase rejects an edit whose base is not decided, before its id is reserved.
func (e *Editor) checkBase(ctx context.Context, base uint64) error {
	if base <= e.Revisions.NewestNumber() {
		return nil
	}
	value, err := e.Registers.Read(ctx, revisionKey(base))
	if err != nil {
		return outcomeUnknown(err, "base revision %d could not be read", base)
	}
	if value == nil {
		return dhcode.Errorf(dhcode.BaseRevisionUnknown, "base revision %d does not exist", base)
	}
	return nil
}

// reserveID binds the edit's id to its content, base and author.
func (e *Editor) reserveID(ctx context.Context, edit Edit, hash []byte) error {
	reservation := &dhpb.EditValue{Format: valueFormat, ContentHash: hash, Base: edit.Base, Author: edit.Author}
	stored, err := e.setOnce(ctx, "edit/"+edit.ID, reservation)
	if err != nil {
		return err
	}
	var first dhpb.EditValue
	if err := proto.Unmarshal(stored, &first); err != nil {
		return dhcode.Wrap(dhcode.Internal, fmt.Errorf("value of edit %q: %w", edit.ID, err))
	}
	if !bytes.Equal(first.GetContentHash(), hash) || first.GetBase() != edit.Base || first.GetAuthor() != edit.Author {
		return dhcode.Errorf(dhcode.EditIDReused, "edit id %q was used for other content, based on revision %d", edit.ID, first.GetBase())
	}
	return nil
}

// decide sets the register of the revision, unless it is set already, and returns
// the header in force.
func (e *Editor) decide(ctx context.Context, value *dhpb.RevisionValue) (*dhpb.RevisionHeader, error) {
	number := value.GetHeader().GetRevision()
	stored, err := e.setOnce(ctx, revisionKey(number), value)
	if err != nil {
		return nil, err
	}
	winner, err := decodeRevision(number, stored)
	if err != nil {
		return nil, err
	}
	return winner.GetHeader(), nil
}

// setOnce sets a register, unless it is set already, and returns the value in
// force. The update function never fails, so that the value is confirmed on a
// quorum.
func (e *Editor) setOnce(ctx context.Context, key string, m proto.Message) ([]byte, error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, dhcode.Wrap(dhcode.Internal, err)
	}
	stored, err := e.Registers.Update(ctx, key, func(old []byte) ([]byte, error) {
		if old != nil {
			return old, nil
		}
		return encoded, nil
	})
	if err != nil {
		return nil, outcomeUnknown(err, "register %q could not be settled", key)
	}
	return stored, nil
}

func (e *Editor) publish(r *Revision) {
	e.Revisions.Apply(r)
	if e.Decided != nil {
		e.Decided(r)
	}
}

// outcomeUnknown wraps the error of a register in the code edit-unknown: this
// attempt or an earlier one may have taken effect.
func outcomeUnknown(err error, format string, args ...any) error {
	return dhcode.Wrap(dhcode.EditUnknown, fmt.Errorf(format+", resend the edit to settle it: %w", append(args, err)...))
}

func revisionKey(number uint64) string { return fmt.Sprintf("revision/%d", number) }

func decodeRevision(number uint64, value []byte) (*dhpb.RevisionValue, error) {
	var r dhpb.RevisionValue
	if err := proto.Unmarshal(value, &r); err != nil {
		return nil, dhcode.Wrap(dhcode.Internal, fmt.Errorf("value of revision %d: %w", number, err))
	}
	if r.GetFormat() > valueFormat || r.GetHeader().GetRevision() != number {
		return nil, dhcode.Errorf(dhcode.Internal, "value of revision %d has format %d and number %d", number, r.GetFormat(), r.GetHeader().GetRevision())
	}
	return &r, nil
}
