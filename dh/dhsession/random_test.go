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
	// settleTime is the time without faults before the bills are read.
	settleTime = 10 * time.Second
	// answerTime is the time within which every request has its final answer: the
	// longest deadline plus the retries of a caller.
	answerTime = time.Minute
)

// TestMain limits the tests to one processor. The goroutines of a step then run in
// the same order in each run, so that a seed always reproduces the same run.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// scenario describes a deployment, the version in it that becomes faulty, and the
// edits of the rollout of this version.
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

// randomRun is one run with random failures.
type randomRun struct {
	*dhsession.Simulation
	*rand.Rand
	scenario
	operators []*operator
}

// Guards against violations of the invariants that occur only with several
// simultaneous failures. DH_SESSION_SEEDS is the number of seeds and
// DH_SESSION_SEED the first seed.
func TestRandom(t *testing.T) {
	first, seeds := envNumber("DH_SESSION_SEED", 1), envNumber("DH_SESSION_SEEDS", defaultSeeds)
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

func envNumber(name string, byDefault uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return byDefault
}

func runRandom(t *testing.T, s scenario, seed uint64) (faults []string) {
	cryptotest.SetGlobalRandom(t, seed)
	synctest.Test(t, func(t *testing.T) {
		r := &randomRun{Simulation: dhsession.NewSimulation(seed), Rand: rand.New(rand.NewPCG(seed, 3)), scenario: s}
		defer r.Close()
		r.Prepare = func(_ *dhsession.VM, d *dhdaemon.Daemon) {
			// A VM does not use its credits until this long after its start; the
			// default of 30 s is longer than the traffic.
			d.Callers().Router.Credits.(*dhcold.Credits).MaxColdRun = 4 * time.Second
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
		r.execute(t)
		faults = r.History.Check()
		if len(faults) > 0 || os.Getenv("DH_SESSION_LINES") == "all" {
			t.Log(summary(r.History))
		}
		if linesMode := os.Getenv("DH_SESSION_LINES"); linesMode == "all" || (len(faults) > 0 && linesMode != "") {
			fmt.Println(strings.Join(r.History.Lines(nil), "\n"))
		}
	})
	return faults
}

// summary returns the counts of outcomes, edits, retries, executions and bills of a
// run.
func summary(f *dhsession.History) string {
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

// afterRandom calls f after a random time between from and to.
func (r *randomRun) afterRandom(from, to time.Duration, f func()) {
	r.Timers.After(from+time.Duration(r.Int64N(int64(to-from))), func(time.Time) { f() })
}

func (r *randomRun) pickOne(list []string) string { return list[r.IntN(len(list))] }

// operator makes its changes one at a time. It resends an edit whose outcome it
// does not know, and restarts from the newest tables after a conflict.
type operator struct {
	run     *randomRun
	name    string
	queue   [][]string
	edits   int
	pending *dhsession.Edit
	vm      int
}

func (o *operator) tick() {
	switch {
	case o.pending == nil:
	case o.pending.Code == dhcode.OK:
		o.queue, o.pending = o.queue[1:], nil
	case o.pending.Code == dhcode.EditConflict, o.pending.Code == dhcode.BaseRevisionUnknown:
		o.pending = nil
	case o.run.Timers.Now().Sub(o.pending.Sent) > 3*time.Second:
		o.pending = o.run.Edit(o.pick(), o.pending.ID, o.pending.Base, o.pending.Text, false)
		return
	}
	if o.pending != nil || len(o.queue) == 0 {
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
	o.pending = o.run.Edit(vm, fmt.Sprintf("%s-%d", o.name, o.edits), base, changed, false)
}

// pick returns the next running VM in turn.
func (o *operator) pick() string {
	for range o.run.VMs() {
		o.vm = (o.vm + 1) % len(o.run.VMs())
		if name := o.run.VMs()[o.vm]; o.run.Running(name) {
			return name
		}
	}
	return o.run.VMs()[0]
}

// queueEdit queues a change for a random operator.
func (r *randomRun) queueEdit(changes []string) {
	o := r.operators[r.IntN(len(r.operators))]
	o.queue = append(o.queue, changes)
}

func (r *randomRun) execute(t *testing.T) {
	r.SetLoss(0.01)
	for _, name := range r.VMs() {
		r.Start(name)
	}
	r.Step(3 * time.Second)
	r.queueEdit([]string{`"format": 1`, `"format":  1`})
	assert.Assert(t, r.StepUntil(3*time.Second, func() bool { return r.Serving(r.VMs()[0]) }))
	assert.NilError(t, r.Traffic(r.name, 6, trafficTime, 40))
	bad, _ := dhtable.ParseVersion(r.bad)
	r.afterRandom(0, 3*time.Second, func() { r.queueEdit(r.raise) })
	for i := range 4 {
		// Both operators edit at the same time.
		r.afterRandom(0, trafficTime, func() {
			for _, o := range r.operators {
				mark := fmt.Sprintf("\n// %s %d", o.name, i)
				o.queue = append(o.queue, []string{"\n  \"format\"", mark + "\n  \"format\""})
			}
		})
	}
	r.afterRandom(3*time.Second, 6*time.Second, func() {
		for _, id := range r.Engines() {
			r.Engine(id).SetFaults(bad, dhengine.Faults{ErrorRate: 0.3, ShortRate: 0.3, Slowness: 1.5})
		}
	})
	r.afterRandom(10*time.Second, 20*time.Second, func() { r.queueEdit(r.withdraw) })
	r.zoneOut()
	r.failVMs()
	r.failEngines()
	r.afterRandom(4*time.Second, 16*time.Second, func() {
		zone := zoneOf(r.pickOne(r.VMs()))
		r.Partition([]string{zone})
		r.afterRandom(2*time.Second, 8*time.Second, func() { r.Isolate() })
	})
	r.Step(trafficTime)
	r.Isolate()
	r.SetLoss(0)
	r.Step(settleTime)
	r.StepUntil(answerTime, func() bool { return r.History.Open() == 0 })
	for range 5 {
		if r.ExportBills(r.VMs()[0]) {
			return
		}
		r.Step(3 * time.Second)
	}
	t.Error("the bills never became complete")
}

func zoneOf(vm string) string { return vm[:strings.LastIndexByte(vm, '-')] }

// zoneOut takes a zone out of service and later restores it.
func (r *randomRun) zoneOut() {
	names := strings.Split(r.zone, "|")
	zone := names[r.IntN(len(names))]
	out := strings.TrimSuffix(zone, "}") + `, "out": true}`
	r.afterRandom(2*time.Second, 14*time.Second, func() {
		r.queueEdit([]string{zone, out})
		r.afterRandom(4*time.Second, 8*time.Second, func() { r.queueEdit([]string{out, zone}) })
	})
}

// failVMs crashes two VMs and shuts one down gracefully. All of them start again.
func (r *randomRun) failVMs() {
	order := r.Perm(len(r.VMs()))
	for i := range 2 {
		name := r.VMs()[order[i]]
		r.afterRandom(2*time.Second, 18*time.Second, func() {
			r.Crash(name)
			r.afterRandom(time.Second, 8*time.Second, func() { r.Start(name) })
		})
	}
	name := r.VMs()[order[2]]
	r.afterRandom(2*time.Second, 12*time.Second, func() {
		r.Stop(name)
		r.afterRandom(9*time.Second, 12*time.Second, func() {
			if !r.Running(name) {
				r.Start(name)
			}
		})
	})
}

// failEngines crashes half of the backend servers at the same time, so that pools
// run out of capacity. In addition, it makes two others cold without a warning, makes
// one leave, silences one for a time and breaks the connections of one.
func (r *randomRun) failEngines() {
	order := r.Perm(len(r.Engines()))
	id := func(i int) string { return r.Engines()[order[i]] }
	r.afterRandom(4*time.Second, 18*time.Second, func() {
		for i := range len(order) / 2 {
			r.CrashEngine(id(i))
		}
	})
	last := len(order) - 1
	r.afterRandom(2*time.Second, 18*time.Second, func() { r.Engine(id(last)).GoCold() })
	r.afterRandom(2*time.Second, 18*time.Second, func() { r.Engine(id(last - 1)).GoCold() })
	r.afterRandom(2*time.Second, 18*time.Second, func() { r.Leave(id(last - 2)) })
	r.afterRandom(2*time.Second, 12*time.Second, func() {
		r.Silence(id(last - 3))
		r.afterRandom(4*time.Second, 8*time.Second, func() { r.Unsilence(id(last - 3)) })
	})
	r.afterRandom(2*time.Second, 18*time.Second, func() { r.BreakStreams(id(last - 4)) })
}
