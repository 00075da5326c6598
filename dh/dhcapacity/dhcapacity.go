// Package dhcapacity computes docs/CAPACITY.md from docs/capacity.json, the
// slopes that the repository's benchmarks printed.
//
// # Usage
//
//	make capacity                      // measures again and computes the page
//	go test ./dh/dhcapacity -update    // computes the page from the file
//
// The page is the template page.md. Every figure on it is an input, an
// assumption, a value of the file, or an expression over them in figures.go.
package dhcapacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Data is docs/capacity.json.
type Data struct {
	Slopes []Slope `json:"slopes"`
}

// Slope is one quantity measured at several sizes.
type Slope struct {
	Name    string `json:"name"`
	Command string `json:"command"`
	Seed    string `json:"seed"`
	Date    string `json:"date"`
	// Load is the load average of the last minute before the command.
	Load   string  `json:"load"`
	Points []Point `json:"points"`
}

// Point holds the values measured at one size.
type Point struct {
	Size   float64            `json:"size"`
	Values map[string]float64 `json:"values"`
}

// Load reads a data file.
func Load(path string) (*Data, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d := new(Data)
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// Save writes a data file.
func (d *Data) Save(path string) error {
	text, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func (d *Data) slope(name string) (*Slope, error) {
	i := slices.IndexFunc(d.Slopes, func(s Slope) bool { return s.Name == name })
	if i < 0 {
		return nil, fmt.Errorf("slope %q is not in the data file", name)
	}
	return &d.Slopes[i], nil
}

// Fit returns the line through the points of a value, by least squares.
func (d *Data) Fit(name, key string) (start, perUnit float64, err error) {
	s, err := d.slope(name)
	if err != nil {
		return 0, 0, err
	}
	var n, x, y, xx, xy float64
	for _, p := range s.Points {
		v, ok := p.Values[key]
		if !ok {
			return 0, 0, fmt.Errorf("slope %q has no value %q at size %g", name, key, p.Size)
		}
		n, x, y, xx, xy = n+1, x+p.Size, y+v, xx+p.Size*p.Size, xy+p.Size*v
	}
	if n < 3 {
		return 0, 0, fmt.Errorf("slope %q has %g sizes, expected at least 3", name, n)
	}
	perUnit = (n*xy - x*y) / (n*xx - x*x)
	return (y - perUnit*x) / n, perUnit, nil
}

// At returns a value at a size: the measured one, or that of the line.
func (d *Data) At(name, key string, size float64) (float64, error) {
	s, err := d.slope(name)
	if err != nil {
		return 0, err
	}
	for _, p := range s.Points {
		if v, ok := p.Values[key]; ok && p.Size == size {
			return v, nil
		}
	}
	start, perUnit, err := d.Fit(name, key)
	return start + perUnit*size, err
}
