// Package dhquorum keeps small values in registers that are replicated on
// voters and survive the loss of a minority of them.
//
// Each key is one register with its own ballots (single-decree Paxos with
// rewritable values). A Voter stores the registers on one disk. A Proposer
// reads and writes registers on a majority of voters. Memory is an in-process
// register store for tests.
//
// # Usage
//
//	voter, err := dhquorum.OpenVoter(disk, newID)
//	goroutines.Go(voter.Run)
//	proposer := &dhquorum.Proposer{Name: vm, Transport: transport, Timers: timers}
//	proposer.Adopt(set)
//	value, err := proposer.Update(ctx, "revision/7", func(old []byte) ([]byte, error) {
//		if old != nil {
//			return old, nil // another proposer wrote it first
//		}
//		return mine, nil
//	})
//
// Managing the voter set: Bootstrap creates the first set and Find learns the
// current one; Replace and Join exchange one voter, Add and Join add one, and
// Replacer decides when to replace a voter. Expiry of keys: see BucketKey.
package dhquorum

import (
	"context"

	"dandelionhoist.example/dh/dhpb"
)

// Transport sends a message to the voter at an address and waits for its
// response. An error means that it is unknown whether the message took effect;
// the error may carry a result code of the voter.
type Transport interface {
	Prepare(ctx context.Context, address string, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error)
	Accept(ctx context.Context, address string, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error)
	ReadState(ctx context.Context, address string, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error)
}

// VotersKey is the register that holds the voter set. An Accept of this key
// without a ballot announces a decided set.
const VotersKey = "voters"

// MaxValueBytes bounds a value. Tables are at most 1 MiB.
const MaxValueBytes = 2 << 20

// MaxKeyBytes bounds a key.
const MaxKeyBytes = 1 << 10
