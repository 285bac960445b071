// Package peer speaks to the other daemons: frames of msgpack over TCP for
// requests, votes, rows and moves, and datagrams over UDP for heartbeats.
//
// # Frame
//
// A frame is a four-byte length, a one-byte kind, an eight-byte ID and a msgpack
// body, integers big-endian. The length counts what follows it. A reply has the
// ID of its call and the kind with the top bit set; a reply that nobody waits
// for is dropped and counted. A call that has no reply of its own is answered by
// a frame that says whether it had begun. A frame that is too long, does not
// decode or repeats the ID of a running call ends its connection, since nothing
// after it can be trusted.
//
// # Usage
//
//	server := peer.NewServer(peer.WithMaxFrame(4 << 20))
//	peer.Handle(server, peer.KindVote, func(ctx context.Context, v *wire.Vote) (*wire.Verdict, error) {
//		return decide(v), nil
//	})
//	go server.Serve(listener)
//
//	client := peer.NewClient()
//	verdict, err := peer.Call[wire.Verdict](ctx, client, addr, peer.KindVote, &vote)
//
// # Errors
//
// ErrNotSent says that no byte of the call has left this process, and ErrRefused
// that the peer did not begin it. Every other error leaves open whether the peer
// has acted on the call.
package peer
