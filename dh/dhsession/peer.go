package dhsession

import (
	"context"
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhserver"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

// call is a message between entry VMs.
type call struct {
	method, key string
	request     proto.Message
}

// Key implements dhfake.Keyed.
func (c call) Key() string { return c.method + " " + c.key }

// serve answers a call as the peers' handler does.
func serve(ctx context.Context, p *dhserver.Peers, c call) (any, error) {
	switch m := c.request.(type) {
	case *dhpb.GossipMessage:
		return p.Gossip(ctx, m)
	case *dhpb.PrepareRequest:
		return p.Prepare(ctx, m)
	case *dhpb.AcceptRequest:
		return p.Accept(ctx, m)
	case *dhpb.ReadStateRequest:
		return p.ReadState(ctx, m)
	case *dhpb.FetchRevisionRequest:
		return p.FetchRevision(ctx, m)
	case *dhpb.PutBillsRequest:
		return p.PutBills(ctx, m)
	case *dhpb.ExportBillsRequest:
		return p.ListBills(ctx, m)
	case *dhpb.LendLimitRequest:
		return p.LendLimit(ctx, m)
	case *dhpb.LendCreditRequest:
		return p.LendCredit(ctx, m)
	case *dhpb.FetchAnswerRequest:
		return p.FetchAnswer(ctx, m)
	}
	return nil, errors.New("unknown message")
}

// peers is a dhdaemon.PeerClient over the fake network.
type peers struct {
	world *World
	node  *dhfake.Node
}

func (p *peers) send(ctx context.Context, to, method, key string, m proto.Message) (any, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, p.world.Timers, silentTime)
	defer cancel()
	answer, err := p.node.Send(ctx, to, call{method, key, proto.Clone(m)})
	if err == nil {
		return proto.Clone(answer.(proto.Message)), nil
	}
	coded := dhwire.FromTwirp(err)
	var wire twirp.Error
	if errors.As(coded, &wire) || dhcode.Of(coded) == dhcode.Internal || ctx.Err() != nil {
		return nil, dhcode.Wrap(dhcode.QuorumUnreachable, err)
	}
	return nil, coded
}

// Gossip implements dhmember.Transport.
func (p *peers) Gossip(ctx context.Context, address string, m *dhpb.GossipMessage) (*dhpb.GossipMessage, error) {
	// Exchanges of the same moment differ in what they carry.
	key := fmt.Sprint(m.GetProbe(), len(m.GetBackends()), m.GetRevision())
	for _, r := range m.GetMembers() {
		key += " " + r.GetName() + r.GetState()
	}
	out, err := p.send(ctx, address, "gossip", key, m)
	answer, _ := out.(*dhpb.GossipMessage)
	return answer, err
}

// Prepare implements dhquorum.Transport.
func (p *peers) Prepare(ctx context.Context, address string, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	out, err := p.send(ctx, address, "prepare", m.GetKey(), m)
	answer, _ := out.(*dhpb.PrepareResponse)
	return answer, err
}

// Accept implements dhquorum.Transport.
func (p *peers) Accept(ctx context.Context, address string, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	out, err := p.send(ctx, address, "accept", m.GetKey(), m)
	answer, _ := out.(*dhpb.AcceptResponse)
	return answer, err
}

// ReadState implements dhquorum.Transport.
func (p *peers) ReadState(ctx context.Context, address string, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	out, err := p.send(ctx, address, "read", m.GetPrefix()+m.GetAfterKey(), m)
	answer, _ := out.(*dhpb.ReadStateResponse)
	return answer, err
}

// FetchRevision implements dhdaemon.PeerClient.
func (p *peers) FetchRevision(ctx context.Context, address string, revision uint64) (*dhpb.Revision, error) {
	out, err := p.send(ctx, address, "revision", "", &dhpb.FetchRevisionRequest{Revision: revision})
	answer, _ := out.(*dhpb.Revision)
	return answer, err
}

// PutBills implements dhdaemon.PeerClient.
func (p *peers) PutBills(ctx context.Context, address string, m *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error) {
	key := ""
	if len(m.GetBills()) > 0 {
		key = m.GetBills()[0].GetRequestId()
	}
	out, err := p.send(ctx, address, "bills", key, m)
	answer, _ := out.(*dhpb.PutBillsResponse)
	return answer, err
}

// ListBills implements dhdaemon.PeerClient.
func (p *peers) ListBills(ctx context.Context, address string, m *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	out, err := p.send(ctx, address, "list", "", m)
	answer, _ := out.(*dhpb.ExportBillsResponse)
	return answer, err
}

// LendCredit implements dhdaemon.PeerClient.
func (p *peers) LendCredit(ctx context.Context, address string, m *dhpb.LendCreditRequest) (*dhpb.LendCreditResponse, error) {
	out, err := p.send(ctx, address, "credit", m.GetBackend(), m)
	answer, _ := out.(*dhpb.LendCreditResponse)
	return answer, err
}

// LendLimit implements dhdaemon.PeerClient.
func (p *peers) LendLimit(ctx context.Context, address string, m *dhpb.LendLimitRequest) (*dhpb.LendLimitResponse, error) {
	out, err := p.send(ctx, address, "limit", m.GetAccount(), m)
	answer, _ := out.(*dhpb.LendLimitResponse)
	return answer, err
}

// FetchAnswer implements dhdaemon.PeerClient.
func (p *peers) FetchAnswer(ctx context.Context, address string, m *dhpb.FetchAnswerRequest) (*dhpb.FetchAnswerResponse, error) {
	out, err := p.send(ctx, address, "answer", m.GetRequestId(), m)
	answer, _ := out.(*dhpb.FetchAnswerResponse)
	return answer, err
}
