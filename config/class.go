package config

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrUnknownClass is returned for a class that does not exist.
var ErrUnknownClass = errors.New("no such class")

// Class orders kinds of requests in their claim on capacity.
type Class uint8

const (
	// ClassUrgent may use all of a target's capacity.
	ClassUrgent Class = iota
	// ClassPatient is admitted only while capacity is idle.
	ClassPatient
)

// String returns the class as the file has it.
func (c Class) String() string {
	if c == ClassPatient {
		return "patient"
	}
	return "urgent"
}

// UnmarshalText reads the class as the file has it.
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
