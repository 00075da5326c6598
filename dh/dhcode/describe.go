package dhcode

type description struct{ meaning, action string }

// descriptions holds the texts of docs/RESULT-CODES.md for each code.
var descriptions = [...]description{
	OK:                   {"The request ran and its answer is complete.", "Use the answer."},
	Internal:             {"A fault in dandelionhoist.", "Report it with the request id. Repeat only idempotent requests."},
	UnknownKey:           {"The API key belongs to no client account.", "Check the key; ask the operators for one."},
	RouteNotAllowed:      {"The route does not exist or the client account may not use it.", "Check the route's name; ask the operators."},
	RequestMalformed:     {"The request cannot be read or a field is faulty.", "Correct the request."},
	RequestTooLarge:      {"The request is larger than the settings accept.", "Send a shorter prompt."},
	DeadlinePast:         {"The deadline had passed when the request arrived.", "Send it again with a later deadline, if it is still wanted."},
	VersionNotAllowed:    {"No version that the client account may use is in service on the route.", "Ask the operators."},
	NoTables:             {"The entry VM has no tables yet, because it is starting.", "Try another entry VM, or this one later."},
	Leaving:              {"The entry VM is stopping as planned.", "Try another entry VM at once."},
	RateLimited:          {"The client account is above its requests per second.", "Wait for the retry-after time."},
	ConcurrencyLimited:   {"The client account has too many requests in flight.", "Wait for an answer to one of them."},
	QueueFull:            {"The pool's queue is full.", "Wait for the retry-after time."},
	WaitTooLong:          {"The estimated wait exceeds the request's deadline.", "Wait for the retry-after time, or send it with a later deadline."},
	NoBackend:            {"No backend server of the pool can be reached with an allowed version.", "Wait for the retry-after time."},
	PoolFull:             {"No backend server of the pool has a free slot.", "Wait for the retry-after time."},
	RetryBudgetSpent:     {"A backend server failed and too many other requests are being retried.", "Repeat idempotent requests after the retry-after time."},
	BackendFailed:        {"A backend server failed and the request could not be completed elsewhere.", "Repeat idempotent requests; ask for the outcome of others."},
	StreamBroken:         {"The connection or the stream broke before the answer was complete.", "Resume at the offset; ask for the outcome of an order."},
	DeadlineExceeded:     {"The answer was not complete at the deadline.", "Resume, or ask for the outcome."},
	Cancelled:            {"The caller cancelled the request or went away.", "None; it may have run in part."},
	SessionTokenInvalid:  {"The session token is damaged, or signed with a key that is no longer used.", "Begin a new session."},
	SessionMoved:         {"The session's version was withdrawn or is no longer allowed; another version answered.", "Use the answer and its new session token."},
	IdempotencyKeyNeeded: {"The route is not repeatable and the request has no idempotency key.", "Send it with a key."},
	KeyReused:            {"The idempotency key belongs to a different request, whose state is not stated.", "Find out which request used the key; send a new request with a new key."},
	KeyExpired:           {"The idempotency key is older than keys are kept.", "Find out by other means whether it ran."},
	InProgress:           {"A request with this idempotency key is running.", "Ask again with the same key."},
	OutcomeUnknown:       {"The request or edit may have run; it cannot be said.", "Ask for the outcome, or send it again with the same key or edit id."},
	ClosedNotRun:         {"The idempotency key is closed: its request did not run and never will.", "Send a new request with a new key."},
	AnswerNotKept:        {"The request is finished or not known here, and its answer is no longer kept.", "Ask again if the route is repeatable; ask for the outcome of an order."},
	QuorumUnreachable:    {"A majority of the voters did not answer; what was written may still take effect.", "Send it again with the same key or edit id, also through another entry VM."},
	TablesLeaseLapsed:    {"The entry VM cannot confirm that its tables are the newest, and the request needs that.", "Try another entry VM, or this one later."},
	TablesInvalid:        {"The document is not valid; the message gives row and column.", "Correct the document."},
	EditConflict:         {"Another edit of the same base revision has won; the message names it.", "Look at the winner, then apply the change to the newest revision."},
	EditIDReused:         {"The edit id belongs to an edit with other content or another base.", "Use a new edit id."},
	BaseRevisionUnknown:  {"The base or asked revision does not exist or its tables are no longer kept.", "Start from the newest revision."},
	EditUnknown:          {"No edit with this id is known.", "Send the edit again with the same id."},
	DiskFailed:           {"A voter's disk failed; the voter has stopped.", "Operators: replace the disk or the VM."},
	DiskCorrupt:          {"A voter's file is damaged; the voter has stopped and keeps the file.", "Operators: keep the file for analysis and replace the voter."},
	VoterRolledBack:      {"A voter's disk is older than what the voter has acknowledged; it has stopped.", "Operators: start it as a new voter with an empty disk."},
	VoterEpochOld:        {"A message names an older set of voters.", "None; entry VMs repeat it with the newer set."},
	FencingTokenOld:      {"An order to a backend server carries an older fencing token.", "None; the newer holder gives the orders."},
	LeaseHeldElsewhere:   {"Another entry VM holds the lease.", "None; it is tried again when the lease ends."},
	SettingsInvalid:      {"The settings are not valid; the message gives file and row.", "Operators: correct the settings."},
	NotAuthenticated:     {"The key does not open this service.", "Use a key of the right kind: a caller's, an operator's or a peer's."},
	TableFull:            {"A bounded table of the entry VM is full.", "Wait for the retry-after time, or try another entry VM."},
	BillNotSafe:          {"The bill could not be stored on enough VMs, so that the answer's end is held back.", "Resume at the offset."},
	PoolHeldOff:          {"All backend servers of the pool that could serve the request leave, or asked for no requests for some time.", "Wait for the retry-after time."},
	PoolRateLimited:      {"The backend servers of the pool that could serve the request state rate limits, of which this VM has no part left now.", "Wait for the retry-after time."},
	PromptQuarantined:    {"A part of the prompt is in quarantine: backend servers that began to answer requests with it ended.", "Do not repeat the request before the retry-after time; ask the operators about the part."},
	RequestQuarantined:   {"The request is in quarantine: each backend server that began to run it ended.", "Do not send the request again before the retry-after time; ask the operators about its fingerprint."},
	PoolContended:        {"The demand on the pool exceeds what it can serve, and the client account demands more than its share.", "Wait for the retry-after time."},
	RouteUnknown:         {"No route's host and path prefix match the HTTP request.", "Check host and path; ask the operators."},
}

// Meaning returns one sentence that describes the code.
func (c Code) Meaning() string {
	if c < 0 || int(c) >= len(descriptions) {
		return ""
	}
	return descriptions[c].meaning
}

// Action returns what the recipient of the code should do next.
func (c Code) Action() string {
	if c < 0 || int(c) >= len(descriptions) {
		return ""
	}
	return descriptions[c].action
}
