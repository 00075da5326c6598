package dhcapacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"dandelionhoist.example/dh/dhtimer"
)

// source is a command whose output holds slopes.
type source struct {
	command, seed string
	// lowest is the value by which the best of repeated runs is kept, since
	// processor time grows with the load of the machine.
	lowest string
	// parse returns the slope, size and values of a line.
	parse func(line string) (name string, size float64, values map[string]float64, ok bool)
}

// sources are all commands of make capacity. Seeds are those that the tests use.
var sources = []source{
	{"go test ./dh/dhcapacity -run Slopes -slopes -v -count 3", "none", "cpu_us", parseKeys("slope", "name", "size", "")},
	{"go test ./dh/dhcapacity -run AnswerMemory -slopes -v -count 1", "none", "", parseKeys("slope", "name", "size", "")},
	{"go test ./dh/dhmember -run TestSlopes$ -slopes -v -count 1", "1", "", parseKeys("steady", "", "members", "steady")},
	{"go test ./dh/dhmember -run TestSlopes$ -slopes -v -count 1", "1", "", parseKeys("change", "kind", "members", "change-")},
	{"go test ./dh/dhquorum -run NONE -bench Update -benchtime 3000x -count 3", "none", "ns/op", parseBenchmark("BenchmarkUpdate", "update")},
	{"go test ./cmd/dandelionhoistd -run NONE -bench Relay -benchtime 1x -count 3", "none", "µs/token", parseBenchmark("BenchmarkRelay", "relay")},
	{"go test ./cmd/dandelionhoistd -run NONE -bench RequestTokens -benchtime 1x -count 2", "none", "µs/request", parseBenchmark("BenchmarkRequestTokens", "request")},
}

// parseKeys takes lines of a kind with key=value pairs. The slope is named by
// a key, if there is one, after a prefix.
func parseKeys(kind, nameKey, sizeKey, prefix string) func(string) (string, float64, map[string]float64, bool) {
	return func(line string) (string, float64, map[string]float64, bool) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != kind {
			return "", 0, nil, false
		}
		name, size, values := prefix, 0.0, make(map[string]float64)
		for _, field := range fields[1:] {
			key, text, _ := strings.Cut(field, "=")
			value, err := strconv.ParseFloat(text, 64)
			switch {
			case key == nameKey:
				name += text
			case key == sizeKey:
				size = value
			case err == nil:
				values[key] = value
			}
		}
		return name, size, values, true
	}
}

// parseBenchmark takes lines of a benchmark whose name ends with "/<size>" or
// "/<key>=<size>".
func parseBenchmark(benchmark, name string) func(string) (string, float64, map[string]float64, bool) {
	return func(line string) (string, float64, map[string]float64, bool) {
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], benchmark+"/") {
			return "", 0, nil, false
		}
		text, _, _ := strings.Cut(strings.TrimPrefix(fields[0], benchmark+"/"), "-")
		size, err := strconv.ParseFloat(text[strings.IndexByte(text, '=')+1:], 64)
		if err != nil {
			return "", 0, nil, false
		}
		values := make(map[string]float64)
		for i := 2; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				values[fields[i+1]] = v
			}
		}
		return name, size, values, true
	}
}

// Collect runs the commands that match a pattern in a folder and returns what
// they printed. Slopes of the others are kept from old data.
func Collect(ctx context.Context, folder string, pattern *regexp.Regexp, old *Data) (*Data, error) {
	d := new(Data)
	printed := make(map[string][]byte)
	for _, s := range sources {
		if !pattern.MatchString(s.command) {
			for _, slope := range old.Slopes {
				if _, err := d.slope(slope.Name); err != nil && slope.Command == s.command {
					d.Slopes = append(d.Slopes, slope)
				}
			}
			continue
		}
		load, date := loadAverage(), dhtimer.NewSystem().Now().UTC().Format("2006-01-02 15:04")
		output, ok := printed[s.command]
		if !ok {
			args := strings.Fields(s.command)
			run := exec.CommandContext(ctx, args[0], args[1:]...)
			run.Dir = folder
			var err error
			if output, err = run.CombinedOutput(); err != nil {
				return nil, fmt.Errorf("%s: %w\n%s", s.command, err, output)
			}
			printed[s.command] = output
		}
		before := len(d.Slopes)
		d.add(s, output, date, load)
		if len(d.Slopes) == before {
			return nil, fmt.Errorf("%s printed no slope:\n%s", s.command, output)
		}
	}
	return d, nil
}

func (d *Data) add(s source, output []byte, date, load string) {
	lines := bufio.NewScanner(bytes.NewReader(output))
	for lines.Scan() {
		name, size, values, ok := s.parse(lines.Text())
		if !ok {
			continue
		}
		slope, err := d.slope(name)
		if err != nil {
			d.Slopes = append(d.Slopes, Slope{Name: name, Command: s.command, Seed: s.seed, Date: date, Load: load})
			slope = &d.Slopes[len(d.Slopes)-1]
		}
		slope.keep(Point{Size: size, Values: values}, s.lowest)
	}
}

// keep adds a point, or replaces that of an earlier run with a higher value.
func (s *Slope) keep(p Point, lowest string) {
	i := slices.IndexFunc(s.Points, func(q Point) bool { return q.Size == p.Size })
	switch {
	case i < 0:
		s.Points = append(s.Points, p)
	case p.Values[lowest] < s.Points[i].Values[lowest]:
		s.Points[i] = p
	}
}

func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	load, _, _ := strings.Cut(string(text), " ")
	return load
}
