package dhworkload

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSessions bounds the open sessions that are kept of one account and class.
const maxSessions = 64

// thinkTime is the least time between two turns of a session.
const thinkTime = 10 * time.Second

// Options are the settings of a generator.
type Options struct {
	Seed uint64
	// Rate is the mean number of requests per second; arrivals are a Poisson process.
	Rate float64
	// Run is part of every id and idempotency key. Two runs against the same
	// daemons need different names, since a key is used only once.
	Run string
}

// Request is one request of a workload.
type Request struct {
	// At is the time since the start at which it is sent.
	At      time.Duration
	ID      string
	Account string
	Class   string
	// Key is the idempotency key; only orders have one.
	Key     string
	Session string
	// Turn counts the requests of the session before this one.
	Turn int
	// PromptTokens counts the tokens of the whole prompt. SharedTokens of them
	// are the beginning of earlier prompts: of the account, or of the
	// session's previous turn.
	PromptTokens, SharedTokens int
	// AnswerTokens is the number of tokens that the caller wants at most.
	AnswerTokens int
	Unary        bool
	// Resend is set when the same request, with the same key, is sent a second time.
	Resend bool
	// CancelAfter is the time after which the caller gives up; 0 means never.
	CancelAfter time.Duration

	class *Class
	// questions are the token counts of the session's questions, this one last.
	questions []int
	run       string
}

// Generator makes the requests of a workload in the order of their times. It
// is not safe for concurrent use.
type Generator struct {
	workload Workload
	options  Options
	random   *rand.Rand
	at       time.Duration
	count    int
	// sessions holds the open sessions by account and class.
	sessions map[sessionKey][]*session
}

type sessionKey struct{ account, class string }

type session struct {
	id        string
	last      time.Duration
	questions []int
}

// NewGenerator returns a generator at time 0.
func NewGenerator(w Workload, o Options) *Generator {
	return &Generator{
		workload: w, options: o, random: rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(w.Name))),
		sessions: make(map[sessionKey][]*session),
	}
}

// Next returns the next request.
func (g *Generator) Next() Request {
	g.at += time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second))
	g.count++
	class := g.class()
	r := Request{
		At: g.at, ID: g.options.Run + "-" + strconv.Itoa(g.count), Account: g.account(class), Class: class.Name,
		AnswerTokens: class.Answer.draw(g.random), Unary: g.random.Float64() < class.Unary,
		class: class, run: g.options.Run,
	}
	s := g.session(class, r)
	question := class.Question.draw(g.random)
	r.Session, r.Turn = s.id, len(s.questions)
	r.SharedTokens = class.SharedTokens() + sum(s.questions)
	r.PromptTokens = r.SharedTokens + question
	s.questions = append(slices.Clip(s.questions), question)
	r.questions = s.questions
	if class.Order {
		r.Key = r.ID
		r.Resend = g.random.Float64() < class.Resend
	}
	if g.random.Float64() < class.Cancel {
		r.CancelAfter = time.Duration((0.05 + g.random.Float64()) * float64(time.Second))
	}
	return r
}

func (g *Generator) class() *Class {
	weights := make([]float64, len(g.workload.Classes))
	for i, c := range g.workload.Classes {
		weights[i] = c.Weight
	}
	return &g.workload.Classes[pick(g.random, weights)]
}

func (g *Generator) account(class *Class) string {
	weights := make([]float64, len(g.workload.Accounts))
	for i, a := range g.workload.Accounts {
		if len(class.Accounts) == 0 || slices.Contains(class.Accounts, a.Name) {
			weights[i] = a.Weight
		}
	}
	return g.workload.Accounts[pick(g.random, weights)].Name
}

// session continues an open session or begins a new one, so that sessions
// have the class' mean number of turns.
func (g *Generator) session(class *Class, r Request) *session {
	key := sessionKey{r.Account, class.Name}
	open := g.sessions[key]
	if len(open) > 0 && open[0].last+thinkTime <= g.at {
		s := open[0]
		open = open[1:]
		if g.random.Float64()*class.Turns < class.Turns-1 {
			s.last = g.at
			g.sessions[key] = append(open, s)
			return s
		}
	}
	s := &session{id: g.options.Run + "-s" + strconv.Itoa(g.count), last: g.at}
	if class.Turns > 1 {
		open = append(open, s)
	}
	g.sessions[key] = open[max(0, len(open)-maxSessions):]
	return s
}

// Prompt returns the text of the prompt: what the class has in common, what
// the account has in common, then the questions of the session.
func (r Request) Prompt() string {
	var b strings.Builder
	b.Grow(r.PromptTokens * BytesPerToken)
	r.class.write(&b, r.class.ClassTokens, r.Class)
	r.class.write(&b, r.class.AccountTokens, r.Class, r.Account)
	for turn, tokens := range r.questions {
		r.class.write(&b, tokens, r.run, r.Session, strconv.Itoa(turn))
	}
	return b.String()
}

// write writes words that follow from the names, of exactly the given number of tokens.
func (c *Class) write(b *strings.Builder, tokens int, names ...string) {
	end := b.Len() + tokens*BytesPerToken
	random := rand.New(rand.NewPCG(xxhash.Sum64String(strings.Join(names, "\x00")), 0))
	for b.Len() < end {
		word := c.words[random.IntN(len(c.words))] + " "
		b.WriteString(word[:min(len(word), end-b.Len())])
	}
}

func (s Sizes) draw(random *rand.Rand) int {
	n := int(math.Round(s.Median * math.Exp(s.Sigma*random.NormFloat64())))
	return min(max(n, s.Min), s.Max)
}

// pick returns an index with a probability in proportion to its weight.
func pick(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := random.Float64() * total
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
