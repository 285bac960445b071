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
	// maxAuthor is the greatest length of an author, in bytes.
	maxAuthor = 128
	// defaultEntries is the number of audit entries in a reply if none is asked for.
	defaultEntries = 100
	// maxEntries is the greatest number of audit entries in one reply.
	maxEntries = 1000
)

// changePattern matches the request IDs that can be part of an object's name.
var changePattern = regexp.MustCompile(`^[0-9A-Za-z_-]{8,64}$`)

// ApplyRequest asks to put a configuration file in force.
type ApplyRequest struct {
	// Text is the whole file.
	Text []byte `json:"text"`
	// Base is the number of the configuration that the file was made from; zero
	// if there was none.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// Change is the request ID, best a UUIDv7, which a repetition repeats.
	Change string `json:"change"`
}

// Validate returns ErrBadRequest with the reason if a field is out of its bounds.
func (r ApplyRequest) Validate() error {
	switch {
	case len(r.Text) == 0:
		return fmt.Errorf("%w: text is empty", ErrBadRequest)
	case len(r.Author) == 0 || len(r.Author) > maxAuthor:
		return fmt.Errorf("%w: author must have 1 to %d bytes", ErrBadRequest, maxAuthor)
	case strings.ContainsFunc(r.Author, func(c rune) bool { return c == utf8.RuneError || !unicode.IsPrint(c) }):
		return fmt.Errorf("%w: author must be printable", ErrBadRequest)
	case !changePattern.MatchString(r.Change):
		return fmt.Errorf("%w: change must have 8 to 64 letters, digits, - or _", ErrBadRequest)
	}
	return nil
}

// ApplyReply tells that a file is in force.
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

// AuditRequest asks for audit entries.
type AuditRequest struct {
	// Since is the time of the oldest entry that is asked for. If it is zero,
	// the newest entries are meant.
	Since time.Time
	// Limit bounds the number of entries.
	Limit int
}

// Validate returns ErrBadRequest with the reason if a field is out of its bounds.
func (r AuditRequest) Validate() error {
	if r.Limit < 1 || r.Limit > maxEntries {
		return fmt.Errorf("%w: limit must be 1 to %d", ErrBadRequest, maxEntries)
	}
	return nil
}

// AuditReply holds audit entries: oldest first from Since on, or newest first.
type AuditReply struct {
	Entries []audit.Entry `json:"entries"`
}

// KeyRequest asks who owns a key.
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

// KeyReply tells who owns a key as the daemon knows it.
type KeyReply struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Slot    uint32 `json:"slot"`
	// Hot is true if the key is owned apart from its slot.
	Hot bool `json:"hot"`
	// Instance is the owner; empty if there is none.
	Instance   string          `json:"instance"`
	Generation wire.Generation `json:"generation"`
	Domain     string          `json:"domain"`
	Epoch      uint64          `json:"epoch"`
	// Since is when the owner got it, by its own clock; zero if that is not known
	// yet.
	Since time.Time `json:"since"`
	// Why is how the owner got it.
	Why string `json:"why"`
	// Caller is where the owner takes the requests of callers.
	Caller netip.AddrPort `json:"caller"`
}

// none is the request or reply of a call that has none.
type none struct{}

// Validate returns nil.
func (none) Validate() error { return nil }
