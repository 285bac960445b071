package outcome

import (
	"crypto/sha256"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// maxID is the maximum length of a request ID in bytes.
	maxID = 255
	// uuidLength is the length of the canonical text form of a UUID.
	uuidLength = 36
	// timeVersion is the UUID version that contains a timestamp.
	timeVersion = 7
)

// ErrID is returned for a request ID that is empty, too long or not printable.
var ErrID = errors.New("malformed request ID")

// ident is a request ID in a fixed size: the UUID itself if it contains a
// timestamp, otherwise a digest of the text.
type ident struct {
	sum   [16]byte
	timed bool
}

// parseID validates a request ID and converts it to an ident.
func parseID(id string) (ident, error) {
	if len(id) == 0 || len(id) > maxID {
		return ident{}, ErrID
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return ident{}, ErrID
		}
	}
	if len(id) == uuidLength {
		u, err := uuid.Parse(id)
		if err == nil && u.Version() == timeVersion && u.Variant() == uuid.RFC4122 {
			return ident{sum: u, timed: true}, nil
		}
	}
	digest := sha256.Sum256([]byte(id))
	out := ident{}
	copy(out.sum[:], digest[:])
	return out, nil
}

// millis returns the time of a timed ID in milliseconds since the Unix epoch.
func (d ident) millis() int64 {
	var ms int64
	for _, b := range d.sum[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// text returns the canonical text form of a timed ID.
func (d ident) text() string { return uuid.UUID(d.sum).String() }
