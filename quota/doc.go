// Package quota bounds the rate of each team's requests over all daemons together.
//
// Up to three daemons are the lenders of a team. Each has a token bucket with its share of the
// team's rate and burst. A daemon that receives a request of the team takes one token from a
// lender before it routes the request.
//
// # Rules
//
//   - Lenders are chosen by rendezvous hashing of the team and the generations of the open
//     members, so that daemons with the same view agree without a message.
//   - A lender lends only while its lease is valid and it is a lender in its own view. Its
//     bucket is empty when it becomes one.
//   - A token can be used until MaxTokenAge after the request for it was sent.
//
// # Usage
//
//	limiter := quota.NewLimiter()
//	limiter.Members, limiter.Self = members, self
//	limiter.Team, limiter.HasLease, limiter.Call = team, hasLease, call
//	limiter.Observe()                         // several times a second
//	answer := limiter.Lend(request)           // for each wire.TokenRequest of another daemon
//	decision := limiter.Take(ctx, team)       // for each request of the team
//	limiter.Return(decision.Token)            // if that request did not run
//
// View, Lender and Borrower hold the decisions. They get the time as an argument, do no I/O, and
// are not safe for concurrent use; Limiter is.
package quota
