// Package config parses the two kinds of files that people write for fulmarrun:
// the settings of one process, and the operators' file, which declares all
// services, is applied as a whole and is the same for all processes.
//
// # Format
//
// Both are JSON with comments and trailing commas, at most [MaxSize] bytes of
// UTF-8. The JSON Schemas file.schema.json and settings.schema.json in the
// directory of this package describe their structure; fields that the schema does
// not define are rejected. Durations are strings such as "250ms" or "1m30s".
// Addresses are an IP number and a port, such as "10.0.1.7:7001"; host names are
// rejected.
//
// # Errors
//
// For an invalid file, the parsers return an [*InvalidError] with [Problems]:
// each [Problem] has the file, the line and the column (both counted from 1,
// columns in bytes), the field, the expected value and the actual value. Syntax
// is checked first, then the schema, then the rules that the schema cannot
// express; the first hundred problems of the first failing step are returned
// together.
//
// # Usage
//
//	file, err := config.Parse("agenda.json", data)
//	var invalid *config.InvalidError
//	if errors.As(err, &invalid) {
//		// print invalid.Problems, one per line
//	}
//	table := config.NewTable(file, 7)
//	match, ok := table.Match(r.Method, r.URL.EscapedPath())
//	if ok {
//		key, ok := match.Key(r)
//	}
//
// A [Table] is immutable, so that many goroutines may read it without a lock.
//
// The first segment of the path in a caller's request is the service: a request
// for /agenda/visits/17 is for the service agenda, and its target receives
// /visits/17.
//
// Split cuts a file into sections that are stored under their digests, so that a
// change of one service leaves the other sections unchanged; Join concatenates
// them.
package config
