package dhsession

import (
	"strings"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

// billingKey identifies the unit that is billed once and, with an idempotency
// key, run at most once: the request id, or the account with its idempotency key.
func (q Request) billingKey() string {
	if q.Key == "" {
		return "request " + q.ID
	}
	return "key " + q.Account + " " + q.Key
}

// checkBills checks R4.
func (c *checker) checkBills() {
	latest := make(map[string]*dhpb.Bill)
	for _, b := range c.Bills {
		// A bill that a merge replaced is listed again; the later one applies.
		latest[b.GetAccount()+"/"+b.GetRequestId()] = b
	}
	bills := make(map[string][]*dhpb.Bill)
	for _, b := range latest {
		id := b.GetRequestId()
		q, ok := c.asked[id]
		if !ok {
			c.report("R4", "there is a bill for request %s that nobody sent", id)
			continue
		}
		if b.GetAccount() != q.Account || b.GetRoute() != q.Route {
			c.report("R4", "the bill of %s names account %s and route %s", id, b.GetAccount(), b.GetRoute())
		}
		bills[q.billingKey()] = append(bills[q.billingKey()], b)
	}
	for name, list := range bills {
		if len(list) > 1 {
			c.report("R4", "%s has %d bills", name, len(list))
		}
	}
	for _, r := range c.Replies {
		if !r.Complete || len(bills[r.billingKey()]) == 1 && c.billMatches(r, bills[r.billingKey()][0]) {
			continue
		}
		if len(bills[r.billingKey()]) == 0 {
			c.report("R4", "%s was answered and has no bill", r.ID)
		} else {
			c.report("R4", "the bill of %s does not fit its answer", r.ID)
		}
	}
}

// billMatches reports whether a bill is for the answer in r, or for another
// complete answer to the same request that a backend server gave.
func (c *checker) billMatches(r *Reply, b *dhpb.Bill) bool {
	version := b.GetModel() + "/" + b.GetVersion()
	if r.Version == version && len(r.Text) == int(b.GetTokens())*dhengine.TokenBytes {
		return true
	}
	for _, x := range c.Executions {
		if b.GetRequestId() == x.RequestID && x.Whole && x.Version.String() == version && x.Length == int64(b.GetTokens())*dhengine.TokenBytes {
			return true
		}
	}
	return false
}

// checkAnswers checks R7.
func (c *checker) checkAnswers() {
	for _, r := range c.Replies {
		if r.Gap {
			c.report("R7", "%s got a chunk that does not continue its answer", r.ID)
		}
		if !c.isAnswer(r) {
			c.report("R7", "%s got a text that is not its answer: version %q, %d bytes, complete=%t", r.ID, r.Version, len(r.Text), r.Complete)
		}
	}
	for _, r := range c.Asked {
		if r.End.IsZero() {
			c.report("R7", "%s at %s, sent at %s, was never answered", r.ID, r.VM, c.offset(r.Start))
		}
	}
}

// isAnswer reports whether the text of a call is what backend servers sent for
// the request: the whole text if the call is complete, otherwise a prefix.
func (c *checker) isAnswer(r *Reply) bool {
	if r.Text == "" && !r.Complete {
		return true
	}
	for _, x := range c.Executions {
		q, ok := c.asked[x.RequestID]
		if !ok || q.billingKey() != r.billingKey() || x.Arrived.IsZero() {
			continue
		}
		text := expected(x.Prompt, x.Version, x.MaxTokens)
		if x.Prompt != r.Prompt || !strings.HasPrefix(text, r.Text) {
			continue
		}
		if !r.Complete || x.Whole && x.Length == int64(len(r.Text)) && x.Version.String() == r.Version {
			return true
		}
	}
	return false
}

// expected returns the answer that a version gives to a prompt.
func expected(prompt string, v dhtable.Version, maxTokens int) string {
	return dhengine.Answer(prompt, v.Model, v.Name, maxTokens)
}

// checkOutcomes checks R8 and R9, and that retryable errors carry a retry-after hint.
func (c *checker) checkOutcomes() {
	for _, r := range c.Replies {
		switch {
		case r.Complete:
		case r.Ran == dhcode.NotRun:
			if x := c.contradictingExecution(r); x != nil {
				c.report("R8", "%s was told %s not-run by %s and ran on %s at %s", r.ID, r.Code, r.VM, x.Engine, c.offset(x.Sent))
			}
		}
		if retryable(r.Code) && !r.Lost && r.RetryAfter <= 0 {
			c.report("final answer", "%s got %s from %s without a retry-after hint", r.ID, r.Code, r.VM)
		}
	}
	runs := make(map[string]int)
	ran := make(map[string]map[string]int)
	for id, b := range c.engines {
		ran[id] = b.AllExecutions()
	}
	for id, q := range c.asked {
		if q.Key == "" {
			continue
		}
		for _, all := range ran {
			runs[q.billingKey()] += all[id]
		}
	}
	for name, n := range runs {
		if n > 1 {
			c.report("R9", "%s ran %d times", name, n)
		}
	}
}

// contradictingExecution returns an execution that contradicts a not-run result.
// With an idempotency key, no call with the same key may have run. Without one,
// the result covers only the call itself.
func (c *checker) contradictingExecution(r *Reply) *Execution {
	next := time.Time{}
	for _, other := range c.Asked {
		if other.ID == r.ID && other.VM == r.VM && other.Start.After(r.Start) && (next.IsZero() || other.Start.Before(next)) {
			next = other.Start
		}
	}
	for _, x := range c.Executions {
		q, ok := c.asked[x.RequestID]
		if !ok || q.billingKey() != r.billingKey() || x.Arrived.IsZero() || x.Refused {
			continue
		}
		if r.Key != "" {
			return x
		}
		if x.VM == r.VM && !x.Sent.Before(r.Start) && (next.IsZero() || x.Sent.Before(next)) {
			return x
		}
	}
	return nil
}

// retryable reports whether a request that failed with code may succeed if retried.
func retryable(code dhcode.Code) bool {
	switch code {
	case dhcode.Leaving, dhcode.RateLimited, dhcode.ConcurrencyLimited, dhcode.QueueFull, dhcode.WaitTooLong,
		dhcode.NoBackend, dhcode.PoolFull, dhcode.PoolHeldOff, dhcode.PoolRateLimited, dhcode.PromptQuarantined, dhcode.RequestQuarantined, dhcode.PoolContended, dhcode.TablesLeaseLapsed, dhcode.RetryBudgetSpent, dhcode.BackendFailed,
		dhcode.StreamBroken, dhcode.OutcomeUnknown, dhcode.InProgress, dhcode.NoTables, dhcode.BillNotSafe:
		return true
	}
	return false
}
