package dhserver

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhwire"
)

// AnswerFetcher fetches and cancels answers that other entry VMs hold.
type AnswerFetcher interface {
	// Fetch returns the text from an offset on, or the code answer-not-kept
	// when no reachable entry VM holds the answer.
	Fetch(ctx context.Context, account, requestID string, offset int64) (*dhpb.FetchAnswerResponse, error)
	// Cancel stops a request that another entry VM runs.
	Cancel(ctx context.Context, account, requestID string) bool
}

// Callers is the service that client accounts use.
type Callers struct {
	Router *dhrouter.Router
	// Others fetches answers from other entry VMs; it may be nil.
	Others AnswerFetcher
}

// compressMinBytes leaves the chunks of a stream uncompressed, because gzip took
// 57% of the CPU time of relaying and made chunks of one token larger.
const compressMinBytes = 4096

// CallerHandler returns the HTTP handler of the callers' service.
func CallerHandler(c *Callers, maxBytes int) http.Handler {
	_, handler := dhpbconnect.NewRouterServiceHandler(c, connect.WithReadMaxBytes(maxBytes), connect.WithCompressMinBytes(compressMinBytes))
	return newGuard(handler, maxBytes, c.authenticate)
}

func (c *Callers) authenticate(r *http.Request) (context.Context, error) {
	tables := c.Router.Snapshot().Tables
	if tables == nil {
		return nil, dhcode.Errorf(dhcode.NoTables, "no tables are in force yet")
	}
	account, ok := tables.AccountByKey(dhwire.KeyOf(r.Header))
	if !ok {
		return nil, dhcode.Errorf(dhcode.UnknownKey, "the key belongs to no client account")
	}
	return context.WithValue(r.Context(), accountKey{}, account), nil
}

// Ask implements the callers' service.
func (c *Callers) Ask(ctx context.Context, req *dhpb.AskRequest) (*dhpb.AskResponse, error) {
	answer, joined, err := c.Router.Start(AccountOf(ctx), req)
	if err != nil {
		return nil, dhwire.ToConnect(err)
	}
	defer answer.Follow(c.Router.Timers)()
	result, err := answer.Wait(ctx)
	if err == nil && joined && req.GetIdempotencyKey() != "" {
		result = proto.CloneOf(result)
		result.Replayed = true
	}
	return result, dhwire.ToConnect(err)
}

// Stream implements the callers' service.
func (c *Callers) Stream(ctx context.Context, req *dhpb.AskRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	answer, joined, err := c.Router.Start(AccountOf(ctx), req)
	if err != nil {
		return dhwire.ToConnect(err)
	}
	defer answer.Follow(c.Router.Timers)()
	return dhwire.ToConnect(streamAnswer(ctx, answer, 0, joined && req.GetIdempotencyKey() != "", stream))
}

// Resume implements the callers' service.
func (c *Callers) Resume(ctx context.Context, req *dhpb.ResumeRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	account := AccountOf(ctx).Name
	if answer, ok := c.Router.Answer(account, req.GetRequestId()); ok {
		defer answer.Follow(c.Router.Timers)()
		return dhwire.ToConnect(streamAnswer(ctx, answer, int(req.GetOffset()), false, stream))
	}
	if c.Others == nil {
		return dhwire.ToConnect(errAnswerNotKept(req.GetRequestId()))
	}
	return dhwire.ToConnect(c.streamRemoteAnswer(ctx, account, req, stream))
}

func errAnswerNotKept(requestID string) error {
	err := dhcode.Errorf(dhcode.AnswerNotKept, "no reachable entry VM holds the answer to request %q", requestID)
	return dhcode.WithRan(err, dhcode.RanUnknown)
}

// streamAnswer streams an answer from an offset to its end. The last chunk is
// sent once the answer is complete and billed. The answer to a resent order that
// joined the running or finished one is marked as replayed, so that the caller
// counts one order.
func streamAnswer(ctx context.Context, answer *dhanswer.Answer, offset int, replayed bool, stream *connect.ServerStream[dhpb.Chunk]) error {
	if offset < 0 {
		return dhcode.Errorf(dhcode.RequestMalformed, "offset %d is negative", offset)
	}
	sent := 0
	for {
		part, err := answer.Read(ctx, offset)
		if err != nil {
			return err
		}
		chunk := &dhpb.Chunk{
			RequestId: answer.RequestID(), Attempt: part.Attempt, Offset: int64(offset), Text: part.Text,
			Tokens: int32(part.Tokens - sent), Model: part.Model, Version: part.Version,
		}
		if part.Done {
			setResult(chunk, part.Result)
			chunk.Replayed = chunk.Replayed || replayed
		}
		if err := stream.Send(chunk); err != nil || part.Done {
			return err
		}
		offset += len(part.Text)
		sent = part.Tokens
	}
}

func setResult(chunk *dhpb.Chunk, result *dhpb.AskResponse) {
	chunk.Last = true
	chunk.Model, chunk.Version = result.GetModel(), result.GetVersion()
	chunk.SessionToken = result.GetSessionToken()
	chunk.SessionMoved = result.GetSessionMoved()
	chunk.Replayed = result.GetReplayed()
}

func (c *Callers) streamRemoteAnswer(ctx context.Context, account string, req *dhpb.ResumeRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	offset := req.GetOffset()
	for {
		part, err := c.Others.Fetch(ctx, account, req.GetRequestId(), offset)
		if err != nil {
			return err
		}
		chunk := &dhpb.Chunk{RequestId: req.GetRequestId(), Offset: offset, Text: part.GetText()}
		if part.GetComplete() {
			setResult(chunk, part.GetAnswer())
		}
		if err := stream.Send(chunk); err != nil || part.GetComplete() {
			return err
		}
		offset += int64(len(part.GetText()))
	}
}

// Cancel implements the callers' service.
func (c *Callers) Cancel(ctx context.Context, req *dhpb.CancelRequest) (*dhpb.CancelResponse, error) {
	account := AccountOf(ctx).Name
	found := c.Router.Cancel(account, req.GetRequestId())
	if !found && c.Others != nil {
		found = c.Others.Cancel(ctx, account, req.GetRequestId())
	}
	return &dhpb.CancelResponse{Found: found}, nil
}

// Outcome implements the callers' service.
func (c *Callers) Outcome(ctx context.Context, req *dhpb.OutcomeRequest) (*dhpb.OutcomeResponse, error) {
	status, err := c.Router.Claims.Outcome(ctx, AccountOf(ctx).Name, req.GetIdempotencyKey())
	if err != nil {
		return nil, dhwire.ToConnect(err)
	}
	return &dhpb.OutcomeResponse{State: status.State.String(), RequestId: status.RequestID, Answer: status.Answer}, nil
}
