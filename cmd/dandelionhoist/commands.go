package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

func (p *program) commands(app *kingpin.Application) map[string]command {
	commands := make(map[string]command)
	add := func(name, help string, set func(*kingpin.CmdClause) command) {
		clause := app.Command(name, help)
		commands[name] = set(clause)
	}
	add("get", "Print the tables, with a first line that names the revision for apply.", p.getCommand)
	add("check", "Check a file of tables without a server.", p.checkCommand)
	add("diff", "Show what differs between two of: revision, file, newest.", p.diffCommand)
	add("apply", "Put a file of tables into force.", p.applyCommand)
	add("edit", "Edit the newest tables in $VISUAL or $EDITOR and put them into force.", p.editCommand)
	add("history", "List revisions, the newest first.", p.historyCommand)
	add("status", "Show entry VMs, pools, versions and latencies.", p.statusCommand)
	add("watch", "Show the status again whenever it changes.", p.watchCommand)
	add("explain", "Show which version and backend server a request would get, and why.", p.explainCommand)
	add("where", "Show where an entry VM on the platform would send a request now, and why, without sending it.", p.whereCommand)
	add("bills", "Print bills in the order of the ledger.", p.billsCommand)
	add("trace", "Print what logs say of one request, in order of time.", p.traceCommand)
	add("quarantine", "List the prompt parts and requests that are kept from backend servers on the platform, add one or lift one.", p.quarantineCommand)
	add("losses", "Count the requests of logs that were late or not served, by reason.", p.lossesCommand)
	return commands
}

func exitUsage(err error) error { return exitError{dhcode.ClassUsage, err} }

func (p *program) getCommand(clause *kingpin.CmdClause) command {
	revision := clause.Flag("revision", "Revision to print; 0 is the newest.").Uint64()
	raw := clause.Flag("raw", "Leave out the line with the revision.").Bool()
	return func(ctx context.Context) error {
		t, err := p.fetch(ctx, *revision)
		if err != nil {
			return err
		}
		if p.json() {
			return p.printJSON(map[string]any{"revision": t.GetRevision(), "tables": string(t.GetTables())})
		}
		text := t.GetTables()
		if !*raw {
			text = addRevisionLine(t.GetRevision(), text)
		}
		_, err = p.Out.Write(text)
		return err
	}
}

// fetch returns a revision of the tables; 0 is the newest.
func (p *program) fetch(ctx context.Context, revision uint64) (*dhpb.GetTablesResponse, error) {
	c, err := p.connect()
	if err != nil {
		return nil, err
	}
	var response *dhpb.GetTablesResponse
	err = c.tryServers(ctx, func(ctx context.Context, s server) error {
		var err error
		response, err = s.service.GetTables(ctx, &dhpb.GetTablesRequest{Revision: revision})
		return err
	})
	return response, err
}

func (p *program) checkCommand(clause *kingpin.CmdClause) command {
	file := clause.Arg("file", "File of tables.").Required().String()
	return func(context.Context) error {
		t, err := readTables(*file)
		if err != nil {
			return err
		}
		if p.json() {
			return p.printJSON(map[string]any{
				"routes": len(t.Routes), "accounts": len(t.Accounts), "pools": len(t.Pools), "zones": len(t.Zones),
			})
		}
		fmt.Fprintf(p.Out, "%s: %d routes, %d accounts, %d pools, %d zones; no error found\n",
			*file, len(t.Routes), len(t.Accounts), len(t.Pools), len(t.Zones))
		return nil
	}
}

// readTables parses and checks a local file.
func readTables(file string) (*dhtable.Tables, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, exitUsage(err)
	}
	return parseLocal(file, data)
}

func parseLocal(name string, data []byte) (*dhtable.Tables, error) {
	tables, err := dhtable.Parse(name, data)
	if err != nil {
		return nil, exitError{dhcode.ClassInvalid, err}
	}
	return tables, nil
}

func (p *program) diffCommand(clause *kingpin.CmdClause) command {
	old := clause.Arg("old", "Revision number, \"newest\" or a file.").Required().String()
	other := clause.Arg("new", "The same. Without it a file is compared with the newest revision, and the newest revision with an older one.").String()
	return func(ctx context.Context) error {
		from, to := *old, *other
		if to == "" {
			to = "newest"
			if _, isRevision := parseRevision(from); !isRevision {
				from, to = to, from
			}
		}
		before, err := p.loadTables(ctx, from)
		if err != nil {
			return err
		}
		after, err := p.loadTables(ctx, to)
		if err != nil {
			return err
		}
		return p.printDiff(dhtable.Diff(before, after))
	}
}

func parseRevision(text string) (revision uint64, ok bool) {
	if text == "newest" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

func (p *program) loadTables(ctx context.Context, source string) (*dhtable.Tables, error) {
	revision, ok := parseRevision(source)
	if !ok {
		return readTables(source)
	}
	t, err := p.fetch(ctx, revision)
	if err != nil {
		return nil, err
	}
	return dhtable.Parse("revision "+strconv.FormatUint(t.GetRevision(), 10), t.GetTables())
}

func (p *program) historyCommand(clause *kingpin.CmdClause) command {
	limit := clause.Flag("limit", "Number of revisions to list.").Short('n').Default("20").Int32()
	return func(ctx context.Context) error {
		c, err := p.connect()
		if err != nil {
			return err
		}
		var response *dhpb.HistoryResponse
		err = c.tryServers(ctx, func(ctx context.Context, s server) error {
			var err error
			response, err = s.service.History(ctx, &dhpb.HistoryRequest{Limit: *limit})
			return err
		})
		if err != nil {
			return err
		}
		return p.printHistory(response)
	}
}

func (p *program) explainCommand(clause *kingpin.CmdClause) command {
	var request dhpb.ExplainRequest
	clause.Arg("account", "Client account.").Required().StringVar(&request.Account)
	clause.Arg("route", "Route.").Required().StringVar(&request.Route)
	clause.Flag("session", "Session id.").StringVar(&request.SessionId)
	clause.Flag("session-token", "Session token of the previous answer.").StringVar(&request.SessionToken)
	return func(ctx context.Context) error {
		c, err := p.connect()
		if err != nil {
			return err
		}
		var response *dhpb.ExplainResponse
		err = c.tryServers(ctx, func(ctx context.Context, s server) error {
			var err error
			response, err = s.service.Explain(ctx, &request)
			return err
		})
		if err != nil {
			return err
		}
		return p.printExplain(response)
	}
}
