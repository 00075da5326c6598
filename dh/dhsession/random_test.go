package dhsession_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhcold"
	"dandelionhoist.example/dh/dhdaemon"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhsession"
	"dandelionhoist.example/dh/dhtable"
)

const (
	deploy      = "../../deploy"
	trafficTime = 20 * time.Second
	// settleTime is how long all is well before the bills are read.
	settleTime = 10 * time.Second
	// answerTime is when each request has its final answer: the longest
	// deadline and the tries of a caller.
	answerTime = time.Minute
)

// Goroutines of one step then run in the same order in each run, which the
// number of a seed needs to stand for one run.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// scenario is a deployment's version that turns bad and the edits of its rollout.
type scenario struct {
	name, bad, zone string
	raise, withdraw []string
}

var scenarios = []scenario{
	{
		name: "tringles", bad: "oak/v2", zone: `"mrc-a": {"region": "mauricie"}|"mrc-b": {"region": "mauricie"}|"mrc-d": {"region": "mauricie"}`,
		raise: []string{`"share": 95,`, `"share": 70,`, `"share": 5,`, `"share": 30,`},
		withdraw: []string{
			`"share": 70,`, `"share": 100,`,
			`"v2": {"stage": "rollout", "share": 30, "replicas": 2}`, `"v2": {"stage": "withdrawn"}`,
		},
	},
	{
		name: "kandy", bad: "wheat/v3",
		zone: `"kandy-a": {"region": "lk-central"}|"peradeniya-b": {"region": "lk-central"}|"matale-c": {"region": "lk-central"}`,
		raise: []string{
			`"v2": {"stage": "draining", "replicas": 1}`, `"v2": {"stage": "stable", "share": 60, "replicas": 3}`,
			`"v3": {"stage": "stable", "share": 100, "replicas": 6}`, `"v3": {"stage": "rollout", "share": 40, "replicas": 4}`,
		},
		withdraw: []string{
			`"v2": {"stage": "stable", "share": 60, "replicas": 3}`, `"v2": {"stage": "stable", "share": 100, "replicas": 6}`,
			`"v3": {"stage": "rollout", "share": 40, "replicas": 4}`, `"v3": {"stage": "withdrawn"}`,
		},
	},
}

// run is one random run.
type random struct {
	*dhsession.World
	*rand.Rand
	scenario
	operators []*operator
}

// Guards against violations of the invariants that need several failures at
// once. DH_SESSION_SEEDS is the number of seeds, DH_SESSION_SEED the first.
func TestRandom(t *testing.T) {
	first, seeds := number("DH_SESSION_SEED", 1), number("DH_SESSION_SEEDS", defaultSeeds)
	for _, s := range scenarios {
		for seed := first; seed < first+seeds; seed++ {
			t.Run(fmt.Sprintf("%s/%d", s.name, seed), func(t *testing.T) {
				faults := runRandom(t, s, seed)
				for _, fault := range faults {
					t.Error(fault)
				}
			})
		}
	}
}

func number(name string, byDefault uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return byDefault
}

func runRandom(t *testing.T, s scenario, seed uint64) (faults []string) {
	cryptotest.SetGlobalRandom(t, seed)
	synctest.Test(t, func(t *testing.T) {
		r := &random{World: dhsession.NewWorld(seed), Rand: rand.New(rand.NewPCG(seed, 3)), scenario: s}
		defer r.Close()
		r.Prepare = func(_ *dhsession.VM, d *dhdaemon.Daemon) {
			// A VM uses its credits only this long after its start; the default is 30 s.
			d.Callers().Router.Credits.(*dhcold.Credits).Longest = 4 * time.Second
		}
		_, err := r.Deploy(deploy, s.name, func(m *dhengine.Model) {
			m.Slots = 4
			m.ColdStart = dhengine.DefaultCold()
			m.ColdStart.For, m.ColdStart.Restart = 6*time.Second, 3*time.Second
		})
		assert.NilError(t, err)
		for _, name := range []string{"nimal", "odile"} {
			o := &operator{run: r, name: name}
			r.operators = append(r.operators, o)
			r.Timers.Subscribe(200*time.Millisecond, func(time.Time) { o.tick() })
		}
		r.play(t)
		faults = r.Facts.Check()
		if len(faults) > 0 || os.Getenv("DH_SESSION_LINES") == "all" {
			t.Log(summary(r.Facts))
		}
		if all := os.Getenv("DH_SESSION_LINES"); all == "all" || (len(faults) > 0 && all != "") {
			fmt.Println(strings.Join(r.Facts.Lines(nil), "\n"))
		}
	})
	return faults
}

// summary counts what happened in a run.
func summary(f *dhsession.Facts) string {
	counts := make(map[string]int)
	for _, r := range f.Replies {
		switch {
		case r.Complete && r.Replayed:
			counts["replayed"]++
		case r.Complete:
			counts["complete"]++
		case r.Lost:
			counts["connection lost"]++
		default:
			counts[r.Code.String()+" "+r.Ran.String()]++
		}
	}
	for _, e := range f.Edits {
		counts["edit "+e.Code.String()]++
	}
	for _, x := range f.Executions {
		if x.Attempt > 1 {
			counts["retries"]++
		}
	}
	counts["executions"], counts["bills"] = len(f.Executions), len(f.Bills)
	return fmt.Sprint(counts)
}

// at runs f a random time between two bounds from now.
func (r *random) at(from, to time.Duration, f func()) {
	r.Timers.After(from+time.Duration(r.Int64N(int64(to-from))), func(time.Time) { f() })
}

func (r *random) some(list []string) string { return list[r.IntN(len(list))] }

// operator makes its changes one after the other. It resends an edit whose
// outcome it does not know, and begins anew after a conflict.
type operator struct {
	run   *random
	name  string
	queue [][]string
	edits int
	busy  *dhsession.Edit
	vm    int
}

func (o *operator) tick() {
	switch {
	case o.busy == nil:
	case o.busy.Code == dhcode.OK:
		o.queue, o.busy = o.queue[1:], nil
	case o.busy.Code == dhcode.EditConflict, o.busy.Code == dhcode.BaseRevisionUnknown:
		o.busy = nil
	case o.run.Timers.Now().Sub(o.busy.Sent) > 3*time.Second:
		o.busy = o.run.Edit(o.pick(), o.busy.ID, o.busy.Base, o.busy.Text, false)
		return
	}
	if o.busy != nil || len(o.queue) == 0 {
		return
	}
	vm := o.pick()
	base, text := o.run.Tables(vm)
	if base == 0 {
		data, _ := os.ReadFile(filepath.Join(deploy, o.run.name, "tables.json"))
		text = string(data)
	}
	changed := text
	for change := o.queue[0]; len(change) > 0; change = change[2:] {
		changed = strings.Replace(changed, change[0], change[1], 1)
	}
	if changed == text {
		o.queue = o.queue[1:]
		return
	}
	o.edits++
	o.busy = o.run.Edit(vm, fmt.Sprintf("%s-%d", o.name, o.edits), base, changed, false)
}

// pick returns the next VM that runs.
func (o *operator) pick() string {
	for range o.run.VMs() {
		o.vm = (o.vm + 1) % len(o.run.VMs())
		if name := o.run.VMs()[o.vm]; o.run.Running(name) {
			return name
		}
	}
	return o.run.VMs()[0]
}

// edit gives a change to one of the operators.
func (r *random) edit(changes []string) {
	o := r.operators[r.IntN(len(r.operators))]
	o.queue = append(o.queue, changes)
}

func (r *random) play(t *testing.T) {
	r.Loss(0.01)
	for _, name := range r.VMs() {
		r.Start(name)
	}
	r.Step(3 * time.Second)
	r.edit([]string{`"format": 1`, `"format":  1`})
	assert.Assert(t, r.Until(3*time.Second, func() bool { return r.Serving(r.VMs()[0]) }))
	assert.NilError(t, r.Traffic(r.name, 6, trafficTime, 40))
	bad, _ := dhtable.ParseVersion(r.bad)
	r.at(0, 3*time.Second, func() { r.edit(r.raise) })
	for i := range 4 {
		// Both operators edit at the same time.
		r.at(0, trafficTime, func() {
			for _, o := range r.operators {
				mark := fmt.Sprintf("\n// %s %d", o.name, i)
				o.queue = append(o.queue, []string{"\n  \"format\"", mark + "\n  \"format\""})
			}
		})
	}
	r.at(3*time.Second, 6*time.Second, func() {
		for _, id := range r.Engines() {
			r.Engine(id).SetFaults(bad, dhengine.Faults{ErrorRate: 0.3, ShortRate: 0.3, Slowness: 1.5})
		}
	})
	r.at(10*time.Second, 20*time.Second, func() { r.edit(r.withdraw) })
	r.zoneOut()
	r.loseVMs()
	r.loseEngines()
	r.at(4*time.Second, 16*time.Second, func() {
		zone := zoneOf(r.some(r.VMs()))
		r.Partition([]string{zone})
		r.at(2*time.Second, 8*time.Second, func() { r.Isolate() })
	})
	r.Step(trafficTime)
	r.Isolate()
	r.Loss(0)
	r.Step(settleTime)
	r.Until(answerTime, func() bool { return r.Facts.Open() == 0 })
	for range 5 {
		if r.ExportBills(r.VMs()[0]) {
			return
		}
		r.Step(3 * time.Second)
	}
	t.Error("the bills never became complete")
}

func zoneOf(vm string) string { return vm[:strings.LastIndexByte(vm, '-')] }

// zoneOut takes a zone out and brings it back.
func (r *random) zoneOut() {
	names := strings.Split(r.zone, "|")
	zone := names[r.IntN(len(names))]
	out := strings.TrimSuffix(zone, "}") + `, "out": true}`
	r.at(2*time.Second, 14*time.Second, func() {
		r.edit([]string{zone, out})
		r.at(4*time.Second, 8*time.Second, func() { r.edit([]string{out, zone}) })
	})
}

// loseVMs crashes two VMs and stops one as planned.
func (r *random) loseVMs() {
	order := r.Perm(len(r.VMs()))
	for i := range 2 {
		name := r.VMs()[order[i]]
		r.at(2*time.Second, 18*time.Second, func() {
			r.Crash(name)
			r.at(time.Second, 8*time.Second, func() { r.Start(name) })
		})
	}
	name := r.VMs()[order[2]]
	r.at(2*time.Second, 12*time.Second, func() {
		r.Stop(name)
		r.at(9*time.Second, 12*time.Second, func() {
			if !r.Running(name) {
				r.Start(name)
			}
		})
	})
}

// loseEngines lets a part of the pools crash at once, so that they run out,
// turns others cold without warning, and lets one leave and one go silent.
func (r *random) loseEngines() {
	order := r.Perm(len(r.Engines()))
	id := func(i int) string { return r.Engines()[order[i]] }
	r.at(4*time.Second, 18*time.Second, func() {
		for i := range len(order) / 2 {
			r.CrashEngine(id(i))
		}
	})
	last := len(order) - 1
	r.at(2*time.Second, 18*time.Second, func() { r.Engine(id(last)).GoCold() })
	r.at(2*time.Second, 18*time.Second, func() { r.Engine(id(last - 1)).GoCold() })
	r.at(2*time.Second, 18*time.Second, func() { r.Leave(id(last - 2)) })
	r.at(2*time.Second, 12*time.Second, func() {
		r.Silence(id(last - 3))
		r.at(4*time.Second, 8*time.Second, func() { r.Unsilence(id(last - 3)) })
	})
	r.at(2*time.Second, 18*time.Second, func() { r.BreakStreams(id(last - 4)) })
}
