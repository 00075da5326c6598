package dhcold

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	testLease   = 500 * time.Millisecond
	testLongest = 2 * time.Second
	testStep    = 50 * time.Millisecond
)

// vm is an entry VM whose clock has its own rate.
type vm struct {
	timers  *dhtimer.Stepped
	rate    float64
	credits *Credits
	side    int
	down    time.Duration
	starts  int
}

// request is a request that runs on the backend server.
type request struct {
	vm        int
	asCold    bool // by a VM that treated the backend server as cold
	until     time.Duration
	release   func()
	vmCrashed bool
}

// schedule is a seeded simulation of the entry VMs of one zone and one backend server.
type schedule struct {
	random   *rand.Rand
	vms      []*vm
	backend  dhbackend.Backend
	requests []request
	loss     bool
	// broken names the rule that the simulation breaks on purpose.
	broken  string
	maxLoad int
}

type link struct {
	s    *schedule
	self int
}

var errLost = errors.New("lost")

func (l link) Names() []string {
	var names []string
	for _, i := range l.s.random.Perm(len(l.s.vms)) {
		if i != l.self {
			names = append(names, fmt.Sprint(i))
		}
	}
	return names
}

func (l link) Borrow(_ context.Context, name, id string, want int) (int, time.Duration, error) {
	s := l.s
	other, _ := strconv.Atoi(name)
	peer := s.vms[other]
	if peer.down > 0 || peer.side != s.vms[l.self].side {
		return 0, 0, errLost
	}
	borrower := fmt.Sprint(l.self, "#", s.vms[l.self].starts)
	if s.broken == "a restarted borrower renews" {
		borrower = fmt.Sprint(l.self)
	}
	n, lease := peer.credits.Lend(id, borrower, want)
	if s.broken == "lender takes credits back at the end of the lease" && n > 0 {
		lent := peer.credits.byBackend[id].lent[borrower]
		lent[len(lent)-1].until = peer.timers.Now().Add(lease)
	}
	if s.loss && s.random.IntN(5) == 0 {
		return 0, 0, errLost
	}
	return n, lease, nil
}

func (s *schedule) restart(i int) {
	v := s.vms[i]
	v.down = 0
	v.starts++
	v.credits = &Credits{
		Timers: v.timers, Zone: "z", Slot: i, Slots: len(s.vms), Peers: link{s, i},
		Lease: testLease, MaxColdRun: testLongest,
	}
	if s.broken == "home credits ignore the slot" {
		v.credits.Slot = 0
	}
	v.credits.Update(nil)
	if s.broken == "no wait after a restart" {
		v.credits.started = v.timers.Now().Add(-time.Hour)
	}
}

func newSchedule(seed uint64, broken string) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 5)), broken: broken, loss: true}
	s.backend = dhbackend.Backend{ID: "b", Zone: "z", State: dhbackend.Cold, SustainableLoad: 1 + s.random.IntN(8)}
	for range 2 + s.random.IntN(4) {
		v := &vm{timers: dhtimer.NewStepped(), rate: 0.99 + 0.02*s.random.Float64()}
		s.vms = append(s.vms, v)
	}
	for i := range s.vms {
		s.restart(i)
	}
	if broken == "clocks are further off than allowed" {
		s.vms[0].rate, s.vms[1].rate = 0.6, 1.4
	}
	return s
}

// run reports whether the total load ever exceeded the sustainable load.
func (s *schedule) run(length time.Duration) bool {
	busy := s.random.IntN(len(s.vms))
	for now := time.Duration(0); now < length; now += testStep {
		s.event()
		for i, v := range s.vms {
			v.timers.Step(time.Duration(float64(testStep) * v.rate))
			if v.down > 0 {
				if v.down -= testStep; v.down <= 0 {
					s.restart(i)
				}
				continue
			}
			if s.random.IntN(10) == 0 { // an announcement arrives late
				b := s.backend
				v.credits.Update([]*dhbackend.Backend{&b})
			}
			if s.random.IntN(4) == 0 {
				v.credits.Refill(context.Background())
			}
			for i == busy && s.startRequest(i, now) {
				continue
			}
			if s.random.IntN(10) == 0 {
				s.startRequest(i, now)
			}
		}
		if s.random.IntN(200) == 0 {
			busy = s.random.IntN(len(s.vms))
		}
		if s.load(now) > s.backend.SustainableLoad && s.backend.State == dhbackend.Cold {
			return true
		}
	}
	return false
}

func (s *schedule) startRequest(i int, now time.Duration) bool {
	v := s.vms[i]
	cold := v.credits.Cold("b")
	release, ok := v.credits.Acquire("b")
	if ok {
		// A request ends up to one step after its run time, and even then must not
		// exceed the longest run time.
		most := testLongest - 2*testStep
		run := time.Duration(float64(most) * s.random.Float64())
		if s.random.IntN(3) == 0 {
			run = most
		}
		until := now + time.Duration(float64(run)/v.rate)
		s.requests = append(s.requests, request{vm: i, asCold: cold, until: until, release: release})
	}
	return ok && cold
}

// event crashes a VM, changes the partition, or turns the backend server cold or ready.
func (s *schedule) event() {
	switch s.random.IntN(200) {
	case 0:
		i := s.random.IntN(len(s.vms))
		s.vms[i].down = testStep * time.Duration(1+s.random.IntN(20))
		for j := range s.requests {
			s.requests[j].vmCrashed = s.requests[j].vmCrashed || s.requests[j].vm == i
		}
	case 1:
		for _, v := range s.vms {
			v.side = s.random.IntN(2)
		}
	case 2:
		for _, v := range s.vms {
			v.side = 0
		}
	case 3:
		s.backend.State = dhbackend.Cold
	case 4:
		if s.random.IntN(4) == 0 {
			s.backend.State = dhbackend.Ready
		}
	}
}

// load ends the requests whose run time is over and returns the number of running
// requests whose VM treated the backend server as cold. A crash of a VM does not
// end its requests.
func (s *schedule) load(now time.Duration) int {
	kept, n := s.requests[:0], 0
	for _, r := range s.requests {
		if now >= r.until {
			if !r.vmCrashed {
				r.release()
			}
			continue
		}
		kept = append(kept, r)
		if r.asCold {
			n++
		}
	}
	s.requests = kept
	s.maxLoad = max(s.maxLoad, n)
	return n
}

// Guards against a total load above the sustainable load during crashes, restarts,
// partitions, lost answers, lending and deviating clock rates (R5).
func TestLoadStaysSustainable(t *testing.T) {
	full := 0
	for seed := range uint64(200) {
		s := newSchedule(seed, "")
		assert.Assert(t, !s.run(time.Minute), "seed %d", seed)
		if s.maxLoad == s.backend.SustainableLoad {
			full++
		}
	}
	assert.Assert(t, full > 150, "only %d of 200 schedules used all credits", full)
}

// Guards against a simulation that does not detect a broken rule.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, rule := range []string{
		"no wait after a restart",
		"lender takes credits back at the end of the lease",
		"clocks are further off than allowed",
		"home credits ignore the slot",
		"a restarted borrower renews",
	} {
		seed := uint64(0)
		for seed < 200 && !newSchedule(seed, rule).run(time.Minute) {
			seed++
		}
		t.Logf("%s: caught by seed %d", rule, seed)
		assert.Assert(t, seed < 200, rule)
	}
}

// Guards against a backend server that keeps its full load after it has become cold,
// and against one that is treated as cold because of a few slow requests or after it
// is warm again.
func TestTurnedCold(t *testing.T) {
	c := &Credits{Timers: dhtimer.NewStepped(), Zone: "z", Slots: 1}
	c.Update([]*dhbackend.Backend{{ID: "b", Zone: "z", State: dhbackend.Ready, SustainableLoad: 1}})
	tell := func(n int, taken time.Duration, cold bool) {
		t.Helper()
		for range n {
			c.FirstToken("b", taken)
		}
		assert.Equal(t, c.Cold("b"), cold)
	}
	tell(20, 100*time.Millisecond, false)
	tell(2, 2*time.Second, false)
	tell(1, 120*time.Millisecond, false)
	tell(3, 2*time.Second, true)
	assert.DeepEqual(t, c.Suspected(), []string{"b"})
	_, ok := c.Acquire("b")
	assert.Assert(t, !ok, "the wait after the start is not over")
	tell(3, 100*time.Millisecond, false)
	_, ok = c.Acquire("b")
	assert.Assert(t, ok)
	c.Suspect("b")
	tell(0, 0, true)
	_, ok = c.Acquire("unknown")
	assert.Assert(t, !ok)
}
