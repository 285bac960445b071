// Package http1 checks the heads of HTTP/1.x answers before net/http parses them. It rejects what
// net/http accepts: field names with blanks, folded lines, lines without a field name, and statuses
// other than 100 to 599. It also rejects status 101, which answers a request that these clients
// never send.
//
// The check is on the bytes of the connection, since a parsed head no longer shows how it was
// written, and net/http has framed the body and may have put the connection back into its pool
// by then. A Conn that has received a malformed head returns ErrHead, so that net/http closes the
// connection and the exchange ends without an answer.
//
// # Usage
//
//	client := http.Client{Transport: http1.NewTransport(&http.Transport{})}
//	resp, err := client.Do(req) // errors.Is(err, http1.ErrHead)
//
// For a transport whose connections the caller dials and tracks itself:
//
//	conn := http1.NewConn(tcpConn)
//	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { conn.ExpectAnswer() }}
//
// The grammar is that of RFC 9112; a bare line feed may end a line.
package http1
