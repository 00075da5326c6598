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
	// startedLate is how long after a request came it is first sent when the VM
	// was ready for it; a longer wait is one for the VM's start.
	startedLate = 100 * time.Millisecond
	// periodLength is the length of the spans by which losses are counted.
	periodLength = 2 * time.Second
)

// logField finds the fields of a line that slog has written as text.
var logField = regexp.MustCompile(`([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// story is what the logs say of one request.
type story struct {
	id string
	// lines are the fields of its lines in the order of the log.
	lines []map[string]string
}

// loss is a request that was late or not served.
type loss struct{ id, reason, route, model, sends, period string }

// by returns the part of a loss by which losses are counted.
func (l loss) by(name string) string {
	return map[string]string{"reason": l.reason, "route": l.route, "model": l.model, "sends": l.sends, "period": l.period}[name]
}

func (p *program) lossesCommand(clause *kingpin.CmdClause) command {
	by := clause.Flag("by", "What to count by, comma-separated: reason, route, model, sends, period (2 s).").Default("reason").String()
	files := clause.Arg("log", "Log files of entry VMs.").Required().Strings()
	return func(context.Context) error {
		names := strings.Split(*by, ",")
		for _, name := range names {
			if !slices.Contains([]string{"reason", "route", "model", "sends", "period"}, name) {
				return usageError("losses cannot be counted by %q", name)
			}
		}
		stories, err := readStories(*files)
		if err != nil {
			return exitUsage(err)
		}
		t := lossTable(stories, names)
		t.width = p.width()
		_, err = p.Out.Write(t.text())
		return err
	}
}

// lossTable counts losses, the most frequent first, each with a request for trace.
func lossTable(stories []*story, names []string) table {
	counts, examples := make(map[string]int), make(map[string]string)
	for _, s := range stories {
		l, ok := s.loss()
		if !ok {
			continue
		}
		key := ""
		for _, name := range names {
			key += l.by(name) + "\x00"
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
	t := table{columns: []column{{name: "requests", right: true}}}
	for _, name := range names {
		t.columns = append(t.columns, column{name: name, width: 6})
	}
	t.columns = append(t.columns, column{name: "example", width: 16})
	for _, key := range keys {
		row := append([]string{strconv.Itoa(counts[key])}, strings.Split(strings.TrimSuffix(key, "\x00"), "\x00")...)
		t.add(append(row, examples[key])...)
	}
	return t
}

// readStories returns what logs say of each request, in the order of their first lines.
func readStories(files []string) ([]*story, error) {
	var stories []*story
	known := make(map[string]*story)
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			fields := logFields(scanner.Text())
			id := fields["request"]
			if id == "" {
				continue
			}
			s := known[id]
			if s == nil {
				s = &story{id: id}
				known[id] = s
				stories = append(stories, s)
			}
			s.lines = append(s.lines, fields)
		}
		_ = f.Close() // it was only read
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return stories, nil
}

func logFields(text string) map[string]string {
	fields := make(map[string]string)
	for _, m := range logField.FindAllStringSubmatch(text, -1) {
		value := m[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		fields[m[1]] = value
	}
	return fields
}

// loss returns how the request was late or not served, if it was.
func (s *story) loss() (loss, bool) {
	end := s.lines[len(s.lines)-1]
	l := loss{id: s.id, route: end["route"], model: end["model"], sends: end["sends"]}
	switch end["msg"] {
	case "answered":
		switch {
		case !strings.HasPrefix(end["status"], "2"):
			l.reason = "failed by the backend server, status " + end["status"]
		case end["late"] == "true":
			l.reason = "late, " + s.lateness()
		default:
			return l, false
		}
	case "refused":
		l.reason = fmt.Sprintf("%s, %s", end["code"], end["ran"])
		if end["begun"] == "true" {
			l.reason += ", in the answer"
		}
	default:
		// The VM ended, or the log does.
		l.reason = "no end in the log"
	}
	if at, err := time.Parse(time.RFC3339Nano, s.lines[0]["time"]); err == nil {
		l.period = at.Truncate(periodLength).Format(time.TimeOnly)
	}
	return l, true
}

// lateness returns why an answer was late: the first cause that is seen.
func (s *story) lateness() string {
	end := s.lines[len(s.lines)-1]
	if s.startedLate(end) {
		return "waited for the start of the VM"
	}
	escalated := false
	for _, line := range s.lines {
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

// startedLate reports whether the first attempt began long after the request came.
func (s *story) startedLate(end map[string]string) bool {
	took, err := time.ParseDuration(end["took"])
	if err != nil || s.lines[0]["msg"] != "placed" {
		return false
	}
	ended, endErr := time.Parse(time.RFC3339Nano, end["time"])
	placed, placedErr := time.Parse(time.RFC3339Nano, s.lines[0]["time"])
	return endErr == nil && placedErr == nil && placed.Sub(ended.Add(-took)) > startedLate
}
