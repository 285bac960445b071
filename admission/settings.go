package admission

// Option configures what the constructors of this package make; each reads the
// options that concern it.
type Option func(*settings)

// settings holds what the options of this package set.
type settings struct {
	start    int
	ceiling  int
	fixed    bool
	queue    int
	order    Order
	reserve  float64
	maxDepth uint8
	spare    float64
	seed     uint64
	clock    Clock

	ratio      float64
	floor      float64
	quota      *RetryQuota
	members    func() int
	roundRobin bool
	ejectShare float64
	hedgeCost  float64

	// classify and judge replace the ticket and the completion that the Core
	// sees. They are nil but in tests that prove an oracle.
	classify func(Ticket) Ticket
	judge    func(Completion) Completion
}

// newSettings applies the options to the defaults.
func newSettings(opts []Option) settings {
	s := settings{
		start:    defaultStart,
		ceiling:  defaultCeiling,
		queue:    defaultQueue,
		order:    EarliestDeadline,
		reserve:  defaultReserve,
		maxDepth: defaultMaxDepth,
		spare:    defaultSpare,

		ratio:      defaultRatio,
		floor:      defaultFloor,
		ejectShare: defaultEjectShare,
		hedgeCost:  defaultHedgeCost,
	}
	for _, opt := range opts {
		opt(&s)
	}
	s.ceiling = max(s.ceiling, s.start)
	return s
}
