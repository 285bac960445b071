// Package budget shares the memory and the connections of a process among its clients, some of which
// may not behave: they send part of a request and stop, do not read their answers, or only connect.
//
// All that is kept for a client is charged to one Account: its connection, the heads and bodies of its
// requests, its answers. While there is room nobody is limited. Once there is none, the account
// evicts clients that the process waits for, and none whose request it serves: for a connection those
// that it has waited for longest, for memory those that have held most for longest. An ordinary client
// sends its request and reads its answer within milliseconds, so that it is among the last. If
// nobody can be evicted, the reservation fails and its request is refused.
//
// An Account decides from its state and the time that it is given alone. It is safe for concurrent use.
//
// # Usage
//
//	account := budget.NewAccount(budget.WithMemory(64<<20), budget.WithClients(2000))
//	client := account.Open(now, func() { conn.Close() })
//	if client == nil {
//		// Close the connection.
//	}
//	defer client.Close()
//	if !client.Reserve(now, int64(len(body))) {
//		// Refuse the request: it has not run.
//	}
//	client.Serve()
//	// Run the request.
//	client.Wait(now)
//	client.Charge(now, int64(len(answer)))
//	// Write the answer.
//	client.Release(int64(len(body) + len(answer)))
//
// Memory is in bytes. No function returns an error.
package budget
