package dhquorum

import (
	"context"
	"errors"
	"maps"
	"slices"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// maxPageTries is how many times one page is requested before its voter is skipped.
const maxPageTries = 5

// mergedRegister is the state of one key merged from several voters.
type mergedRegister struct {
	promised, accepted ballot
	value              []byte
	// holders are the voters that returned the accepted ballot.
	holders map[string]bool
}

// collection holds the merged registers of the voters that were read completely.
type collection struct {
	complete   map[string]bool
	registers  map[string]*mergedRegister
	watermarks map[string]uint64
}

func (c *collection) add(id string, registers []*dhpb.RegisterState) error {
	c.complete[id] = true
	for _, m := range registers {
		if m.Key != "" && m.Key[0] == 0 {
			prefix, bucket, err := parseWatermark(m)
			if err != nil {
				return dhcode.Wrap(dhcode.DiskCorrupt, err)
			}
			c.watermarks[prefix] = max(c.watermarks[prefix], bucket)
			continue
		}
		r := c.registers[m.Key]
		if r == nil {
			r = &mergedRegister{holders: make(map[string]bool)}
			c.registers[m.Key] = r
		}
		if b := ballotOf(m.Promised); r.promised.less(b) {
			r.promised = b
		}
		b := ballotOf(m.Accepted)
		if r.accepted.less(b) {
			r.accepted, r.value = b, m.Value
			clear(r.holders)
		}
		if r.accepted == b {
			r.holders[id] = true
		}
	}
	return nil
}

// collect reads all registers with a prefix from the voters of set until
// enough returns true for the voters that were read completely.
func (p *Proposer) collect(ctx context.Context, set VoterSet, prefix string,
	enough func(complete func(id string) bool) bool,
) (*collection, error) {
	type result struct {
		id        string
		registers []*dhpb.RegisterState
		err       error
	}
	members := set.Members()
	results := make(chan result, len(members))
	group := dhgroup.New(ctx)
	defer group.Stop()
	for _, m := range members {
		group.Go(func(ctx context.Context) error {
			registers, err := p.readRegisters(ctx, set, m, prefix)
			results <- result{id: m.ID, registers: registers, err: err}
			return nil
		})
	}
	c := &collection{complete: make(map[string]bool), registers: make(map[string]*mergedRegister), watermarks: make(map[string]uint64)}
	err := errUnreachable
	for range members {
		var r result
		select {
		case r = <-results:
		case <-ctx.Done():
			return nil, err
		}
		if errors.Is(r.err, errEpoch) {
			return nil, errEpoch
		}
		if r.err != nil {
			continue
		}
		if err := c.add(r.id, r.registers); err != nil {
			return nil, err
		}
		if enough(func(id string) bool { return c.complete[id] }) {
			return c, nil
		}
	}
	return nil, err
}

// readRegisters reads all registers with a prefix from one voter, all under the set's epoch.
func (p *Proposer) readRegisters(ctx context.Context, set VoterSet, m Member, prefix string) ([]*dhpb.RegisterState, error) {
	var all []*dhpb.RegisterState
	request := &dhpb.ReadStateRequest{Prefix: prefix, Limit: pageRegisters}
	for tries := 0; ; {
		page, err := p.readPage(ctx, set, m, request)
		if err != nil {
			if tries++; tries == maxPageTries || errors.Is(err, errEpoch) {
				return nil, err
			}
			if err := p.pause(ctx, tries, err); err != nil {
				return nil, err
			}
			continue
		}
		tries = 0
		all = append(all, page.Registers...)
		if !page.More || len(page.Registers) == 0 {
			return all, nil
		}
		request = &dhpb.ReadStateRequest{
			Prefix: prefix, Limit: pageRegisters,
			AfterKey: page.Registers[len(page.Registers)-1].Key,
		}
	}
}

func (p *Proposer) readPage(ctx context.Context, set VoterSet, m Member, request *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, p.Timers, p.tryTimeout())
	defer cancel()
	var page *dhpb.ReadStateResponse
	a := p.sendRead(ctx, set, m, func() (answer, string, uint64) {
		var err error
		page, err = p.Transport.ReadState(ctx, m.Address, request)
		return answer{err: err, epoch: page.GetEpoch(), voters: page.GetVoters()}, m.ID, page.GetSequence()
	})
	switch {
	case a.err != nil:
		return nil, a.err
	case a.epoch > set.Epoch:
		if newer, err := ParseVoterSet(a.voters); err == nil {
			p.Adopt(newer)
		}
		return nil, errEpoch
	case a.epoch < set.Epoch:
		return nil, errUnreachable
	}
	return page, nil
}

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
}

// List returns the registers whose keys have a prefix, in key order, as a
// majority of voters holds them. Each value is as recent as one returned by
// Read; different keys may be read at different times. Only ctx limits the
// duration.
func (p *Proposer) List(ctx context.Context, prefix string) ([]Entry, error) {
	for try := 0; ; try++ {
		set := p.Set()
		c, err := p.collect(ctx, set, prefix, set.Quorum)
		if err == nil {
			return p.entries(ctx, set, c)
		}
		if !retryable(err) {
			return nil, err
		}
		if p.pause(ctx, try, err) != nil {
			return nil, unreachable(err)
		}
	}
}

func (p *Proposer) entries(ctx context.Context, set VoterSet, c *collection) ([]Entry, error) {
	var entries []Entry
	for _, key := range slices.Sorted(maps.Keys(c.registers)) {
		value, err := p.agreedValue(ctx, set, key, c.registers[key])
		if dhcode.Of(err) == dhcode.KeyExpired {
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(value) > 0 {
			entries = append(entries, Entry{Key: key, Value: value})
		}
	}
	return entries, nil
}

// agreedValue returns the value of a collected key, and reads it again when the voters disagree.
func (p *Proposer) agreedValue(ctx context.Context, set VoterSet, key string, m *mergedRegister) ([]byte, error) {
	if !set.Quorum(func(id string) bool { return m.holders[id] }) {
		return p.Read(ctx, key)
	}
	s, err := parseStored(m.value)
	if err != nil {
		return nil, dhcode.Wrap(dhcode.DiskCorrupt, err)
	}
	return s.value, nil
}
