// Package http1 checks what net/http takes of HTTP/1.x answers as it comes: their heads, and how
// their connections end. It rejects heads that net/http accepts: field names with blanks, folded
// lines, lines without a field name, and statuses other than 100 to 599. It also rejects status 101,
// which answers a request that these clients never send.
//
// The check is on the bytes of the connection, since a parsed head no longer shows how it was
// written, and net/http has framed the body and may have put the connection back into its pool
// by then. A Conn that has received a malformed head returns ErrHead, so that net/http closes the
// connection and the exchange ends without an answer.
//
// An answer without a length ends with its connection, unless that was reset or has timed out. If
// this happens while the request is written, the write may receive the only error of the connection,
// and reads find its end as if it had been closed in order. A Conn returns ErrAborted then.
//
// # Usage
//
//	client := http.Client{Transport: http1.NewTransport(&http.Transport{})}
//	resp, err := client.Do(req)        // errors.Is(err, http1.ErrHead)
//	data, err := io.ReadAll(resp.Body) // errors.Is(err, http1.ErrAborted)
//
// For a transport whose connections the caller dials and tracks itself:
//
//	conn := http1.NewConn(tcpConn)
//	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { conn.ExpectAnswer() }}
//
// The grammar is that of RFC 9112; a bare line feed may end a line.
package http1
