// Package peer implements the communication between daemons: msgpack frames over TCP
// for requests, votes, rows and slot moves, and datagrams over UDP for heartbeats.
//
// # Frame
//
// A frame consists of a four-byte length, a one-byte kind, an eight-byte ID and a
// msgpack body; integers are big-endian. The length counts the bytes that follow it. A
// reply has the ID of its call and the kind with the top bit set. The client drops and
// counts a reply that no call waits for. If a call was refused or failed, the server
// answers with a frame that says whether it had started to handle the call. A frame
// that is too long, does not decode or repeats the ID of a running call closes its
// connection, since no later byte of the stream can be trusted.
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
// ErrNotSent means that no byte of the call has left this process, and ErrRefused that
// the peer did not start to handle it. After any other error the peer may or may not
// have handled the call.
package peer
