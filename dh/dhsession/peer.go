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

// peerCall is a message between entry VMs. Method and key identify it on the fake
// network.
type peerCall struct {
	method, key string
	request     proto.Message
}

// Key implements dhfake.Keyed.
func (c peerCall) Key() string { return c.method + " " + c.key }

// serve dispatches a call to the peer service, like the handler of the network server.
func serve(ctx context.Context, p *dhserver.Peers, c peerCall) (any, error) {
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

// peerClient is a dhdaemon.PeerClient over the fake network.
type peerClient struct {
	sim  *Simulation
	node *dhfake.Node
}

func (p *peerClient) send(ctx context.Context, to, method, key string, m proto.Message) (any, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, p.sim.Timers, connectionTimeout)
	defer cancel()
	answer, err := p.node.Send(ctx, to, peerCall{method, key, proto.Clone(m)})
	if err == nil {
		return proto.Clone(answer.(proto.Message)), nil
	}
	coded := dhwire.FromTwirp(err)
	var twirpErr twirp.Error
	if errors.As(coded, &twirpErr) || dhcode.Of(coded) == dhcode.Internal || ctx.Err() != nil {
		return nil, dhcode.Wrap(dhcode.QuorumUnreachable, err)
	}
	return nil, coded
}

// Gossip implements dhmember.Transport.
func (p *peerClient) Gossip(ctx context.Context, address string, m *dhpb.GossipMessage) (*dhpb.GossipMessage, error) {
	// The key contains part of the content, because several exchanges with the
	// same peer may start at the same time.
	key := fmt.Sprint(m.GetProbe(), len(m.GetBackends()), m.GetRevision())
	for _, r := range m.GetMembers() {
		key += " " + r.GetName() + r.GetState()
	}
	out, err := p.send(ctx, address, "gossip", key, m)
	answer, _ := out.(*dhpb.GossipMessage)
	return answer, err
}

// Prepare implements dhquorum.Transport.
func (p *peerClient) Prepare(ctx context.Context, address string, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	out, err := p.send(ctx, address, "prepare", m.GetKey(), m)
	answer, _ := out.(*dhpb.PrepareResponse)
	return answer, err
}

// Accept implements dhquorum.Transport.
func (p *peerClient) Accept(ctx context.Context, address string, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	out, err := p.send(ctx, address, "accept", m.GetKey(), m)
	answer, _ := out.(*dhpb.AcceptResponse)
	return answer, err
}

// ReadState implements dhquorum.Transport.
func (p *peerClient) ReadState(ctx context.Context, address string, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	out, err := p.send(ctx, address, "read", m.GetPrefix()+m.GetAfterKey(), m)
	answer, _ := out.(*dhpb.ReadStateResponse)
	return answer, err
}

// FetchRevision implements dhdaemon.PeerClient.
func (p *peerClient) FetchRevision(ctx context.Context, address string, revision uint64) (*dhpb.Revision, error) {
	out, err := p.send(ctx, address, "revision", "", &dhpb.FetchRevisionRequest{Revision: revision})
	answer, _ := out.(*dhpb.Revision)
	return answer, err
}

// PutBills implements dhdaemon.PeerClient.
func (p *peerClient) PutBills(ctx context.Context, address string, m *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error) {
	key := ""
	if len(m.GetBills()) > 0 {
		key = m.GetBills()[0].GetRequestId()
	}
	out, err := p.send(ctx, address, "bills", key, m)
	answer, _ := out.(*dhpb.PutBillsResponse)
	return answer, err
}

// ListBills implements dhdaemon.PeerClient.
func (p *peerClient) ListBills(ctx context.Context, address string, m *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	out, err := p.send(ctx, address, "list", "", m)
	answer, _ := out.(*dhpb.ExportBillsResponse)
	return answer, err
}

// LendCredit implements dhdaemon.PeerClient.
func (p *peerClient) LendCredit(ctx context.Context, address string, m *dhpb.LendCreditRequest) (*dhpb.LendCreditResponse, error) {
	out, err := p.send(ctx, address, "credit", m.GetBackend(), m)
	answer, _ := out.(*dhpb.LendCreditResponse)
	return answer, err
}

// LendLimit implements dhdaemon.PeerClient.
func (p *peerClient) LendLimit(ctx context.Context, address string, m *dhpb.LendLimitRequest) (*dhpb.LendLimitResponse, error) {
	out, err := p.send(ctx, address, "limit", m.GetAccount(), m)
	answer, _ := out.(*dhpb.LendLimitResponse)
	return answer, err
}

// FetchAnswer implements dhdaemon.PeerClient.
func (p *peerClient) FetchAnswer(ctx context.Context, address string, m *dhpb.FetchAnswerRequest) (*dhpb.FetchAnswerResponse, error) {
	out, err := p.send(ctx, address, "answer", m.GetRequestId(), m)
	answer, _ := out.(*dhpb.FetchAnswerResponse)
	return answer, err
}
