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

// answer is one voter's answer in a round.
type answer struct {
	member Member
	err    error
	epoch  uint64
	voters []byte
	// ok is set when the voter did what was asked.
	ok                 bool
	promised, accepted ballot
	value              []byte
}

// round is the state of one message to all voters of a set.
type round struct {
	set     VoterSet
	answers map[string]answer
	refusal error
	epoch   bool
	lost    bool
}

// run sends to all voters and takes answers until enough returns true, no
// quorum can be reached, or ctx ends. Messages to slower voters go on until
// their own timeout, so that these voters do not fall behind.
func (p *Proposer) run(ctx context.Context, set VoterSet, send func(ctx context.Context, m Member) answer,
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
			p.take(r, a)
		case <-ctx.Done():
			return r, errUnreachable
		}
		if enough(r) {
			return r, nil
		}
		if r.epoch {
			return r, errEpoch
		}
	}
	switch {
	case r.lost:
		return r, errContended
	case r.refusal != nil:
		return r, r.refusal
	}
	return r, errUnreachable
}

// broadcast calls send for each member on a goroutine of its own, with a
// context that outlives ctx by up to one try.
func (p *Proposer) broadcast(ctx context.Context, members []Member, send func(ctx context.Context, m Member)) {
	tryCtx, cancel := dhtimer.WithTimeout(context.WithoutCancel(ctx), p.Timers, p.tryTimeout())
	group := dhgroup.New(tryCtx)
	var left atomic.Int64
	left.Store(int64(len(members)))
	for _, m := range members {
		group.Go(func(ctx context.Context) error {
			send(ctx, m)
			if left.Add(-1) == 0 {
				cancel()
			}
			return nil
		})
	}
}

// take adds an answer to the round.
func (p *Proposer) take(r *round, a answer) {
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
			r.epoch = true
		}
	case a.ok:
		r.answers[a.member.ID] = a
	case a.epoch == r.set.Epoch:
		r.lost = true
	}
}

// quorum reports whether a quorum's answers satisfy has.
func (r *round) quorum(has func(a answer) bool) bool {
	return r.set.Quorum(func(id string) bool {
		a, ok := r.answers[id]
		return ok && has(a)
	})
}

func (r *round) complete() bool { return r.quorum(func(answer) bool { return true }) }

// checked sends one message and drops the answer of a voter with another
// identity or with a rolled-back disk. A voter that is behind in the set is
// told and asked again.
func (p *Proposer) checked(ctx context.Context, set VoterSet, m Member,
	send func() (a answer, id string, sequence uint64),
) answer {
	for taught := false; ; taught = true {
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
		// The voter answered after it had synced record number seen.
		if sequence < seen {
			p.Sequences.Distrust(id)
			a.err = dhcode.Errorf(dhcode.VoterRolledBack,
				"voter %s answers with record %d after record %d: its disk was rolled back", id, sequence, seen)
			return a
		}
		p.Sequences.Observe(id, sequence)
		if a.epoch >= set.Epoch || taught {
			return a
		}
		if ok, err := p.Teach(ctx, set, m); err != nil || !ok {
			a.ok = false
			return a
		}
	}
}

// Teach sends a decided set to a voter and reports whether it is installed there.
func (p *Proposer) Teach(ctx context.Context, set VoterSet, m Member) (bool, error) {
	r, err := p.Transport.Accept(ctx, m.Address, &dhpb.AcceptRequest{Epoch: set.Epoch, Key: VotersKey, Value: set.Encode()})
	if err != nil {
		return false, err
	}
	return r.Ok && r.VoterId == m.ID, nil
}

// prepared is what a quorum of promises found.
type prepared struct {
	accepted ballot
	value    []byte
	// decided is set when the value is known to be accepted by a quorum, or there is none.
	decided bool
}

func (p *Proposer) prepare(ctx context.Context, set VoterSet, key string, b ballot) (prepared, error) {
	request := &dhpb.PrepareRequest{Epoch: set.Epoch, Key: key, Ballot: b.message()}
	r, err := p.run(ctx, set, func(ctx context.Context, m Member) answer {
		return p.checked(ctx, set, m, func() (answer, string, uint64) {
			a, err := p.Transport.Prepare(ctx, m.Address, request)
			return answer{
				err: err, epoch: a.GetEpoch(), voters: a.GetVoters(), ok: a.GetOk(), value: a.GetValue(),
				promised: ballotOf(a.GetPromised()), accepted: ballotOf(a.GetAccepted()),
			}, a.GetVoterId(), a.GetSequence()
		})
	}, (*round).complete)
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
	_, err := p.run(ctx, set, func(ctx context.Context, m Member) answer {
		return p.checked(ctx, set, m, func() (answer, string, uint64) {
			a, err := p.Transport.Accept(ctx, m.Address, request)
			return answer{
				err: err, epoch: a.GetEpoch(), voters: a.GetVoters(), ok: a.GetOk(),
				promised: ballotOf(a.GetPromised()),
			}, a.GetVoterId(), a.GetSequence()
		})
	}, (*round).complete)
	return err
}

// knownValues remembers the last agreed value of each register in use, so that
// voters do not send a large value again. The zero value is ready.
type knownValues struct {
	mu   sync.Mutex
	rows map[string]knownValue
}

type knownValue struct {
	accepted ballot
	value    []byte
}

// maxKnownValues bounds the remembered registers. Only a few are read again and again.
const maxKnownValues = 8

func (k *knownValues) get(key string) knownValue {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rows[key]
}

func (k *knownValues) put(key string, a answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.rows[key]; !known && len(k.rows) >= maxKnownValues {
		return
	}
	if k.rows == nil {
		k.rows = make(map[string]knownValue)
	}
	k.rows[key] = knownValue{accepted: a.accepted, value: a.value}
}

// readAgreed returns the value that a quorum has accepted under one ballot.
// A value that was in force before the read began is on a majority, so that at
// most a minority can still show an older one.
func (p *Proposer) readAgreed(ctx context.Context, key string) ([]byte, error) {
	set := p.Set()
	known := p.known.get(key)
	request := &dhpb.ReadStateRequest{Prefix: key, Known: known.accepted.message(), Epoch: set.Epoch}
	var agreed answer
	_, err := p.run(ctx, set, func(ctx context.Context, m Member) answer {
		return p.checked(ctx, set, m, func() (answer, string, uint64) {
			a, err := p.Transport.ReadState(ctx, m.Address, request)
			got := answer{err: err, epoch: a.GetEpoch(), voters: a.GetVoters(), ok: a.GetEpoch() == set.Epoch}
			if rs := a.GetRegisters(); len(rs) > 0 {
				got.accepted, got.value = ballotOf(rs[0].Accepted), rs[0].Value
				if got.accepted == known.accepted {
					got.value = known.value
				}
			}
			// The message has no identity. A voter answers with the set's
			// epoch only after it installed a set that contains it.
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
