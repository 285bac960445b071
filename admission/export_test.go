package admission

// WithClassify is a functional option that replaces each ticket before the Core
// sees it.
func WithClassify(classify func(Ticket) Ticket) Option {
	return func(s *settings) { s.classify = classify }
}

// WithJudge is a functional option that replaces each completion before the
// Core sees it.
func WithJudge(judge func(Completion) Completion) Option {
	return func(s *settings) { s.judge = judge }
}
