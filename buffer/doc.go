// Package buffer reads messages whole within bounds: one for each message, and one for
// all that are being read at once, so that senders without end can't take the memory of
// the process.
//
// A message up to Small bytes needs nobody's leave, whatever others are doing. A longer
// one waits until the pool has room for all that it may still become: its declared
// length, or the limit if it declares none. It asks once, so that messages which wait for
// each other can't come to a standstill.
//
// # Usage
//
//	pool := buffer.NewPool(16 << 20)
//	body, err := pool.ReadAll(ctx, resp.Body, resp.ContentLength, limit)
//
// The bound is on what is being read; a message that is complete is its reader's to keep.
package buffer
