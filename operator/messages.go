package operator

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"fulmarrun/audit"
	"fulmarrun/wire"
)

const (
	// maxAuthorBytes is the maximum length of an author's name, in bytes.
	maxAuthorBytes = 128
	// defaultEntries is the maximum number of audit entries in a reply if the
	// request has no limit.
	defaultEntries = 100
	// maxEntries is the maximum number of audit entries in one reply.
	maxEntries = 1000
)

// changePattern matches the valid request IDs, which can be part of an object's name.
var changePattern = regexp.MustCompile(`^[0-9A-Za-z_-]{8,64}$`)

// ApplyRequest is a request to put a configuration file in force.
type ApplyRequest struct {
	// Text is the whole file.
	Text []byte `json:"text"`
	// Base is the number of the configuration that the file was made from; zero
	// if there was none.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// Change is the request ID, preferably a UUIDv7. Retries use the same ID.
	Change string `json:"change"`
}

// Validate returns ErrBadRequest with the reason if a field is out of its bounds.
func (r ApplyRequest) Validate() error {
	switch {
	case len(r.Text) == 0:
		return fmt.Errorf("%w: text is empty", ErrBadRequest)
	case len(r.Author) == 0 || len(r.Author) > maxAuthorBytes:
		return fmt.Errorf("%w: author must have 1 to %d bytes", ErrBadRequest, maxAuthorBytes)
	case strings.ContainsFunc(r.Author, func(c rune) bool { return c == utf8.RuneError || !unicode.IsPrint(c) }):
		return fmt.Errorf("%w: author must be printable", ErrBadRequest)
	case !changePattern.MatchString(r.Change):
		return fmt.Errorf("%w: change must have 8 to 64 letters, digits, - or _", ErrBadRequest)
	}
	return nil
}

// ApplyReply confirms that a file was put in force as configuration Number.
type ApplyReply struct {
	Number uint64 `json:"number"`
	// Already is true if an earlier request with the same ID put it in force.
	Already bool `json:"already"`
}

// ShowReply is the configuration in force at the daemon.
type ShowReply struct {
	Number uint64    `json:"number"`
	Digest string    `json:"digest"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Text   []byte    `json:"text"`
}

// AuditRequest is a request for audit entries.
type AuditRequest struct {
	// Since is the time of the oldest requested entry. If it is zero, the newest
	// entries are requested.
	Since time.Time
	// Limit is the maximum number of entries.
	Limit int
}

// Validate returns ErrBadRequest with the reason if a field is out of its bounds.
func (r AuditRequest) Validate() error {
	if r.Limit < 1 || r.Limit > maxEntries {
		return fmt.Errorf("%w: limit must be 1 to %d", ErrBadRequest, maxEntries)
	}
	return nil
}

// AuditReply holds audit entries: oldest first if the request has a Since time,
// otherwise newest first.
type AuditReply struct {
	Entries []audit.Entry `json:"entries"`
}

// KeyRequest is a request for the owner of a key.
type KeyRequest struct {
	Service string
	Key     string
}

// Validate returns ErrBadRequest with the reason if a field is out of its bounds.
func (r KeyRequest) Validate() error {
	if r.Service == "" || r.Key == "" {
		return fmt.Errorf("%w: service and key must not be empty", ErrBadRequest)
	}
	return nil
}

// KeyReply describes the owner of a key, as far as the daemon knows.
type KeyReply struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Slot    uint32 `json:"slot"`
	// Hot is true if the key is owned separately from its slot.
	Hot bool `json:"hot"`
	// Instance is the owner; it is empty if the key has no owner.
	Instance   string          `json:"instance"`
	Generation wire.Generation `json:"generation"`
	Domain     string          `json:"domain"`
	Epoch      uint64          `json:"epoch"`
	// Since is the time at which the owner became the owner, by its own clock; it is
	// zero if not known yet.
	Since time.Time `json:"since"`
	// Why is the reason why the owner became the owner.
	Why string `json:"why"`
	// Caller is the address where the owner accepts requests of callers.
	Caller netip.AddrPort `json:"caller"`
}

// empty is the request or reply of a call without parameters or without a result.
type empty struct{}

// Validate returns nil.
func (empty) Validate() error { return nil }
