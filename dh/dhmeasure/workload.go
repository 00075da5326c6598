package dhmeasure

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
)

// thinkTime is the mean time from an answer to the session's next question.
const thinkTime = 15 * time.Second

// workload opens sessions at random times whose rate does not depend on how
// fast answers come.
type workload struct {
	s     *simulation
	rng   *rand.Rand
	texts map[string]string
	opens float64 // sessions per second
	count int
}

func newWorkload(s *simulation) *workload {
	w := &workload{s: s, rng: rand.New(rand.NewPCG(s.run.Seed, 3)), texts: make(map[string]string)}
	perSession := 0.0
	for _, c := range s.run.Deployment.Classes {
		perSession += c.Share * float64(1+c.Turns) / 2
	}
	w.opens = s.run.Rate / perSession
	return w
}

// start opens sessions, or keeps Run.Sessions of them open without think time.
func (w *workload) start() {
	for range w.s.run.Sessions {
		w.openSession()
	}
	if w.s.run.Sessions == 0 {
		w.openLater()
	}
}

func (w *workload) openLater() {
	w.s.timers.After(time.Duration(w.rng.ExpFloat64()/w.opens*float64(time.Second)), func(time.Time) {
		w.openSession()
		w.openLater()
	})
}

func (w *workload) openSession() {
	w.count++
	c := w.class()
	account, group := w.account(), w.rng.IntN(c.Groups)
	prompt := w.text(c.Name, c.SystemTokens)
	if c.AccountTokens > 0 {
		prompt += w.text(fmt.Sprint(c.Name, account, "/", group), c.AccountTokens)
	}
	w.turn(fmt.Sprint("s", w.count), c, prompt, 1+w.rng.IntN(c.Turns))
}

// turn asks the next question of a session and plans the one after it.
func (w *workload) turn(session string, c Class, history string, left int) {
	prompt := history + filler(w.rng, c.QuestionTokens)
	think := time.Duration(w.rng.ExpFloat64() * float64(thinkTime))
	req := &dhpb.GenerateRequest{
		RequestId: fmt.Sprint(session, "-", left), Model: c.Model, Version: versionOf(c.Model).Name, Prompt: prompt, MaxTokens: int32(c.MaxTokens),
	}
	vm := w.s.vms[w.rng.IntN(len(w.s.vms))]
	w.s.send(vm, req, func(ok bool) {
		if !ok || left == 1 {
			if w.s.run.Sessions > 0 {
				w.s.timers.After(0, func(time.Time) { w.openSession() })
			}
			return
		}
		if w.s.run.Sessions > 0 {
			think = 0
		}
		w.s.timers.After(think, func(time.Time) {
			answer := dhengine.Answer(prompt, c.Model, versionOf(c.Model).Name, c.MaxTokens)
			w.turn(session, c, prompt+answer, left-1)
		})
	})
}

func (w *workload) class() Class {
	x := w.rng.Float64()
	classes := w.s.run.Deployment.Classes
	for _, c := range classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return classes[len(classes)-1]
}

func (w *workload) account() int {
	n := w.s.run.Deployment.Accounts
	total := 0.0
	for i := range n {
		total += 1 / float64(i+1)
	}
	x := w.rng.Float64() * total
	for i := range n {
		if x -= 1 / float64(i+1); x < 0 {
			return i
		}
	}
	return n - 1
}

// text returns the text of a name, the same for each call of a run.
func (w *workload) text(name string, tokens int) string {
	if _, ok := w.texts[name]; !ok {
		w.texts[name] = filler(w.rng, tokens)
	}
	return w.texts[name]
}

func filler(rng *rand.Rand, tokens int) string {
	var b strings.Builder
	b.Grow(tokens * dhengine.PromptTokenBytes)
	for range tokens * dhengine.PromptTokenBytes {
		b.WriteByte('a' + byte(rng.IntN(26)))
	}
	return b.String()
}
