package config

// KeySource says where a request carries its key. At most one field is set.
type KeySource struct {
	// Path is the name of a wildcard of the path.
	Path string
	// Header is the name of an HTTP header.
	Header string
	// Query is the name of a query parameter.
	Query string
}

// IsSet reports whether a place is named.
func (k KeySource) IsSet() bool {
	return k != KeySource{}
}
