package dhcapacity

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func testData() *Data {
	return &Data{Slopes: []Slope{{Name: "s", Points: []Point{
		{Size: 10, Values: map[string]float64{"a": 25}}, {Size: 20, Values: map[string]float64{"a": 45}}, {Size: 30, Values: map[string]float64{"a": 65}},
	}}, {Name: "two", Points: []Point{{Size: 1, Values: map[string]float64{"a": 1}}, {Size: 2, Values: map[string]float64{"a": 1}}}}}}
}

// Guards against arithmetic that differs from the expression that the page shows.
func TestEvaluate(t *testing.T) {
	m := newModel(testData(), []Figure{{Name: "x", Expression: "2 + 3*4"}, {Name: "y", Expression: "x / (1 + 1) - 1_000"}, {Name: "loop", Expression: "loop + 1"}})
	for expression, want := range map[string]float64{
		"x": 14, "y": -993, "max(x, 20)": 20, "min(x, 20)": 14,
		`per("s", "a")`: 2, `start("s", "a")`: 5, `at("s", "a", 20)`: 45, `at("s", "a", 1700)`: 3405,
	} {
		got, _, err := m.evaluate(expression)
		assert.NilError(t, err)
		assert.Assert(t, math.Abs(got-want) < 1e-9, "%s: %g", expression, got)
	}
	_, numbers, err := m.evaluate("x * (y + 1)")
	assert.NilError(t, err)
	assert.Equal(t, numbers, "14 × (-993 + 1)")
}

// Guards against figures from slopes that are missing, too short or have no
// such value, and against figures that depend on themselves.
func TestEvaluateRefuses(t *testing.T) {
	m := newModel(testData(), []Figure{{Name: "loop", Expression: "loop + 1"}})
	for _, expression := range []string{"none", "loop", `per("none", "a")`, `per("s", "b")`, `per("two", "a")`, "1 % 2", "1 +"} {
		_, _, err := m.evaluate(expression)
		assert.Assert(t, err != nil, expression)
	}
}

// Guards against numbers that are printed with digits that mean nothing, or lose some.
func TestFormat(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 5: "5", 0.0123456: "0.0123", 1.2345: "1.23", 99.96: "100.0", 123.4: "123", 1234567: "1,234,567", -4321.5: "-4,322",
	} {
		assert.Equal(t, format(v), want)
	}
}
