package dhquorum

import (
	"context"

	"dandelionhoist.example/dh/dhjournal"
)

// pruneKeys limits the registers that one call of Prune visits, so that it does
// not block the voter's goroutine for long. Map iteration starts at a random
// key, so repeated calls reach all registers.
const pruneKeys = 50_000

// Prune lets the owner of a group of registers shrink or delete expired values.
// It calls keep with each value and that of the register clockKey; keep returns
// the value to keep, or false to delete the register. Every reader must treat
// the kept value, or its absence, like the old one. Prune writes nothing to
// disk itself: the next snapshot contains the result, and after a restart
// before that snapshot the values are pruned again.
func (v *Voter) Prune(ctx context.Context, clockKey string, keep func(key string, value, clock []byte) ([]byte, bool)) error {
	return v.do(ctx, func(*dhjournal.Journal) error {
		clock, err := parseStored(v.state.get(clockKey).value)
		if err != nil {
			return err
		}
		visited := 0
		for key, r := range v.state.registers {
			if visited++; visited > pruneKeys {
				return nil
			}
			if err := v.state.prune(key, r, clock.value, keep); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *state) prune(key string, r *register, clock []byte, keep func(key string, value, clock []byte) ([]byte, bool)) error {
	old, err := parseStored(r.value)
	if err != nil || len(old.ops) == 0 {
		return err
	}
	kept, ok := keep(key, old.value, clock)
	switch {
	case !ok:
		s.drop(key)
	case len(kept) != len(old.value):
		value := storedValue{ops: old.ops, value: kept}
		s.put(key, &register{promised: r.promised, accepted: r.accepted, value: value.encode()})
	}
	return nil
}

func (s *state) drop(key string) {
	s.bytes -= sizeOf(key, s.registers[key])
	delete(s.registers, key)
	s.sorted, s.unsorted = nil, nil
}
