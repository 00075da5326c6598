package dhcontrol

import (
	"context"
	"net/http"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhserver"
	"dandelionhoist.example/dh/dhwire"
)

// Handler returns the HTTP handler for other VMs: watches and the calls of the
// voter.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	control := dhpb.NewControlServiceServer(controlService{c})
	mux.Handle(control.PathPrefix(), control)
	voter := dhpb.NewPeerServiceServer(&dhserver.Peers{Voter: c})
	// Only the voter methods of PeerService are served here.
	for _, method := range []string{"Prepare", "Accept", "ReadState"} {
		mux.Handle(voter.PathPrefix()+method, voter)
	}
	bounds := &dhwire.Bounds{MaxBytes: maxCallBytes, MaxTotalBytes: maxTotalCallBytes}
	return dhwire.RepeatCalls(bounds.Handler(mux))
}

const (
	// maxCallBytes bounds a call of another VM: it carries a value of a register, or an
	// entry VM's report.
	maxCallBytes = 8 << 20
	// maxTotalCallBytes bounds the calls that are being served at the same time.
	maxTotalCallBytes = 16 << 20
)

// controlService converts errors to Twirp errors.
type controlService struct{ control *Control }

// Watch implements dhpb.ControlService.
func (s controlService) Watch(ctx context.Context, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	a, err := s.control.Watch(ctx, m)
	return a, dhwire.ToTwirp(err)
}

// State implements dhpb.ControlService.
func (s controlService) State(_ context.Context, m *dhpb.ControlStateRequest) (*dhpb.ControlStateResponse, error) {
	return s.control.State(m), nil
}

// Quarantine implements dhpb.ControlService.
func (s controlService) Quarantine(_ context.Context, m *dhpb.QuarantineRequest) (*dhpb.QuarantineResponse, error) {
	if o := m.GetOrder(); o != nil {
		if !dhquarantine.CauseOf(o.GetCause()).Valid() || o.GetOperator() == "" || (!o.GetLift() && o.GetDuration().AsDuration() <= 0) {
			return nil, dhwire.ToTwirp(dhcode.Errorf(dhcode.RequestMalformed, "an order needs a pool, an operator and a duration above 0"))
		}
		s.control.orderQuarantine(o)
	}
	return &dhpb.QuarantineResponse{Verdicts: s.control.quarantine.Messages()}, nil
}

// Prepare implements dhserver.Voter by delegating to the running voter.
func (c *Control) Prepare(ctx context.Context, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	v, err := c.Voter()
	if err != nil {
		return nil, err
	}
	return v.Prepare(ctx, m)
}

// Accept implements dhserver.Voter by delegating to the running voter.
func (c *Control) Accept(ctx context.Context, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	v, err := c.Voter()
	if err != nil {
		return nil, err
	}
	return v.Accept(ctx, m)
}

// ReadState implements dhserver.Voter by delegating to the running voter.
func (c *Control) ReadState(ctx context.Context, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	v, err := c.Voter()
	if err != nil {
		return nil, err
	}
	return v.ReadState(ctx, m)
}
