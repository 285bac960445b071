// Package wire holds the types that daemons exchange with each other and keep
// as rows in the platform's table, together with their msgpack codecs.
//
// # Source
//
// The declarations in schema.go are the schema. The codecs in schema_gen.go are
// generated from it by github.com/tinylib/msgp and committed, so that a build
// needs no generator. Run
//
//	go generate ./wire
//
// after a change of schema.go; CI refuses a tree whose generated code is stale.
//
// # Shapes
//
// Datagrams and traffic frames are msgpack arrays (tuples), because they are
// sent often and their bytes are budgeted. Rows are msgpack maps with short
// names, so that a newer daemon can add a field that an older one ignores.
//
// # Usage
//
//	data, err := wire.Encode(&wire.Member{Instance: "agenda-1"})
//	var m wire.Member
//	err = wire.Decode(data, &m)
//
// Decode refuses bytes that trail a complete value.
package wire
