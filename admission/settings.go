package admission

// Option configures the types of this package; each constructor reads the options that
// apply to it.
type Option func(*settings)

// settings holds the values that the options of this package set.
type settings struct {
	startLimit   int
	ceiling      int
	fixedLimit   bool
	queue        int
	order        Order
	reserve      float64
	maxDepth     uint8
	patientShare float64
	seed         uint64
	clock        Clock
	maxBytes     int64
	// overloadPolicy is set by WithOverloadPolicy.
	overloadPolicy bool
	// priorityPolicy is set by WithPriorityPolicy.
	priorityPolicy bool

	// Options of RetryBudget, Pool and Hedge.
	ratio        float64
	floor        float64
	quota        *RetryQuota
	memberCount  func() int
	roundRobin   bool
	ejectShare   float64
	maxHedgeCost float64

	// rewriteTicket and rewriteCompletion replace the ticket and the completion that
	// the Core processes. They are nil except in tests that check that an oracle
	// detects a mutation.
	rewriteTicket     func(Ticket) Ticket
	rewriteCompletion func(Completion) Completion
}

// newSettings applies the options to the defaults.
func newSettings(opts []Option) settings {
	s := settings{
		startLimit:   defaultStartLimit,
		ceiling:      defaultCeiling,
		queue:        defaultQueue,
		order:        EarliestDeadline,
		reserve:      defaultReserve,
		maxDepth:     defaultMaxDepth,
		patientShare: defaultPatientShare,

		ratio:        defaultRatio,
		floor:        defaultFloor,
		ejectShare:   defaultEjectShare,
		maxHedgeCost: defaultHedgeCost,
	}
	for _, opt := range opts {
		opt(&s)
	}
	s.ceiling = max(s.ceiling, s.startLimit)
	return s
}
