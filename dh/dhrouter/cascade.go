package dhrouter

import (
	"context"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhcascade"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhversion"
)

// plan holds the candidates of a request's cascade.
type plan struct {
	dhcascade.Request
	// current is the index of the candidate that answers.
	current int
}

// newPlan returns the candidate versions, one for each model that is available
// now, and the candidate at which the cascade starts.
func (r *Router) newPlan(s *Snapshot, t *attempts) (plan, error) {
	p := plan{Request: dhcascade.Request{
		Class: t.route.Class, Target: t.route.QualityTarget, LatencySensitive: t.route.LatencySensitive,
	}}
	models := dhversion.Models(r.versionInput(s, t, ""))
	if len(models) == 0 {
		// Choose returns the error that says why no model is available.
		models = t.route.Cascade[len(t.route.Cascade)-1:]
	}
	pool := s.Tables.Pools[t.route.Pool]
	for _, model := range models {
		choice, err := r.Versions.Choose(r.versionInput(s, t, model))
		if err != nil {
			return plan{}, err
		}
		cost := pool.Models[model].CostPer1000Tokens * float64(t.GetMaxTokens()) / 1000
		p.Candidates = append(p.Candidates, dhcascade.Candidate{Version: choice.Version, Cost: cost})
	}
	p.current = len(p.Candidates) - 1
	if !t.keyed() {
		p.current = r.Planner.Start(p.Request)
	}
	return p, nil
}

// mayEscalate reports whether an answer must be held back until it has been
// rated. Answers of latency-sensitive routes are not, since that would delay the
// first token.
func (r *Router) mayEscalate(t *attempts, p plan) bool {
	return r.Ratings != nil && !t.keyed() && !p.LatencySensitive && p.current < len(p.Candidates)-1
}

// cascade generates an answer, starting with the model chosen by the plan, and
// escalates to larger models as the planner decides.
func (r *Router) cascade(ctx context.Context, t *attempts, a *dhanswer.Answer) (*dhpb.AskResponse, error) {
	p, err := r.newPlan(r.Snapshot(), t)
	if err != nil {
		return nil, err
	}
	sample := dhcascade.Sample{Prompt: t.GetPrompt()}
	for {
		held := r.mayEscalate(t, p)
		if held {
			a.Hold()
		} else {
			a.Release()
		}
		if err := r.generate(ctx, t, p.Candidates[p.current].Version.Model, a); err != nil {
			return nil, err
		}
		result := r.result(t, a)
		if t.keyed() || r.Ratings == nil {
			return result, nil
		}
		sample.Class, sample.Version, sample.Text = p.Class, t.choice.Version, result.GetText()
		next, ok := 0, false
		if held {
			sample.Signal = r.Ratings.Signal(ctx, sample)
			next, ok = r.Planner.Escalate(p.Request, p.current, sample.Signal)
		}
		r.Ratings.Offer(sample)
		if !ok || !a.Reset() {
			return result, nil
		}
		r.Metrics.Count("escalated", t.route.Name)
		sample.From, sample.FromSignal, sample.Signal = sample.Version, sample.Signal, dhcascade.Signal{}
		p.current = next
	}
}

func (r *Router) result(t *attempts, a *dhanswer.Answer) *dhpb.AskResponse {
	_, tokens := a.Len()
	return &dhpb.AskResponse{
		RequestId: t.GetRequestId(), Text: a.Text(), Model: t.choice.Version.Model, Version: t.choice.Version.Name,
		SessionToken: t.choice.Token, Tokens: int32(tokens), SessionMoved: t.choice.Moved,
	}
}

// Explain returns the version and backend server that a request would get now,
// with reasons, or the code with which it would be refused.
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
	plan, err := r.newPlan(s, t)
	if err != nil {
		return err
	}
	model := plan.Candidates[plan.current].Version.Model
	out.Model = model
	if r.mayEscalate(t, plan) {
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
