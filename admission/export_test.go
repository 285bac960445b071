package admission

// WithTicketRewrite is a functional option that replaces each ticket before the Core
// processes it.
func WithTicketRewrite(rewriteTicket func(Ticket) Ticket) Option {
	return func(s *settings) { s.rewriteTicket = rewriteTicket }
}

// WithCompletionRewrite is a functional option that replaces each completion before the
// Core processes it.
func WithCompletionRewrite(rewriteCompletion func(Completion) Completion) Option {
	return func(s *settings) { s.rewriteCompletion = rewriteCompletion }
}
