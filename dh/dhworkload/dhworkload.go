// Package dhworkload generates the seeded traffic of the two deployments:
// which client account asks what, when, in which session and with which prompt.
//
// # Usage
//
//	w, ok := dhworkload.ByName("tringles")
//	generator := dhworkload.NewGenerator(w, dhworkload.Options{Seed: 1, Rate: 200, Run: "run-7"})
//	for {
//		request := generator.Next() // request.At is its time since the start
//	}
//
// The same options give the same requests. Rates, shares and sizes are
// assumptions about the deployments, not measurements of them; routes and
// accounts are those of deploy/*/tables.json, and a test holds them together.
package dhworkload

// BytesPerToken is the length of a token in generated prompts.
const BytesPerToken = 4

// Workload is the traffic of a deployment. It is immutable.
type Workload struct {
	Name string
	// Accounts are the client accounts with their share of the requests.
	Accounts []Share
	Classes  []Class
}

// Share is a name and its weight among others.
type Share struct {
	Name   string
	Weight float64
}

// Class is a kind of request. Its name is that of its route.
type Class struct {
	Name   string
	Weight float64
	// Accounts that send the class; empty means all.
	Accounts []string
	// Order marks non-idempotent requests, which carry an idempotency key.
	Order bool
	// Resend is the share of orders that are sent a second time with the same key.
	Resend float64
	// Cancel is the share of requests that the caller gives up.
	Cancel float64
	// Unary is the share of requests that want the answer in one message.
	Unary float64
	// ClassTokens of every prompt are the same for all accounts, and the next
	// AccountTokens are the same for one account.
	ClassTokens, AccountTokens int
	// Question is the part of a prompt that is new in each turn.
	Question Sizes
	Answer   Sizes
	// Turns is the mean number of requests of a session.
	Turns float64
	words []string
}

// Sizes is a log-normal distribution of token counts, cut off at Min and Max.
type Sizes struct {
	Median   float64
	Sigma    float64
	Min, Max int
}

// ByName returns the workload of a deployment.
func ByName(name string) (Workload, bool) {
	for _, w := range []Workload{Tringles(), Kandy()} {
		if w.Name == name {
			return w, true
		}
	}
	return Workload{}, false
}

// Names returns the names of the workloads.
func Names() []string { return []string{Tringles().Name, Kandy().Name} }

// Tringles returns the traffic of the curtain pole shop: crews wait on site
// for short answers, so that latency counts most.
func Tringles() Workload {
	words := []string{
		"window", "width", "height", "bay", "left", "right", "return", "142 cm", "88 cm", "210 cm", "rod", "pole",
		"bracket", "finial", "walnut", "brass", "satin", "ceiling", "joist", "spacing", "ring", "drape", "lining", "room",
	}
	return Workload{
		Name: "tringles",
		Accounts: []Share{
			{"crew-east", 24},
			{"retail-mauricie", 22},
			{"crew-west", 18},
			{"crew-north", 8},
			{"crew-south", 7},
			{"retail-lanaudiere", 7},
			{"retail-portneuf", 5},
			{"showroom", 4},
			{"rush-repairs", 3},
			{"web-shop", 2},
		},
		Classes: []Class{
			{
				Name: "cut-lists", Weight: 30, ClassTokens: 400, AccountTokens: 200,
				Accounts: []string{"crew-east", "crew-west", "crew-north", "crew-south", "retail-mauricie", "retail-lanaudiere", "retail-portneuf", "showroom", "rush-repairs"},
				Question: Sizes{180, 0.6, 40, 900}, Answer: Sizes{260, 0.5, 60, 800},
				Turns: 2.5, Cancel: 0.02, words: words,
			},
			{
				Name: "bracket-checks", Weight: 25, ClassTokens: 250, AccountTokens: 60,
				Accounts: []string{"crew-east", "crew-west", "crew-north", "crew-south", "showroom", "rush-repairs"},
				Question: Sizes{70, 0.4, 20, 240}, Answer: Sizes{50, 0.4, 15, 150},
				Turns: 3, Cancel: 0.01, Unary: 0.5, words: words,
			},
			{
				Name: "finish-questions", Weight: 38, ClassTokens: 200, AccountTokens: 30,
				Question: Sizes{30, 0.5, 8, 120}, Answer: Sizes{70, 0.5, 15, 200},
				Turns: 1.5, Cancel: 0.03, Unary: 0.2, words: words,
			},
			{
				Name: "cut-orders", Weight: 7, Order: true, Resend: 0.05,
				Question: Sizes{60, 0.4, 20, 200}, Answer: Sizes{20, 0.2, 10, 50},
				Turns: 1, Unary: 1, words: words,
			},
		},
	}
}

// Kandy returns the traffic of the bakery franchise: large bake plans, so that
// cost and service during zone moves count most.
func Kandy() Workload {
	words := []string{
		"loaf", "rye", "millet", "wheat", "tray", "oven", "week", "monday", "friday", "poya day", "outlet", "counter",
		"stock", "40 kg", "flour", "yeast", "pickup", "van", "menu", "festival", "roti", "bun", "price", "order",
	}
	outlets := []string{"outlets-kandy", "outlets-peradeniya", "outlets-matale", "bakery-central", "events", "franchise-office"}
	counters := []string{"outlets-kandy", "outlets-peradeniya", "outlets-matale", "counter-gampola", "counter-katugastota", "counter-digana"}
	return Workload{
		Name: "kandy",
		Accounts: []Share{
			{"outlets-kandy", 26},
			{"order-line", 20},
			{"outlets-peradeniya", 18},
			{"outlets-matale", 10},
			{"counter-gampola", 7},
			{"counter-katugastota", 6},
			{"counter-digana", 5},
			{"bakery-central", 4},
			{"events", 2},
			{"franchise-office", 2},
		},
		Classes: []Class{
			{
				Name: "bake-plans", Weight: 14, Accounts: outlets, ClassTokens: 900, AccountTokens: 600,
				Question: Sizes{500, 0.6, 100, 2400}, Answer: Sizes{700, 0.4, 200, 1600},
				Turns: 2, Cancel: 0.01, words: words,
			},
			{
				Name: "menu-drafts", Weight: 12, Accounts: outlets, ClassTokens: 500, AccountTokens: 300,
				Question: Sizes{160, 0.5, 40, 700}, Answer: Sizes{320, 0.4, 80, 800},
				Turns: 3, Cancel: 0.03, words: words,
			},
			{
				Name: "stock-questions", Weight: 40, Accounts: counters, ClassTokens: 200, AccountTokens: 120,
				Question: Sizes{25, 0.4, 8, 100}, Answer: Sizes{40, 0.4, 10, 120},
				Turns: 1.5, Cancel: 0.02, Unary: 0.3, words: words,
			},
			{
				Name: "pickup-checks", Weight: 24, Accounts: []string{"order-line", "counter-gampola", "counter-katugastota", "counter-digana"},
				Question: Sizes{20, 0.3, 8, 60}, Answer: Sizes{15, 0.2, 8, 50},
				Turns: 1, Unary: 1, words: words,
			},
			{
				Name: "loaf-orders", Weight: 10, Order: true, Resend: 0.05,
				Question: Sizes{50, 0.5, 15, 200}, Answer: Sizes{20, 0.2, 10, 50},
				Turns: 1, Unary: 1, words: words,
			},
		},
	}
}

// SharedTokens returns the number of tokens that all prompts of an account in
// the class begin with.
func (c Class) SharedTokens() int { return c.ClassTokens + c.AccountTokens }
