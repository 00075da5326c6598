package dhquorum

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhjournal"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// Bootstrap creates the first voter set from addresses and zones, or returns
// the existing one. It is safe to run on several VMs and again after a failure.
// Before any register is used, every voter has synced the identities of all
// voters (epoch 1), so that a disk wiped in between is detected by its new
// identity.
func (p *Proposer) Bootstrap(ctx context.Context, addresses []Member) (VoterSet, error) {
	first := VoterSet{Epoch: 1}
	// All VMs must build the same set, whatever the order in their settings.
	addresses = slices.SortedFunc(slices.Values(addresses), func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	var identityErr error
	for _, m := range addresses {
		a, err := p.identity(ctx, m.Address)
		if err != nil {
			// Another voter may still know the current set.
			identityErr = unreachable(fmt.Errorf("identity of the voter at %s: %w", m.Address, err))
			continue
		}
		if set, err := ParseVoterSet(a.Voters); err == nil && set.Epoch >= servingEpoch {
			p.Adopt(set)
			return set, nil
		}
		m.ID = a.VoterId
		first.Voters = append(first.Voters, m)
	}
	if identityErr != nil {
		return VoterSet{}, identityErr
	}
	for _, m := range first.Voters {
		if ok, err := p.InstallSet(ctx, first, m); err != nil || !ok {
			return VoterSet{}, unreachable(fmt.Errorf("voter at %s does not install the first set: %w", m.Address, err))
		}
	}
	set := VoterSet{Epoch: servingEpoch, Voters: first.Voters}
	p.Adopt(set)
	p.installOnAll(ctx, set)
	return set, nil
}

// identity asks the voter at an address for its identity and its voter set.
func (p *Proposer) identity(ctx context.Context, address string) (*dhpb.PrepareResponse, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, p.Timers, p.tryTimeout())
	defer cancel()
	return p.Transport.Prepare(ctx, address, &dhpb.PrepareRequest{Key: VotersKey})
}

// installOnAll sends a set to all its voters. Voters that do not receive it
// get it with the next message about a register.
func (p *Proposer) installOnAll(ctx context.Context, set VoterSet) {
	p.broadcast(ctx, set.Members(), func(ctx context.Context, m Member) {
		_, _ = p.InstallSet(ctx, set, m)
	})
}

// Replace starts the replacement of a voter with a joint set. The new voter
// completes it with Join. Code voter-epoch-old means that another proposer
// changed the set; its newest version is then adopted.
func (p *Proposer) Replace(ctx context.Context, old string, member Member) (VoterSet, error) {
	base := p.Set()
	next, err := base.WithReplacement(old, member)
	if err != nil {
		return VoterSet{}, dhcode.Wrap(dhcode.VoterEpochOld, err)
	}
	return p.change(ctx, base, next)
}

// Add starts the addition of a voter with a joint set, which the new voter
// completes with Join. It returns the same errors as Replace.
func (p *Proposer) Add(ctx context.Context, member Member) (VoterSet, error) {
	base := p.Set()
	next, err := base.WithAddition(member)
	if err != nil {
		return VoterSet{}, dhcode.Wrap(dhcode.VoterEpochOld, err)
	}
	return p.change(ctx, base, next)
}

// Find adopts the newest voter set known by any of the VMs at the addresses.
// It never creates one. Code quorum-unreachable means that none was found.
func (p *Proposer) Find(ctx context.Context, addresses []string) (VoterSet, error) {
	var lastErr error
	for _, address := range addresses {
		a, err := p.identity(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		if set, err := ParseVoterSet(a.Voters); err == nil && set.Epoch >= servingEpoch {
			p.Adopt(set)
		}
	}
	if set := p.Set(); set.Epoch >= servingEpoch {
		return set, nil
	}
	if lastErr == nil {
		lastErr = dhcode.Errorf(dhcode.QuorumUnreachable, "no voter set is known at %d addresses", len(addresses))
	}
	return VoterSet{}, unreachable(lastErr)
}

// Abort cancels a replacement whose new voter is unresponsive. The set consists
// of the old voters again.
func (p *Proposer) Abort(ctx context.Context) (VoterSet, error) {
	base := p.Set()
	if !base.Joint() {
		return VoterSet{}, dhcode.Errorf(dhcode.VoterEpochOld, "no replacement is in progress in epoch %d", base.Epoch)
	}
	return p.change(ctx, base, base.AfterJoint(false))
}

// change decides the set that follows base. A quorum of base makes the
// decision: the update function fails once this proposer knows a newer set, so
// that no try runs under another epoch.
func (p *Proposer) change(ctx context.Context, base, next VoterSet) (VoterSet, error) {
	data, err := p.Update(ctx, VotersKey, func(old []byte) ([]byte, error) {
		if epoch := p.Set().Epoch; epoch != base.Epoch {
			return nil, dhcode.Errorf(dhcode.VoterEpochOld, "voter set has epoch %d, not %d", epoch, base.Epoch)
		}
		if set, err := ParseVoterSet(old); err == nil && set.Epoch > base.Epoch {
			return old, nil
		}
		return next.Encode(), nil
	})
	if err != nil {
		return VoterSet{}, err
	}
	set, err := ParseVoterSet(data)
	if err != nil {
		return VoterSet{}, dhcode.Wrap(dhcode.DiskCorrupt, err)
	}
	p.Adopt(set)
	p.installOnAll(ctx, set)
	if string(data) != string(next.Encode()) {
		return set, dhcode.Errorf(dhcode.VoterEpochOld, "another change of the voter set came first, epoch %d", set.Epoch)
	}
	return set, nil
}

// Join copies all registers to a new voter and then makes it a full voter. It
// is called on the new voter's VM when its set is joint and it is the joining
// voter, and again after a failure. Only ctx limits the duration.
//
// The set of the next voters alone is safe afterwards for these reasons. A
// majority of the old voters have installed the joint epoch before they are
// read, so a majority of old voters alone can decide nothing more. The new
// voter holds everything they had decided or promised before, and therefore
// represents a majority of the old ones: a majority of the next voters either
// contains it or is a majority of the old ones. That also holds for an
// addition, since a majority of n+1 voters without the new one is a majority of
// the n old voters. Whatever is decided during the joint epoch is stored on a
// majority of the next voters.
func (p *Proposer) Join(ctx context.Context, v *Voter) (VoterSet, error) {
	status := v.Status()
	joint := status.Set
	if m, ok := joint.Joining(); !ok || m.ID != status.ID {
		return VoterSet{}, dhcode.Errorf(dhcode.VoterEpochOld, "voter %s does not join in epoch %d", status.ID, joint.Epoch)
	}
	p.Adopt(joint)
	if p.Set().Epoch != joint.Epoch {
		return VoterSet{}, dhcode.Errorf(dhcode.VoterEpochOld, "voter set has epoch %d, not %d", p.Set().Epoch, joint.Epoch)
	}
	if !v.faults.skipCatchUp {
		if err := p.catchUp(ctx, joint, v); err != nil {
			return VoterSet{}, err
		}
	}
	return p.change(ctx, joint, joint.AfterJoint(true))
}

func (p *Proposer) catchUp(ctx context.Context, joint VoterSet, v *Voter) error {
	c, err := p.collect(ctx, joint, "", func(complete func(string) bool) bool {
		return majority(joint.Voters, complete)
	})
	if err != nil {
		return unreachable(fmt.Errorf("state of the old voters: %w", err))
	}
	// A value accepted by a majority is decided and can be copied. Any other
	// value is decided now, under the joint set: a copy of it could appear
	// decided although a higher ballot on an unread voter can replace it.
	var undecided []string
	registers := make([]*dhpb.RegisterState, 0, len(c.registers))
	for _, key := range slices.Sorted(maps.Keys(c.registers)) {
		m := c.registers[key]
		r := &dhpb.RegisterState{Key: key, Promised: m.promised.message()}
		if majority(joint.Voters, func(id string) bool { return m.holders[id] }) {
			r.Accepted, r.Value = m.accepted.message(), m.value
		} else {
			undecided = append(undecided, key)
		}
		registers = append(registers, r)
	}
	for len(registers) > 0 {
		n := min(len(registers), pageRegisters)
		if err := v.mergeRegisters(ctx, registers[:n], c.watermarks); err != nil {
			return err
		}
		registers = registers[n:]
	}
	if err := v.mergeRegisters(ctx, nil, c.watermarks); err != nil {
		return err
	}
	for _, key := range undecided {
		_, err := p.Update(ctx, key, func(old []byte) ([]byte, error) { return old, nil })
		if err != nil && dhcode.Of(err) != dhcode.KeyExpired {
			return err
		}
	}
	return nil
}

// mergeRegisters merges registers and watermarks of other voters and syncs them.
func (v *Voter) mergeRegisters(ctx context.Context, registers []*dhpb.RegisterState, watermarks map[string]uint64) error {
	return v.do(ctx, func(j *dhjournal.Journal) error {
		for prefix, bucket := range watermarks {
			if v.state.expire(prefix, bucket) {
				j.Append(protoRecord(recordWatermark, watermarkMessage(prefix, bucket)))
			}
		}
		for _, m := range registers {
			if !v.state.expired(m.Key) && v.state.merge(m) {
				r := v.state.get(m.Key)
				j.Append(protoRecord(recordRegister, r.message(m.Key)))
			}
		}
		return nil
	})
}
