package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhexplanation"
)

const (
	// maxWhereBytes bounds an answer: 4,096 candidates with 500 bytes each.
	maxWhereBytes = 2 << 20
	// defaultWhereCandidates is the number of candidates shown without --all.
	defaultWhereCandidates = 10
)

func (p *program) whereCommand(clause *kingpin.CmdClause) command {
	vm := clause.Flag("vm", "HOST:PORT of an entry VM's metrics.").Required().String()
	all := clause.Flag("all", "Show all backend servers of the pool.").Bool()
	var q dhexplanation.Query
	clause.Flag("route", "Route.").StringVar(&q.Route)
	clause.Flag("host", "Host of the request, if no route is given.").StringVar(&q.Host)
	clause.Flag("path", "Path of the request, if no route is given.").StringVar(&q.RequestPath)
	clause.Flag("account", "Client account.").StringVar(&q.Account)
	clause.Flag("id", "Request id, which selects one of several target pools.").StringVar(&q.ID)
	clause.Flag("session", "Session.").StringVar(&q.Session)
	clause.Flag("model", "Model; * leaves the choice to the route.").StringVar(&q.Model)
	clause.Flag("prompt", "Parts of the prompt in order, as ID:TOKENS,... with hexadecimal ids.").StringVar(&q.Prompt)
	clause.Flag("prompt-tokens", "Length of the prompt.").IntVar(&q.PromptTokens)
	clause.Flag("max-tokens", "Limit of the answer.").IntVar(&q.MaxTokens)
	clause.Flag("bytes", "Length of the body.").IntVar(&q.Bytes)
	return func(ctx context.Context) error {
		if q.Route == "" && q.Host == "" {
			return usageError("--route, or --host and --path, must say which route the request takes")
		}
		report, err := askWhere(ctx, *vm, q)
		if err != nil {
			return err
		}
		if p.json() {
			return p.printJSON(report)
		}
		return p.printWhere(report, *all)
	}
}

func askWhere(ctx context.Context, vm string, q dhexplanation.Query) (*dhexplanation.Report, error) {
	u := url.URL{Scheme: "http", Host: vm, Path: dhexplanation.Path, RawQuery: q.Values().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, exitUsage(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, dhcode.Wrap(dhcode.NoBackend, err)
	}
	defer func() { _ = response.Body.Close() }() // opened only for reading
	data, err := io.ReadAll(io.LimitReader(response.Body, maxWhereBytes+1))
	switch {
	case err != nil:
		return nil, dhcode.Wrap(dhcode.NoBackend, err)
	case len(data) > maxWhereBytes:
		return nil, dhcode.Errorf(dhcode.Internal, "the answer of %s is longer than %d bytes", vm, maxWhereBytes)
	case response.StatusCode == http.StatusBadRequest:
		return nil, usageError("%s: %s", vm, strings.TrimSpace(string(data)))
	case response.StatusCode != http.StatusOK:
		return nil, dhcode.Errorf(dhcode.NoBackend, "%s answers with status %d; entry VMs answer at the address of their metrics", vm, response.StatusCode)
	}
	report := &dhexplanation.Report{}
	if err := json.Unmarshal(data, report); err != nil {
		return nil, dhcode.Wrap(dhcode.Internal, err)
	}
	return report, nil
}

func (p *program) printWhere(r *dhexplanation.Report, all bool) error {
	line := func(name, format string, args ...any) {
		printWrapped(p.Out, fmt.Sprintf("%-9s", name+":"), fmt.Sprintf(format, args...), p.width())
	}
	line("vm", "%s in zone %s", r.VM, r.VMZone)
	line("route", "%s, pool %s, model %q, rank %d", r.Route, r.Pool, r.Model, r.Rank)
	if r.OnTarget {
		line("rollout", "the request runs on the target")
	}
	if r.Refused != "" {
		line("refused", "%s: %s", r.Refused, r.Error)
	} else {
		line("backend", "%s", r.Backend)
	}
	stays := "the request stays"
	if r.Zone.Leaves {
		stays = "the request leaves"
	}
	line("zone", "%s (%s); %.0f%% of such requests leave, they gain %s ms for a price of %s ms and a margin of %s ms", stays, r.Zone.Reason,
		100*r.Zone.Share, formatMs(r.Zone.Gain), formatMs(r.Zone.Price), formatMs(r.Zone.MinGain))
	t := &table{width: p.width(), columns: []column{
		{name: "backend", minWidth: 8},
		{name: "zone", minWidth: 6},
		{name: "load", minWidth: 4, alignRight: true},
		{name: "score", minWidth: 6, alignRight: true},
		{name: "choice", minWidth: 9},
		{name: "terms in ms, or why not", minWidth: 24},
	}}
	for i, c := range r.Candidates {
		if i >= defaultWhereCandidates && !all {
			break
		}
		score, choice, why := formatMs(c.Score), "considered", whereTerms(c)
		switch {
		case c.Backend == r.Backend:
			choice = "chosen"
		case c.Refused != "":
			score, choice, why = "", "refused", c.Refused
		case !c.Considered:
			choice = "unsampled"
		}
		t.addRow(c.Backend, c.Zone, formatMs(c.Load), score, choice, why)
	}
	if _, err := p.Out.Write(t.render()); err != nil {
		return err
	}
	if more := len(r.Candidates) - defaultWhereCandidates; more > 0 && !all {
		fmt.Fprintf(p.Out, "%d more backend servers; --all shows them\n", more)
	}
	return nil
}

// whereTerms returns the terms of a candidate's score that are not 0.
func whereTerms(c dhexplanation.Candidate) string {
	var terms []string
	for _, term := range []struct {
		name string
		ms   float64
	}{
		{"wait", c.Wait},
		{"prefill-wait", c.PrefillWait},
		{"prefill", c.Prefill},
		{"decode", c.Decode},
		{"failures", c.Failures},
		{"zone", c.OtherZone},
		{"lane", c.OtherLane},
	} {
		if term.ms != 0 {
			terms = append(terms, term.name+" "+formatMs(term.ms))
		}
	}
	if c.CachedTokens > 0 {
		terms = append(terms, fmt.Sprintf("(%d tokens cached)", c.CachedTokens))
	}
	return strings.Join(terms, " ")
}

func formatMs(ms float64) string { return strconv.FormatFloat(ms, 'f', 1, 64) }
