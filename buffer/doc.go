// Package buffer reads complete messages into memory within two limits: one on the size
// of each message, and one on the memory of all messages that are being read at the same
// time, so that many senders cannot exhaust the memory of the process.
//
// A message up to SmallMessageSize bytes reserves no capacity and never waits for other
// messages. A longer one reserves capacity for each segment before it reads it, so that a
// message that arrives slowly holds only what has arrived. Once the capacity is used up, one
// message may exceed it, up to its limit, and the others wait until a message ends: messages
// that wait for each other cannot deadlock, and all together hold at most the capacity and
// one message.
//
// # Usage
//
//	pool := buffer.NewPool(16 << 20)
//	body, err := pool.ReadAll(ctx, resp.Body, resp.ContentLength, limit)
//
// The pool limits only messages that are being read; the caller owns a complete message.
package buffer
