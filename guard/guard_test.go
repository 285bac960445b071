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
		name string
		f    func()
		text string
		is   error
	}{
		{"returns", func() {}, "", nil},
		{"text", func() { panic("broken") }, "panic: broken", nil},
		{"error", func() { panic(io.ErrUnexpectedEOF) }, "panic: unexpected EOF", io.ErrUnexpectedEOF},
		{"of the runtime", func() {
			var list []int
			_ = list[len(list)]
		}, "panic: runtime error: index out of range [0] with length 0", nil},
	} {
		err := guard.Run(tc.f)
		var p *guard.PanicError
		switch {
		case (err == nil) != (tc.text == ""), err != nil && err.Error() != tc.text, tc.is != nil && !errors.Is(err, tc.is):
			t.Errorf("%s: got %v", tc.name, err)
		case err != nil && (!errors.As(err, &p) || !strings.Contains(p.Stack, "guard_test.go")):
			t.Errorf("%s: the stack does not lead to its cause", tc.name)
		}
	}
}
