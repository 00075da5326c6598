package dhlimit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// fleet is a set of limiters that borrow from each other. While cut is set,
// limiters with even and odd indexes cannot reach each other.
type fleet struct {
	limits   dhtable.Account
	limiters []*dhlimit.Limiter
	cut      bool
	random   *rand.Rand
}

type peers struct {
	f    *fleet
	self int
}

func (p peers) Borrow(_ context.Context, _ string, want dhlimit.Loan) (dhlimit.Loan, error) {
	other := p.f.random.IntN(len(p.f.limiters))
	if other == p.self || p.f.cut && other%2 != p.self%2 {
		return dhlimit.Loan{}, dhcode.Errorf(dhcode.Internal, "unreachable")
	}
	return p.f.limiters[other].Lend(p.f.limits, want), nil
}

func newFleet(seed uint64, timers dhtimer.Service, n int, limits dhtable.Account) *fleet {
	f := &fleet{limits: limits, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		l := &dhlimit.Limiter{Timers: timers, Peers: peers{f, i}, MaxRun: 3 * time.Second}
		l.SetSlots("p", 1000)
		f.limiters = append(f.limiters, l)
	}
	f.setMembers(n)
	return f
}

func (f *fleet) setMembers(alive int) {
	for i, l := range f.limiters {
		l.SetMembers(dhlimit.Members{Alive: alive, Known: len(f.limiters), Rank: i})
	}
}

// Guards against lending or a partition raising the limits above the bound in
// the package comment, and against limits staying unused when most of the load
// arrives at a few VMs.
func TestLimitsOverAllVMs(t *testing.T) {
	for seed := range uint64(20) {
		timers := dhtimer.NewStepped()
		limits := dhtable.Account{Name: "a", RequestsPerSecond: 90, Burst: 90, Concurrency: 64}
		f := newFleet(seed, timers, 9, limits)
		random := rand.New(rand.NewPCG(seed, 2))
		type running struct {
			release func()
			until   time.Time
		}
		var active []running
		admitted, most := 0, 0
		const seconds = 20
		for step := range seconds * 100 {
			f.cut = step > 700 && step < 1400
			if f.cut {
				f.setMembers(5)
			} else {
				f.setMembers(9)
			}
			now := timers.Now()
			kept := active[:0]
			for _, r := range active {
				if now.Before(r.until) {
					kept = append(kept, r)
				} else {
					r.release()
				}
			}
			active = kept
			for range 4 { // 400 requests/s, most of them at two VMs
				l := f.limiters[random.IntN(2)]
				if random.IntN(4) == 0 {
					l = f.limiters[random.IntN(9)]
				}
				release, err := l.Admit(context.Background(), dhlimit.Request{Account: limits, Pool: "p", Deadline: 10 * time.Second})
				if err == nil {
					admitted++
					active = append(active, running{release, now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)})
				}
			}
			most = max(most, len(active))
			timers.Step(10 * time.Millisecond)
		}
		// During the partition, the sides have 5 and 4 VMs, and both divide the
		// limits by 7.
		rate := 90.0 * (seconds + 7*(9.0/7-1))
		assert.Assert(t, float64(admitted) <= rate+2*90, "seed %d: %d admitted, limit %.0f", seed, admitted, rate)
		assert.Assert(t, float64(admitted) >= 0.7*90*seconds, "seed %d: only %d admitted", seed, admitted)
		assert.Assert(t, most <= 64*9/7+1, "seed %d: %d at once", seed, most)
	}
}

// Guards against shares that add up to more than a limit that is not a multiple
// of the number of VMs, and against limiting an account that has no limits.
func TestSharesAddUp(t *testing.T) {
	for _, n := range []int{1, 3, 8, 9} {
		timers := dhtimer.NewStepped()
		f := newFleet(1, timers, n, dhtable.Account{})
		for _, limits := range []dhtable.Account{{Name: "four", Concurrency: 4}, {Name: "ten", RequestsPerSecond: 10}, {Name: "none"}} {
			count := 0
			for _, l := range f.limiters {
				l.Peers = nil
				for range 20 {
					_, err := l.Admit(context.Background(), dhlimit.Request{Account: limits, Pool: "p", Deadline: time.Second})
					if err == nil {
						count++
						continue
					}
					assert.Assert(t, dhcode.RetryAfterOf(err) > 0)
				}
			}
			want := map[string]int{"four": 4, "ten": max(10, n), "none": 20 * n}[limits.Name]
			assert.Equal(t, count, want, fmt.Sprint(n, limits.Name))
		}
	}
}
