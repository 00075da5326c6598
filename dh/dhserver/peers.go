package dhserver

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhnode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhwire"
)

// maxPeerBytes bounds a request of a peer; it is large enough for a page of
// register state.
const maxPeerBytes = 16 << 20

// Gossiper processes gossip messages.
type Gossiper interface {
	Receive(ctx context.Context, m *dhpb.GossipMessage) (*dhpb.GossipMessage, error)
}

// Voter is the voter of this VM.
type Voter interface {
	Prepare(ctx context.Context, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error)
	Accept(ctx context.Context, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error)
	ReadState(ctx context.Context, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error)
}

// BillKeeper stores bills of other VMs.
type BillKeeper interface {
	PutBills(ctx context.Context, m *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error)
	ListBills(ctx context.Context, m *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error)
}

// CreditLender lends cold-start credits.
type CreditLender interface {
	Lend(ctx context.Context, m *dhpb.LendCreditRequest) (*dhpb.LendCreditResponse, error)
}

// LimitLender lends unused limits of client accounts.
type LimitLender interface {
	LendLimit(m *dhpb.LendLimitRequest) *dhpb.LendLimitResponse
}

// Peers is the service that entry VMs offer each other. Voter is nil on a VM
// without a disk.
type Peers struct {
	Node         *dhnode.Node
	Router       *dhrouter.Router
	Gossiper     Gossiper
	Voter        Voter
	Bills        BillKeeper
	CreditLender CreditLender
	LimitLender  LimitLender
	// Announced receives each accepted announcement, to pass it on to other
	// entry VMs.
	Announced func(*dhpb.BackendRecord)
}

// PeerHandler returns the HTTP handler for entry VMs and backend servers.
func PeerHandler(p *Peers, keys Keys) http.Handler {
	mux := http.NewServeMux()
	twirpServer := dhpb.NewPeerServiceServer(p)
	mux.Handle(twirpServer.PathPrefix(), twirpServer)
	path, announce := dhpbconnect.NewAnnounceServiceHandler(&announcements{peers: p})
	mux.Handle(path, announce)
	return newGuard(mux, maxPeerBytes, peerAuthenticator(keys))
}

// Gossip implements the peers' service.
func (p *Peers) Gossip(ctx context.Context, m *dhpb.GossipMessage) (*dhpb.GossipMessage, error) {
	out, err := p.Gossiper.Receive(ctx, m)
	return out, dhwire.ToTwirp(err)
}

func errNoVoter() error {
	return dhwire.ToTwirp(dhcode.Errorf(dhcode.QuorumUnreachable, "this VM is not a voter"))
}

// Prepare implements the peers' service.
func (p *Peers) Prepare(ctx context.Context, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	if p.Voter == nil {
		return nil, errNoVoter()
	}
	out, err := p.Voter.Prepare(ctx, m)
	return out, dhwire.ToTwirp(err)
}

// Accept implements the peers' service.
func (p *Peers) Accept(ctx context.Context, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	if p.Voter == nil {
		return nil, errNoVoter()
	}
	out, err := p.Voter.Accept(ctx, m)
	return out, dhwire.ToTwirp(err)
}

// ReadState implements the peers' service.
func (p *Peers) ReadState(ctx context.Context, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	if p.Voter == nil {
		return nil, errNoVoter()
	}
	out, err := p.Voter.ReadState(ctx, m)
	return out, dhwire.ToTwirp(err)
}

// NewestRevision implements the peers' service.
func (p *Peers) NewestRevision(context.Context, *dhpb.NewestRevisionRequest) (*dhpb.NewestRevisionResponse, error) {
	return &dhpb.NewestRevisionResponse{Revision: p.Node.Revisions.NewestNumber(), Voter: p.Voter != nil}, nil
}

// FetchRevision implements the peers' service.
func (p *Peers) FetchRevision(_ context.Context, m *dhpb.FetchRevisionRequest) (*dhpb.Revision, error) {
	return p.Node.Revisions.Fetch(m.GetRevision()), nil
}

// PutBills implements the peers' service.
func (p *Peers) PutBills(ctx context.Context, m *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error) {
	out, err := p.Bills.PutBills(ctx, m)
	return out, dhwire.ToTwirp(err)
}

// ListBills implements the peers' service.
func (p *Peers) ListBills(ctx context.Context, m *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	out, err := p.Bills.ListBills(ctx, m)
	return out, dhwire.ToTwirp(err)
}

// LendCredit implements the peers' service.
func (p *Peers) LendCredit(ctx context.Context, m *dhpb.LendCreditRequest) (*dhpb.LendCreditResponse, error) {
	if p.CreditLender == nil {
		return &dhpb.LendCreditResponse{}, nil
	}
	out, err := p.CreditLender.Lend(ctx, m)
	return out, dhwire.ToTwirp(err)
}

// LendLimit implements the peers' service.
func (p *Peers) LendLimit(_ context.Context, m *dhpb.LendLimitRequest) (*dhpb.LendLimitResponse, error) {
	if p.LimitLender == nil {
		return &dhpb.LendLimitResponse{}, nil
	}
	return p.LimitLender.LendLimit(m), nil
}

// FetchAnswer implements the peers' service. It waits for text after the
// offset. If this VM does not hold the answer, found is unset in the response.
func (p *Peers) FetchAnswer(ctx context.Context, m *dhpb.FetchAnswerRequest) (*dhpb.FetchAnswerResponse, error) {
	if m.GetCancel() {
		return &dhpb.FetchAnswerResponse{Found: p.Router.Cancel(m.GetAccount(), m.GetRequestId())}, nil
	}
	answer, ok := p.Router.Answer(m.GetAccount(), m.GetRequestId())
	if !ok {
		return &dhpb.FetchAnswerResponse{}, nil
	}
	defer answer.Follow(p.Router.Timers)()
	part, err := answer.Read(ctx, int(m.GetOffset()))
	if err != nil {
		return nil, dhwire.ToTwirp(err)
	}
	return &dhpb.FetchAnswerResponse{Found: true, Text: part.Text, Complete: part.Done, Answer: part.Result}, nil
}

// Announce processes an announcement of a backend server.
func (p *Peers) Announce(r *dhpb.BackendRecord) error {
	if err := p.Node.Announce(r); err != nil {
		return err
	}
	p.Announced(r)
	return nil
}

// announcements is the service that backend servers use.
type announcements struct{ peers *Peers }

// Announce implements the announcement service.
func (a *announcements) Announce(_ context.Context, req *dhpb.AnnounceRequest) (*dhpb.AnnounceResponse, error) {
	req.GetBackend().AnnouncementAge = nil // only entry VMs pass on records with an age
	if err := a.peers.Announce(req.GetBackend()); err != nil {
		return nil, dhwire.ToConnect(err)
	}
	lease := a.peers.Node.Settings.Timing.BackendLease
	return &dhpb.AnnounceResponse{Lease: durationpb.New(lease.Std())}, nil
}
