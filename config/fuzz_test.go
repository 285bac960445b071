package config_test

import (
	"bytes"
	"strings"
	"testing"

	"fulmarrun/config"
)

func addSeeds(f *testing.F) {
	for _, name := range []string{"calor-tico.json", "clepsidra.json", "calor-tico-settings.json", "clepsidra-settings.json"} {
		f.Add(readExample(f, name))
	}
	for _, text := range []string{
		"", "{", "[]", "null", `{"services":null}`, `{"services":[{}]}`, `{"out":["a"],"out":[]}`, `{"services":[` + kindJSON + `,]}`,
		`{"services":[{"name":"x","slots":1e99999,"kinds":[` + kindJSON + `]}]}`, `/*`, `"\ud800"`, strings.Repeat(`{"a":`, 70), routesFile,
	} {
		f.Add([]byte(text))
	}
}

func FuzzParse(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		if got := config.Join(config.Split(data)); !bytes.Equal(got, data) {
			t.Fatalf("joined sections are %q, want %q", got, data)
		}
		file, err := config.Parse("fuzz.json", data)
		if err != nil {
			return
		}
		if len(config.Split(data)) != len(file.Services)+1 {
			t.Fatalf("%d sections for %d services", len(config.Split(data)), len(file.Services))
		}
		tab := config.NewTable(file, 1)
		for i := range file.Services {
			checkKindsMatch(t, tab, &file.Services[i])
		}
	})
}

// checkKindsMatch checks that the path of each kind matches, and that a path
// without wildcards matches its own kind.
func checkKindsMatch(t *testing.T, tab *config.Table, s *config.Service) {
	for i := range s.Kinds {
		k := &s.Kinds[i]
		path := strings.NewReplacer("{", "~~", "}", "~~").Replace(k.Path)
		m, ok := tab.Match(k.Method, "/"+s.Name+path)
		if !ok {
			t.Fatalf("%s %s of %s: no match: %v", k.Method, path, k.Name, m.Reason)
		}
		if m.Kind.Name != k.Name && !strings.Contains(k.Path, "{") {
			t.Fatalf("%s %s matches %s, want %s", k.Method, path, m.Kind.Name, k.Name)
		}
	}
}

func FuzzParseSettings(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := config.ParseSettings("fuzz.json", data)
		if err == nil && (s.Instance == "" || !s.Peer.IsValid() || s.DrainTimeout <= 0 || s.MaxBody <= 0 || s.MaxHeader <= 0) {
			t.Fatalf("accepted settings have a missing or invalid value: %+v", *s)
		}
	})
}
