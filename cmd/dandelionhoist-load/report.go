package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhworkload"
)

// maxViolations bounds the violations that are printed; all are counted.
const maxViolations = 20

// maxLatency bounds what histograms hold; longer ones count as this.
const maxLatency = 10 * time.Minute

// report holds the results of a run.
type report struct {
	mu      sync.Mutex
	classes map[string]*classReport
	order   []string
	// refusals counts requests without an answer by code and by what the error says about running.
	refusals map[refusal]int
	retries  map[string]int
	versions map[string]int
	// resends counts second requests of orders, and resendRefusals those without an answer.
	resends, resendRefusals int
	cancels, cancelsFound   int
	violations              []string
	violationCount          int

	orders   map[string]*orderResult
	requests map[string]requestResult
	billing  billing
	quality  []qualityRow
}

type refusal struct {
	code dhcode.Code
	ran  dhcode.Ran
}

// classReport holds the results of one class.
type classReport struct {
	sent, done, refused, cancelled, notSent int

	first, between, whole *hdrhistogram.Histogram
	cost                  float64
}

// orderResult holds the answers to all requests with one idempotency key.
type orderResult struct {
	texts []string
	// fresh counts answers that are not marked as replayed.
	fresh int
}

// requestResult is what became of a request.
type requestResult struct {
	class, account, key string
	done                bool
	// notRun is set when a server refused it as not run.
	notRun bool
}

func newReport(w dhworkload.Workload) *report {
	r := &report{
		classes: make(map[string]*classReport), refusals: make(map[refusal]int), retries: make(map[string]int),
		versions: make(map[string]int), orders: make(map[string]*orderResult), requests: make(map[string]requestResult),
	}
	for _, c := range w.Classes {
		r.order = append(r.order, c.Name)
		r.classes[c.Name] = &classReport{first: newHistogram(), between: newHistogram(), whole: newHistogram()}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value between the bounds is always accepted.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// notSent counts a request that would have exceeded the bound in flight.
func (r *report) notSent(class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[class].notSent++
}

func (r *report) addRetry(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries[what]++
}

func (r *report) addCancel(found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels++
	if found {
		r.cancelsFound++
	}
}

// add records the result of a request.
func (r *report) add(c *call, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := r.classes[c.request.Class]
	class.sent++
	result := requestResult{class: c.request.Class, account: c.request.Account, key: c.request.Key, done: err == nil}
	switch code := dhcode.Of(err); {
	case err == nil:
		class.done++
		record(class.first, c.latency.first)
		record(class.whole, c.latency.whole)
		for _, d := range c.latency.between {
			record(class.between, d)
		}
		r.versions[c.answer.Model+"/"+c.answer.Version]++
		r.addOrder(c)
	case asViolation(err) != nil:
		r.violate("request %s: %v", c.request.ID, err)
	case code == dhcode.Cancelled && c.request.CancelAfter > 0:
		class.cancelled++
	default:
		class.refused++
		ran := dhcode.RanOf(err)
		r.refusals[refusal{code, ran}]++
		// Without a connection no server has promised anything.
		result.notRun = ran == dhcode.NotRun && code != dhcode.StreamBroken
	}
	r.requests[c.request.ID] = result
}

// addResend records the result of the second request of an order.
func (r *report) addResend(c *call, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resends++
	switch {
	case err == nil:
		r.addOrder(c)
	case asViolation(err) != nil:
		r.violate("second request of order %s: %v", c.request.Key, err)
	default:
		r.resendRefusals++
	}
}

func (r *report) addOrder(c *call) {
	if c.request.Key == "" {
		return
	}
	o := r.orders[c.request.Key]
	if o == nil {
		o = &orderResult{}
		r.orders[c.request.Key] = o
	}
	o.texts = append(o.texts, c.answer.Text)
	if !c.answer.Replayed {
		o.fresh++
	}
}

// violate counts a violation; the caller holds the lock or is the only user.
func (r *report) violate(format string, args ...any) {
	r.violationCount++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// checkOrders checks that all answers to one idempotency key are the same and
// that at most one of them is new.
func (r *report) checkOrders() {
	for key, o := range r.orders {
		for _, text := range o.texts {
			if text != o.texts[0] {
				r.violate("order %s has different answers", key)
				break
			}
		}
		if o.fresh > 1 {
			r.violate("order %s has %d answers that are not marked as replayed", key, o.fresh)
		}
	}
}
