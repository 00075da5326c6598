package dhrouter

import (
	"log/slog"
)

// sureFrom is the confidence in percent from which on the answer of a smaller
// model is kept. The odds that it is right are even at about 50; a little less
// is asked for, because the largest model costs more and delays the others.
const sureFrom = 45

// rankWeight is how much sooner each lower rank keeps unsure answers.
const rankWeight = 0.25

// sureFrom returns the confidence from which on an answer is kept. It falls to
// 0 as the delay of the larger model grows from half of the wanted time to all
// of it: under overload an unsure answer in time is worth more than a late one,
// and each large answer delays all others. Less urgent requests give way first.
func (f *forward) sureFrom(larger string) int {
	wanted := f.wantedFirst()
	if wanted <= 0 {
		return sureFrom // no time is left anyway
	}
	expected := f.router.delays.expected(f.poolName, larger, f.router.Timers.Now())
	load := float64(expected) / float64(wanted) * (1 + rankWeight*float64(f.rank))
	return int(sureFrom * min(max(2*(1-load), 0), 1))
}

// hopelessBelow is the confidence in percent below which an answer is dropped
// although a better one comes later than wanted.
const hopelessBelow = 10

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

// escalate drops an answer of which its model is unsure, so that the route's
// largest model makes it. The caller has nothing of it yet.
func (f *forward) escalate(in *Inbound) error {
	largest := len(f.route.Cascade) - 1
	switch {
	case !f.message.AnyModel || largest < 0 || f.model == f.route.Cascade[largest] || f.begun:
		return nil
	case in.Confidence < 0 || in.Confidence >= f.sureFrom(f.route.Cascade[largest]) || f.sends+1 >= f.route.MaxAttempts:
		return nil
	case in.Confidence >= hopelessBelow && f.tooLateFor(f.route.Cascade[largest]):
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
		slog.String("from", f.model), slog.String("to", f.route.Cascade[largest]), slog.Int("confidence", in.Confidence))
	f.setModel(f.route.Cascade[largest])
	return errUnsure
}
