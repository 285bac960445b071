package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/config"
)

const kindJSON = `{"name":"a","method":"GET","path":"/a","wait":"1s","repeat":0,"class":"urgent"}`

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "docs", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestParseExamples(t *testing.T) {
	for name, services := range map[string]string{
		"calor-tico.json": "agenda despacho compras",
		"clepsidra.json":  "atelier-front casierie banc-lucru",
	} {
		f, err := config.Parse(name, readExample(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		names := make([]string, 0, len(f.Services))
		for _, s := range f.Services {
			names = append(names, s.Name)
		}
		if got := strings.Join(names, " "); got != services {
			t.Errorf("%s: services %s, want %s", name, got, services)
		}
	}
}

func TestParseValues(t *testing.T) {
	f, err := config.Parse("calor-tico.json", readExample(t, "calor-tico.json"))
	if err != nil {
		t.Fatal(err)
	}
	agenda, despacho := &f.Services[0], &f.Services[1]
	book, visit := &agenda.Kinds[1], &agenda.Kinds[2]
	order := &f.Services[2].Kinds[0]
	for what, ok := range map[string]bool{
		"slots":             agenda.Slots == 1024,
		"retain":            agenda.Retain == 10*time.Minute,
		"default retain":    despacho.Retain == config.DefaultRetain,
		"default skew":      despacho.Skew == config.DefaultSkew,
		"default ceiling":   despacho.Ceiling == config.DefaultCeiling,
		"agenda keyed":      agenda.Keyed(),
		"despacho unkeyed":  !despacho.Keyed(),
		"book never":        !book.Repeatable() && !book.Hedgeable(),
		"book keyed":        book.Keyed() && !book.KeyedByID(),
		"book wait":         book.Wait == 5*time.Second,
		"visit hedgeable":   visit.Repeatable() && visit.Hedgeable(),
		"order keyed by ID": order.Keyed() && order.KeyedByID(),
		"summary patient":   despacho.Kinds[1].Class == config.ClassPatient,
		"summary dear":      despacho.Kinds[1].Repeatable() && !despacho.Kinds[1].Hedgeable(),
	} {
		if !ok {
			t.Errorf("unexpected value: %s", what)
		}
	}
}

func TestParseProblems(t *testing.T) {
	service := func(fields string) string {
		return `{"services":[{"name":"x","slots":8,` + fields + `}]}`
	}
	kinds := func(elements string) string { return service(`"kinds":[` + elements + `]`) }
	kind := func(old, replacement string) string {
		return kinds(strings.Replace(kindJSON, old, replacement, 1))
	}
	const firstKindColumn = 45 // the column of the first kind's first byte
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"empty":             {"", []string{"1:1: file: want JSON with comments"}},
		"syntax":            {"{\n  \"services\": [,]\n}", []string{"2:16: file: want JSON with comments"}},
		"trailing value":    {"{}\n{}", []string{"2:1: file: want JSON with comments"}},
		"invalid UTF-8":     {"{\n\"a\xff\"}", []string{"2:3: file: want UTF-8 text"}},
		"deep":              {strings.Repeat("[", 65), []string{"1:65: file: want at most 64 nested values"}},
		"long exponent":     {`{"out":1e999999999}`, []string{"1:8: out: want a number of at most 20 characters"}},
		"wrong type":        {"{\"services\":\n 5}", []string{"2:2: services: want a value of type array, got 5"}},
		"missing":           {" {}", []string{`1:2: file: want a field "services", got none`}},
		"duplicate member":  {"{\"out\":[],\n\"out\":[]}", []string{`2:1: out: want each name once, got a second "out"`}},
		"no services":       {`{"services":[]}`, []string{"1:13: services: want at least 1 element(s), got []"}},
		"unknown field":     {`{"servces":[],"services":[]}`, []string{`1:2: servces: want one of the fields out, services, got "servces"`, "1:26: services: "}},
		"slots":             {strings.Replace(kinds(kindJSON), "8", "12", 1), []string{"1:34: services[0].slots: want a power of two, got 12"}},
		"slots zero":        {strings.Replace(kinds(kindJSON), "8", "0", 1), []string{"1:34: services[0].slots: want at least 1, got 0"}},
		"slots fraction":    {strings.Replace(kinds(kindJSON), "8", "8.0", 1), []string{"1:34: services[0].slots: want an integer without a fraction, got 8.0"}},
		"retain short":      {service(`"retain":"1s","kinds":[` + kindJSON + `]`), []string{"1:45: services[0].retain: want at least the longest wait plus skew, 1.25s, got 1s"}},
		"retain long":       {service(`"retain":"25h","kinds":[` + kindJSON + `]`), []string{"1:45: services[0].retain: want a duration up to 24h, got \"25h\""}},
		"retain default":    {kind(`"1s"`, `"10m"`), []string{"1:14: services[0].retain: want at least the longest wait plus skew, 10m0.25s, got 10m"}},
		"skew":              {service(`"skew":"61s","kinds":[` + kindJSON + `]`), []string{"1:43: services[0].skew: want a duration up to 1m, got \"61s\""}},
		"wait word":         {kind(`"1s"`, `"soon"`), []string{`want a duration such as "250ms" or "1m30s", got "soon"`}},
		"wait zero":         {kind(`"1s"`, `"0s"`), []string{`1:91: services[0].kinds[0].wait: want a duration above 0 and up to 10m, got "0s"`}},
		"wait long":         {kind(`"1s"`, `"10m1s"`), []string{`kinds[0].wait: want a duration above 0 and up to 10m, got "10m1s"`}},
		"wait overflow":     {kind(`"1s"`, `"999999999h"`), []string{"a duration below 292 years", "a duration above 0"}},
		"repeat word":       {kind(`:0,`, `:"always",`), []string{`want "never" or a number, got "always"`}},
		"repeat negative":   {kind(`:0,`, `:-1,`), []string{`want at least 0, got -1`}},
		"class":             {kind(`urgent`, `lazy`), []string{`class: want one of "urgent", "patient", got "lazy"`}},
		"method":            {kind(`GET`, `get`), []string{`method: want one of "GET", "HEAD"`}},
		"path":              {kind(`"/a"`, `"a"`), []string{`path: want a path that begins with /, got "a"`}},
		"path empty":        {kind(`"/a"`, `"/a//b"`), []string{`path: want segments of unreserved characters or one {wildcard}, each not empty, got "/a//b"`}},
		"path dots":         {kind(`"/a"`, `"/a/.."`), []string{`path: want segments`}},
		"path twice":        {kind(`"/a"`, `"/{a}/{a}"`), []string{`path: want the wildcard {a} once`}},
		"path wildcards":    {kind(`"/a"`, `"/{a}/{b}/{c}/{d}/{e}/{f}/{g}/{h}/{i}"`), []string{`path: want at most 8 wildcards`}},
		"key wildcard":      {kind(`"wait"`, `"key":{"path":"b"},"wait"`), []string{`1:98: services[0].kinds[0].key.path: want a wildcard of /a, got "b"`}},
		"key two":           {kind(`"wait"`, `"key":{"path":"b","query":"c"},"wait"`), []string{`key: want at most 1 field(s)`}},
		"key none":          {kind(`"wait"`, `"key":{},"wait"`), []string{`key: want at least 1 field(s)`}},
		"domains empty":     {kind(`"wait"`, `"domains":[],"wait"`), []string{`domains: want at least 1 element(s)`}},
		"domains twice":     {kind(`"wait"`, `"domains":["a","a"],"wait"`), []string{`domains: want each element once`}},
		"same kind":         {kinds(kindJSON + ",\n" + kindJSON), []string{`2:9: services[0].kinds[1].name: want a name that no other kind`, `2:35: services[0].kinds[1].path: want a path that cannot be taken for GET /a of "a", got "/a"`}},
		"ambiguous":         {kinds(strings.Replace(kindJSON, `/a`, `/{p}/b`, 1) + ",\n" + strings.Replace(strings.Replace(kindJSON, `/a`, `/a/{q}`, 1), `"a"`, `"b"`, 1)), []string{`2:35: services[0].kinds[1].path: want a path that cannot be taken for GET /{p}/b of "a"`}},
		"same service":      {`{"services":[` + "\n" + `{"name":"x","slots":8,"kinds":[` + kindJSON + "]},\n" + `{"name":"x","slots":8,"kinds":[` + kindJSON + `]}]}`, []string{`3:9: services[1].name: want a name that no other service has, got "x"`}},
		"owners":            {kinds(strings.Replace(kindJSON, `"repeat":0`, `"repeat":"never","domains":["d"]`, 1) + ",\n" + strings.Replace(strings.Replace(kindJSON, `/a`, `/b`, 1), `"a","method":"GET"`, `"b","method":"GET","key":{"query":"k"}`, 1)), []string{`2:1: services[0].kinds[1]: want the same domains as "a", which shares its owners, got []`}},
		"several at once":   {"{\"services\":[{\"name\":\"X\",\n\"slots\":-1,\n\"kinds\":[{}]}]}", []string{"1:22: services[0].name", "2:9: services[0].slots", `3:10: services[0].kinds[0]: want a field "name"`, `"method"`, `"path"`, `"wait"`, `"repeat"`, `"class"`}},
		"position of kinds": {kinds("5"), []string{fmt.Sprintf("1:%d: services[0].kinds[0]: want a value of type object, got 5", firstKindColumn)}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse("bad.json", []byte(c.text))
			var invalid *config.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("error %v is not a config.InvalidError", err)
			}
			problems := invalid.Problems
			if len(problems) != len(c.want) {
				t.Fatalf("%d problems, want %d:\n%v", len(problems), len(c.want), err)
			}
			for i, want := range c.want {
				if got := problems[i].String(); !strings.HasPrefix(got, "bad.json:") || !strings.Contains(got, want) {
					t.Errorf("problem %s\nlacks   %s", got, want)
				}
			}
		})
	}
}

func TestParseBoundsProblems(t *testing.T) {
	_, err := config.Parse("bad.json", []byte(`{"services":[`+strings.Repeat("0,", 1000)+`]}`))
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 100 {
		t.Errorf("want 100 problems, got %.200v", err)
	}
	if _, err := config.Parse("big.json", make([]byte, config.MaxSize+1)); !errors.As(err, &invalid) {
		t.Errorf("file above the size limit: got %v, want an InvalidError", err)
	}
}

func TestParseWithPrevious(t *testing.T) {
	data := readExample(t, "calor-tico.json")
	previous, err := config.Parse("calor-tico.json", data)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := config.Parse("same.json", data, config.WithPrevious(previous)); err != nil {
		t.Errorf("same file: %v", err)
	}
	added := strings.Replace(string(data), `"name": "agenda"`, `"name": "citas"`, 1)
	if _, err := config.Parse("added.json", []byte(strings.Replace(added, "1024", "2048", 1)), config.WithPrevious(previous)); err != nil {
		t.Errorf("another service: %v", err)
	}
	changed := strings.Replace(string(data), "1024", "2048", 1)
	_, err = config.Parse("changed.json", []byte(changed), config.WithPrevious(previous))
	const want = "changed.json:13:16: services[0].slots: want 1024 as before, since slots cannot change, got 2048"
	if err == nil || err.Error() != want {
		t.Errorf("changed slots: %v\nwant %s", err, want)
	}
}

func BenchmarkParse(b *testing.B) {
	for _, kinds := range []int{10, 100, 1000} {
		data := fileWithKinds(kinds)
		b.Run(fmt.Sprintf("kinds=%d", kinds), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Parse("bench.json", data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// fileWithKinds returns a file with one service that has the given number of
// kinds.
func fileWithKinds(kinds int) []byte {
	elements := make([]string, 0, kinds)
	for i := range kinds {
		elements = append(elements, fmt.Sprintf(`{"name":"k%d","method":"POST","path":"/k%d/{visit}/items/{item}",
"key":{"path":"visit"},"wait":"3s","repeat":"never","class":"urgent"}`, i, i))
	}
	return []byte(`{"services":[{"name":"agenda","slots":1024,"kinds":[` + strings.Join(elements, ",\n") + `]}]}`)
}
