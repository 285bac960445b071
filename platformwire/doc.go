// Package platformwire declares the msgpack messages of the users' platform. The
// declarations in schema.go are the schema; the codecs are generated from them. A tag
// is the platform's name of a field; the field's Go name and comment describe its
// content.
//
// # Usage
//
//	var beat platformwire.Beat
//	rest, err := beat.UnmarshalMsg(body)
//
// Numbers that the platform may encode as integer or as float have the type
// msgp.Number.
package platformwire
