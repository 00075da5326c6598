package dhserver

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhnode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

const (
	// maxHistory bounds the number of revisions in one response.
	maxHistory = 1000
	// watchPeriod is the time between two status messages of Watch.
	watchPeriod = time.Second
	// maxOperatorBytes bounds a request of an operator; it is large enough for
	// tables of the maximum size.
	maxOperatorBytes = 2 * dhtable.MaxBytes
)

// BillExporter exports and forgets bills.
type BillExporter interface {
	Export(ctx context.Context, req *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error)
	Forget(ctx context.Context, bills []*dhpb.Bill) (voters int, err error)
}

// Operators is the service that operators use.
type Operators struct {
	Node   *dhnode.Node
	Timers dhtimer.Service
	Bills  BillExporter
}

// OperatorHandler returns the HTTP handler of the operators' service.
func OperatorHandler(o *Operators, keys Keys) http.Handler {
	_, handler := dhpbconnect.NewOperatorServiceHandler(o, connect.WithReadMaxBytes(maxOperatorBytes))
	return newGuard(handler, maxOperatorBytes, operatorAuthenticator(keys))
}

// RequireOperator returns a handler that accepts only requests with an operator's
// key.
func RequireOperator(next http.Handler, keys Keys) http.Handler {
	return newGuard(next, maxOperatorBytes, operatorAuthenticator(keys))
}

// GetTables implements the operators' service.
func (o *Operators) GetTables(_ context.Context, req *dhpb.GetTablesRequest) (*dhpb.GetTablesResponse, error) {
	revision := req.GetRevision()
	if revision == 0 {
		revision = o.Node.Revisions.NewestNumber()
	}
	if revision == 0 {
		return &dhpb.GetTablesResponse{}, nil
	}
	r := o.Node.Revisions.Fetch(revision)
	if !r.GetFound() {
		return nil, dhwire.ToConnect(dhcode.Errorf(dhcode.BaseRevisionUnknown, "the tables of revision %d are not kept", revision))
	}
	return &dhpb.GetTablesResponse{Revision: revision, Tables: r.GetTables()}, nil
}

// EditTables implements the operators' service.
func (o *Operators) EditTables(ctx context.Context, req *dhpb.EditTablesRequest) (*dhpb.EditTablesResponse, error) {
	revision, err := o.Node.Edit(ctx, dhedit.Edit{
		ID: req.GetEditId(), Base: req.GetBaseRevision(), Author: req.GetAuthor(), Text: req.GetTables(),
	})
	if err != nil {
		return nil, dhwire.ToConnect(err)
	}
	return &dhpb.EditTablesResponse{Revision: revision}, nil
}

// History implements the operators' service.
func (o *Operators) History(_ context.Context, req *dhpb.HistoryRequest) (*dhpb.HistoryResponse, error) {
	limit := int(req.GetLimit())
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	out := &dhpb.HistoryResponse{}
	for _, h := range o.Node.Revisions.History(limit) {
		out.Revisions = append(out.Revisions, h.Message())
	}
	return out, nil
}

// Status implements the operators' service.
func (o *Operators) Status(context.Context, *dhpb.StatusRequest) (*dhpb.StatusResponse, error) {
	return o.Node.Status(), nil
}

// Watch implements the operators' service.
func (o *Operators) Watch(ctx context.Context, _ *dhpb.WatchRequest, stream *connect.ServerStream[dhpb.StatusResponse]) error {
	for {
		if err := stream.Send(o.Node.Status()); err != nil {
			return err
		}
		if dhtimer.Sleep(ctx, o.Timers, watchPeriod) != nil || o.Node.Leaving() {
			return nil
		}
	}
}

// Explain implements the operators' service.
func (o *Operators) Explain(_ context.Context, req *dhpb.ExplainRequest) (*dhpb.ExplainResponse, error) {
	tables := o.Node.Router.Snapshot().Tables
	if tables == nil {
		return nil, dhwire.ToConnect(dhcode.Errorf(dhcode.NoTables, "no tables are in force yet"))
	}
	account, ok := tables.Accounts[req.GetAccount()]
	if !ok {
		return nil, dhwire.ToConnect(dhcode.Errorf(dhcode.RouteNotAllowed, "account %q does not exist", req.GetAccount()))
	}
	return o.Node.Router.Explain(account, req), nil
}

// ExportBills implements the operators' service.
func (o *Operators) ExportBills(ctx context.Context, req *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	out, err := o.Bills.Export(ctx, req)
	return out, dhwire.ToConnect(err)
}

// ForgetBills implements the operators' service.
func (o *Operators) ForgetBills(ctx context.Context, req *dhpb.ForgetBillsRequest) (*dhpb.ForgetBillsResponse, error) {
	voters, err := o.Bills.Forget(ctx, req.GetBills())
	if err != nil {
		return nil, dhwire.ToConnect(err)
	}
	return &dhpb.ForgetBillsResponse{Voters: int32(voters)}, nil
}
