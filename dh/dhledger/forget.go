package dhledger

import (
	"crypto/sha256"
	"iter"
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
			s.bytes -= proto.Size(r.bill)
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

// Size returns the number and the bytes of the records of a snapshot.
func (s *Store) Size() (records, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records = 1 + (len(s.rows)+MaxBatch-1)/MaxBatch + (len(s.queue)+MaxList-1)/MaxList
	return records, s.bytes + len(s.queue)*(digestBytes+2)
}

// Snapshot returns records that restore the set as it is now.
func (s *Store) Snapshot() iter.Seq[[]byte] {
	s.mu.Lock()
	rows := slices.DeleteFunc(slices.Clone(s.order), func(r *row) bool { return r.replaced })
	queue, last := slices.Clone(s.queue), s.sequence
	s.mu.Unlock()
	return func(yield func([]byte) bool) {
		// The highest number may belong to a forgotten bill; cursors must not go back.
		if !yield(encodeRecord(&dhpb.BillRecord{LastSequence: last})) {
			return
		}
		for chunk := range slices.Chunk(rows, MaxBatch) {
			if !yield(encodeRecord(billRecord(chunk))) {
				return
			}
		}
		for chunk := range slices.Chunk(queue, MaxList) {
			record := &dhpb.BillRecord{}
			for _, d := range chunk {
				record.Forgotten = append(record.Forgotten, d[:])
			}
			if !yield(encodeRecord(record)) {
				return
			}
		}
	}
}

func billRecord(rows []*row) *dhpb.BillRecord {
	record := &dhpb.BillRecord{}
	for _, r := range rows {
		record.Bills = append(record.Bills, r.bill)
		record.Sequences = append(record.Sequences, r.sequence)
	}
	return record
}

func encodeRecord(record *dhpb.BillRecord) []byte {
	record.Format = recordFormat
	data, err := proto.Marshal(record)
	if err != nil {
		panic(err) // every bill was encoded when it was appended
	}
	return data
}
