package dhedit

import (
	"sync"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// The limits of Revisions.
const (
	// KeepTables is the number of newest revisions that keep their full tables.
	KeepTables = 100
	// KeepHeaders is how long a header is kept after this VM received it.
	KeepHeaders = 30 * 24 * time.Hour
	// maxHeaders is 30 days at 4,000 edits per day, plus a reserve of a quarter.
	maxHeaders = 150_000
)

// Header identifies a decided revision.
type Header struct {
	Revision       uint64
	EditID, Author string
	// ContentHash is the SHA-256 of the tables' text.
	ContentHash string
}

// Message returns the header as a protobuf message.
func (h Header) Message() *dhpb.RevisionHeader {
	return &dhpb.RevisionHeader{
		Revision: h.Revision, EditId: h.EditID, Author: h.Author, ContentHash: []byte(h.ContentHash),
	}
}

func headerOf(m *dhpb.RevisionHeader) Header {
	return Header{
		Revision: m.GetRevision(), EditID: m.GetEditId(), Author: m.GetAuthor(), ContentHash: string(m.GetContentHash()),
	}
}

// Revision is a decided revision with its tables. It is immutable.
type Revision struct {
	Header
	Tables *dhtable.Tables
}

// FromMessage converts a revision that a peer sent. Tables that this program
// cannot read are rejected with the code tables-invalid.
func FromMessage(m *dhpb.Revision) (*Revision, error) {
	return parseRevision(m.GetHeader(), m.GetTables())
}

func parseRevision(h *dhpb.RevisionHeader, text []byte) (*Revision, error) {
	tables, err := dhtable.Parse(revisionKey(h.GetRevision()), text)
	if err != nil {
		return nil, err
	}
	return &Revision{Header: headerOf(h), Tables: tables.WithRevision(h.GetRevision())}, nil
}

// Revisions holds the decided revisions that one VM knows. It is safe for use
// from several goroutines.
type Revisions struct {
	Timers dhtimer.Service

	mu     sync.Mutex
	newest *Revision
	// texts and headers are ordered by revision.
	texts   []textRow
	headers []headerRow
}

type textRow struct {
	revision uint64
	text     []byte
}

type headerRow struct {
	Header
	receivedAt time.Time
}

// Apply makes r the newest revision. If r is not newer than the newest one, it
// changes nothing and returns false.
func (s *Revisions) Apply(r *Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest != nil && r.Revision <= s.newest.Revision {
		return false
	}
	now := s.Timers.Now()
	s.newest = r
	s.texts = append(s.texts, textRow{r.Revision, r.Tables.Text()})
	s.headers = append(s.headers, headerRow{r.Header, now})
	s.prune(now)
	return true
}

func (s *Revisions) prune(now time.Time) {
	first := 0
	for s.texts[first].revision+KeepTables <= s.newest.Revision {
		first++
	}
	s.texts = append(s.texts[:0:0], s.texts[first:]...)
	first = max(0, len(s.headers)-maxHeaders)
	for first < len(s.headers)-1 && now.Sub(s.headers[first].receivedAt) > KeepHeaders {
		first++
	}
	s.headers = s.headers[first:]
}

// Newest returns the newest revision, or nil when none is known.
func (s *Revisions) Newest() *Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// NewestNumber returns the number of the newest revision, or 0.
func (s *Revisions) NewestNumber() uint64 {
	if r := s.Newest(); r != nil {
		return r.Revision
	}
	return 0
}

// Fetch returns a revision for a peer or an operator; number 0 means the newest
// one. Found is set if the tables are kept; the header is set if it is known.
func (s *Revisions) Fetch(number uint64) *dhpb.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == 0 && s.newest != nil {
		number = s.newest.Revision
	}
	m := &dhpb.Revision{}
	for _, h := range s.headers {
		if h.Revision == number {
			m.Header = h.Message()
		}
	}
	for _, t := range s.texts {
		if t.revision == number {
			m.Tables, m.Found = t.text, true
		}
	}
	return m
}

// History returns the newest headers that this VM knows, the newest first.
// Revisions that this VM skipped are missing until Backfill has read them.
func (s *Revisions) History(limit int) []Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := max(0, min(limit, len(s.headers)))
	list := make([]Header, 0, n)
	for i := len(s.headers) - 1; len(list) < n; i-- {
		list = append(list, s.headers[i].Header)
	}
	return list
}

// insert adds the header, and the text if present, of a revision older than the
// newest one.
func (s *Revisions) insert(v *dhpb.RevisionValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := headerOf(v.GetHeader())
	at := len(s.headers)
	for at > 0 && s.headers[at-1].Revision > h.Revision {
		at--
	}
	if at > 0 && s.headers[at-1].Revision == h.Revision {
		return
	}
	if s.newest == nil || h.Revision >= s.newest.Revision || len(s.headers) >= maxHeaders {
		return
	}
	now := s.Timers.Now()
	s.headers = append(s.headers, headerRow{})
	copy(s.headers[at+1:], s.headers[at:])
	s.headers[at] = headerRow{h, now}
	if len(v.GetTables()) > 0 {
		s.insertText(h.Revision, v.GetTables())
	}
}

func (s *Revisions) insertText(revision uint64, text []byte) {
	if revision+KeepTables <= s.newest.Revision {
		return
	}
	at := len(s.texts)
	for at > 0 && s.texts[at-1].revision > revision {
		at--
	}
	s.texts = append(s.texts, textRow{})
	copy(s.texts[at+1:], s.texts[at:])
	s.texts[at] = textRow{revision, text}
}
