package dhquorum

import (
	"context"
	"fmt"
	"sync/atomic"
	"unicode/utf8"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhjournal"
	"dandelionhoist.example/dh/dhpb"
)

// defaultMaxRegisters limits a voter's registers when MaxRegisters is 0:
// about 1 GB of claims of 200 bytes with their keys.
const defaultMaxRegisters = 2_000_000

// Voter is the acceptor of all registers on one disk. The goroutine of Run
// handles its messages and syncs, and answers all waiting messages after one
// sync.
type Voter struct {
	// MaxRegisters limits the registers; 0 means 2 million. At the limit, a
	// message for a new key is refused with table-full.
	MaxRegisters int

	state     *state
	group     *dhjournal.Group
	confirmed bool
	status    atomic.Pointer[VoterStatus]
	faults    protocolFaults
}

// protocolFaults are set by tests to verify that the checks detect protocol violations.
type protocolFaults struct {
	forgetPromise, ignoreEpoch, skipCatchUp bool
}

// VoterStatus is a snapshot of a voter's state.
type VoterStatus struct {
	ID string
	// Sequence is the number of records synced.
	Sequence uint64
	Set      VoterSet
	// Confirmed is false until a restarted voter knows that its disk was not rolled back.
	Confirmed bool
	// Err is the error that stopped the voter, or nil.
	Err error
}

// OpenVoter opens the voter stored on a disk. A disk without one gets the
// identity newID, which must be random. Errors carry disk-failed or disk-corrupt.
func OpenVoter(disk dhdisk.Disk, newID string) (*Voter, error) {
	s := newState()
	j, err := dhjournal.Open(disk, "voter", s)
	if err != nil {
		return nil, err
	}
	v := &Voter{state: s, group: dhjournal.NewGroup(j), confirmed: s.id == ""}
	v.group.AfterCommit = func(j *dhjournal.Journal) { v.publish(j.Sequence()) }
	if s.id == "" {
		s.id = newID
		j.Append(record(recordIdentity, []byte(newID)))
		if err := j.Commit(); err != nil {
			return nil, err
		}
	}
	v.publish(j.Sequence())
	return v, nil
}

// Run serves messages until ctx ends or the disk fails.
func (v *Voter) Run(ctx context.Context) error {
	err := v.group.Run(ctx)
	if err != nil {
		s := *v.status.Load()
		s.Err = err
		v.status.Store(&s)
	}
	return err
}

// Status returns the voter's state after its last synced change.
func (v *Voter) Status() VoterStatus { return *v.status.Load() }

func (v *Voter) publish(sequence uint64) {
	s := &VoterStatus{ID: v.state.id, Sequence: sequence, Set: v.state.set, Confirmed: v.confirmed}
	if old := v.status.Load(); old != nil {
		s.Err = old.Err
	}
	v.status.Store(s)
}

// do runs f on the voter's goroutine and returns when all records that f appended are synced.
func (v *Voter) do(ctx context.Context, f func(j *dhjournal.Journal) error) error {
	var failed error
	err := v.group.Do(ctx, func(j *dhjournal.Journal) {
		if failed = v.Status().Err; failed == nil {
			failed = f(j)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// Confirm tells a restarted voter the highest record number that other VMs have
// seen of it, 0 for none. A lower number on disk means that the disk was
// restored from an older copy and that promises are lost: the voter then stops
// and returns voter-rolled-back. A voter answers no message before it is
// confirmed.
func (v *Voter) Confirm(ctx context.Context, seen uint64) error {
	return v.do(ctx, func(j *dhjournal.Journal) error {
		if own := j.Sequence(); own < seen {
			err := dhcode.Errorf(dhcode.VoterRolledBack,
				"voter %s has record %d on disk but has synced record %d before", v.state.id, own, seen)
			v.stop(err)
			return err
		}
		v.confirmed = true
		return nil
	})
}

func (v *Voter) stop(err error) {
	s := v.Status()
	s.Err = err
	v.status.Store(&s)
}

// Expire deletes all registers under prefix whose bucket is lower than before;
// see BucketKey.
func (v *Voter) Expire(ctx context.Context, prefix string, before uint64) error {
	return v.do(ctx, func(j *dhjournal.Journal) error {
		if v.state.expire(prefix, before) {
			j.Append(protoRecord(recordWatermark, watermarkMessage(prefix, before)))
		}
		return nil
	})
}

// check returns an error when the voter cannot serve a message for key.
func (v *Voter) check(key string) error {
	_, known := v.state.registers[key]
	limit := v.MaxRegisters
	if limit == 0 {
		limit = defaultMaxRegisters
	}
	switch {
	case !v.confirmed:
		return dhcode.Errorf(dhcode.QuorumUnreachable,
			"voter %s does not know yet whether its disk was rolled back", v.state.id)
	case key == "" || len(key) > MaxKeyBytes || key[0] == 0 || !utf8.ValidString(key):
		return dhcode.Errorf(dhcode.RequestMalformed, "register key of %d bytes is malformed or too long", len(key))
	case v.state.expired(key):
		return dhcode.Errorf(dhcode.KeyExpired, "register key has expired")
	case !known && len(v.state.registers) >= limit:
		return dhcode.Errorf(dhcode.TableFull, "voter %s holds %d registers", v.state.id, limit)
	}
	return nil
}

// servesEpoch reports whether the voter may serve a message of an epoch.
func (v *Voter) servesEpoch(epoch uint64) bool {
	return epoch == v.epoch(epoch) && epoch >= servingEpoch
}

// epoch returns the voter's epoch for its answer to a message of epoch message.
func (v *Voter) epoch(message uint64) uint64 {
	if v.faults.ignoreEpoch {
		return message
	}
	return v.state.set.Epoch
}

func (v *Voter) voters() []byte {
	if v.state.set.Epoch == 0 {
		return nil
	}
	return v.state.set.Encode()
}

// Prepare promises to accept nothing under a lower ballot.
func (v *Voter) Prepare(ctx context.Context, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	a := &dhpb.PrepareResponse{}
	err := v.do(ctx, func(j *dhjournal.Journal) error {
		a.VoterId, a.Epoch = v.state.id, v.epoch(m.Epoch)
		if !v.servesEpoch(m.Epoch) {
			a.Voters, a.Sequence = v.voters(), j.Appended()
			return nil
		}
		if err := v.check(m.Key); err != nil {
			return err
		}
		b, r := ballotOf(m.Ballot), v.state.get(m.Key)
		// A repeated ballot is refused: two runs of a proposer may choose the
		// same one, and only one of them may get a quorum for it.
		if r.promised.less(b) {
			a.Ok = true
			if !v.faults.forgetPromise {
				r.promised = b
				v.state.promise(m.Key, b)
				j.Append(protoRecord(recordPromise, &dhpb.RegisterState{Key: m.Key, Promised: m.Ballot}))
			}
		}
		a.Promised, a.Accepted, a.Value = r.promised.message(), r.accepted.message(), r.value
		a.Sequence = j.Appended()
		return nil
	})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Accept stores a value under a ballot, or installs a decided voter set.
func (v *Voter) Accept(ctx context.Context, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	if len(m.Value) > MaxValueBytes {
		return nil, dhcode.Errorf(dhcode.RequestTooLarge, "value has %d bytes, the limit is %d", len(m.Value), MaxValueBytes)
	}
	a := &dhpb.AcceptResponse{}
	err := v.do(ctx, func(j *dhjournal.Journal) error {
		if m.Key == VotersKey && m.Ballot == nil {
			return v.install(j, m, a)
		}
		a.VoterId, a.Epoch = v.state.id, v.epoch(m.Epoch)
		if !v.servesEpoch(m.Epoch) {
			a.Voters, a.Sequence = v.voters(), j.Appended()
			return nil
		}
		if err := v.check(m.Key); err != nil {
			return err
		}
		b, r := ballotOf(m.Ballot), v.state.get(m.Key)
		if !b.less(r.promised) {
			a.Ok = true
			if r.accepted != b {
				r = register{promised: b, accepted: b, value: m.Value}
				v.state.put(m.Key, &r)
				j.Append(protoRecord(recordRegister, r.message(m.Key)))
			}
		}
		a.Promised, a.Sequence = r.promised.message(), j.Appended()
		return nil
	})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// install applies a decided set that is newer and contains this voter. A voter
// with a wiped disk has a new identity, so it installs no set and serves no
// registers.
func (v *Voter) install(j *dhjournal.Journal, m *dhpb.AcceptRequest, a *dhpb.AcceptResponse) error {
	set, err := ParseVoterSet(m.Value)
	if err != nil {
		return dhcode.Wrap(dhcode.RequestMalformed, err)
	}
	if set.Epoch > v.state.set.Epoch && set.Contains(v.state.id) {
		v.state.set = set
		j.Append(record(recordVoters, set.Encode()))
	}
	a.Ok = string(v.voters()) == string(set.Encode())
	a.VoterId, a.Epoch, a.Voters, a.Sequence = v.state.id, v.state.set.Epoch, v.voters(), j.Appended()
	return nil
}

// ReadState returns a page of registers in key order. A request with limit 0
// returns only the register whose key is the prefix, without its value when the
// requester already knows it.
func (v *Voter) ReadState(ctx context.Context, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	a := &dhpb.ReadStateResponse{}
	err := v.do(ctx, func(j *dhjournal.Journal) error {
		a.Epoch, a.Sequence = v.state.set.Epoch, j.Appended()
		if m.Epoch == 0 || m.Epoch != a.Epoch {
			a.Voters = v.voters()
		}
		if !v.confirmed {
			return v.check(m.Prefix)
		}
		if m.Limit != 0 {
			limit := min(max(int(m.Limit), 1), pageRegisters)
			a.Registers, a.More = v.state.page(m.Prefix, m.AfterKey, limit)
			return nil
		}
		if v.state.expired(m.Prefix) {
			return v.check(m.Prefix)
		}
		if r := v.state.registers[m.Prefix]; r != nil {
			state := r.message(m.Prefix)
			if m.Known != nil && ballotOf(m.Known) == r.accepted {
				state.Value = nil
			}
			a.Registers = []*dhpb.RegisterState{state}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read state: %w", err)
	}
	return a, nil
}
