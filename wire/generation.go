package wire

import (
	"fmt"
	"strconv"
)

// String returns the generation as 16 hexadecimal digits, the form in logs and row
// keys.
func (g Generation) String() string { return fmt.Sprintf("%016x", uint64(g)) }

// MarshalText implements encoding.TextMarshaler.
func (g Generation) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (g *Generation) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("parse generation: %w", err)
	}
	*g = Generation(n)
	return nil
}
