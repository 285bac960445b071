package targethttp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"

	"github.com/pkg/errors"
)

// ErrAnnouncement is returned for a malformed or invalid announcement.
var ErrAnnouncement = errors.New("malformed announcement")

// State is the life cycle state that a target announces.
type State string

const (
	// StateCold means that the target has just started.
	StateCold State = "cold"
	// StateReady means that the target can take its usual load.
	StateReady State = "ready"
	// StateLeaving means that the target accepts no new requests.
	StateLeaving State = "leaving"
)

// Announcement is the message that a target posts to its daemon every second.
type Announcement struct {
	// Address is the address on which the target serves HTTP.
	Address netip.AddrPort `json:"address"`
	// ChecksFences is true if the target rejects requests that its grant doesn't cover.
	ChecksFences bool  `json:"checks"`
	State        State `json:"state"`
	// Stamp is the time of the target's clock when it sent the announcement.
	Stamp Stamp `json:"stamp"`
}

// DecodeAnnouncement decodes one announcement in JSON. It ignores unknown fields and
// rejects trailing data.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&a); err != nil {
		return Announcement{}, fmt.Errorf("decode announcement: %w: %w", ErrAnnouncement, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Announcement{}, fmt.Errorf("trailing data: %w", ErrAnnouncement)
	}
	if err := a.validate(); err != nil {
		return Announcement{}, err
	}
	return a, nil
}

func (a Announcement) validate() error {
	switch a.State {
	case StateCold, StateReady, StateLeaving:
	default:
		return fmt.Errorf("state %q: %w", a.State, ErrAnnouncement)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 || a.Address.Addr().IsUnspecified() {
		return fmt.Errorf("address %q: %w", a.Address, ErrAnnouncement)
	}
	if a.Stamp < 0 {
		return fmt.Errorf("stamp %d: %w", a.Stamp, ErrAnnouncement)
	}
	return nil
}
