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
	// MaxForgotten is the maximum number of kept digests of removed bills.
	MaxForgotten = 1_000_000

	digestBytes = 16
)

// digest is a truncated SHA-256 hash of a request id, which saves memory.
type digest [digestBytes]byte

func digestOf(id string) digest {
	sum := sha256.Sum256([]byte(id))
	return digest(sum[:digestBytes])
}

// forgotten holds the digests of the request ids of removed bills; queue lists
// them oldest first.
type forgotten struct {
	digests map[digest]bool
	queue   []digest
}

// Forget removes bills that have been exported and read, and returns nil once
// the removal is synced to disk. It keeps digests of the last MaxForgotten
// removed request ids, so that a bill that is put again is not charged again.
// Voters may remove a bill at different times: a voter that still has it lists it
// again, and the reader of an export must merge bills by request id.
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

// Len returns the number of bills and the number of kept digests of removed
// request ids.
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

// applyForgotten removes the bills whose digests a synced record lists, and keeps
// the last MaxForgotten digests.
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

// Size returns the number of records of a snapshot and their approximate size in
// bytes.
func (s *Store) Size() (records, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records = 1 + (len(s.rows)+MaxBatch-1)/MaxBatch + (len(s.queue)+MaxList-1)/MaxList
	return records, s.bytes + len(s.queue)*(digestBytes+2)
}

// Snapshot returns records from which the current contents can be restored.
func (s *Store) Snapshot() iter.Seq[[]byte] {
	s.mu.Lock()
	rows := slices.DeleteFunc(slices.Clone(s.order), func(r *row) bool { return r.replaced })
	queue, last := slices.Clone(s.queue), s.sequence
	s.mu.Unlock()
	return func(yield func([]byte) bool) {
		// The highest sequence number may belong to a removed bill. It is stored
		// so that cursors do not go back after a restore.
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
		panic(err) // cannot happen: every bill was encoded when it was appended
	}
	return data
}
