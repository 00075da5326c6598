package dhmeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// Choosers is a run of many entry VMs that choose among the backend servers of
// one pool by load sums that are sumDelay to sumDelay plus sumPeriod old. A
// backend server runs Slots requests at a time, queues Queue more in order of
// arrival and refuses the rest. Runs with the same fields give the same result.
type Choosers struct {
	VMs, Servers, Slots, Queue int
	// Service is the mean service time at a server of speed 1. It is exponential
	// if Variable is set, else uniform within serviceSpread.
	Service  time.Duration
	Variable bool
	// Prompt is the number of tokens of each prompt. The first Shared of them are one of Parts texts,
	// the first of which a quarter of the requests have. A server prefills one
	// prompt at a time, without the shared part if it has it cached.
	Prompt, Shared, Parts int
	// Load is the offered load relative to the capacity of all servers.
	Load float64
	// Speeds are the relative speeds of the servers, repeated; empty means 1.
	Speeds []float64
	// Slow divides the speed of the first server after half of the run if set; the load is
	// relative to the capacity before.
	Slow float64
	// Leaves takes the first server out of the views after half of the run.
	Leaves   bool
	Settings dhplacement.Settings
	Seed     uint64
	Length   time.Duration
}

// orderVersions are the versions of the simulated servers.
var orderVersions = []dhtable.Version{{Model: "plain"}}

// Periods of the delayed load sums, the spread of service times, and the time
// that is not counted because the placers learn.
const (
	sumTick       = 100 * time.Millisecond
	sumDelay      = 400 * time.Millisecond
	sumPeriod     = 300 * time.Millisecond
	serviceSpread = 0.2
	learnTime     = 6 * time.Second
	prefillTime   = time.Second / 157_000 // per token
	firstPart     = 0.25
	streamLengths = 4 // runs with streams last so many times as long, as they have fewer requests
)

// ChoosersResult is what a run with many choosers measured.
type ChoosersResult struct {
	Sent, Refused int
	// Wait95 and Wait99 are percentiles of the time from a request to its slot, or to its first
	// token if it has a prompt.
	Wait95, Wait99 time.Duration
	// Busiest is the number of requests served by the busiest server relative to the mean.
	Busiest float64
	// Cached is the share of the requests whose shared part was cached.
	Cached float64
}

type chooserServer struct {
	*dhbackend.Backend
	speed           float64
	running, served int
	waiting         []*chooserRequest
	pending         int // prompt tokens that the VMs expect to be prefilled
	prefilled       time.Time
	parts           map[uint64]bool
}

type chooserRequest struct {
	vm      *dhplacement.Placer
	p       dhplacement.Placement
	arrived time.Time
	service time.Duration
	part    uint64
	pending int
}

type choosersRun struct {
	Choosers
	timers  *dhtimer.Stepped
	rng     *rand.Rand
	servers []*chooserServer
	byID    map[string]*chooserServer
	table   dhbackend.Table
	// views holds the views of the last ticks, the newest last.
	views  []*dhbackend.View
	placed []*dhplacement.Placer
	viewOf []*dhbackend.View
	result ChoosersResult
	waits  []time.Duration
	start  time.Time
}

// Do runs the simulation.
func (c Choosers) Do() ChoosersResult {
	r := &choosersRun{
		Choosers: c, timers: dhtimer.NewStepped(), rng: rand.New(rand.NewPCG(c.Seed, 4)), byID: make(map[string]*chooserServer),
		table: dhbackend.Table{Lease: time.Hour, MaxBackends: 1000}, viewOf: make([]*dhbackend.View, c.VMs),
	}
	r.start = r.timers.Now()
	capacity := 0.0
	for i := range c.Servers {
		s := &chooserServer{speed: 1, parts: make(map[uint64]bool), Backend: &dhbackend.Backend{
			ID: fmt.Sprintf("s%02d", i), Zone: "a", Pool: "p", State: dhbackend.Ready, Slots: c.Slots, Versions: orderVersions,
		}}
		if len(c.Speeds) > 0 {
			s.speed = c.Speeds[i%len(c.Speeds)]
		}
		capacity += s.speed * float64(c.Slots) / c.Service.Seconds()
		r.servers = append(r.servers, s)
		r.byID[s.ID] = s
	}
	for range int(sumDelay/sumTick) + 1 {
		r.sum(r.timers.Now())
	}
	r.timers.Subscribe(sumTick, r.sum)
	for i := range c.VMs {
		placer := &dhplacement.Placer{Timers: r.timers, Zone: "a", Settings: c.Settings, Seed: r.rng.Uint64()}
		r.placed = append(r.placed, placer)
		r.update(i)
		r.timers.After(time.Duration(r.rng.Int64N(int64(sumPeriod))), func(time.Time) {
			r.update(i)
			r.timers.Subscribe(sumPeriod, func(time.Time) { r.update(i) })
		})
	}
	r.timers.After((learnTime+c.Length)/2, func(time.Time) {
		if c.Slow > 0 {
			r.servers[0].speed /= c.Slow
		}
		if c.Leaves {
			b := *r.servers[0].Backend
			b.State = dhbackend.Leaving
			r.servers[0].Backend = &b
		}
	})
	mean := float64(time.Second) / (c.Load * capacity)
	var arrive func(time.Time)
	arrive = func(now time.Time) {
		r.send(now)
		r.timers.After(time.Duration(r.rng.ExpFloat64()*mean), arrive)
	}
	r.timers.After(0, arrive)
	r.timers.Step(learnTime + c.Length)
	slices.Sort(r.waits)
	r.result.Wait95, r.result.Wait99 = r.waits[len(r.waits)*95/100], r.waits[len(r.waits)*99/100]
	r.result.Cached /= float64(max(r.result.Sent-r.result.Refused, 1))
	served, most := 0, 0
	for _, s := range r.servers {
		served += s.served
		most = max(most, s.served)
	}
	r.result.Busiest = float64(most) * float64(c.Servers) / float64(max(served, 1))
	return r.result
}

// sum publishes the load of each server at this time.
func (r *choosersRun) sum(now time.Time) {
	for _, s := range r.servers {
		b := s.WithLoad(dhbackend.Load{Running: s.running + len(s.waiting), PendingPrefill: s.pending}, now, 0)
		b.Sequence = uint64(len(r.views) + 1)
		if err := r.table.Announce(b); err != nil {
			panic(err)
		}
	}
	r.views = append(r.views, r.table.View(now))
}

// update gives a VM the sums of sumDelay ago.
func (r *choosersRun) update(vm int) {
	r.viewOf[vm] = r.views[len(r.views)-1-int(sumDelay/sumTick)]
	r.placed[vm].Update(r.viewOf[vm])
}

func (r *choosersRun) send(now time.Time) {
	vm := r.rng.IntN(r.VMs)
	q := &chooserRequest{vm: r.placed[vm], arrived: now}
	if r.Variable {
		q.service = time.Duration(r.rng.ExpFloat64() * float64(r.Service))
	} else {
		q.service = time.Duration((1 + serviceSpread*(2*r.rng.Float64()-1)) * float64(r.Service))
	}
	request := dhplacement.Request{Pool: "p", Version: orderVersions[0], PromptTokens: r.Prompt}
	if r.Shared > 0 {
		q.part = 1
		if r.rng.Float64() > firstPart {
			q.part = uint64(2 + r.rng.IntN(r.Parts-1))
		}
		request.Prefix, request.PrefixTokens, request.Shared = []uint64{q.part, r.rng.Uint64()}, []int{r.Shared, r.Prompt}, 1
	}
	p, err := q.vm.Place(r.viewOf[vm], request)
	if err != nil {
		panic(err)
	}
	q.p = p
	q.vm.Begin(&q.p, request)
	s := r.byID[p.Backend.ID]
	counted := now.Sub(r.start) >= learnTime
	if counted {
		r.result.Sent++
	}
	if s.running >= r.Slots && len(s.waiting) >= r.Queue {
		q.vm.End(q.p, false)
		if counted {
			r.result.Refused++
		}
		return
	}
	q.pending = max(r.Prompt-p.CachedTokens, 0)
	s.pending += q.pending
	s.waiting = append(s.waiting, q)
	r.run(s, now)
}

// run starts the requests of a server's queue that have a slot.
func (r *choosersRun) run(s *chooserServer, now time.Time) {
	for s.running < r.Slots && len(s.waiting) > 0 {
		q := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		counted := q.arrived.Sub(r.start) >= learnTime
		if counted {
			s.served++
		}
		if s.parts[q.part] && counted {
			r.result.Cached++
		}
		first := now
		if r.Prompt > 0 {
			tokens := r.Prompt
			if s.parts[q.part] {
				tokens -= r.Shared
			}
			s.prefilled = latest(s.prefilled, now).Add(time.Duration(float64(tokens) * float64(prefillTime) / s.speed))
			s.parts[q.part] = true
			first = s.prefilled
		}
		if counted {
			r.waits = append(r.waits, first.Sub(q.arrived))
		}
		r.timers.After(first.Sub(now), func(time.Time) {
			s.pending -= q.pending
			q.vm.FirstToken(q.p)
		})
		r.timers.After(first.Sub(now)+time.Duration(float64(q.service)/s.speed), func(end time.Time) {
			s.running--
			q.vm.End(q.p, true)
			r.run(s, end)
		})
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ChooserRows returns the runs of the table in docs/design/choice-under-stale-loads.md.
func ChooserRows(s dhplacement.Settings, length time.Duration) ([]string, []Choosers) {
	var names []string
	var rows []Choosers
	add := func(name string, c Choosers) {
		kind := "orders 30 ms"
		if c.Variable {
			kind = "streams 2 s"
		}
		names = append(names, fmt.Sprintf("%2d VMs, %2d servers, %-12s %.0f%%%s", c.VMs, c.Servers, kind, 100*c.Load, name))
		c.Settings, c.Length, c.Seed = s, length, 1
		if c.Variable {
			c.Length *= streamLengths
		}
		rows = append(rows, c)
	}
	plain := Choosers{Slots: 6, Queue: 24, Service: 30 * time.Millisecond}
	streams := Choosers{Slots: 16, Queue: 33, Service: 2 * time.Second, Variable: true}
	for _, c := range []Choosers{plain, streams} {
		for _, c.Servers = range []int{4, 90} {
			for _, c.VMs = range []int{8, 80} {
				for _, c.Load = range []float64{0.4, 0.6, 0.8} {
					add("", c)
				}
			}
			c.Load = 0.6
			slow, leaves, speeds := c, c, c
			slow.Slow, leaves.Leaves, speeds.Speeds = 2.5, true, []float64{0.7, 0.7, 1.7}
			add(", one slow", slow)
			add(", one leaves", leaves)
			add(", speeds 0.7 0.7 1.7", speeds)
		}
	}
	questions, prompts := streams, streams
	questions.Prompt, questions.Shared, questions.Parts = 830, 500, 5
	prompts.Prompt, prompts.Shared, prompts.Parts = 12000, 10000, 40
	for _, c := range []Choosers{questions, prompts} {
		c.Servers = 90
		for _, c.VMs = range []int{8, 80} {
			for _, c.Load = range []float64{0.4, 0.6} {
				add(fmt.Sprintf(", %d of %d tokens shared", c.Shared, c.Prompt), c)
			}
		}
	}
	return names, rows
}

// CompareChoosers runs each row with each of the settings and seeds, and returns the mean results
// as text.
func CompareChoosers(names []string, settings []dhplacement.Settings, length time.Duration, seeds []uint64) string {
	var text strings.Builder
	rowNames, rows := ChooserRows(dhplacement.Settings{}, length)
	results := make([]ChoosersResult, len(rows)*len(settings)*len(seeds))
	inParallel(len(results), func(i int) {
		c := rows[i/len(seeds)/len(settings)]
		c.Settings, c.Seed = settings[i/len(seeds)%len(settings)], seeds[i%len(seeds)]
		results[i] = c.Do()
	})
	for i := range len(rows) * len(settings) {
		var mean ChoosersResult
		for _, r := range results[i*len(seeds) : (i+1)*len(seeds)] {
			mean.Sent, mean.Refused = mean.Sent+r.Sent, mean.Refused+r.Refused
			n := time.Duration(len(seeds))
			mean.Wait95, mean.Wait99 = mean.Wait95+r.Wait95/n, mean.Wait99+r.Wait99/n
			mean.Busiest += r.Busiest / float64(len(seeds))
			mean.Cached += r.Cached / float64(len(seeds))
		}
		fmt.Fprintf(&text, "%-70s %-15s refused %5.2f%% wait p95 %6.1f ms p99 %6.1f ms busiest %.2f cached %.0f%%\n", rowNames[i/len(settings)], names[i%len(settings)],
			100*float64(mean.Refused)/float64(mean.Sent), mean.Wait95.Seconds()*1e3, mean.Wait99.Seconds()*1e3, mean.Busiest, 100*mean.Cached)
	}
	return text.String()
}
