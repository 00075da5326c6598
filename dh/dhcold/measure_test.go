package dhcold

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtimer"
)

var (
	measure   = flag.Bool("measure", false, "run the measurements")
	firstSeed = flag.Uint64("first-seed", 1000, "first seed of the measurements; below 1000 for tuning")
)

// zone is a model of three VMs and one backend server that becomes cold at time 0.
type zone struct {
	random  *rand.Rand
	timers  *dhtimer.Stepped
	credits []*Credits
	owner   bool // one VM owns all credits
	lending bool
}

type zoneLink struct {
	z    *zone
	self int
}

func (l zoneLink) Names() []string {
	if l.z.owner {
		return []string{"0"}
	}
	var names []string
	for _, i := range l.z.random.Perm(len(l.z.credits)) {
		if i != l.self {
			names = append(names, strconv.Itoa(i))
		}
	}
	return names
}

func (l zoneLink) Borrow(_ context.Context, name, id string, want int) (int, time.Duration, error) {
	other, _ := strconv.Atoi(name)
	if other == l.self {
		return 0, 0, nil
	}
	n, lease := l.z.credits[other].Lend(id, strconv.Itoa(l.self), want)
	return n, lease, nil
}

const zoneLoad = 6

// fullUse returns when the load first reached the sustainable load, and the mean
// load during the first 30 s as a fraction of the sustainable load. If restarted is
// not negative, that VM restarts at time 0.
func fullUse(design string, demand []float64, restarted int, seed uint64) (time.Duration, float64) {
	z := &zone{random: rand.New(rand.NewPCG(seed, 6)), timers: dhtimer.NewStepped(), owner: design == "owner", lending: design != "static"}
	b := &dhbackend.Backend{ID: "b", Zone: "z", State: dhbackend.Cold, SustainableLoad: zoneLoad}
	start := func(i int) *Credits {
		c := &Credits{Timers: z.timers, Zone: "z", Slot: i, Slots: 3, MaxColdRun: 10 * time.Second}
		if z.owner && i == 0 {
			c.Slot, c.Slots = 0, 1
		} else if z.owner {
			c.Slots = 0 // no home credits
		}
		if z.lending {
			c.Peers = zoneLink{z, i}
		}
		c.Update([]*dhbackend.Backend{b})
		return c
	}
	for i := range 3 {
		z.credits = append(z.credits, start(i))
	}
	b.State = dhbackend.Ready
	z.timers.Step(time.Minute)
	for _, c := range z.credits {
		c.Update([]*dhbackend.Backend{b})
	}
	b.State = dhbackend.Cold
	for _, c := range z.credits {
		c.Update([]*dhbackend.Backend{b})
	}
	if restarted >= 0 {
		z.credits[restarted] = start(restarted)
	}
	type run struct {
		until   time.Duration
		release func()
	}
	var runs []run
	full, used := time.Minute, 0
	const step = 20 * time.Millisecond
	for now := time.Duration(0); now < time.Minute; now += step {
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if now >= r.until {
				r.release()
			}
			return now >= r.until
		})
		for i, c := range z.credits {
			// Requests wait in the VM's queue and retry on each step.
			for range int(demand[i]) {
				if release, ok := c.Acquire("b"); ok {
					took := min(time.Duration(z.random.ExpFloat64()*float64(2*time.Second)), 10*time.Second)
					runs = append(runs, run{now + took, release})
				}
			}
			if now%(100*time.Millisecond) == 0 {
				c.Refill(context.Background())
			}
		}
		if len(runs) >= zoneLoad {
			full = min(full, now)
		}
		if now < 30*time.Second {
			used += len(runs)
		}
		z.timers.Step(step)
	}
	return full, float64(used) / float64(zoneLoad) / (float64(30*time.Second) / float64(step))
}

// Measures how soon a cold backend server gets its full sustainable load.
func TestMeasureColdStart(t *testing.T) {
	seeds := 1
	if *measure {
		seeds = 100
	}
	demands := []struct {
		name   string
		demand []float64
	}{
		{"even demand", []float64{3, 3, 3}},
		{"demand through one VM", []float64{0, 9, 0}},
		{"most demand through one VM", []float64{1, 8, 0}},
	}
	for _, d := range demands {
		for _, restarted := range []int{-1, 0, 1} {
			for _, design := range []string{"lending", "static", "owner"} {
				var times []time.Duration
				use := 0.0
				for seed := range uint64(seeds) {
					full, part := fullUse(design, d.demand, restarted, *firstSeed+seed)
					times = append(times, full)
					use += part / float64(seeds)
				}
				slices.Sort(times)
				t.Logf("%-27s restarted VM %2d, %-7s: full use after median %6.2f s, p95 %6.2f s; use in the first 30 s %3.0f%%",
					d.name, restarted, design, times[seeds/2].Seconds(), times[seeds*95/100].Seconds(), 100*use)
				if design == "lending" && restarted < 0 {
					assert.Assert(t, times[seeds/2] <= 2*time.Second)
				}
			}
		}
	}
}
