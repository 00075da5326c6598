package dhedit

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// DocumentKey is the key of the document's register.
const DocumentKey = "document"

// Documents keeps one document that operators replace as a whole, under a
// version number that they choose; the highest number is in force. It replaces
// Editor where the operators' tools number versions themselves.
type Documents struct {
	Registers Register
}

// Replace puts a document in force unless one with the same or a higher number is
// in force already. It returns the document in force. After the code edit-unknown
// the document may still come into force; repeating the call determines the
// outcome.
func (d *Documents) Replace(ctx context.Context, document *dhpb.Document) (*dhpb.Document, error) {
	encoded, err := proto.Marshal(document)
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
		return encoded, nil
	})
	if err != nil {
		return nil, outcomeUnknown(err, "document %d could not be settled", document.GetVersion())
	}
	return ParseDocument(stored)
}

// Read returns the document in force, with number 0 when there is none. The code
// quorum-unreachable means that the document in force cannot be determined now.
func (d *Documents) Read(ctx context.Context) (*dhpb.Document, error) {
	value, err := d.Registers.Read(ctx, DocumentKey)
	if err != nil {
		return nil, err
	}
	return ParseDocument(value)
}

// ParseDocument decodes the value of the document's register.
func ParseDocument(value []byte) (*dhpb.Document, error) {
	document := new(dhpb.Document)
	if err := proto.Unmarshal(value, document); err != nil {
		return nil, dhcode.Wrap(dhcode.DiskCorrupt, fmt.Errorf("register of the document: %w", err))
	}
	return document, nil
}
