package wire

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

// ErrTrailing is returned by Decode if bytes follow the value.
var ErrTrailing = errors.New("trailing bytes after the value")

// Message is a pointer to a generated type.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// Encode returns the msgpack form of m.
func Encode(m msgp.Marshaler) ([]byte, error) {
	data, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return data, nil
}

// Decode fills m from data, which must hold exactly one value.
func Decode(data []byte, m msgp.Unmarshaler) error {
	rest, err := m.UnmarshalMsg(data)
	if err != nil {
		return fmt.Errorf("decode %T: %w", m, err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("decode %T: %w", m, ErrTrailing)
	}
	return nil
}

func addrPortString(a netip.AddrPort) (string, error) {
	if !a.IsValid() {
		return "", nil
	}
	return a.String(), nil
}

func addrPortParse(s string) (netip.AddrPort, error) {
	if s == "" {
		return netip.AddrPort{}, nil
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("parse address: %w", err)
	}
	return a, nil
}
