// Package wire defines the messages between daemons and the rows that daemons
// store in the platform's table, with their msgpack codecs.
//
// # Source
//
// The declarations in schema.go are the schema. The codecs in schema_gen.go are
// generated from it by github.com/tinylib/msgp and committed, so that a build
// needs no generator. Run
//
//	go generate ./wire
//
// after a change of schema.go; CI fails if the generated code is stale.
//
// # Encoding
//
// Datagrams and traffic frames are msgpack arrays (tuples), because they are
// sent often and there is a budget for the bytes that they add up to. Rows are
// msgpack maps with short names, so that a newer daemon can add a field that an
// older one ignores.
//
// # Usage
//
//	data, err := wire.Encode(&wire.Member{Instance: "agenda-1"})
//	var m wire.Member
//	err = wire.Decode(data, &m)
//
// Decode rejects data with bytes after the value.
package wire
