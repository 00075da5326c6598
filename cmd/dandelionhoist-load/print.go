package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// printer writes lines until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.w, strings.TrimRight(fmt.Sprintf(format, args...), " "))
	}
}

// print writes the report for people or as JSON.
func (r *report) print(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(r.json())
	}
	p := &printer{w: w}
	r.printClasses(p)
	r.printLatencies(p)
	r.printRefusals(p)
	r.printVersions(p)
	r.printChecks(p)
	return p.err
}

func (r *report) printClasses(p *printer) {
	p.line("%-18s %8s %8s %8s %9s %8s %12s", "CLASS", "SENT", "ANSWERED", "REFUSED", "CANCELLED", "NOT-SENT", "COST")
	for _, name := range r.order {
		c := r.classes[name]
		cost := "-"
		if r.billing.read {
			cost = fmt.Sprintf("%.3f", c.cost)
		}
		p.line("%-18s %8d %8d %8d %9d %8d %12s", name, c.sent, c.done, c.refused, c.cancelled, c.notSent, cost)
	}
}

func (r *report) printLatencies(p *printer) {
	p.line("\n%-18s %-14s %9s %8s %8s %8s %8s", "LATENCY (ms)", "OF", "COUNT", "P50", "P95", "P99", "MAX")
	for _, name := range r.order {
		c := r.classes[name]
		for _, part := range c.parts() {
			if part.of.TotalCount() > 0 {
				p.line("%-18s %-14s %9d %8.1f %8.1f %8.1f %8.1f", name, part.name, part.of.TotalCount(),
					quantile(part.of, 50), quantile(part.of, 95), quantile(part.of, 99), float64(part.of.Max())/1000)
			}
		}
	}
}

type part struct {
	name string
	of   *hdrhistogram.Histogram
}

// parts returns the histograms. Between-chunks is the time between two chunks
// of a stream; an engine sends one token in a chunk.
func (c *classReport) parts() []part {
	return []part{{"first-token", c.first}, {"between-chunks", c.between}, {"whole-answer", c.whole}}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (r *report) refusalKeys() []refusal {
	return slices.SortedFunc(maps.Keys(r.refusals), func(a, b refusal) int {
		return cmp.Or(cmp.Compare(a.code, b.code), cmp.Compare(a.ran, b.ran))
	})
}

func (r *report) printRefusals(p *printer) {
	if len(r.refusals) > 0 {
		p.line("\n%-28s %-8s %9s", "WITHOUT ANSWER", "RAN", "COUNT")
	}
	for _, k := range r.refusalKeys() {
		p.line("%-28s %-8s %9d", k.code, k.ran, r.refusals[k])
	}
	if len(r.retries) > 0 {
		p.line("\n%-37s %9s", "CALLERS", "COUNT")
	}
	for _, what := range slices.Sorted(maps.Keys(r.retries)) {
		p.line("%-37s %9d", what, r.retries[what])
	}
	p.line("\ncancels: %d, of which %d found their request", r.cancels, r.cancelsFound)
	p.line("orders sent twice: %d, of which %d second requests had no answer", r.resends, r.resendRefusals)
}

func (r *report) printVersions(p *printer) {
	p.line("\n%-28s %9s", "VERSION", "ANSWERS")
	for _, v := range slices.Sorted(maps.Keys(r.versions)) {
		p.line("%-28s %9d", v, r.versions[v])
	}
	if len(r.quality) > 0 {
		p.line("\n%-28s %9s %9s", "QUALITY (status)", "ANSWERS", "QUALITY")
	}
	for _, q := range r.quality {
		p.line("%-28s %9d %9.3f", q.version, q.answers, q.quality)
	}
}

func (r *report) printChecks(p *printer) {
	p.line("")
	switch {
	case r.billing.err != nil:
		p.line("bills: not checked: %v", r.billing.err)
	case !r.billing.read:
		p.line("bills: not checked, no operator key is given")
	case !r.billing.complete:
		p.line("bills: %d, cost %.3f; the ledger is not complete, missing bills are not checked", r.billing.bills, r.billing.cost)
	default:
		p.line("bills: %d, cost %.3f, complete", r.billing.bills, r.billing.cost)
	}
	p.line("violations: %d", r.violationCount)
	for _, v := range r.violations {
		p.line("  %s", v)
	}
}

func (r *report) json() map[string]any {
	classes := make(map[string]any)
	for name, c := range r.classes {
		class := map[string]any{
			"sent": c.sent, "answered": c.done, "refused": c.refused, "cancelled": c.cancelled, "not-sent": c.notSent, "cost": c.cost,
		}
		for _, part := range c.parts() {
			class[part.name+"-ms"] = map[string]any{
				"count": part.of.TotalCount(), "p50": quantile(part.of, 50), "p95": quantile(part.of, 95),
				"p99": quantile(part.of, 99), "max": float64(part.of.Max()) / 1000,
			}
		}
		classes[name] = class
	}
	refusals := make([]any, 0, len(r.refusals))
	for _, k := range r.refusalKeys() {
		refusals = append(refusals, map[string]any{"code": k.code.String(), "ran": k.ran.String(), "count": r.refusals[k]})
	}
	quality := make(map[string]any)
	for _, q := range r.quality {
		quality[q.version] = q.quality
	}
	return map[string]any{
		"classes": classes, "refusals": refusals, "callers": r.retries, "versions": r.versions, "quality": quality,
		"cancels": r.cancels, "cancels-found": r.cancelsFound, "resends": r.resends, "resend-refusals": r.resendRefusals,
		"bills":      map[string]any{"read": r.billing.read, "complete": r.billing.complete, "count": r.billing.bills, "cost": r.billing.cost},
		"violations": map[string]any{"count": r.violationCount, "first": append([]string{}, r.violations...)},
	}
}
