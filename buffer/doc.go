// Package buffer reads complete messages into memory within two limits: one on the size
// of each message, and one on the memory of all messages that are being read at the same
// time, so that many senders cannot exhaust the memory of the process.
//
// A message up to SmallMessageSize bytes reserves no capacity and never waits for other
// messages. A longer one waits until the pool has capacity for the maximum size that it
// may still reach: its declared length, or the limit if it declares none. Each message
// reserves capacity only once, so that messages that wait cannot deadlock.
//
// # Usage
//
//	pool := buffer.NewPool(16 << 20)
//	body, err := pool.ReadAll(ctx, resp.Body, resp.ContentLength, limit)
//
// The pool limits only messages that are being read; the caller owns a complete message.
package buffer
