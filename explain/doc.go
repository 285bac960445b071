// Package explain tells the story of one request from the logs of several processes.
//
// # Usage
//
//	teller := explain.NewTeller(id)
//	err := teller.Read("agenda-1.log", file)
//	err = teller.Story().Write(os.Stdout)
//
// The events and fields are those of package logs. Lines without a time or an event are
// counted and skipped.
package explain
