package wire

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

const (
	// maxElements is the maximum number of elements of one array or map.
	maxElements = 1 << 17
	// maxDepth is the maximum nesting depth of arrays and maps. The messages of this
	// package need 8; fields that a newer version adds may be nested deeper.
	maxDepth = 32
)

var (
	// ErrTrailing is returned by Decode if bytes follow the value.
	ErrTrailing = errors.New("trailing bytes after the value")
	// ErrElements is returned by Decode for an array or map that is too large or
	// nested too deeply.
	ErrElements = errors.New("too many elements")
)

// Message is a pointer to a type with a generated codec.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// Encode returns the msgpack encoding of m.
func Encode(m msgp.Marshaler) ([]byte, error) {
	data, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return data, nil
}

// Decode decodes data, which must hold exactly one value, into m. The result shares
// no memory with data.
func Decode(data []byte, m msgp.Unmarshaler) error {
	// The generated code allocates as many elements as a header declares, so check
	// first that they are present.
	rest, err := skip(data, 0)
	if err != nil {
		return fmt.Errorf("decode %T: %w", m, err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("decode %T: %w", m, ErrTrailing)
	}
	if _, err := m.UnmarshalMsg(data); err != nil {
		return fmt.Errorf("decode %T: %w", m, err)
	}
	return nil
}

// skip returns the bytes after the first value of data.
func skip(data []byte, depth int) ([]byte, error) {
	var n uint32
	var err error
	switch msgp.NextType(data) {
	case msgp.ArrayType:
		n, data, err = msgp.ReadArrayHeaderBytes(data)
	case msgp.MapType:
		n, data, err = msgp.ReadMapHeaderBytes(data)
		n = min(n, maxElements) * 2
	default:
		data, err = msgp.Skip(data)
		if err != nil {
			return nil, fmt.Errorf("skip value: %w", err)
		}
		return data, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read header: %w", err)
	}
	if n > maxElements || depth == maxDepth {
		return nil, ErrElements
	}
	for range n {
		if data, err = skip(data, depth+1); err != nil {
			return nil, err
		}
	}
	return data, nil
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
