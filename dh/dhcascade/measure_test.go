package dhcascade_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcascade"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

var (
	measure   = flag.Bool("measure", false, "run the measurements")
	firstSeed = flag.Uint64("first-seed", 1000, "first seed of the measurements; below 1000 for tuning")
)

var (
	pine = dhtable.Version{Model: "pine", Name: "v1"}
	oak  = dhtable.Version{Model: "oak", Name: "v1"}
)

// class is a class of requests: its fraction of the traffic, its mean difficulty
// and the increase of the difficulty in the shift, its target rating, the tokens
// of an answer, and whether it is latency-sensitive and its answers carry signals.
type class struct {
	name                         string
	fraction, difficulty, shift  float64
	target, tokens               float64
	latencySensitive, hasSignals bool
}

var workloads = map[string][]class{
	"tringles": {
		{"plan", 0.35, 0.45, 0.10, 0.9, 600, false, true},
		{"question", 0.50, 0.25, 0.10, 0.8, 150, true, true},
		{"spacing", 0.15, 0.35, 0, 0.85, 100, false, true},
	},
	"kandy": {
		{"bake-plan", 0.30, 0.40, 0.15, 0.9, 800, false, true},
		{"menu-draft", 0.25, 0.30, 0.10, 0.8, 500, false, true},
		{"stock", 0.45, 0.20, 0.05, 0.8, 60, true, true},
	},
}

// skills are the difficulties at which the models' answers have a quality of 0.5.
var (
	skills = []float64{0.50, 0.90}
	costs  = []float64{1, 10}
)

// task is one request with the true quality and the quick signal of each model's answer.
type task struct {
	class   class
	quality [2]float64
	signal  [2]float64
}

func newTask(random *rand.Rand, mix []class, shifted bool) task {
	at := random.Float64()
	c := mix[len(mix)-1]
	for _, m := range mix {
		if at < m.fraction {
			c = m
			break
		}
		at -= m.fraction
	}
	t := task{class: c}
	difficulty := c.difficulty + 0.2*random.NormFloat64()
	if shifted {
		difficulty += c.shift
	}
	for m, skill := range skills {
		t.quality[m] = 1 / (1 + math.Exp((difficulty-skill)/0.08))
		t.signal[m] = clamp(t.quality[m] + 0.1*random.NormFloat64())
	}
	return t
}

// score returns a noisy rating whose mean is the quality.
func score(random *rand.Rand, quality float64) float64 {
	return quality + (2*random.Float64()-1)*min(0.4, quality, 1-quality)
}

func clamp(x float64) float64 { return min(max(x, 0), 1) }

// tally accumulates the results of a policy for one class in one phase.
type tally struct {
	count             int
	cost, sum, square float64
}

func (t *tally) add(cost, quality float64) {
	t.count++
	t.cost += cost
	t.sum += quality
	t.square += quality * quality
}

type tallies map[string]*tally

func (t tallies) of(class string) *tally {
	if t[class] == nil {
		t[class] = &tally{}
	}
	return t[class]
}

func (t tallies) cost() float64 {
	sum := 0.0
	for _, c := range t {
		sum += c.cost
	}
	return sum
}

func (a class) cost(model int) float64 { return costs[model] * a.tokens / 1000 }

func (a class) request() dhcascade.Request {
	return dhcascade.Request{Class: a.name, Target: a.target, LatencySensitive: a.latencySensitive, Candidates: []dhcascade.Candidate{
		{Version: pine, Cost: a.cost(0)}, {Version: oak, Cost: a.cost(1)},
	}}
}

// policy returns the models that answer a task, in order.
type policy func(t task) []int

// plannerPolicy returns a policy that follows the planner and has a sample of the
// answers rated.
func plannerPolicy(p *dhcascade.Planner, random *rand.Rand, limit *rate.Limiter, timers *dhtimer.Stepped) policy {
	return func(t task) []int {
		r := t.class.request()
		at := p.Start(r)
		models := []int{at}
		signal := func(m int) dhcascade.Signal { return dhcascade.Signal{Value: t.signal[m], Known: t.class.hasSignals} }
		next, ok := p.Escalate(r, at, signal(at))
		if ok {
			models = append(models, next)
		}
		for i, m := range models {
			rating := dhcascade.Rating{
				Class: r.Class, Version: r.Candidates[m].Version, Signal: signal(m), Score: score(random, t.quality[m]),
			}
			if i > 0 {
				rating.From, rating.FromSignal = r.Candidates[at].Version, signal(at)
			}
			if p.Sample(rating) && limit.AllowN(timers.Now(), 1) {
				p.Rate(rating)
			}
		}
		return models
	}
}

// run simulates 10 requests/s under a policy and returns the tallies of two phases
// of 30 minutes each, without the first 10 minutes of each phase.
func run(policy policy, mix []class, seed uint64, step func()) [2]tallies {
	random := rand.New(rand.NewPCG(seed, 9))
	phases := [2]tallies{{}, {}}
	for phase := range phases {
		for i := range 30 * 60 * 10 {
			t := newTask(random, mix, phase == 1)
			cost := 0.0
			models := policy(t)
			for _, m := range models {
				cost += t.class.cost(m)
			}
			if i >= 10*60*10 {
				phases[phase].of(t.class.name).add(cost, t.quality[models[len(models)-1]])
			}
			step()
		}
	}
	return phases
}

// oracle returns the tallies of a policy that knows the true quality of each
// answer and uses the large model where it gains most, until the class meets its
// target.
func oracle(mix []class, seed uint64) [2]tallies {
	tasks := [2]map[string][]task{{}, {}}
	random := rand.New(rand.NewPCG(seed, 9))
	for phase := range tasks {
		for i := range 30 * 60 * 10 {
			t := newTask(random, mix, phase == 1)
			if i >= 10*60*10 {
				tasks[phase][t.class.name] = append(tasks[phase][t.class.name], t)
			}
		}
	}
	phases := [2]tallies{{}, {}}
	for phase, classes := range tasks {
		for name, list := range classes {
			slices.SortFunc(list, func(a, b task) int {
				if a.quality[1]-a.quality[0] > b.quality[1]-b.quality[0] {
					return -1
				}
				return 1
			})
			sum := 0.0
			for _, t := range list {
				sum += t.quality[0]
			}
			for _, t := range list {
				if sum < t.class.target*float64(len(list)) {
					sum += t.quality[1] - t.quality[0]
					phases[phase].of(name).add(t.class.cost(1), t.quality[1])
				} else {
					phases[phase].of(name).add(t.class.cost(0), t.quality[0])
				}
			}
		}
	}
	return phases
}

// Measures cost and quality, and guards against a planner that costs 90% or more
// of using always the large model, or misses a target by 0.02 or more.
func TestMeasureCascade(t *testing.T) {
	seeds := 1
	if *measure {
		seeds = 20
	}
	for _, name := range []string{"tringles", "kandy"} {
		mix := workloads[name]
		policies := []string{"planner", "always large", "always cheap", "fixed two steps", "oracle"}
		var cost [5][2]float64
		missed := [5][2]int{}
		worstMargin := [5][2]float64{}
		for i := range policies {
			worstMargin[i] = [2]float64{1, 1}
		}
		for seed := range uint64(seeds) {
			seed += *firstSeed
			timers := dhtimer.NewStepped()
			random := rand.New(rand.NewPCG(seed, 10))
			planner := &dhcascade.Planner{Timers: timers, Random: random.Float64}
			none := func() {}
			results := [5][2]tallies{
				run(plannerPolicy(planner, random, rate.NewLimiter(2, 2), timers), mix, seed, func() { timers.Step(100 * time.Millisecond) }),
				run(func(task) []int { return []int{1} }, mix, seed, none),
				run(func(task) []int { return []int{0} }, mix, seed, none),
				run(func(t task) []int {
					if t.signal[0] < t.class.target {
						return []int{0, 1}
					}
					return []int{0}
				}, mix, seed, none),
				oracle(mix, seed),
			}
			for i, phases := range results {
				for phase, classes := range phases {
					cost[i][phase] += classes.cost()
					for _, c := range mix {
						n := classes.of(c.name)
						mean := n.sum / float64(n.count)
						worstMargin[i][phase] = min(worstMargin[i][phase], mean-c.target)
						if mean < c.target {
							missed[i][phase]++
						}
					}
				}
			}
		}
		for phase, when := range []string{"before", "after"} {
			for i, policy := range policies {
				t.Logf("%-8s %-6s the shift, %-15s: cost %5.1f%% of always large, %5.1f%% of the oracle; target missed in %2d of %d classes and seeds, lowest mean %+.3f from the target",
					name, when, policy, 100*cost[i][phase]/cost[1][phase], 100*cost[i][phase]/cost[4][phase], missed[i][phase], seeds*len(mix), worstMargin[i][phase])
			}
			assert.Assert(t, cost[0][phase] < 0.9*cost[1][phase], fmt.Sprint(name, phase))
			assert.Assert(t, worstMargin[0][phase] > -0.02, "%s: mean %+.3f from the target", name, worstMargin[0][phase])
		}
	}
}
