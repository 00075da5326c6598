package dhrouter

import (
	"context"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhversion"
)

// PlanInput is what the choice of a model depends on.
type PlanInput struct {
	Route dhtable.Route
	Pool  dhtable.Pool
	// Models are those of the cascade that may start now, the cheapest first.
	Models []string
	Prompt string
}

// PlanAnswer is what is known of an answer that may be escalated.
type PlanAnswer struct {
	Version   dhtable.Version
	Text      string
	Tokens    int
	RequestID string
}

// LargestModel is the default Planner: the last model of the cascade answers.
type LargestModel struct{}

// Start implements Planner.
func (LargestModel) Start(in PlanInput) (string, bool) { return in.Models[len(in.Models)-1], false }

// Escalate implements Planner.
func (LargestModel) Escalate(PlanInput, string, PlanAnswer) (string, bool, bool) {
	return "", false, false
}

// cascade makes an answer, beginning with the model that the plan says.
func (r *Router) cascade(ctx context.Context, t *attempts, a *dhanswer.Answer) (*dhpb.AskResponse, error) {
	s := r.Snapshot()
	in := PlanInput{
		Route: t.route, Pool: s.Tables.Pools[t.route.Pool], Prompt: t.GetPrompt(),
		Models: dhversion.Models(r.versionInput(s, t, "")),
	}
	if len(in.Models) == 0 {
		// The choice of a version says why there is none.
		in.Models = t.route.Cascade[len(t.route.Cascade)-1:]
	}
	model, hold := r.Planner.Start(in)
	for {
		if hold && !t.keyed() {
			a.Hold()
		} else {
			a.Release()
		}
		if err := r.generate(ctx, t, model, a); err != nil {
			return nil, err
		}
		result := r.result(t, a)
		if t.keyed() {
			return result, nil
		}
		next, holdNext, escalate := r.Planner.Escalate(in, model, PlanAnswer{
			Version: t.choice.Version, Text: result.GetText(), Tokens: int(result.GetTokens()), RequestID: t.GetRequestId(),
		})
		if !escalate || !a.Reset() {
			return result, nil
		}
		r.Metrics.Count("escalated", t.route.Name)
		model, hold = next, holdNext
	}
}

func (r *Router) result(t *attempts, a *dhanswer.Answer) *dhpb.AskResponse {
	_, tokens := a.Len()
	return &dhpb.AskResponse{
		RequestId: t.GetRequestId(), Text: a.Text(), Model: t.choice.Version.Model, Version: t.choice.Version.Name,
		SessionToken: t.choice.Token, Tokens: int32(tokens), SessionMoved: t.choice.Moved,
	}
}

// Explain returns what a request would meet now: its version and reasons, or
// the code of its refusal.
func (r *Router) Explain(account dhtable.Account, req *dhpb.ExplainRequest) *dhpb.ExplainResponse {
	q, err := r.check(account, &dhpb.AskRequest{
		Route: req.GetRoute(), Prompt: "explain", SessionId: req.GetSessionId(), SessionToken: req.GetSessionToken(),
		IdempotencyKey: "explain",
	})
	out := &dhpb.ExplainResponse{}
	if err == nil {
		err = r.explain(&attempts{request: q}, out)
	}
	out.ResultCode = dhcode.Of(err).String()
	if err != nil {
		out.Reasons = append(out.Reasons, err.Error())
	}
	return out
}

func (r *Router) explain(t *attempts, out *dhpb.ExplainResponse) error {
	s := r.Snapshot()
	in := PlanInput{
		Route: t.route, Pool: s.Tables.Pools[t.route.Pool], Models: dhversion.Models(r.versionInput(s, t, "")),
	}
	if len(in.Models) == 0 {
		in.Models = t.route.Cascade[len(t.route.Cascade)-1:]
	}
	model, hold := r.Planner.Start(in)
	out.Model = model
	if hold {
		out.Reasons = append(out.Reasons, "the answer of model \""+model+"\" may be escalated")
	}
	choice, err := r.Versions.Choose(r.versionInput(s, t, model))
	if err != nil {
		return err
	}
	t.choice, out.Version = choice, choice.Version.Name
	if choice.Pinned {
		out.Reasons = append(out.Reasons, "the session is pinned to the version")
	}
	p, err := r.Placer.Place(s.Backends, dhplacement.Request{
		Pool: t.route.Pool, Version: choice.Version, ZoneWeights: s.ZoneWeight, Credit: r.Credits.Available,
	})
	if err != nil {
		return err
	}
	out.Backend = p.Backend.ID
	return nil
}
