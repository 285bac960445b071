package wire

// Covers reports whether no part of a state with the number other is newer than that of a
// state with the number n.
func (n ConfigNumber) Covers(other ConfigNumber) bool {
	return n.File >= other.File && n.State >= other.State
}

// Merge returns the number of the state that has the newer of each part.
func (n ConfigNumber) Merge(other ConfigNumber) ConfigNumber {
	return ConfigNumber{File: max(n.File, other.File), State: max(n.State, other.State)}
}
