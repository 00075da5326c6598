package dhcode

// Class groups results by the action that they require of the caller. Its
// number is the exit status of the command-line tool.
type Class int

// The classes.
const (
	ClassOK          Class = iota // ok
	ClassInternal                 // internal
	ClassUsage                    // usage
	ClassInvalid                  // invalid
	ClassNotAllowed               // not-allowed
	ClassConflict                 // conflict
	ClassUnavailable              // unavailable
	ClassUnknown                  // unknown
	ClassRan                      // ran
	ClassStorage                  // storage
	ClassNotInForce               // not-in-force
)

// Classes returns all classes in order of their numbers.
func Classes() []Class {
	classes := make([]Class, 0, int(ClassNotInForce)+1)
	for c := ClassOK; c <= ClassNotInForce; c++ {
		classes = append(classes, c)
	}
	return classes
}

// Class returns the class of an error with code c that does not state
// explicitly whether the request ran.
func (c Code) Class() Class {
	switch c {
	case OK, SessionMoved:
		return ClassOK
	case Internal:
		return ClassInternal
	case RequestMalformed, RequestTooLarge, SessionTokenInvalid, IdempotencyKeyNeeded, TablesInvalid,
		BaseRevisionUnknown, SettingsInvalid:
		return ClassInvalid
	case UnknownKey, RouteNotAllowed, RouteUnknown, VersionNotAllowed, NotAuthenticated:
		return ClassNotAllowed
	case EditConflict, EditIDReused, KeyReused, KeyExpired, VoterEpochOld, FencingTokenOld, LeaseHeldElsewhere:
		return ClassConflict
	case DeadlinePast, NoTables, Leaving, RateLimited, ConcurrencyLimited, QueueFull, WaitTooLong, NoBackend,
		PoolFull, ClosedNotRun, TablesLeaseLapsed, TableFull, PoolHeldOff, PoolRateLimited,
		PromptQuarantined, RequestQuarantined, PoolContended:
		return ClassUnavailable
	case RetryBudgetSpent, BackendFailed, StreamBroken, DeadlineExceeded, Cancelled, InProgress, OutcomeUnknown,
		QuorumUnreachable, EditUnknown, BillNotSafe:
		return ClassUnknown
	case AnswerNotKept:
		return ClassRan
	case DiskFailed, DiskCorrupt, VoterRolledBack:
		return ClassStorage
	}
	return ClassInternal
}

// ClassOf returns the class of err. If the class of its code is
// ClassUnavailable or ClassUnknown, RanOf(err) decides between
// ClassUnavailable, ClassUnknown and ClassRan.
func ClassOf(err error) Class {
	class := Of(err).Class()
	if class != ClassUnavailable && class != ClassUnknown {
		return class
	}
	switch RanOf(err) {
	case NotRun:
		return ClassUnavailable
	case DidRun:
		return ClassRan
	default:
		return ClassUnknown
	}
}

// Meaning returns a short description of the results in the class.
func (c Class) Meaning() string {
	switch c {
	case ClassOK:
		return "It worked."
	case ClassInternal:
		return "A fault in dandelionhoist; whether the request ran is unknown unless the error says so."
	case ClassUsage:
		return "The command line, the defaults file or a local file cannot be used; nothing was sent."
	case ClassInvalid:
		return "The request or the document is faulty; it was not run. Correct it."
	case ClassNotAllowed:
		return "The key or account may not do this; it was not run."
	case ClassConflict:
		return "Something else was decided first, or an id was used for something else. Look before repeating."
	case ClassUnavailable:
		return "Not run. It may be tried again, after the retry-after hint if there is one."
	case ClassUnknown:
		return "It may or may not have run. Repeat only with the same idempotency key or edit id."
	case ClassRan:
		return "It ran, but its answer cannot be given."
	case ClassStorage:
		return "A disk of a voter is at fault."
	case ClassNotInForce:
		return "The edit is accepted, but not yet in force on every reachable entry VM."
	}
	return "Unknown class."
}
