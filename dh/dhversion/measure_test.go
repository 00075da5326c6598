package dhversion_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhversion"
)

var (
	measure   = flag.Bool("measure", false, "run the measurements")
	firstSeed = flag.Uint64("first-seed", 1000, "first seed of the measurements; use seeds below 1000 for tuning")
)

// fault describes a bad rollout: the rates of bad answers of the stable version
// and of the rollout. If rated is not 0, bad answers show only in ratings, which
// exist for this fraction of the rollout's answers and for half of this fraction
// of the stable version's answers.
type fault struct {
	kind                string
	stable, rate, rated float64
}

// simulation is a deployment with a rollout at a share of 5%. Answers are counted
// when they end, and gossip reaches every VM after one second.
type simulation struct {
	vms                 int
	perSecond, share    float64
	answerTime, horizon time.Duration
}

var deployments = map[string]simulation{
	"tringles": {vms: 9, perSecond: 40, share: 0.05, answerTime: 3 * time.Second, horizon: 2 * time.Hour},
	"kandy":    {vms: 8, perSecond: 20, share: 0.05, answerTime: 5 * time.Second, horizon: 2 * time.Hour},
}

const (
	step        = 100 * time.Millisecond
	gossipDelay = time.Second
)

type gossip struct {
	at       time.Duration
	from     int
	counters []*dhpb.VersionCounter
	holds    []*dhpb.Hold
}

type answerEnd struct {
	at         time.Duration
	vm         int
	version    dhtable.Version
	bad, rated bool
}

// run returns the number of bad answers of the rollout dispatched by VMs on which
// it was not yet on hold, whether it was put on hold on every VM, and when the
// last VM applied the hold.
func (s simulation) run(now *dhtable.Tables, f fault, seed uint64) (bad int, held bool, end time.Duration) {
	random := rand.New(rand.NewPCG(seed, 7))
	vms := make([]*dhversion.Evidence, s.vms)
	for i := range vms {
		vms[i] = evidence(fmt.Sprint("vm-", i), now)
	}
	var messages []gossip
	var endings []answerEnd
	done := make([]bool, s.vms)
	pending := s.vms
	for at := time.Duration(0); at < s.horizon && pending > 0; at += step {
		for vm := range vms {
			for range poisson(random, s.perSecond/float64(s.vms)*step.Seconds()) {
				e := answerEnd{at: at + time.Duration(random.ExpFloat64()*float64(s.answerTime)), vm: vm, version: oakV1}
				rate := f.stable
				if random.Float64() < s.share {
					if done[vm] {
						continue
					}
					e.version, rate = oakV2, f.rate
				}
				e.bad = random.Float64() < rate
				e.rated = random.Float64() < f.rated && (e.version == oakV2 || random.IntN(2) == 0)
				if e.bad && e.version == oakV2 {
					bad++
				}
				endings = append(endings, e)
			}
		}
		endings = slices.DeleteFunc(endings, func(e answerEnd) bool {
			if e.at > at {
				return false
			}
			n := int64(0)
			if e.bad {
				n = 1
			}
			if f.rated == 0 {
				vms[e.vm].Count("p", e.version, 1, n)
				return true
			}
			// Only some answers are rated, twice as large a fraction for the rollout.
			vms[e.vm].Count("p", e.version, 1, 0)
			if e.rated {
				vms[e.vm].CountRatings("p", e.version, 1, n)
			}
			return true
		})
		for len(messages) > 0 && messages[0].at <= at {
			m := messages[0]
			messages = messages[1:]
			for i, e := range vms {
				if i != m.from {
					e.Merge(m.counters, m.holds)
				}
			}
		}
		for i, e := range vms {
			e.Tick()
			if !done[i] && e.Holds().Held("p", oakV2) {
				done[i] = true
				pending--
				end = at
			}
			if at%(5*step) == 0 {
				own := slices.DeleteFunc(e.Counters(), func(c *dhpb.VersionCounter) bool { return c.GetVm() != e.VM })
				messages = append(messages, gossip{at + gossipDelay, i, own, e.HoldRecords()})
			}
		}
	}
	return bad, pending == 0, end
}

func poisson(random *rand.Rand, mean float64) int {
	n, p, limit := 0, random.Float64(), math.Exp(-mean)
	for ; p > limit; n++ {
		p *= random.Float64()
	}
	return n
}

var faults = []fault{
	{"errors", 0.01, 0.05, 0},
	{"errors", 0.01, 0.10, 0},
	{"errors", 0.01, 0.30, 0},
	{"errors", 0.01, 1.00, 0},
	{"wrong length", 0.02, 0.10, 0},
	{"wrong length", 0.02, 0.30, 0},
	{"wrong length", 0.02, 1.00, 0},
	{"slow", 0.05, 0.15, 0},
	{"slow", 0.05, 0.30, 0},
	{"slow", 0.05, 1.00, 0},
	{"low ratings", 0.04, 0.30, 1},
	{"low ratings", 0.04, 1.00, 1},
	{"low ratings", 0.04, 0.30, 0.5},
	{"low ratings", 0.04, 1.00, 0.5},
}

// Measures how many bad answers a rollout gives before it is put on hold.
func TestMeasureExposure(t *testing.T) {
	seeds := 100
	if !*measure {
		seeds = 2
	}
	for _, name := range []string{"tringles", "kandy"} {
		for _, f := range faults {
			if !*measure && f.rate < 0.3 {
				continue
			}
			t.Run(fmt.Sprintf("%s/%s-%.0f-%.0f", name, f.kind, 100*f.rate, 100*f.rated), func(t *testing.T) {
				t.Parallel()
				var bads []int
				var seconds float64
				missed := 0
				for seed := range uint64(seeds) {
					bad, held, end := deployments[name].run(rollout(t, 1, 5), f, *firstSeed+seed)
					if !held {
						missed++
					}
					bads = append(bads, bad)
					seconds += end.Seconds() / float64(seeds)
				}
				slices.Sort(bads)
				t.Logf("%-9s %-12s stable %2.0f%% rollout %3.0f%% rated %3.0f%%: bad answers median %3d p95 %3d max %3d, hold everywhere after %4.0f s, missed %d of %d",
					name, f.kind, 100*f.stable, 100*f.rate, 100*f.rated, bads[seeds/2], bads[seeds*95/100], bads[seeds-1], seconds, missed, seeds)
				assert.Equal(t, missed, 0)
			})
		}
	}
}

// Measures how often a rollout that is as good as the stable version is put on
// hold, in short rollouts on 9 VMs and in long ones on one VM.
func TestMeasureFalseHolds(t *testing.T) {
	for _, rate := range []float64{0.005, 0.02, 0.05, 0.10} {
		for _, c := range []struct{ vms, blocks, seconds, seeds int }{{9, 600, 1, 3000}, {1, 1440, 10, 10000}} {
			t.Run(fmt.Sprintf("%g/%d", rate, c.vms), func(t *testing.T) {
				t.Parallel()
				now := rollout(t, 1, 5)
				seeds, held := c.seeds, 0
				if !*measure {
					seeds = 20
				}
				for seed := range uint64(seeds) {
					if goodRolloutHeld(now, rand.New(rand.NewPCG(*firstSeed+seed, 8)), c.vms, c.blocks, 40*float64(c.seconds), rate) {
						held++
					}
				}
				t.Logf("stable and rollout %4.1f%%, %d VMs, %5d s: %d of %d good rollouts held",
					100*rate, c.vms, c.blocks*c.seconds, held, seeds)
				assert.Assert(t, held <= max(seeds/1000, 1))
			})
		}
	}
}

// goodRolloutHeld simulates a rollout that is as good as the stable version and
// reports whether any VM puts it on hold. Each VM counts its own answers
// immediately and learns those of the other VMs one block later.
func goodRolloutHeld(now *dhtable.Tables, random *rand.Rand, vms, blocks int, perBlock, rate float64) bool {
	views := make([]*dhversion.Evidence, vms)
	sums := make([][2][2]int64, vms)
	for i := range views {
		views[i] = evidence(fmt.Sprint("vm-", i), now)
	}
	versions := [2]dhtable.Version{oakV1, oakV2}
	for range blocks {
		var others [2][2]int64
		for _, s := range sums {
			for v := range others {
				others[v][0] += s[v][0]
				others[v][1] += s[v][1]
			}
		}
		for i, e := range views {
			var messages []*dhpb.VersionCounter
			for v, share := range []float64{0.95, 0.05} {
				if vms > 1 {
					messages = append(messages, &dhpb.VersionCounter{
						Vm: "others", Pool: "p", Model: "oak", Version: versions[v].Name, RolloutRevision: 1,
						Answers: others[v][0] - sums[i][v][0], Bad: others[v][1] - sums[i][v][1],
					})
				}
				bad := int64(poisson(random, perBlock/float64(vms)*share*rate))
				good := int64(poisson(random, perBlock/float64(vms)*share*(1-rate)))
				sums[i][v][0] += bad + good
				sums[i][v][1] += bad
				e.Count("p", versions[v], bad+good, bad)
			}
			e.Merge(messages, nil)
			if len(e.Tick()) > 0 {
				return true
			}
		}
	}
	return false
}
