package dhedit

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// DocumentKey is the register of the document.
const DocumentKey = "document"

// Documents keeps one document that operators replace as a whole, under a
// number that they choose: the highest number is in force. It serves where the
// operators' tools number versions themselves, in place of Editor.
type Documents struct {
	Registers Register
}

// Replace puts a document in force unless one with the same or a higher number
// is. It returns the document in force. With the code edit-unknown it may
// still come into force; the same call settles it.
func (d *Documents) Replace(ctx context.Context, document *dhpb.Document) (*dhpb.Document, error) {
	mine, err := proto.Marshal(document)
	if err != nil {
		return nil, dhcode.Wrap(dhcode.Internal, err)
	}
	stored, err := d.Registers.Update(ctx, DocumentKey, func(old []byte) ([]byte, error) {
		inForce, err := ParseDocument(old)
		if err != nil {
			return nil, err
		}
		if inForce.GetVersion() >= document.GetVersion() {
			return old, nil
		}
		return mine, nil
	})
	if err != nil {
		return nil, unknown(err, "document %d could not be settled", document.GetVersion())
	}
	return ParseDocument(stored)
}

// Read returns the document in force, with number 0 when there is none. The
// code quorum-unreachable means that this cannot be said now.
func (d *Documents) Read(ctx context.Context) (*dhpb.Document, error) {
	value, err := d.Registers.Read(ctx, DocumentKey)
	if err != nil {
		return nil, err
	}
	return ParseDocument(value)
}

// ParseDocument reads the value of the document's register.
func ParseDocument(value []byte) (*dhpb.Document, error) {
	document := new(dhpb.Document)
	if err := proto.Unmarshal(value, document); err != nil {
		return nil, dhcode.Wrap(dhcode.DiskCorrupt, fmt.Errorf("register of the document: %w", err))
	}
	return document, nil
}
