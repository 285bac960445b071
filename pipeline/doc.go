// Package pipeline serves callers that send further requests on a connection before
// the first is answered (HTTP/1.1 pipelining). net/http runs the requests of one
// connection sequentially, so that each waits for all before it. This package starts
// requests that have arrived early, before the requests ahead of them are answered,
// and answers them in the order in which they arrived.
//
// net/http stays the server. A Conn sits between it and the socket: it finds where
// each request ends, passes one at a time to net/http, and keeps reading while that one
// is served. It passes the complete requests without a body that it finds to the
// handler, with a recorder in place of the connection; when net/http reaches such a
// request, the recorded answer is written.
//
// When the caller closes a connection, the contexts of all its requests are cancelled.
// An answer that would close the connection leaves it open as long as requests behind
// it have been started, since these have to be answered.
//
// A request whose end is hard to determine, such as one with a chunked body, is passed
// through as it arrives, and from then on net/http alone serves the connection.
//
// # Usage
//
//	ingress := pipeline.New(handler, pipeline.WithEarlyStart(mayStartEarly))
//	server := &http.Server{Handler: ingress, ConnContext: pipeline.ConnContext}
//	err := server.Serve(ingress.Listen(listener))
package pipeline
