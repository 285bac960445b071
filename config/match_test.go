package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/config"
)

// oracle finds the most specific matching kind by trying each kind: the one with
// the most literal segments.
func oracle(kinds []config.Kind, method, path string) (string, config.Reason) {
	reason, best, literals := config.ReasonUnknownPath, "", -1
	for _, k := range kinds {
		n, ok := countLiterals(k.Path, path)
		switch {
		case !ok:
		case k.Method != method:
			if best == "" {
				reason = config.ReasonOtherMethod
			}
		case n > literals:
			reason, best, literals = config.ReasonNone, k.Name, n
		}
	}
	return best, reason
}

// countLiterals returns the number of literal segments of the pattern, and whether
// it matches the path.
func countLiterals(pattern, path string) (int, bool) {
	want, got := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(got) {
		return 0, false
	}
	n := 0
	for i := range want {
		switch {
		case want[i] == got[i]:
			n++
		case !strings.HasPrefix(want[i], "{"):
			return 0, false
		}
	}
	return n, true
}

// kindsFile returns a file with one kind for each pattern.
func kindsFile(patterns []string) []byte {
	kinds := make([]map[string]any, 0, len(patterns))
	for i, pattern := range patterns {
		method, path, _ := strings.Cut(pattern, " ")
		kinds = append(kinds, map[string]any{
			"name": fmt.Sprintf("k%d", i), "method": method, "path": path, "wait": "1s", "repeat": i, "class": "urgent",
		})
	}
	data, err := json.Marshal(map[string]any{"services": []any{map[string]any{"name": "s", "slots": 1, "kinds": kinds}}})
	if err != nil {
		return nil
	}
	return data
}

type matcher func(t *config.Table, method, path string) (config.Match, bool)

// agreesWithOracle is the property that a matcher and the oracle find the same
// kind. It adds the number of valid files to accepted.
func agreesWithOracle(match matcher, accepted *int) gopter.Prop {
	const segments = "(/(a|b|\\{x\\}))"
	return prop.ForAll(
		func(patterns []string, method, path string) string {
			f, err := config.Parse("test.json", kindsFile(patterns))
			if err != nil {
				return ""
			}
			*accepted++
			kind, reason := oracle(f.Services[0].Kinds, method, path)
			m, ok := match(config.NewTable(f, 1), method, "/s"+path)
			if ok != (reason == config.ReasonNone) || m.Reason != reason || ok && m.Kind.Name != kind {
				return fmt.Sprintf("found %v %+v, want %q %v", m.Reason, m.Kind, kind, reason)
			}
			return ""
		},
		gen.SliceOfN(4, gen.RegexMatch("^(GET|PUT) "+segments+"{1,3}$").Map(renameWildcards)),
		gen.OneConstOf("GET", "PUT"),
		gen.RegexMatch("^(/(a|b|c)){1,3}$"),
	)
}

// renameWildcards gives the wildcards of a path different names.
func renameWildcards(pattern string) string {
	for n := 0; strings.Contains(pattern, "{x}"); n++ {
		pattern = strings.Replace(pattern, "{x}", fmt.Sprintf("{w%d}", n), 1)
	}
	return pattern
}

func testParameters() *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 250
	return parameters
}

func TestMatchAgreesWithOracle(t *testing.T) {
	accepted := 0
	properties := gopter.NewProperties(testParameters())
	properties.Property("the tree finds the same kind as the oracle", agreesWithOracle((*config.Table).Match, &accepted))
	properties.TestingRun(t)
	if accepted < 100 {
		t.Errorf("only %d files were valid, want at least 100", accepted)
	}
}

func TestOracleCatchesMutations(t *testing.T) {
	for name, match := range map[string]matcher{
		"ignores the method": func(t *config.Table, method, path string) (config.Match, bool) {
			m, ok := t.Match(method, path)
			if m.Reason == config.ReasonOtherMethod {
				return t.Match(map[string]string{"GET": "PUT", "PUT": "GET"}[method], path)
			}
			return m, ok
		},
		"prefers the wildcard": func(t *config.Table, method, path string) (config.Match, bool) {
			if m, ok := t.Match(method, strings.ReplaceAll(path, "/a", "/d")); ok {
				return m, ok
			}
			return t.Match(method, path)
		},
		"reports an unknown path for another method": func(t *config.Table, method, path string) (config.Match, bool) {
			m, ok := t.Match(method, path)
			if !ok {
				m.Reason = config.ReasonUnknownPath
			}
			return m, ok
		},
	} {
		if agreesWithOracle(match, new(int)).Check(testParameters()).Passed() {
			t.Errorf("the property does not detect a matcher that %s", name)
		}
	}
}
