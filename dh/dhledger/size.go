package dhledger

// meanBillBytes is the assumed encoded size of a bill in a snapshot.
const meanBillBytes = 160

// Size returns the number and the estimated bytes of the records of a snapshot.
func (s *Store) Size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (len(s.order) + MaxBatch - 1) / MaxBatch, len(s.order) * meanBillBytes
}
