// Package explain reconstructs the course of one request from the logs of several
// processes, with the state that each process knew when it handled the request.
//
// # Usage
//
//	tracer := explain.NewTracer(id)
//	err := tracer.Read("agenda-1.log", file)
//	err = tracer.Trace().Write(os.Stdout)
//
// The events and fields are those of package logs. Lines without a time or an event are
// counted and skipped.
package explain
