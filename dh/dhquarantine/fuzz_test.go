package dhquarantine_test

import (
	"log/slog"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquarantine"
)

// FuzzState guards against a message about prompt parts that ends a control or entry VM,
// or that takes a verdict about another part from them.
func FuzzState(f *testing.F) {
	seed, err := proto.Marshal(&dhpb.QuarantineState{
		Number: 1, Suspects: []*dhpb.QuarantineSuspect{{Pool: "p", Id: 1}},
		Verdicts: []*dhpb.QuarantineVerdict{{Cause: &dhpb.QuarantineCause{Pool: "p", Id: 2}, DecidedAt: 1 << 62, Remaining: durationpb.New(time.Hour)}},
		Requests: []*dhpb.SuspectRequest{{Pool: "p", Backend: "b", Parts: []uint64{1, 2, 3}, Age: durationpb.New(-time.Hour)}},
		Answered: []*dhpb.AnsweredCause{{Cause: &dhpb.QuarantineCause{Pool: "p", Id: 1}, Age: durationpb.New(time.Hour)}},
	})
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := new(dhpb.QuarantineState)
		if proto.Unmarshal(data, m) != nil {
			return
		}
		d := newDay(1, 1, 1, 0, 0)
		log, metrics := slog.New(slog.DiscardHandler), dhmetric.New(4)
		investigation := &dhquarantine.Investigation{Timers: d.timers, Name: "c0", Log: log, Metrics: metrics}
		part := dhquarantine.Cause{Pool: "fuzz-test", ID: 99}
		investigation.Decide(part, false, time.Hour, "test")
		investigation.MergeReport(&dhpb.EntryReport{Requests: m.GetRequests(), Answered: m.GetAnswered(), Verdicts: m.GetVerdicts()})
		investigation.MergeState(m)
		investigation.Evaluate(d, 0)
		filter := &dhquarantine.Filter{Timers: d.timers, Log: log, Metrics: metrics}
		filter.Update(investigation.State(false))
		filter.Update(m)
		filter.Update(investigation.State(true))
		filter.Report(new(dhpb.EntryReport))
		d.timers.Step(time.Second)
		investigation.Evaluate(d, 0)
		for _, v := range m.GetVerdicts() {
			if v.GetCause().GetPool() == part.Pool {
				return
			}
		}
		_, refused := filter.Find(dhquarantine.Request{Pool: part.Pool, Parts: []uint64{part.ID}})
		assert.Assert(t, refused || len(m.GetVerdicts()) > 200)
	})
}
