package config

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrUnknownClass is returned for a class that does not exist.
var ErrUnknownClass = errors.New("unknown class")

// Class is the admission class of a kind of requests, which determines its claim
// on the capacity of a target.
type Class uint8

const (
	// ClassUrgent may use all of a target's capacity.
	ClassUrgent Class = iota
	// ClassPatient is admitted only while capacity is idle.
	ClassPatient
)

// String returns the name of the class in the operators' file.
func (c Class) String() string {
	if c == ClassPatient {
		return "patient"
	}
	return "urgent"
}

// UnmarshalText parses the name of a class in the operators' file.
func (c *Class) UnmarshalText(text []byte) error {
	switch string(text) {
	case "urgent":
		*c = ClassUrgent
	case "patient":
		*c = ClassPatient
	default:
		return fmt.Errorf("read class %q: %w", text, ErrUnknownClass)
	}
	return nil
}
