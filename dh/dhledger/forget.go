package dhledger

import (
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

const (
	// MaxForgotten is how many digests of forgotten bills are kept.
	MaxForgotten = 1_000_000

	digestBytes = 16
)

// digest identifies a request id in little memory.
type digest [digestBytes]byte

func digestOf(id string) digest {
	sum := sha256.Sum256([]byte(id))
	return digest(sum[:digestBytes])
}

// forgotten remembers the request ids of removed bills, the oldest first.
type forgotten struct {
	digests map[digest]bool
	queue   []digest
}

// Forget removes bills that have been exported and read, and returns nil once
// that is synced. Their request ids are remembered, so that a bill that is put
// again is not charged again; of those, the last MaxForgotten are kept. Voters
// may forget at different times: one that has not lists the bill again, and a
// reader merges by request id.
func (s *Store) Forget(requestIDs []string) error {
	if len(requestIDs) > MaxList {
		return dhcode.Errorf(dhcode.RequestTooLarge, "%d request ids to forget, at most %d are accepted", len(requestIDs), MaxList)
	}
	w := &write{}
	for _, id := range requestIDs {
		d := digestOf(id)
		w.forget = append(w.forget, d[:])
	}
	return s.write(w)
}

// Len returns the numbers of bills and of remembered request ids.
func (s *Store) Len() (bills, remembered int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows), len(s.queue)
}

func (s *Store) maxForgotten() int {
	if s.MaxForgotten <= 0 {
		return MaxForgotten
	}
	return s.MaxForgotten
}

// applyForgotten removes the bills of a synced record.
func (s *Store) applyForgotten(list [][]byte) {
	if len(list) == 0 {
		return
	}
	if s.digests == nil {
		s.digests = make(map[digest]bool)
	}
	for _, data := range list {
		d := digest(data)
		if !s.digests[d] {
			s.digests[d] = true
			s.queue = append(s.queue, d)
		}
		if r, ok := s.rows[d]; ok {
			r.replaced = true
			s.replaced++
			delete(s.rows, d)
		}
	}
	if extra := len(s.queue) - s.maxForgotten(); extra > 0 {
		for _, d := range s.queue[:extra] {
			delete(s.digests, d)
		}
		s.queue = slices.Clone(s.queue[extra:])
	}
}

// Snapshot calls f with records that restore the current set.
func (s *Store) Snapshot(f func(record []byte) error) error {
	s.mu.Lock()
	rows := slices.DeleteFunc(slices.Clone(s.order), func(r *row) bool { return r.replaced })
	queue, last := slices.Clone(s.queue), s.sequence
	s.mu.Unlock()
	emit := func(record *dhpb.BillRecord) error {
		record.Format = recordFormat
		data, err := proto.Marshal(record)
		if err != nil {
			return dhcode.Wrap(dhcode.Internal, err)
		}
		return f(data)
	}
	// The highest number may belong to a forgotten bill; cursors must not go back.
	if err := emit(&dhpb.BillRecord{LastSequence: last}); err != nil {
		return err
	}
	for chunk := range slices.Chunk(rows, MaxBatch) {
		record := &dhpb.BillRecord{}
		for _, r := range chunk {
			record.Bills = append(record.Bills, r.bill)
			record.Sequences = append(record.Sequences, r.sequence)
		}
		if err := emit(record); err != nil {
			return err
		}
	}
	for chunk := range slices.Chunk(queue, MaxList) {
		record := &dhpb.BillRecord{}
		for _, d := range chunk {
			record.Forgotten = append(record.Forgotten, d[:])
		}
		if err := emit(record); err != nil {
			return err
		}
	}
	return nil
}
