package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	// vmStartThreshold is the longest time from a request's arrival to its first
	// placement on a VM that was ready for it; a longer time means that the
	// request waited for the VM to start.
	vmStartThreshold = 100 * time.Millisecond
	// lossPeriod is the length of the periods by which losses are counted.
	lossPeriod = 2 * time.Second
)

// logFieldPattern matches a key and its value in a line of slog's text format.
var logFieldPattern = regexp.MustCompile(`([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// requestLog holds the log lines of one request.
type requestLog struct {
	id string
	// entries are the fields of each line, in the order of the log.
	entries []map[string]string
}

// loss is a request that was late or not served.
type loss struct{ id, reason, route, model, sends, period string }

// field returns the value of the named field, by which losses are counted.
func (l loss) field(name string) string {
	return map[string]string{"reason": l.reason, "route": l.route, "model": l.model, "sends": l.sends, "period": l.period}[name]
}

func (p *program) lossesCommand(clause *kingpin.CmdClause) command {
	by := clause.Flag("by", "What to count by, comma-separated: reason, route, model, sends, period (2 s).").Default("reason").String()
	files := clause.Arg("log", "Log files of entry VMs.").Required().Strings()
	return func(context.Context) error {
		groupBy := strings.Split(*by, ",")
		for _, name := range groupBy {
			if !slices.Contains([]string{"reason", "route", "model", "sends", "period"}, name) {
				return usageError("losses cannot be counted by %q", name)
			}
		}
		logs, err := readRequestLogs(*files)
		if err != nil {
			return exitUsage(err)
		}
		t := lossTable(logs, groupBy)
		t.width = p.width()
		_, err = p.Out.Write(t.render())
		return err
	}
}

// lossTable counts losses by the given fields, the most frequent first. Each
// row has the id of one request as an example for the trace command.
func lossTable(logs []*requestLog, groupBy []string) table {
	counts, examples := make(map[string]int), make(map[string]string)
	for _, s := range logs {
		l, ok := s.loss()
		if !ok {
			continue
		}
		key := ""
		for _, name := range groupBy {
			key += l.field(name) + "\x00"
		}
		if counts[key]++; counts[key] == 1 {
			examples[key] = l.id
		}
	}
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Or(counts[b]-counts[a], strings.Compare(a, b)) })
	t := table{columns: []column{{name: "requests", alignRight: true}}}
	for _, name := range groupBy {
		t.columns = append(t.columns, column{name: name, minWidth: 6})
	}
	t.columns = append(t.columns, column{name: "example", minWidth: 16})
	for _, key := range keys {
		row := append([]string{strconv.Itoa(counts[key])}, strings.Split(strings.TrimSuffix(key, "\x00"), "\x00")...)
		t.addRow(append(row, examples[key])...)
	}
	return t
}

// readRequestLogs groups the lines of log files by request, in the order of each
// request's first line.
func readRequestLogs(files []string) ([]*requestLog, error) {
	var logs []*requestLog
	byID := make(map[string]*requestLog)
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			fields := parseLogFields(scanner.Text())
			id := fields["request"]
			if id == "" {
				continue
			}
			s := byID[id]
			if s == nil {
				s = &requestLog{id: id}
				byID[id] = s
				logs = append(logs, s)
			}
			s.entries = append(s.entries, fields)
		}
		_ = f.Close() // opened only for reading
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return logs, nil
}

func parseLogFields(text string) map[string]string {
	fields := make(map[string]string)
	for _, m := range logFieldPattern.FindAllStringSubmatch(text, -1) {
		value := m[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		fields[m[1]] = value
	}
	return fields
}

// loss reports whether the request was late or not served, and the reason.
func (s *requestLog) loss() (loss, bool) {
	last := s.entries[len(s.entries)-1]
	l := loss{id: s.id, route: last["route"], model: last["model"], sends: last["sends"]}
	switch last["msg"] {
	case "answered":
		switch {
		case !strings.HasPrefix(last["status"], "2"):
			l.reason = "failed by the backend server, status " + last["status"]
		case last["late"] == "true":
			l.reason = "late, " + s.lateReason()
		default:
			return l, false
		}
	case "refused":
		l.reason = fmt.Sprintf("%s, %s", last["code"], last["ran"])
		if last["begun"] == "true" {
			l.reason += ", in the answer"
		}
		if slices.ContainsFunc(s.entries, func(e map[string]string) bool {
			return e["msg"] == "answer not believed" && e["handling"] == "connection-closed"
		}) {
			l.reason += ", another answer came"
		}
	default:
		// The VM stopped or the log ends before the request does.
		l.reason = "no end in the log"
	}
	if at, err := time.Parse(time.RFC3339Nano, s.entries[0]["time"]); err == nil {
		l.period = at.Truncate(lossPeriod).Format(time.TimeOnly)
	}
	return l, true
}

// lateReason returns the first cause of a late answer that the log shows.
func (s *requestLog) lateReason() string {
	last := s.entries[len(s.entries)-1]
	if s.waitedForVMStart(last) {
		return "waited for the start of the VM"
	}
	escalated := false
	for _, line := range s.entries {
		switch {
		case line["msg"] == "escalated":
			escalated = true
		case line["msg"] != "attempt failed":
		case strings.Contains(line["error"], "silent"):
			return "backend server was silent"
		case line["ran"] == "not-run" && strings.Contains(line["error"], "refused the request"):
			return "backend server refused"
		case line["ran"] == "not-run":
			return "backend server could not be reached"
		default:
			return "attempt failed"
		}
	}
	if escalated {
		return "made by a larger model"
	}
	return "slow in its only attempt"
}

// waitedForVMStart reports whether the first placement was more than
// vmStartThreshold after the request's arrival.
func (s *requestLog) waitedForVMStart(last map[string]string) bool {
	took, err := time.ParseDuration(last["took"])
	if err != nil || s.entries[0]["msg"] != "placed" {
		return false
	}
	ended, endErr := time.Parse(time.RFC3339Nano, last["time"])
	placed, placedErr := time.Parse(time.RFC3339Nano, s.entries[0]["time"])
	return endErr == nil && placedErr == nil && placed.Sub(ended.Add(-took)) > vmStartThreshold
}
