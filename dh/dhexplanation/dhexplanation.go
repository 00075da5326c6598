// Package dhexplanation defines the question of an operator where an entry VM would send a request
// now, and the answer, as they are sent between the command-line tool and entry VMs.
//
// # Usage
//
//	u.RawQuery = dhexplanation.Query{Route: "plan", Account: "crew", Model: "*"}.Values().Encode()
//	q, err := dhexplanation.ParseQuery(u.Query())
package dhexplanation

import (
	"net/url"
	"strconv"

	"dandelionhoist.example/dh/dhcode"
)

// Path is the path at which entry VMs answer, at the address of the metrics.
const Path = "/where"

// Query describes a request. Route, or Host and RequestPath, selects the route.
type Query struct {
	Route, Host, RequestPath string
	// Account is the client account; it is empty on public routes.
	Account string
	// ID is the request's id; it selects one of several target pools.
	ID, Session string
	// Model is the requested model; * leaves the choice to the route.
	Model string
	// Prompt lists the parts of the prompt as the caller's header does.
	Prompt string
	// PromptTokens and MaxTokens are the length of the prompt and the limit of the answer, Bytes the length of the body.
	PromptTokens, MaxTokens, Bytes int
}

// maxQueryBytes bounds the length of each text.
const maxQueryBytes = 4096

func (q *Query) texts() map[string]*string {
	return map[string]*string{
		"route": &q.Route, "host": &q.Host, "path": &q.RequestPath, "account": &q.Account, "id": &q.ID, "session": &q.Session, "model": &q.Model, "prompt": &q.Prompt,
	}
}

func (q *Query) numbers() map[string]*int {
	return map[string]*int{"prompt-tokens": &q.PromptTokens, "max-tokens": &q.MaxTokens, "bytes": &q.Bytes}
}

// Values returns the query as parameters of a URL.
func (q Query) Values() url.Values {
	values := make(url.Values)
	for name, text := range q.texts() {
		if *text != "" {
			values.Set(name, *text)
		}
	}
	for name, n := range q.numbers() {
		if *n != 0 {
			values.Set(name, strconv.Itoa(*n))
		}
	}
	return values
}

// ParseQuery reads the parameters of a URL.
func ParseQuery(values url.Values) (Query, error) {
	var q Query
	texts, numbers := q.texts(), q.numbers()
	for name := range values {
		value := values.Get(name)
		switch {
		case len(value) > maxQueryBytes:
			return Query{}, dhcode.Errorf(dhcode.RequestMalformed, "parameter %q has %d bytes, at most %d are accepted", name, len(value), maxQueryBytes)
		case texts[name] != nil:
			*texts[name] = value
		case numbers[name] != nil:
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > 1<<30 {
				return Query{}, dhcode.Errorf(dhcode.RequestMalformed, "parameter %q is %q, not a number", name, value)
			}
			*numbers[name] = n
		default:
			return Query{}, dhcode.Errorf(dhcode.RequestMalformed, "unknown parameter %q", name)
		}
	}
	return q, nil
}

// Report states where the request would go. Times are in milliseconds.
type Report struct {
	VM         string      `json:"vm"`
	VMZone     string      `json:"vm-zone"`
	Route      string      `json:"route"`
	Pool       string      `json:"pool"`
	Model      string      `json:"model,omitempty"`
	Rank       int         `json:"rank"`
	OnTarget   bool        `json:"rollout-target"`
	Refused    string      `json:"refused,omitempty"` // result code
	Error      string      `json:"error,omitempty"`
	Backend    string      `json:"backend,omitempty"`
	Zone       Zone        `json:"zone"`
	Candidates []Candidate `json:"candidates"`
}

// Zone is the decision whether the request leaves the zone of the VM.
type Zone struct {
	Leaves  bool    `json:"leaves"`
	Reason  string  `json:"reason"`
	Share   float64 `json:"share"`
	Gain    float64 `json:"gain-ms"`
	Price   float64 `json:"price-ms"`
	MinGain float64 `json:"min-gain-ms"`
}

// Candidate is a backend server of the pool. Score is the sum of the terms that follow it.
type Candidate struct {
	Backend      string  `json:"backend"`
	Zone         string  `json:"zone"`
	Release      string  `json:"release,omitempty"`
	State        string  `json:"state"`
	Considered   bool    `json:"considered"`
	Refused      string  `json:"refused,omitempty"`
	Load         float64 `json:"load"`
	CachedTokens int     `json:"cached-tokens"`
	Score        float64 `json:"score-ms"`
	Wait         float64 `json:"wait-ms"`
	PrefillWait  float64 `json:"prefill-wait-ms"`
	Prefill      float64 `json:"prefill-ms"`
	Decode       float64 `json:"decode-ms"`
	Failures     float64 `json:"failures-ms"`
	OtherZone    float64 `json:"other-zone-ms"`
	OtherLane    float64 `json:"other-lane-ms"`
}
