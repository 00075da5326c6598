package dhrouter

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a gain estimated from confidences at the ends of the scale, and
// against an estimate that a few answers overturn.
func TestGainEstimate(t *testing.T) {
	var g gains
	k := gainKey{"p", "small", "middle"}
	assert.Equal(t, g.expected(k), float64(defaultGain))
	for _, c := range [][2]int{{0, 40}, {40, 0}, {40, 100}, {100, 100}, {-1, 50}} {
		g.observe(k, c[0], c[1])
	}
	assert.Equal(t, g.expected(k), float64(defaultGain))
	g.observe(k, 40, 45)
	assert.Assert(t, g.expected(k) > 12)
	for range 200 {
		g.observe(k, 40, 70)
	}
	assert.Assert(t, g.expected(k) > 29 && g.expected(k) <= 30)
	assert.Equal(t, g.expected(gainKey{"p", "small", "large"}), float64(defaultGain))
}

// Guards against escalation of low-confidence answers to the largest model only:
// it takes many times longer than a middle one and delays other requests,
// although a middle one is good enough for most answers.
func TestEscalationTargetByConfidence(t *testing.T) {
	const none, weak, strong = 0, 2, 30
	for _, c := range []struct {
		name       string
		confidence int
		gain       int // observed for the middle model; none leaves it unknown
		delay      time.Duration
		want       string
	}{
		{"sure", 60, none, 0, "small"},
		{"nearly sure", 50, none, 0, "small middle"},
		{"rather unsure", 40, none, 0, "small middle"},
		{"unsure", 30, none, 0, "small large"},
		{"middle model no better, nearly sure", 50, weak, 0, "small"},
		{"middle model no better, unsure", 40, weak, 0, "small large"},
		{"middle model much better", 25, strong, 0, "small middle"},
		{"middle model overloaded", 50, none, 2 * time.Second, "small"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestRouter(t, reply(200, text(event1), events, confidence(c.confidence)))
				for range 200 {
					if c.gain != none {
						f.gains.observe(gainKey{"p", "small", "middle"}, 40, 40+c.gain)
					}
					f.delays.observe("p", "middle", c.delay, f.timers.Now())
				}
				_, _, err := f.ask(t, "draft")
				assert.NilError(t, err)
				var models []string
				for _, o := range f.transport.sent {
					models = append(models, o.Model)
				}
				assert.Equal(t, strings.Join(models, " "), c.want)
			})
		})
	}
}

// Guards against gains that are never updated because no pair of answers is
// compared.
func TestGainIsLearnedFromAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text(event1), events, confidence(40)), reply(200, text(event2), events, confidence(90)))
		_, _, err := f.ask(t, "draft")
		assert.NilError(t, err)
		assert.Assert(t, f.gains.expected(gainKey{"p", "small", "middle"}) > defaultGain)
	})
}
