package dhrouter

import (
	"log/slog"
	"slices"
)

const (
	// sureFrom is the confidence in percent from which on a small model's answer
	// is kept rather than made by the largest model. The odds that it is right are
	// even at about 50; a little less is asked for, because the largest model
	// costs most and delays the others.
	sureFrom = 45
	// middleSureFrom is the same where a model between the two is expected to do,
	// which costs and delays less.
	middleSureFrom = 58
	// enoughFrom is the confidence that must be expected of a model between, and
	// leastGain how much surer than the answer in hand it must be expected to be.
	enoughFrom = 53
	leastGain  = 10
	// rankWeight is how much sooner each lower rank keeps unsure answers.
	rankWeight = 0.25
	// hopelessBelow is the confidence in percent below which an answer is dropped
	// although a better one comes later than wanted.
	hopelessBelow = 10
)

// larger returns the model that is asked after an unsure answer, and the
// confidence from which on the answer is kept: the smallest model that is
// expected to be sure enough, or the largest.
func (f *forward) larger(confidence int) (model string, sure int) {
	cascade := f.route.Cascade
	last := len(cascade) - 1
	for _, m := range cascade[1:last] {
		gain := f.router.gains.expected(gainKey{f.poolName, f.model, m})
		if gain >= leastGain && float64(confidence)+gain >= enoughFrom {
			return m, f.sureUnderLoad(middleSureFrom, m)
		}
	}
	return cascade[last], f.sureUnderLoad(sureFrom, cascade[last])
}

// sureUnderLoad returns the confidence from which on an answer is kept. It falls
// from sure to 0 as the delay of the larger model grows from half of the wanted
// time to all of it: under overload an unsure answer in time is worth more than a
// late one, and each larger answer delays all others. Less urgent requests give
// way first.
func (f *forward) sureUnderLoad(sure float64, larger string) int {
	wanted := f.wantedFirst()
	if wanted <= 0 {
		return int(sure) // no time is left anyway
	}
	expected := f.router.delays.expected(f.poolName, larger, f.router.Timers.Now())
	load := float64(expected) / float64(wanted) * (1 + rankWeight*float64(f.rank))
	return int(sure * min(max(2*(1-load), 0), 1))
}

// tooLateFor reports whether the first event of a model, asked now, is expected
// later than wanted.
func (f *forward) tooLateFor(model string) bool {
	left := f.wantedFirst() - f.router.Timers.Now().Sub(f.received)
	if left <= 0 {
		return true
	}
	asked := f.model
	f.setModel(model)
	defer f.setModel(asked)
	s := f.router.Snapshot()
	req, err := f.wants(s)
	if err != nil {
		return true
	}
	place, err := f.router.choose(s, req)
	return err != nil || f.router.paces.expected(f.poolName, model, place.Ahead) > left
}

// escalate drops an answer of which the route's smallest model is unsure, so that
// a larger one makes it. The caller has nothing of it yet.
func (f *forward) escalate(in *Inbound) error {
	if !f.message.AnyModel || f.begun || in.Confidence < 0 {
		return nil
	}
	if f.unsure != nil && f.unsure.from != f.model {
		f.router.gains.observe(gainKey{f.poolName, f.unsure.from, f.model}, f.unsure.confidence, in.Confidence)
	}
	if slices.Index(f.route.Cascade, f.model) != 0 || len(f.route.Cascade) < 2 {
		return nil
	}
	larger, sure := f.larger(in.Confidence)
	switch {
	case in.Confidence >= sure || f.sends+1 >= f.route.MaxAttempts:
		return nil
	case in.Confidence >= hopelessBelow && f.tooLateFor(larger):
		f.router.Metrics.Count("unsure-kept", f.route.Name)
		f.router.Log.Info("unsure answer kept", slog.String("request", f.message.ID), slog.String("route", f.route.Name),
			slog.String("model", f.model), slog.Int("confidence", in.Confidence))
		return nil
	case f.router.Retries.Retry(f.poolName) != nil:
		return nil // an unsure answer is better than none
	}
	f.paid = true
	f.router.Metrics.Count("escalated", f.route.Name)
	f.router.Log.Info("escalated", slog.String("request", f.message.ID), slog.String("route", f.route.Name),
		slog.String("from", f.model), slog.String("to", larger), slog.Int("confidence", in.Confidence), slog.Int("sure-from", sure))
	f.unsure = &unsureAnswer{from: f.model, confidence: in.Confidence}
	f.setModel(larger)
	return errUnsure
}

// unsureAnswer is an answer that was dropped for that of a larger model.
type unsureAnswer struct {
	from       string
	confidence int
}
