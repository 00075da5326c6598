package dhquorum

import (
	"context"

	"dandelionhoist.example/dh/dhjournal"
)

// pruneKeys bounds the registers that one call of Prune looks at, so that the
// voter's goroutine is not held up. Map iteration starts at a random key, so
// repeated calls reach all of them.
const pruneKeys = 50_000

// Prune lets the owner of a group of registers shrink or drop values that have
// expired. Keep gets each value together with that of the register clockKey,
// and returns what to keep, or false to drop the register. It must decide so
// that every reader treats the kept value, or its absence, like the old one.
// Nothing is written at once: the next snapshot holds what is kept, and after
// a restart before it the values are pruned again.
func (v *Voter) Prune(ctx context.Context, clockKey string, keep func(key string, value, clock []byte) ([]byte, bool)) error {
	return v.do(ctx, func(*dhjournal.Journal) error {
		clock, err := parseStored(v.state.get(clockKey).value)
		if err != nil {
			return err
		}
		looked := 0
		for key, r := range v.state.registers {
			if looked++; looked > pruneKeys {
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
		value := stored{ops: old.ops, value: kept}
		s.put(key, &register{promised: r.promised, accepted: r.accepted, value: value.encode()})
	}
	return nil
}

func (s *state) drop(key string) {
	s.bytes -= sizeOf(key, s.registers[key])
	delete(s.registers, key)
	s.sorted, s.fresh = nil, nil
}
