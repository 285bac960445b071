package quarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"fulmarrun/wire"
)

// NewFingerprint returns the fingerprint of a request from the parts of its content. Parts are
// delimited, so that no two lists of parts have the same fingerprint.
func NewFingerprint(parts ...[]byte) wire.Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(p)
	}
	return wire.Fingerprint(h.Sum(nil)[:len(wire.Fingerprint{})])
}
