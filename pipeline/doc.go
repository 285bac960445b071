// Package pipeline serves callers who send further requests on a connection before
// the first is answered (HTTP/1.1 pipelining). net/http runs the requests of one
// connection one after the other, so that each waits for all before it. Here those
// that have arrived are begun at once, and answered in the order in which they came.
//
// net/http stays the server. A Conn stands between it and the socket: it learns where
// each request ends, hands over one at a time, and goes on reading while that one is
// served. Complete requests without a body that it finds are given to the handler with
// a recorder in place of the connection; when net/http comes to such a request, its
// recorded answer is written.
//
// A connection that is ended by its caller ends the contexts of all its requests. An
// answer that would close the connection leaves it open as long as requests behind it
// have been begun, since these have to be answered.
//
// A request whose end is not plain, such as one with a chunked body, is handed over as
// it comes, and from then on the connection is served by net/http alone.
//
// # Usage
//
//	ingress := pipeline.New(handler, pipeline.WithAhead(mayBegin))
//	server := &http.Server{Handler: ingress, ConnContext: pipeline.ConnContext}
//	err := server.Serve(ingress.Listen(listener))
package pipeline
