package dhmeasure

import (
	"context"
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhplacement"
)

// parallel is how many runs are simulated at once.
const parallel = 3

// Row is the merged result of one policy at one load.
type Row struct {
	Policy                 Policy
	First95, Whole95       float64 // seconds
	First50, Whole50       float64
	Completed, Failed      int
	CachedShare, OtherZone float64
}

// Compare runs every policy at loads that are parts of the capacity, merges
// the runs of all seeds and returns the figures as text.
func Compare(d Deployment, s dhplacement.Settings, loads []float64, seeds []uint64) string {
	capacity := 0.0
	for _, seed := range seeds {
		capacity += Capacity(d, seed) / float64(len(seeds))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %d entry VMs, %d replicas, capacity %.1f requests/s, seeds %v\n", d.Name, d.EntryVMs, d.Replicas, capacity, seeds)
	fmt.Fprintf(&text, "%-5s %-22s %9s %9s %9s %9s %7s %7s %7s\n", "load", "policy", "first p50", "first p95", "whole p50", "whole p95", "cached", "remote", "failed")
	for _, load := range loads {
		rows := measureLoad(Run{Deployment: d, Settings: s, Rate: load * capacity}, Policies(), seeds)
		first, whole := math.Inf(1), math.Inf(1)
		for _, r := range rows {
			r.print(&text, load, r.Policy.String())
			if r.Policy != Full {
				first, whole = min(first, r.First95), min(whole, r.Whole95)
			}
		}
		full := rows[len(rows)-1]
		bound := measureLoad(Run{Deployment: d, Settings: s, Rate: load * capacity, FreePrefill: true}, []Policy{LeastConnections}, seeds)[0]
		bound.print(&text, load, "bound: free prefill")
		fmt.Fprintf(&text, "%-5.2f against the best baseline: first p95 %+.1f%%, whole p95 %+.1f%%\n", load, 100*(full.First95/first-1), 100*(full.Whole95/whole-1))
	}
	return text.String()
}

func (r Row) print(text *strings.Builder, load float64, name string) {
	fmt.Fprintf(text, "%-5.2f %-22s %9.3f %9.3f %9.2f %9.2f %6.1f%% %6.1f%% %7d\n", load, name,
		r.First50, r.First95, r.Whole50, r.Whole95, 100*r.CachedShare, 100*r.OtherZone, r.Failed)
}

// measureLoad runs each policy with each seed and merges the results by policy.
func measureLoad(run Run, policies []Policy, seeds []uint64) []Row {
	results := make([]Result, len(policies)*len(seeds))
	inParallel(len(results), func(i int) {
		r := run
		r.Policy, r.Seed = policies[i/len(seeds)], seeds[i%len(seeds)]
		results[i] = r.Do()
	})
	rows := make([]Row, len(policies))
	for i, p := range policies {
		rows[i] = merge(p, results[i*len(seeds):(i+1)*len(seeds)])
	}
	return rows
}

// inParallel calls do with 0 to n-1, parallel calls at a time.
func inParallel(n int, do func(i int)) {
	jobs := make(chan int, n)
	for i := range n {
		jobs <- i
	}
	close(jobs)
	g := dhgroup.New(context.Background())
	for range parallel {
		g.Go(func(context.Context) error {
			for i := range jobs {
				do(i)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func merge(p Policy, results []Result) Row {
	row := Row{Policy: p}
	first, whole := hdrhistogram.New(1, 600e6, 3), hdrhistogram.New(1, 600e6, 3)
	for _, r := range results {
		first.Merge(r.First)
		whole.Merge(r.Whole)
		row.Completed += r.Completed
		row.Failed += r.Failed
		row.CachedShare += r.CachedShare / float64(len(results))
		row.OtherZone += r.OtherZone / float64(len(results))
	}
	seconds := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	row.First50, row.First95 = seconds(first, 50), seconds(first, 95)
	row.Whole50, row.Whole95 = seconds(whole, 50), seconds(whole, 95)
	return row
}
