// Package config reads the two kinds of files that people write for fulmarrun:
// the settings of one process, and the operators' file, which is applied as a
// whole and is the same everywhere.
//
// # Source
//
// Both are JSON with comments and trailing commas, at most [MaxSize] bytes of
// UTF-8. Their shapes are the JSON Schemas file.schema.json and
// settings.schema.json beside this package; a field that these do not name is
// refused. Durations are strings such as "250ms" or "1m30s". Addresses are an
// IP number and a port, such as "10.0.1.7:7001"; host names are refused.
//
// # Errors
//
// A refused file gives an [*InvalidError] with [Problems]: each [Problem] has
// the file, the line and the column (both counted from 1, columns in bytes), the
// field, what was expected and what was found. Syntax is checked first, then the
// shape, then the meaning; the first hundred problems that the first failing
// step finds are returned together.
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
// A [Table] never changes, so that many goroutines may read it without a lock.
//
// Callers name the service by the first segment of the path: a request for
// /agenda/visits/17 is for the service agenda, and its target sees /visits/17.
//
// Split cuts a file into sections for storage under their digests, so that a
// change of one service leaves the other sections as they were; Join puts them
// together again.
package config
