package config_test

import (
	"bytes"
	"testing"

	"fulmarrun/config"
)

func TestSplit(t *testing.T) {
	data := readExample(t, "calor-tico.json")
	sections := config.Split(data)
	if len(sections) != 4 {
		t.Fatalf("%d sections, want 4", len(sections))
	}
	if !bytes.Equal(config.Join(sections), data) {
		t.Fatal("joined sections differ from the file")
	}
	for _, section := range sections[1:] {
		if section[0] != '{' {
			t.Errorf("section starts with %q, want the start of a service", section[:10])
		}
	}
	changed := config.Split(bytes.Replace(data, []byte(`"wait": "10s"`), []byte(`"wait": "11s"`), 1))
	different := 0
	for i := range sections {
		if !bytes.Equal(sections[i], changed[i]) {
			different++
		}
	}
	if different != 1 {
		t.Errorf("%d sections differ after a change of one service, want 1", different)
	}
	for _, text := range []string{"", "{", "{}", `{"services":5}`} {
		if got := config.Split([]byte(text)); len(got) != 1 || string(got[0]) != text {
			t.Errorf("%q: sections %q, want one", text, got)
		}
	}
}
