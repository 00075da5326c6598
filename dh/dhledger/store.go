package dhledger

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

const (
	// MaxBills is the maximum number of bills that one voter stores until they are
	// removed with Forget; BenchmarkStore reports the memory per bill.
	MaxBills = 500_000
	// MaxList is the maximum number of bills that one call of List returns, and of
	// request ids that one call of Forget accepts.
	MaxList = 4096

	// maxWrites is the maximum number of writes that wait for the journal.
	maxWrites = 1024

	recordFormat = 1
	// sequenceBits is the number of low bits of a cursor that hold a sequence
	// number. The high bits identify the voter, because sequence numbers of
	// different voters are unrelated.
	sequenceBits = 48
)

// Journal is an append-only log of records.
type Journal interface {
	// Append returns nil once the record is synced to disk. It calls apply before
	// it takes any snapshot that must contain the record.
	Append(record []byte, apply func()) error
}

// Store is a voter's set of bills, one per request. Its exported fields must be
// set before use.
type Store struct {
	// VoterID is the id of the voter.
	VoterID                string
	Journal                Journal
	MaxBills, MaxForgotten int

	mu       sync.Mutex
	sequence uint64
	rows     map[digest]*row
	// order lists rows by sequence number. A replaced row stays in it until more
	// than half of the rows are replaced.
	order    []*row
	replaced int
	// unsorted is set while order may not be sorted, after a restore.
	unsorted bool
	// bytes is the encoded size of the bills in rows.
	bytes   int
	writing bool
	waiting []*write
	failed  error
	forgotten
}

type row struct {
	bill     *dhpb.Bill
	sequence uint64
	replaced bool
}

// write is a call of Put or Forget that waits for the journal. A value on turn
// makes this call write one record for all waiting calls.
type write struct {
	bills  []*dhpb.Bill
	forget [][]byte
	turn   chan struct{}
	done   chan error
}

// Merge returns which of two bills of the same request is kept; either may be nil.
func Merge(a, b *dhpb.Bill) *dhpb.Bill {
	if a == nil {
		return b
	}
	if b == nil || compare(a, b) <= 0 {
		return a
	}
	return b
}

// compare orders bills by revision and then by content hash. The hashed encoding
// is in order of field numbers, so that releases that know different fields get
// the same order.
func compare(a, b *dhpb.Bill) int {
	if a.GetRevision() != b.GetRevision() {
		if a.GetRevision() < b.GetRevision() {
			return -1
		}
		return 1
	}
	x, y := contentHash(a), contentHash(b)
	return bytes.Compare(x[:], y[:])
}

func contentHash(b *dhpb.Bill) [sha256.Size]byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(b)
	if err != nil {
		// A bill received from a peer can always be encoded. Any other bill is
		// ordered by the hash of its text form.
		data = []byte(b.String())
	}
	return sha256.Sum256(data)
}

// Put merges bills into the store and returns nil once they, or the bills of the
// same requests that a merge prefers, are synced to disk. Waiting calls share one
// record and one sync. After a journal error, the store refuses every write until
// a restart.
func (s *Store) Put(bills []*dhpb.Bill) error {
	return s.write(&write{bills: bills})
}

func (s *Store) write(w *write) error {
	w.turn, w.done = make(chan struct{}, 1), make(chan error, 1)
	s.mu.Lock()
	if len(s.waiting) >= maxWrites {
		s.mu.Unlock()
		return dhcode.Errorf(dhcode.BillNotSafe, "%d messages wait for the journal, no more are accepted", maxWrites)
	}
	s.waiting = append(s.waiting, w)
	if !s.writing {
		s.writing = true
		w.turn <- struct{}{}
	}
	s.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-w.turn:
	}
	s.writeWaiting()
	return <-w.done
}

// writeWaiting writes one record for all waiting calls, and then lets the first
// of the calls that arrived in the meantime write the next record.
func (s *Store) writeWaiting() {
	s.mu.Lock()
	batch := s.waiting
	s.waiting = nil
	record, err := s.prepare(batch)
	s.mu.Unlock()
	if err == nil && len(record.GetBills())+len(record.GetForgotten()) > 0 {
		err = s.append(record)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if dhcode.Of(err) == dhcode.DiskFailed {
		s.failed = err
	}
	for _, w := range batch {
		w.done <- err
	}
	if s.writing = len(s.waiting) > 0; s.writing {
		s.waiting[0].turn <- struct{}{}
	}
}

// prepare returns a record with the removals of a batch and the bills that change
// the merged set, with their sequence numbers.
func (s *Store) prepare(batch []*write) (*dhpb.BillRecord, error) {
	if s.failed != nil {
		return nil, s.failed
	}
	record := &dhpb.BillRecord{Format: recordFormat}
	changed := make(map[digest]*dhpb.Bill)
	var ids []digest
	for _, w := range batch {
		record.Forgotten = append(record.Forgotten, w.forget...)
		for _, bill := range w.bills {
			id := digestOf(bill.GetRequestId())
			if s.digests[id] {
				continue
			}
			best, queued := changed[id]
			if r, ok := s.rows[id]; ok && !queued {
				best = r.bill
			}
			if best != nil && compare(best, bill) <= 0 {
				continue
			}
			if !queued {
				ids = append(ids, id)
			}
			changed[id] = bill
		}
	}
	next, added := s.sequence, 0
	for _, id := range ids {
		if _, ok := s.rows[id]; !ok {
			added++
		}
		next++
		record.Bills = append(record.Bills, changed[id])
		record.Sequences = append(record.Sequences, next)
	}
	if limit := s.maxBills(); len(s.rows)+added > limit {
		return nil, dhcode.Errorf(dhcode.BillNotSafe, "voter has %d bills, at most %d are kept", len(s.rows), limit)
	}
	return record, nil
}

func (s *Store) maxBills() int {
	if s.MaxBills <= 0 {
		return MaxBills
	}
	return s.MaxBills
}

func (s *Store) append(record *dhpb.BillRecord) error {
	data, err := proto.Marshal(record)
	if err != nil {
		return dhcode.Wrap(dhcode.Internal, err)
	}
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(record)
	}
	if err := s.Journal.Append(data, apply); err != nil {
		return dhcode.Wrap(dhcode.DiskFailed, fmt.Errorf("journal of bills: %w", err))
	}
	return nil
}

// apply makes the bills of a record visible. No other call of Put returns before
// the record is synced, because records are written one at a time.
func (s *Store) apply(record *dhpb.BillRecord) {
	if s.rows == nil {
		s.rows = make(map[digest]*row)
	}
	for i, bill := range record.GetBills() {
		id, sequence := digestOf(bill.GetRequestId()), record.GetSequences()[i]
		old, ok := s.rows[id]
		if s.digests[id] || (ok && old.sequence >= sequence) {
			continue // a snapshot has it as it was before records that precede it in the file
		}
		if ok {
			old.replaced = true
			s.replaced++
			s.bytes -= proto.Size(old.bill)
		}
		r := &row{bill: bill, sequence: sequence}
		s.rows[id] = r
		s.unsorted = s.unsorted || (len(s.order) > 0 && s.order[len(s.order)-1].sequence > sequence)
		s.order = append(s.order, r)
		s.bytes += proto.Size(bill)
		s.sequence = max(s.sequence, r.sequence)
	}
	s.sequence = max(s.sequence, record.GetLastSequence())
	s.applyForgotten(record.GetForgotten())
	if s.replaced > len(s.order)/2 {
		s.order = slices.DeleteFunc(s.order, func(r *row) bool { return r.replaced })
		s.replaced = 0
	}
}

// Restore applies a record that was read back from the journal. Records must be
// restored in the order in which they were appended. Those of a snapshot, which is
// written in parts, may be older than records before them.
func (s *Store) Restore(data []byte) error {
	record := &dhpb.BillRecord{}
	if err := proto.Unmarshal(data, record); err != nil {
		return dhcode.Wrap(dhcode.DiskCorrupt, fmt.Errorf("record of bills: %w", err))
	}
	if record.GetFormat() != recordFormat || len(record.GetBills()) != len(record.GetSequences()) {
		return dhcode.Errorf(dhcode.DiskCorrupt, "record of bills has format %d, %d bills and %d numbers",
			record.GetFormat(), len(record.GetBills()), len(record.GetSequences()))
	}
	for _, d := range record.GetForgotten() {
		if len(d) != digestBytes {
			return dhcode.Errorf(dhcode.DiskCorrupt, "record of bills has a digest of %d bytes, expected %d", len(d), digestBytes)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(record)
	return nil
}

// List returns up to limit bills after a cursor, and the next cursor. A bill that
// replaced another one of the same request is listed under a new sequence number.
// A cursor of another voter starts at the beginning, so that the reader may get
// bills twice but never misses one.
func (s *Store) List(after uint64, limit int) ([]*dhpb.Bill, uint64) {
	base := cursorBase(s.VoterID)
	if after < base || after-base >= 1<<sequenceBits {
		after = base
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsorted {
		slices.SortStableFunc(s.order, func(a, b *row) int { return cmp.Compare(a.sequence, b.sequence) })
		s.unsorted = false
	}
	at, _ := slices.BinarySearchFunc(s.order, after-base+1, func(r *row, n uint64) int {
		return int(int64(r.sequence) - int64(n))
	})
	var bills []*dhpb.Bill
	limit = min(max(limit, 1), MaxList)
	for ; at < len(s.order) && len(bills) < limit; at++ {
		after = base + s.order[at].sequence
		if !s.order[at].replaced {
			bills = append(bills, s.order[at].bill)
		}
	}
	return bills, after
}

// cursorBase returns the high bits of a voter's cursors, which identify the voter.
func cursorBase(voterID string) uint64 {
	return xxhash.Sum64String(voterID) >> sequenceBits << sequenceBits
}
