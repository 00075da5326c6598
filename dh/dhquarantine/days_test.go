package dhquarantine_test

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhtimer"
)

// day is a pool of backend servers under load in simulated time, seen through the
// filters of some entry VMs and the investigation of one control VM.
type day struct {
	random        *rand.Rand
	timers        *dhtimer.Stepped
	filters       []*dhquarantine.Filter
	investigation *dhquarantine.Investigation
	servers       []*dayServer
	// rate is the requests per second, badShare the fraction of them with the part that
	// crashes backend servers.
	rate, badShare float64
	running        []*dayRequest
	number         uint64
	crashes        int
	badSent        int
	// verdicts lists the parts that got a verdict, convictedAt is when the bad part got
	// its verdict, and fifthCrash when it ended the fifth backend server.
	verdicts                []uint64
	convictedAt, fifthCrash time.Time
	badCrashes              int
}

type dayServer struct {
	id          string
	incarnation uint64
	upAt        time.Time
	announced   time.Time
}

type dayRequest struct {
	server         *dayServer
	incarnation    uint64
	vm             int
	parts          []uint64
	number         uint64
	breaks         int
	firstAt, endAt time.Time
	begun          bool
}

const (
	dayStep        = 10 * time.Millisecond
	reportPeriod   = 300 * time.Millisecond
	announcePeriod = time.Second
	restartTime    = 2500 * time.Millisecond
	dayBadPart     = 1 << 50
	// contact is the time after the fifth crash from which requests with the bad part
	// must stay away from backend servers, passedOn the time in which a verdict reaches
	// all entry VMs.
	contact  = 3 * time.Second
	passedOn = 700 * time.Millisecond
)

func newDay(seed uint64, vms, servers int, rate, badShare float64) *day {
	timers := dhtimer.NewStepped()
	d := &day{random: rand.New(rand.NewPCG(seed, 7)), timers: timers, rate: rate, badShare: badShare}
	log, metrics := slog.New(slog.DiscardHandler), dhmetric.New(4)
	d.investigation = &dhquarantine.Investigation{Timers: timers, Name: "c0", Log: log, Metrics: metrics}
	for range vms {
		d.filters = append(d.filters, &dhquarantine.Filter{Timers: timers, Log: log, Metrics: metrics})
	}
	for i := range servers {
		d.servers = append(d.servers, &dayServer{id: fmt.Sprint("b", i), incarnation: 1})
	}
	return d
}

// AnnouncedSince implements dhquarantine.Backends.
func (d *day) AnnouncedSince(id string, incarnation uint64, at time.Time) bool {
	for _, s := range d.servers {
		if s.id == id {
			return s.incarnation == incarnation && s.announced.After(at)
		}
	}
	return false
}

// parts returns the parts of a request: one of 3 first parts, one of 200 parts of which
// few are hot, a rare one for some, and the bad one.
func (d *day) parts() []uint64 {
	skew := d.random.Float64()
	parts := []uint64{1 + uint64(d.random.IntN(3)), 100 + uint64(200*skew*skew*skew*skew)}
	if d.random.Float64() < 0.3 {
		parts = append(parts, 1000+uint64(d.random.IntN(2000)))
	}
	if d.random.Float64() < d.badShare {
		parts = append(parts, dayBadPart)
	}
	return parts
}

func (d *day) send(r *dayRequest) {
	now := d.timers.Now()
	if _, refused := d.filters[r.vm].Find("p", r.parts); refused {
		return
	}
	up := slices.DeleteFunc(slices.Clone(d.servers), func(s *dayServer) bool { return now.Before(s.upAt) || s == r.server })
	if len(up) == 0 {
		return
	}
	r.server = up[d.random.IntN(len(up))]
	r.incarnation = r.server.incarnation
	r.firstAt = now.Add(time.Duration(40+d.random.IntN(200)) * time.Millisecond)
	r.endAt = r.firstAt.Add(time.Duration(d.random.IntN(2000)) * time.Millisecond)
	r.begun = false
	if slices.Contains(r.parts, dayBadPart) {
		d.badSent++
	}
	d.running = append(d.running, r)
}

// end ends a backend server, or with alive only its connections.
func (d *day) end(s *dayServer, alive bool) {
	d.crashes++
	var broken []*dayRequest
	d.running = slices.DeleteFunc(d.running, func(r *dayRequest) bool {
		if r.server == s {
			broken = append(broken, r)
		}
		return r.server == s
	})
	if !alive {
		s.upAt = d.timers.Now().Add(restartTime)
		s.incarnation++
	}
	for _, r := range broken {
		if r.begun {
			continue // it goes on elsewhere and has cleared its parts
		}
		d.filters[r.vm].RecordBroken(dhquarantine.Broken{Pool: "p", Backend: s.id, Incarnation: r.incarnation, Request: fmt.Sprint(r.number), Parts: r.parts})
		if r.breaks++; r.breaks < 2 {
			d.send(r)
		}
	}
}

// step advances the day; trouble may end servers before.
func (d *day) step(trouble func(d *day)) {
	now := d.timers.Now()
	if trouble != nil {
		trouble(d)
	}
	for left := d.rate*dayStep.Seconds() - d.random.ExpFloat64(); left > 0; left -= d.random.ExpFloat64() {
		d.number++
		d.send(&dayRequest{vm: d.random.IntN(len(d.filters)), parts: d.parts(), number: d.number})
	}
	for _, r := range slices.Clone(d.running) {
		switch {
		case !slices.Contains(d.running, r):
		case !r.begun && now.After(r.firstAt) && slices.Contains(r.parts, dayBadPart):
			if d.badCrashes++; d.badCrashes == 5 {
				d.fifthCrash = now
			}
			d.end(r.server, false)
		case !r.begun && now.After(r.firstAt):
			r.begun = true
			d.filters[r.vm].RecordAnswer("p", r.parts)
		}
	}
	d.running = slices.DeleteFunc(d.running, func(r *dayRequest) bool { return now.After(r.endAt) })
	for i, s := range d.servers {
		if !now.Before(s.upAt) && now.Sub(s.announced) > announcePeriod+time.Duration(i)*time.Millisecond {
			s.announced = now
		}
	}
	ms := now.UnixMilli()
	for i, f := range d.filters {
		if (ms+int64(i)*37)%reportPeriod.Milliseconds() < dayStep.Milliseconds() {
			var report dhpb.EntryReport
			f.Report(&report)
			d.investigation.Merge(report.GetRequests(), report.GetAnswered(), report.GetVerdicts(), true)
			f.Update(d.investigation.State(false))
		}
	}
	if ms%100 < dayStep.Milliseconds() && d.investigation.Evaluate(d, 0) {
		d.noteVerdicts()
	}
	d.timers.Step(dayStep)
}

func (d *day) noteVerdicts() {
	d.verdicts = nil
	for _, v := range d.investigation.Verdicts() {
		d.verdicts = append(d.verdicts, v.Part.ID)
		if v.Part.ID == dayBadPart && d.convictedAt.IsZero() {
			d.convictedAt = d.timers.Now()
		}
	}
}

func (d *day) play(seconds int, trouble func(d *day)) {
	for range time.Duration(seconds) * time.Second / dayStep {
		d.step(trouble)
	}
}

// every returns a trouble that strikes with a mean pause.
func every(mean time.Duration, strike func(d *day)) func(d *day) {
	return func(d *day) {
		if d.random.Float64() < dayStep.Seconds()/mean.Seconds() {
			strike(d)
		}
	}
}

// some ends a fraction of the servers, spread over a time.
func some(fraction float64, spread time.Duration, alive bool) func(d *day) {
	pending := map[*dayServer]time.Time{}
	return func(d *day) {
		now := d.timers.Now()
		if len(pending) == 0 && d.random.Float64() < dayStep.Seconds()/12 {
			for _, s := range d.servers {
				if d.random.Float64() < fraction {
					pending[s] = now.Add(time.Duration(d.random.Float64() * float64(spread)))
				}
			}
		}
		var due []*dayServer
		for s, at := range pending {
			if !now.Before(at) {
				due = append(due, s)
			}
		}
		slices.SortFunc(due, func(a, b *dayServer) int { return cmp.Compare(a.id, b.id) })
		for _, s := range due {
			delete(pending, s)
			if !now.Before(s.upAt) {
				d.end(s, alive)
			}
		}
	}
}

// one ends a random server.
func one(alive bool) func(d *day) {
	return func(d *day) {
		if s := d.servers[d.random.IntN(len(d.servers))]; !d.timers.Now().Before(s.upAt) {
			d.end(s, alive)
		}
	}
}

// Guards against a verdict about a part that crashes nothing: on days on which backend
// servers end for other reasons, and busy requests with the same parts end with them.
func TestNoVerdictWithoutBadPart(t *testing.T) {
	days := uint64(20)
	if testing.Short() {
		days = 4
	}
	for name, trouble := range map[string]func() func(d *day){
		"a third at once":             func() func(d *day) { return some(0.33, 10*time.Millisecond, false) },
		"a third over a second":       func() func(d *day) { return some(0.33, time.Second, false) },
		"all over three seconds":      func() func(d *day) { return some(1, 3*time.Second, false) },
		"flapping servers":            func() func(d *day) { return every(700*time.Millisecond, one(false)) },
		"single crashes":              func() func(d *day) { return every(4*time.Second, one(false)) },
		"resets of living servers":    func() func(d *day) { return every(200*time.Millisecond, one(true)) },
		"resets of all living":        func() func(d *day) { return some(1, 2*time.Second, true) },
		"crashes of a small fraction": func() func(d *day) { return some(0.1, 300*time.Millisecond, false) },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range days {
				for _, rate := range []float64{20, 84} {
					d := newDay(seed, 9, 12, rate, 0)
					d.play(45, trouble())
					assert.Equal(t, len(d.verdicts), 0, "seed %d, %.0f requests/s: parts %v after %d ends", seed, rate, d.verdicts, d.crashes)
				}
			}
		})
	}
}

// Guards against a bad part that is not found, or only after many crashes, with small
// and large pools, and beside other crashes.
func TestBadPartIsFound(t *testing.T) {
	for _, c := range []struct {
		name         string
		vms, servers int
		rate, share  float64
		trouble      func() func(d *day)
		seconds      int
	}{
		{"small pool", 8, 4, 30, 0.05, nil, 40},
		{"usual", 9, 12, 84, 0.03, nil, 40},
		{"many requests with it", 9, 12, 84, 0.2, nil, 40},
		{"few requests with it", 9, 12, 84, 0.005, nil, 40},
		{"hardly any request with it", 9, 12, 84, 0.0008, nil, 150},
		{"many VMs", 283, 48, 300, 0.02, nil, 40},
		{"beside single crashes", 9, 12, 84, 0.03, func() func(d *day) { return every(4*time.Second, one(false)) }, 40},
		{"beside resets", 9, 12, 84, 0.03, func() func(d *day) { return every(400*time.Millisecond, one(true)) }, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				d := newDay(seed, c.vms, c.servers, c.rate, 0)
				d.play(8, nil)
				d.badShare = c.share
				var trouble func(d *day)
				if c.trouble != nil {
					trouble = c.trouble()
				}
				d.play(c.seconds, trouble)
				if d.badCrashes == 0 {
					continue // no request with the part came
				}
				assert.Check(t, slices.Equal(d.verdicts, []uint64{dayBadPart}), "seed %d: parts %v after %d crashes", seed, d.verdicts, d.crashes)
				late := d.convictedAt.Sub(d.fifthCrash)
				assert.Check(t, d.fifthCrash.IsZero() || late <= contact-passedOn, "seed %d: found %s after the fifth crash", seed, late)
			}
		})
	}
}

// Guards against a bad part that stays free because another part always came with it,
// and against a verdict about both before more crashes could tell them apart.
func TestPartsThatAlwaysComeTogether(t *testing.T) {
	d := newDay(1, 1, 0, 0, 0)
	for n := range 5 {
		d.filters[0].RecordBroken(dhquarantine.Broken{
			Pool: "p", Backend: fmt.Sprint("b", n), Incarnation: 1, Request: fmt.Sprint("r", n/2), Parts: []uint64{7, dayBadPart, uint64(n)},
		})
		d.play(1, nil)
		if n < 4 {
			assert.Equal(t, len(d.verdicts), 0, "after %d crashes", n+1)
		}
	}
	d.play(2, nil)
	assert.DeepEqual(t, d.verdicts, []uint64{7, dayBadPart})
}

// Guards against prompts of random parts that fill the memory of a VM.
func TestPartsAreBounded(t *testing.T) {
	d := newDay(1, 1, 1, 0, 0)
	for range 100 {
		for range 60 {
			parts := make([]uint64, 100)
			for i := range parts {
				parts[i] = d.random.Uint64()
			}
			d.number++
			d.filters[0].RecordAnswer("p", parts)
			d.filters[0].RecordBroken(dhquarantine.Broken{Pool: "p", Backend: fmt.Sprint("b", d.number), Request: fmt.Sprint(d.number), Parts: parts})
			d.investigation.Decide(dhquarantine.Part{Pool: "p", ID: parts[0]}, false, time.Hour, "test")
		}
		var report dhpb.EntryReport
		d.filters[0].Report(&report)
		assert.Assert(t, len(report.GetRequests()) <= 64 && len(report.GetAnswered()) <= 512)
		for _, r := range report.GetRequests() {
			assert.Assert(t, len(r.GetParts()) <= 64)
		}
		d.investigation.Merge(report.GetRequests(), report.GetAnswered(), nil, true)
	}
	d.investigation.Evaluate(d, 0)
	state := d.investigation.State(true)
	assert.Assert(t, len(state.GetRequests()) <= 1024 && len(state.GetAnswered()) <= 1024 && len(state.GetSuspects()) <= 64 && len(state.GetVerdicts()) <= 256)
}
