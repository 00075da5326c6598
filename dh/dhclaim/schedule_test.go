package dhclaim

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

// fault is a protocol fault that a schedule injects.
type fault int

const (
	noFault fault = iota
	dispatchWithoutClaim
	ignoreAttempt
	closeWithoutRegister
)

var errCrashed = errors.New("the VM has crashed")

// schedule runs actors one at a time. Each actor blocks at every register
// operation until the seeded random source selects it to continue.
type schedule struct {
	rng           *rand.Rand
	fault         fault
	store         dhquorum.Memory
	timers        *dhtimer.Stepped
	vms           []*vm
	pending       chan *pendingOp
	delayedWrites []func()
	now           int64
	history       []porcupine.Operation
	// runs counts by key how often a request ran, and notRun how often a caller
	// was told "not run".
	runs, notRun map[string]int
}

type vm struct {
	schedule *schedule
	starts   int
	claims   *Claims
}

// pendingOp is a register operation at which an actor is blocked. A nil apply
// means that the actor has ended.
type pendingOp struct {
	actor int
	owner string
	vm    *vm
	apply func() ([]byte, error)
	reply chan reply
}

type reply struct {
	value []byte
	err   error
}

// ownerRegister is the Register of a VM between two restarts.
type ownerRegister struct {
	vm    *vm
	owner string
}

type actorKey struct{}

func (p ownerRegister) Update(ctx context.Context, key string, f func([]byte) ([]byte, error)) ([]byte, error) {
	return p.call(ctx, key, func() ([]byte, error) { return p.vm.schedule.store.Update(ctx, key, f) })
}

func (p ownerRegister) Read(ctx context.Context, key string) ([]byte, error) {
	return p.call(ctx, key, func() ([]byte, error) { return p.vm.schedule.store.Read(ctx, key) })
}

func (p ownerRegister) call(ctx context.Context, key string, apply func() ([]byte, error)) ([]byte, error) {
	if key == ClockKey {
		return apply()
	}
	return p.vm.schedule.wait(&pendingOp{actor: ctx.Value(actorKey{}).(int), owner: p.owner, vm: p.vm, apply: apply})
}

func (s *schedule) wait(p *pendingOp) ([]byte, error) {
	p.reply = make(chan reply)
	s.pending <- p
	r := <-p.reply
	return r.value, r.err
}

func (v *vm) start() {
	v.starts++
	owner := fmt.Sprintf("%d.%d", slices.Index(v.schedule.vms, v), v.starts)
	v.claims = &Claims{
		Registers: ownerRegister{v, owner}, Timers: v.schedule.timers, Owner: owner,
		OwnerStopped: func(string) bool { return v.schedule.rng.IntN(4) == 0 },
	}
}

// runSchedule runs a seeded schedule of actors on three VMs and two keys.
func runSchedule(seed uint64, injected fault) *schedule {
	s := &schedule{
		rng: rand.New(rand.NewPCG(seed, 1)), fault: injected, timers: dhtimer.NewStepped(), pending: make(chan *pendingOp),
		runs: make(map[string]int), notRun: make(map[string]int),
	}
	for range 3 {
		v := &vm{schedule: s}
		s.vms = append(s.vms, v)
		v.start()
	}
	group := dhgroup.New(context.Background())
	var waiting []*pendingOp
	for actor := range 12 {
		group.Go(func(ctx context.Context) error {
			v := s.vms[actor%3]
			start := &pendingOp{actor: actor, vm: v, apply: func() ([]byte, error) { return nil, nil }}
			_, _ = s.wait(start)
			s.runActor(context.WithValue(ctx, actorKey{}, actor), actor, v.claims)
			s.pending <- &pendingOp{}
			return nil
		})
		waiting = append(waiting, <-s.pending)
	}
	for len(waiting) > 0 {
		i := s.rng.IntN(len(waiting))
		p := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		p.reply <- s.chooseOutcome(p)
		if next := <-s.pending; next.apply != nil {
			waiting = append(waiting, next)
		}
	}
	_ = group.Wait()
	return s
}

// chooseOutcome selects at random whether an operation succeeds, fails, is
// delayed or is interrupted by a crash, and returns the reply.
func (s *schedule) chooseOutcome(p *pendingOp) reply {
	if p.owner == "" {
		return reply{}
	}
	if p.owner != p.vm.claims.Owner {
		return reply{err: errCrashed}
	}
	if len(s.delayedWrites) > 0 && s.rng.IntN(3) == 0 {
		s.delayedWrites[0]()
		s.delayedWrites = s.delayedWrites[1:]
	}
	if s.rng.IntN(8) == 0 {
		s.timers.Step(time.Duration(s.rng.IntN(8)) * time.Second)
	}
	unreachable := dhcode.Errorf(dhcode.QuorumUnreachable, "no quorum")
	switch n := s.rng.IntN(100); {
	case n < 6: // the write is applied, but the response is lost
		_, _ = p.apply()
		return reply{err: unreachable}
	case n < 12:
		return reply{err: unreachable}
	case n < 18: // the write is applied later
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = p.apply() })
		return reply{err: unreachable}
	case n < 22:
		if n%2 == 0 {
			_, _ = p.apply()
		}
		p.vm.start()
		return reply{err: errCrashed}
	}
	value, err := p.apply()
	return reply{value, err}
}

type input struct {
	kind   string
	key    string
	actor  int
	answer string
}

type output struct {
	code   dhcode.Code
	answer string
}

// record calls f and adds it to the history as one operation. An operation with
// an unknown outcome gets no return time, so it may take effect at any later
// time.
func (s *schedule) record(in input, f func() (string, error)) error {
	s.now++
	op := porcupine.Operation{ClientId: in.actor, Input: in, Call: s.now}
	answer, err := f()
	s.now++
	op.Return = s.now
	out := output{code: dhcode.Of(err), answer: answer}
	if errors.Is(err, errCrashed) || out.code == dhcode.OutcomeUnknown {
		out.code, op.Return = dhcode.OutcomeUnknown, math.MaxInt64
	}
	op.Output = out
	s.history = append(s.history, op)
	return err
}

// runActor handles one request as an entry VM does.
func (s *schedule) runActor(ctx context.Context, actor int, c *Claims) {
	key := fmt.Sprintf("key-%d", actor%2)
	r := Request{Account: "crew-east", Key: key, ID: "request", Hash: [32]byte{1}}
	in := func(kind string) input { return input{kind: kind, key: key, actor: actor, answer: fmt.Sprint(actor)} }
	if s.rng.IntN(20) == 0 {
		s.refuse(ctx, in("refuse"), r, c)
		return
	}
	var claim *Claim
	err := s.record(in("take"), func() (string, error) {
		taken, status, err := c.Take(ctx, r)
		claim = taken
		if status != nil {
			return status.Answer.GetText(), err
		}
		return "", err
	})
	if dhcode.Of(err) == dhcode.ClosedNotRun {
		s.notRun[key]++
	}
	if claim == nil || errors.Is(err, errCrashed) {
		return
	}
	err = s.record(in("dispatch"), func() (string, error) { return "", s.dispatch(ctx, c, claim) })
	if errors.Is(err, errCrashed) {
		return
	}
	if err != nil || s.rng.IntN(20) == 0 {
		s.close(ctx, in("close"), c, claim)
		return
	}
	s.runs[key]++
	answer := &dhpb.AskResponse{Text: in("").answer}
	for range 2 {
		if s.rng.IntN(6) == 0 {
			err = c.Break(ctx, claim)
		} else {
			err = s.record(in("finish"), func() (string, error) { return "", c.Finish(ctx, claim, dhcode.OK, answer) })
		}
		if err == nil || errors.Is(err, errCrashed) {
			return
		}
	}
}

func (s *schedule) refuse(ctx context.Context, in input, r Request, c *Claims) {
	var status *Status
	err := s.record(in, func() (string, error) {
		var err error
		status, err = c.Refuse(ctx, r)
		return status.answer(), err
	})
	if err == nil && status == nil {
		s.notRun[in.key]++
	}
}

func (s *Status) answer() string {
	if s == nil {
		return ""
	}
	return s.Answer.GetText()
}

func (s *schedule) close(ctx context.Context, in input, c *Claims, claim *Claim) {
	if s.fault == closeWithoutRegister {
		s.notRun[in.key]++
		_ = s.record(in, func() (string, error) { return "", nil })
		return
	}
	if err := s.record(in, func() (string, error) { return "", c.Close(ctx, claim) }); err == nil {
		s.notRun[in.key]++
	}
}

// dispatch calls Dispatch or the faulty variant of it that the schedule injects.
func (s *schedule) dispatch(ctx context.Context, c *Claims, claim *Claim) error {
	switch s.fault {
	case dispatchWithoutClaim:
		claim.dispatched = true
		return nil
	case ignoreAttempt:
		_, err := c.Registers.Update(ctx, claim.key, func(old []byte) ([]byte, error) {
			v := &dhpb.ClaimValue{}
			if err := proto.Unmarshal(old, v); err != nil {
				return nil, err
			}
			v.Take, v.State = claim.take, dhpb.ClaimState_CLAIM_STATE_DISPATCHING
			return proto.Marshal(v)
		})
		claim.dispatched = err == nil
		return err
	}
	return c.Dispatch(ctx, claim)
}

// keyState is the state of one key in the sequential specification.
type keyState struct {
	name   string // "", running, done or closed
	actor  int
	answer string
}

func model() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, 2)
			for _, op := range history {
				i := int(op.Input.(input).key[len("key-")] - '0')
				parts[i] = append(parts[i], op)
			}
			return parts
		},
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, in, out any) []any { return step(state.(keyState), in.(input), out.(output)) },
	}
	return m.ToModel()
}

// step returns the states that may follow p given an operation and its output. No
// state means that the output is not allowed.
func step(p keyState, in input, out output) []any {
	changed := successors(p, in)
	if out.code == dhcode.OutcomeUnknown {
		return append(changed, p)
	}
	unchangedIf := func(ok bool) []any {
		if ok {
			return []any{p}
		}
		return nil
	}
	reads := in.kind == "take" || in.kind == "refuse"
	switch {
	case reads && out.answer != "":
		return unchangedIf(p.name == "done" && p.answer == out.answer)
	case out.code == dhcode.ClosedNotRun:
		return unchangedIf(p.name == "closed")
	case out.code == dhcode.InProgress:
		return unchangedIf(p.name != "closed" && (p.name != "done" || !reads))
	case out.code != dhcode.OK:
		return []any{p}
	}
	return changed
}

// successors returns the state after in succeeds, or nil if in cannot succeed in
// state p.
func successors(p keyState, in input) []any {
	own := p.name == "running" && p.actor == in.actor
	switch {
	case in.kind == "take" && p.name == "":
		return []any{p}
	case in.kind == "dispatch" && p.name == "":
		return []any{keyState{name: "running", actor: in.actor}}
	case in.kind == "finish" && (own || p.name == "done" && p.answer == in.answer):
		return []any{keyState{name: "done", answer: in.answer}}
	case in.kind == "refuse" && (p.name == "" || p.name == "closed"),
		in.kind == "close" && (p.name == "" || p.name == "closed" || own):
		return []any{keyState{name: "closed"}}
	}
	return nil
}

// check returns an error if a finished schedule violates a guarantee.
func (s *schedule) check() error {
	for _, key := range []string{"key-0", "key-1"} {
		if s.runs[key] > 1 {
			return fmt.Errorf("%s ran %d times", key, s.runs[key])
		}
		if s.runs[key] > 0 && s.notRun[key] > 0 {
			return fmt.Errorf("%s ran and was answered \"not run\"", key)
		}
	}
	if result := porcupine.CheckOperationsTimeout(model(), s.history, 0); result != porcupine.Ok {
		return errors.New("the history is not linearizable")
	}
	return nil
}
