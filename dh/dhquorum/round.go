package dhquorum

import (
	"context"
	"sync"
	"sync/atomic"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// answer is the response of one voter in a round.
type answer struct {
	member Member
	err    error
	epoch  uint64
	voters []byte
	// ok is set when the voter accepted the request.
	ok                 bool
	promised, accepted ballot
	value              []byte
}

// round is the state of one message that is sent to all voters of a set.
type round struct {
	set        VoterSet
	answers    map[string]answer
	refusal    error
	newerEpoch bool
	preempted  bool
}

// runRound sends to all voters and collects answers until enough returns true,
// no quorum can be reached, or ctx ends. Messages to slower voters continue
// until their own timeout, so that these voters do not fall behind.
func (p *Proposer) runRound(ctx context.Context, set VoterSet, send func(ctx context.Context, m Member) answer,
	enough func(r *round) bool,
) (*round, error) {
	r := &round{set: set, answers: make(map[string]answer)}
	if set.Epoch < servingEpoch {
		return r, errUnreachable
	}
	members := set.Members()
	answers := make(chan answer, len(members))
	p.broadcast(ctx, members, func(ctx context.Context, m Member) { answers <- send(ctx, m) })
	for range members {
		select {
		case a := <-answers:
			p.addAnswer(r, a)
		case <-ctx.Done():
			return r, errUnreachable
		}
		if enough(r) {
			return r, nil
		}
		if r.newerEpoch {
			return r, errEpoch
		}
	}
	switch {
	case r.preempted:
		return r, errContended
	case r.refusal != nil:
		return r, r.refusal
	}
	return r, errUnreachable
}

// broadcast calls send for each member on its own goroutine, with a context
// that is not cancelled with ctx but after the timeout of one try.
func (p *Proposer) broadcast(ctx context.Context, members []Member, send func(ctx context.Context, m Member)) {
	tryCtx, cancel := dhtimer.WithTimeout(context.WithoutCancel(ctx), p.Timers, p.tryTimeout())
	group := dhgroup.New(tryCtx)
	var pending atomic.Int64
	pending.Store(int64(len(members)))
	for _, m := range members {
		group.Go(func(ctx context.Context) error {
			send(ctx, m)
			if pending.Add(-1) == 0 {
				cancel()
			}
			return nil
		})
	}
}

// addAnswer adds an answer to the round.
func (p *Proposer) addAnswer(r *round, a answer) {
	p.observe(a.promised)
	switch {
	case a.err != nil:
		switch dhcode.Of(a.err) {
		case dhcode.KeyExpired, dhcode.TableFull, dhcode.RequestMalformed, dhcode.RequestTooLarge:
			r.refusal = a.err
		}
	case a.epoch > r.set.Epoch:
		if set, err := ParseVoterSet(a.voters); err == nil {
			p.Adopt(set)
			r.newerEpoch = true
		}
	case a.ok:
		r.answers[a.member.ID] = a
	case a.epoch == r.set.Epoch:
		r.preempted = true
	}
}

// quorum reports whether the answers that satisfy has come from a quorum.
func (r *round) quorum(has func(a answer) bool) bool {
	return r.set.Quorum(func(id string) bool {
		a, ok := r.answers[id]
		return ok && has(a)
	})
}

func (r *round) hasQuorum() bool { return r.quorum(func(answer) bool { return true }) }

// sendVerified sends one message and rejects the answer of a voter with another
// identity or a rolled-back disk. A voter with an older set is sent the current
// one and asked again.
func (p *Proposer) sendVerified(ctx context.Context, set VoterSet, m Member,
	send func() (a answer, id string, sequence uint64),
) answer {
	for setSent := false; ; setSent = true {
		seen := p.Sequences.Highest(m.ID)
		a, id, sequence := send()
		a.member = m
		if a.err != nil {
			return a
		}
		if id != m.ID {
			a.err = dhcode.Errorf(dhcode.QuorumUnreachable, "voter at %s has identity %s, not %s", m.Address, id, m.ID)
			return a
		}
		// The answer was sent after the voter had synced record number seen.
		if sequence < seen {
			p.Sequences.MarkRolledBack(id)
			a.err = dhcode.Errorf(dhcode.VoterRolledBack,
				"voter %s answers with record %d after record %d: its disk was rolled back", id, sequence, seen)
			return a
		}
		p.Sequences.Observe(id, sequence)
		if a.epoch >= set.Epoch || setSent {
			return a
		}
		if ok, err := p.InstallSet(ctx, set, m); err != nil || !ok {
			a.ok = false
			return a
		}
	}
}

// sendRead is sendVerified for ReadState, whose response carries no identity. A voter
// answers with the set's epoch only after it installed a set that contains it, so that the
// address tells which member answers, unless two members share it. Neither of these is
// counted: the new voter of a VM that lost its disk would stand for the lost one too, and
// what was decided could be missed. No majority needs them: one of the two never answers.
func (p *Proposer) sendRead(ctx context.Context, set VoterSet, m Member,
	send func() (a answer, id string, sequence uint64),
) answer {
	if set.sharesAddress(m) {
		return answer{member: m, err: dhcode.Errorf(dhcode.QuorumUnreachable, "two voters of epoch %d have the address %s", set.Epoch, m.Address)}
	}
	return p.sendVerified(ctx, set, m, send)
}

// InstallSet sends a decided set to a voter and reports whether the voter has installed it.
func (p *Proposer) InstallSet(ctx context.Context, set VoterSet, m Member) (bool, error) {
	r, err := p.Transport.Accept(ctx, m.Address, &dhpb.AcceptRequest{Epoch: set.Epoch, Key: VotersKey, Value: set.Encode()})
	if err != nil {
		return false, err
	}
	return r.Ok && r.VoterId == m.ID, nil
}

// prepared is the result of a quorum of promises.
type prepared struct {
	accepted ballot
	value    []byte
	// decided is set when the value is known to be accepted by a quorum, or there is none.
	decided bool
}

func (p *Proposer) prepare(ctx context.Context, set VoterSet, key string, b ballot) (prepared, error) {
	request := &dhpb.PrepareRequest{Epoch: set.Epoch, Key: key, Ballot: b.message()}
	r, err := p.runRound(ctx, set, func(ctx context.Context, m Member) answer {
		return p.sendVerified(ctx, set, m, func() (answer, string, uint64) {
			a, err := p.Transport.Prepare(ctx, m.Address, request)
			return answer{
				err: err, epoch: a.GetEpoch(), voters: a.GetVoters(), ok: a.GetOk(), value: a.GetValue(),
				promised: ballotOf(a.GetPromised()), accepted: ballotOf(a.GetAccepted()),
			}, a.GetVoterId(), a.GetSequence()
		})
	}, (*round).hasQuorum)
	if err != nil {
		return prepared{}, err
	}
	var found prepared
	for _, a := range r.answers {
		if found.accepted.less(a.accepted) {
			found.accepted, found.value = a.accepted, a.value
		}
	}
	found.decided = found.accepted == ballot{} ||
		r.quorum(func(a answer) bool { return a.accepted == found.accepted })
	return found, nil
}

func (p *Proposer) accept(ctx context.Context, set VoterSet, key string, b ballot, value []byte) error {
	request := &dhpb.AcceptRequest{Epoch: set.Epoch, Key: key, Ballot: b.message(), Value: value}
	_, err := p.runRound(ctx, set, func(ctx context.Context, m Member) answer {
		return p.sendVerified(ctx, set, m, func() (answer, string, uint64) {
			a, err := p.Transport.Accept(ctx, m.Address, request)
			return answer{
				err: err, epoch: a.GetEpoch(), voters: a.GetVoters(), ok: a.GetOk(),
				promised: ballotOf(a.GetPromised()),
			}, a.GetVoterId(), a.GetSequence()
		})
	}, (*round).hasQuorum)
	return err
}

// knownValues caches the last agreed value of a few registers, so that voters
// do not send a large value again. The zero value is ready to use.
type knownValues struct {
	mu     sync.Mutex
	values map[string]knownValue
}

type knownValue struct {
	accepted ballot
	value    []byte
}

// maxKnownValues limits the cached registers. Only a few are read repeatedly.
const maxKnownValues = 8

func (k *knownValues) get(key string) knownValue {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.values[key]
}

func (k *knownValues) put(key string, a answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.values[key]; !known && len(k.values) >= maxKnownValues {
		return
	}
	if k.values == nil {
		k.values = make(map[string]knownValue)
	}
	k.values[key] = knownValue{accepted: a.accepted, value: a.value}
}

// readAgreed returns the value that a quorum has accepted under one ballot.
// A value that was decided before the read began is on a majority, so at most a
// minority can still return an older one.
func (p *Proposer) readAgreed(ctx context.Context, key string) ([]byte, error) {
	set := p.Set()
	known := p.known.get(key)
	request := &dhpb.ReadStateRequest{Prefix: key, Known: known.accepted.message(), Epoch: set.Epoch}
	var agreed answer
	_, err := p.runRound(ctx, set, func(ctx context.Context, m Member) answer {
		return p.sendRead(ctx, set, m, func() (answer, string, uint64) {
			a, err := p.Transport.ReadState(ctx, m.Address, request)
			got := answer{err: err, epoch: a.GetEpoch(), voters: a.GetVoters(), ok: a.GetEpoch() == set.Epoch}
			if rs := a.GetRegisters(); len(rs) > 0 {
				got.accepted, got.value = ballotOf(rs[0].Accepted), rs[0].Value
				if got.accepted == known.accepted {
					got.value = known.value
				}
			}
			return got, m.ID, a.GetSequence()
		})
	}, func(r *round) bool {
		for _, a := range r.answers {
			if r.quorum(func(o answer) bool { return o.accepted == a.accepted }) {
				agreed = a
				return true
			}
		}
		return false
	})
	if err != nil {
		return nil, err
	}
	p.known.put(key, agreed)
	s, err := parseStored(agreed.value)
	if err != nil {
		return nil, dhcode.Wrap(dhcode.DiskCorrupt, err)
	}
	return s.value, nil
}
