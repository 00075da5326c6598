package dhquorum

import (
	"encoding/binary"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhpb"
)

// ballot orders proposals by number and then by proposer.
type ballot struct {
	number   uint64
	proposer string
}

func ballotOf(m *dhpb.Ballot) ballot {
	return ballot{number: m.GetNumber(), proposer: m.GetProposer()}
}

func (b ballot) message() *dhpb.Ballot {
	if b == (ballot{}) {
		return nil
	}
	return &dhpb.Ballot{Number: b.number, Proposer: b.proposer}
}

func (b ballot) less(o ballot) bool {
	return b.number < o.number || b.number == o.number && b.proposer < o.proposer
}

type register struct {
	promised, accepted ballot
	value              []byte
}

func (r *register) message(key string) *dhpb.RegisterState {
	return &dhpb.RegisterState{Key: key, Promised: r.promised.message(), Accepted: r.accepted.message(), Value: r.value}
}

// sizeOf approximates the bytes of a register's record.
func sizeOf(key string, r *register) int {
	return len(key) + len(r.value) + len(r.promised.proposer) + len(r.accepted.proposer) + 24
}

// The kinds of the voter's journal records, stored in their first byte. They
// are part of the on-disk format.
const (
	recordIdentity  = 'i' // identity
	recordRegister  = 'r' // RegisterState that replaces the register
	recordPromise   = 'p' // RegisterState with key and promised ballot
	recordVoters    = 's' // voter set as JSON
	recordWatermark = 'w' // RegisterState with the watermark's key and value
)

// state is the voter state that the journal makes durable. Only the journal's goroutine uses it.
type state struct {
	id         string
	set        VoterSet
	registers  map[string]*register
	watermarks map[string]uint64
	bytes      int
	// sorted holds the keys in order, except for those in unsorted.
	sorted   []string
	unsorted []string
}

func newState() *state {
	return &state{registers: make(map[string]*register), watermarks: make(map[string]uint64)}
}

// Size implements dhjournal.State.
func (s *state) Size() (records, bytes int) {
	return len(s.registers) + len(s.watermarks) + 2, s.bytes + 64
}

// Snapshot implements dhjournal.State.
func (s *state) Snapshot() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		if s.id == "" || !yield(record(recordIdentity, []byte(s.id))) {
			return
		}
		if s.set.Epoch > 0 && !yield(record(recordVoters, s.set.Encode())) {
			return
		}
		for prefix, bucket := range s.watermarks {
			if !yield(protoRecord(recordWatermark, watermarkMessage(prefix, bucket))) {
				return
			}
		}
		for key, r := range s.registers {
			if !yield(protoRecord(recordRegister, r.message(key))) {
				return
			}
		}
	}
}

// Apply implements dhjournal.State.
func (s *state) Apply(data []byte) error {
	if len(data) == 0 {
		return fmt.Errorf("record is empty")
	}
	kind, body := data[0], data[1:]
	switch kind {
	case recordIdentity:
		s.id = string(body)
		return nil
	case recordVoters:
		set, err := ParseVoterSet(body)
		s.set = set
		return err
	}
	m := new(dhpb.RegisterState)
	if err := proto.Unmarshal(body, m); err != nil {
		return fmt.Errorf("record of kind %q: %w", kind, err)
	}
	switch kind {
	case recordRegister:
		s.put(m.Key, &register{promised: ballotOf(m.Promised), accepted: ballotOf(m.Accepted), value: m.Value})
	case recordPromise:
		s.promise(m.Key, ballotOf(m.Promised))
	case recordWatermark:
		prefix, bucket, err := parseWatermark(m)
		if err != nil {
			return err
		}
		s.expire(prefix, bucket)
	default:
		return fmt.Errorf("record kind %q is unknown", kind)
	}
	return nil
}

func record(kind byte, body []byte) []byte {
	return append([]byte{kind}, body...)
}

func protoRecord(kind byte, m *dhpb.RegisterState) []byte {
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err != nil {
		panic(err) // keys are checked to be UTF-8 when they are received
	}
	return data
}

// get returns the register of a key, or an empty one when it does not exist.
func (s *state) get(key string) register {
	if r := s.registers[key]; r != nil {
		return *r
	}
	return register{}
}

func (s *state) put(key string, r *register) {
	if old := s.registers[key]; old != nil {
		s.bytes -= sizeOf(key, old)
	} else {
		s.unsorted = append(s.unsorted, key)
	}
	s.registers[key] = r
	s.bytes += sizeOf(key, r)
}

func (s *state) promise(key string, b ballot) {
	r := s.get(key)
	r.promised = b
	s.put(key, &r)
}

// merge applies the higher ballots of another voter's register and reports
// whether anything changed.
func (s *state) merge(m *dhpb.RegisterState) bool {
	r, before := s.get(m.Key), s.get(m.Key)
	if b := ballotOf(m.Promised); r.promised.less(b) {
		r.promised = b
	}
	if b := ballotOf(m.Accepted); r.accepted.less(b) {
		r.accepted, r.value = b, m.Value
	}
	if r.promised == before.promised && r.accepted == before.accepted {
		return false
	}
	s.put(m.Key, &r)
	return true
}

// keys returns all keys in order. Merging only the new ones keeps a page of
// ReadState cheap while registers are added.
func (s *state) keys() []string {
	if s.sorted == nil {
		s.sorted, s.unsorted = slices.Sorted(maps.Keys(s.registers)), nil
	}
	if len(s.unsorted) == 0 {
		return s.sorted
	}
	slices.Sort(s.unsorted)
	merged := make([]string, 0, len(s.sorted)+len(s.unsorted))
	old, added := s.sorted, s.unsorted
	for len(old) > 0 && len(added) > 0 {
		if old[0] < added[0] {
			merged, old = append(merged, old[0]), old[1:]
		} else {
			merged, added = append(merged, added[0]), added[1:]
		}
	}
	s.sorted, s.unsorted = append(append(merged, old...), added...), nil
	return s.sorted
}

// Limits of one page, which keep messages small.
const (
	pageRegisters = 1000
	pageBytes     = 1 << 20
)

// page returns up to limit registers with a prefix in key order, starting after a key.
func (s *state) page(prefix, after string, limit int) (page []*dhpb.RegisterState, more bool) {
	if prefix == "" && after == "" {
		for _, p := range slices.Sorted(maps.Keys(s.watermarks)) {
			page = append(page, watermarkMessage(p, s.watermarks[p]))
		}
	}
	keys := s.keys()
	start, _ := slices.BinarySearch(keys, max(prefix, after))
	size := 0
	for _, key := range keys[start:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after {
			continue
		}
		if len(page) >= limit || size > pageBytes {
			return page, true
		}
		r := s.registers[key]
		page = append(page, r.message(key))
		size += sizeOf(key, r)
	}
	return page, false
}

// watermarkPrefix is the prefix of the keys that represent watermarks in pages and records.
const watermarkPrefix = "\x00watermark/"

func watermarkMessage(prefix string, bucket uint64) *dhpb.RegisterState {
	return &dhpb.RegisterState{Key: watermarkPrefix + prefix, Value: binary.BigEndian.AppendUint64(nil, bucket)}
}

func parseWatermark(m *dhpb.RegisterState) (prefix string, bucket uint64, err error) {
	prefix, ok := strings.CutPrefix(m.Key, watermarkPrefix)
	if !ok || len(m.Value) != 8 {
		return "", 0, fmt.Errorf("watermark %q with %d bytes is malformed", m.Key, len(m.Value))
	}
	return prefix, binary.BigEndian.Uint64(m.Value), nil
}
