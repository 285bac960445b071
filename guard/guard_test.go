package guard_test

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/guard"
)

func TestRun(t *testing.T) {
	for _, tc := range []struct {
		name    string
		f       func()
		message string
		cause   error
	}{
		{"no panic", func() {}, "", nil},
		{"string", func() { panic("broken") }, "panic: broken", nil},
		{"error", func() { panic(io.ErrUnexpectedEOF) }, "panic: unexpected EOF", io.ErrUnexpectedEOF},
		{"runtime error", func() {
			var list []int
			_ = list[len(list)]
		}, "panic: runtime error: index out of range [0] with length 0", nil},
	} {
		err := guard.Run(tc.f)
		var p *guard.PanicError
		switch {
		case (err == nil) != (tc.message == ""), err != nil && err.Error() != tc.message, tc.cause != nil && !errors.Is(err, tc.cause):
			t.Errorf("%s: got %v", tc.name, err)
		case err != nil && (!errors.As(err, &p) || !strings.Contains(p.Stack, "guard_test.go")):
			t.Errorf("%s: the stack trace does not contain the origin of the panic", tc.name)
		}
	}
}
