package config

// KeySource is the place in a request from which its key is read. At most one
// field is set.
type KeySource struct {
	// Path is the name of a wildcard in the path of the kind.
	Path string
	// Header is the name of an HTTP header.
	Header string
	// Query is the name of a query parameter.
	Query string
}

// IsSet reports whether one of the fields is set.
func (k KeySource) IsSet() bool {
	return k != KeySource{}
}
