package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// maxLogLine bounds the length of a log line in bytes.
const maxLogLine = 1 << 20

// logTimePattern matches the time in a line that slog has written.
var logTimePattern = regexp.MustCompile(`\btime=(\S+)`)

// logLine is a line of a log with its time, by which the lines of several logs
// are sorted.
type logLine struct{ time, text string }

func (p *program) traceCommand(clause *kingpin.CmdClause) command {
	request := clause.Arg("request", "Id of the request.").Required().String()
	files := clause.Arg("log", "Log files of all VMs.").Required().Strings()
	return func(context.Context) error {
		var found []logLine
		for _, file := range *files {
			lines, err := requestLines(file, *request)
			if err != nil {
				return exitUsage(err)
			}
			found = append(found, lines...)
		}
		if len(found) == 0 {
			return usageError("no line of %d logs is about request %q", len(*files), *request)
		}
		// The clocks of the VMs differ only slightly; lines with equal times keep the
		// order of the files.
		slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
		for _, line := range found {
			fmt.Fprintln(p.Out, line.text)
		}
		return nil
	}
}

// requestLines returns the lines of a log that contain the request's id, also those that say
// of another request that it met this one's answer.
func requestLines(file, request string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened only for reading
	field, answer := " request="+request+" ", " answer-to="+request+" "
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if padded := text + " "; !strings.Contains(padded, field) && !strings.Contains(padded, answer) {
			continue
		}
		line := logLine{text: text}
		if m := logTimePattern.FindStringSubmatch(text); m != nil {
			line.time = m[1]
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}
