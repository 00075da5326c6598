// Package dhmetric collects counters and latency histograms, which can be
// published with expvar.
//
// # Usage
//
//	metrics := dhmetric.New(64)
//	metrics.Observe(dhmetric.FirstToken, account, class, 120*time.Millisecond)
//	metrics.Count("refused", "queue-full")
//	expvar.Publish("dandelionhoist", metrics)
package dhmetric

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate ../../bin/stringer -type=Kind -linecomment

// Kind is the quantity that a histogram measures.
type Kind int

// The kinds of histograms.
const (
	QueueTime     Kind = iota // queue-time
	FirstToken                // first-token
	BetweenTokens             // between-tokens
	WholeAnswer               // whole-answer
)

// other is the label that collects the values of labels beyond maxLabels.
const other = "other"

// Histograms cover 10 µs to 10 min with two significant digits. Durations
// outside this range are clamped to it.
const (
	minDuration       = 10 * time.Microsecond
	maxDuration       = 10 * time.Minute
	significantDigits = 2
)

type histogramKey struct {
	kind  Kind
	label string
}

// Metrics is a set of counters and histograms. It is safe for concurrent use.
type Metrics struct {
	mu         sync.Mutex
	maxLabels  int
	labels     map[string]bool
	histograms map[histogramKey]*hdrhistogram.Histogram
	counters   map[string]int64
}

// New returns metrics with separate histograms for at most maxLabels labels;
// further labels share the histograms with the label "other".
func New(maxLabels int) *Metrics {
	return &Metrics{
		maxLabels: maxLabels, labels: make(map[string]bool),
		histograms: make(map[histogramKey]*hdrhistogram.Histogram), counters: make(map[string]int64),
	}
}

// Observe records a duration in the histograms of a client account and a class.
func (m *Metrics) Observe(kind Kind, account, class string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(kind, "account:"+account, d)
	m.record(kind, "class:"+class, d)
}

func (m *Metrics) record(kind Kind, label string, d time.Duration) {
	if !m.labels[label] {
		if len(m.labels) >= m.maxLabels {
			label = other
		}
		m.labels[label] = true
	}
	k := histogramKey{kind, label}
	h := m.histograms[k]
	if h == nil {
		h = hdrhistogram.New(minDuration.Microseconds(), maxDuration.Microseconds(), significantDigits)
		m.histograms[k] = h
	}
	clamped := min(max(d, minDuration), maxDuration)
	_ = h.RecordValue(clamped.Microseconds()) // cannot fail: the value is clamped to the range
}

// Count adds one to the counter "name/label".
func (m *Metrics) Count(name, label string) { m.Add(name, label, 1) }

// Add adds n to the counter "name/label".
func (m *Metrics) Add(name, label string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name+"/"+label] += n
}

// Counter returns the value of the counter "name/label".
func (m *Metrics) Counter(name, label string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters[name+"/"+label]
}

// Row is the summary of one histogram. Times are in milliseconds.
type Row struct {
	Kind  string  `json:"kind"`
	Label string  `json:"label"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
}

// Rows returns all histograms sorted by kind and label.
func (m *Metrics) Rows() []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]Row, 0, len(m.histograms))
	for k, h := range m.histograms {
		rows = append(rows, Row{
			Kind: k.kind.String(), Label: k.label, Count: h.TotalCount(),
			P50: quantile(h, 50), P95: quantile(h, 95), P99: quantile(h, 99),
		})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Kind != b.Kind {
			return strings.Compare(a.Kind, b.Kind)
		}
		return strings.Compare(a.Label, b.Label)
	})
	return rows
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond.Microseconds())
}

// String implements expvar.Var: all counters and histograms as JSON.
func (m *Metrics) String() string {
	rows := m.Rows()
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := json.Marshal(struct {
		Counters   map[string]int64 `json:"counters"`
		Histograms []Row            `json:"histograms"`
	}{m.counters, rows})
	if err != nil {
		return "{}"
	}
	return string(data)
}
