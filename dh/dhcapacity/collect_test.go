package dhcapacity

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against printed lines that are read under a wrong name, size or unit,
// and against a disturbed run that replaces a better one.
func TestAdd(t *testing.T) {
	d := new(Data)
	d.add(source{lowest: "cpu_us", parse: parseKeys("slope", "name", "size", "")}, []byte(`=== RUN   TestX
slope name=claim size=3 bytes=10.5 cpu_us=7
slope name=claim size=5 bytes=20 cpu_us=9
slope name=claim size=5 bytes=21 cpu_us=8
slope name=claim size=3 bytes=11 cpu_us=8
steady members=10 bytes=3
ok  	dandelionhoist.example/dh/dhcapacity	1.2s
`), "date", "1.5")
	d.add(source{parse: parseKeys("change", "kind", "members", "change-")}, []byte("change kind=crash members=100 spread_ms=1500\n"), "", "")
	relay := []byte("BenchmarkRelay/60-10 \t 1\t3602195215 ns/op\t 0.2304 cores\t 69.17 µs/token\nBenchmarkRelayed/60-10 1 2 ns/op\n")
	d.add(source{parse: parseBenchmark("BenchmarkRelay", "relay")}, relay, "", "")
	d.add(source{parse: parseBenchmark("BenchmarkUpdate", "update")}, []byte("BenchmarkUpdate/concurrent=100-10 3000 5 ns/op\n"), "", "")
	assert.DeepEqual(t, d.Slopes, []Slope{
		{Name: "claim", Date: "date", Load: "1.5", Points: []Point{
			{3, map[string]float64{"bytes": 10.5, "cpu_us": 7}}, {5, map[string]float64{"bytes": 21, "cpu_us": 8}},
		}},
		{Name: "change-crash", Points: []Point{{100, map[string]float64{"spread_ms": 1500}}}},
		{Name: "relay", Points: []Point{{60, map[string]float64{"ns/op": 3602195215, "cores": 0.2304, "µs/token": 69.17}}}},
		{Name: "update", Points: []Point{{100, map[string]float64{"ns/op": 5}}}},
	})
}
