package config_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/config"
)

func TestParseSettings(t *testing.T) {
	s, err := config.ParseSettings("calor-tico-settings.json", readExample(t, "calor-tico-settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := config.Settings{
		Instance:     "agenda-1",
		Service:      "agenda",
		Region:       "valle-central",
		Domain:       "sanjose",
		Peer:         netip.MustParseAddrPort("10.0.1.7:7001"),
		Caller:       netip.MustParseAddrPort("10.0.1.7:7002"),
		Target:       netip.MustParseAddrPort("127.0.0.1:7003"),
		Operator:     netip.MustParseAddrPort("10.0.1.7:7004"),
		Platform:     netip.MustParseAddrPort("10.0.0.2:7400"),
		DrainTimeout: 30 * time.Second,
		LogLevel:     "info",
		MaxBody:      1 << 20,
		MaxHeader:    64 << 10,
		Cores:        2,
	}
	if *s != want {
		t.Errorf("settings %+v, want %+v", *s, want)
	}
	s, err = config.ParseSettings("clepsidra-settings.json", readExample(t, "clepsidra-settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	if s.DrainTimeout != config.DefaultDrainTimeout || s.LogLevel != config.DefaultLogLevel || s.MaxBody != config.DefaultMaxBody || s.MaxHeader != config.DefaultMaxHeader || s.Cores != config.DefaultCores {
		t.Errorf("defaults %+v", *s)
	}
}

func TestParseSettingsProblems(t *testing.T) {
	good := string(readExample(t, "clepsidra-settings.json"))
	const address = `want an IP number and a port, such as "10.0.1.7:7001", got `
	for name, c := range map[string]struct {
		old, replacement string
		want             string
	}{
		"host name":   {`"10.0.2.7:7001"`, `"cluj:7001"`, `9:11: peer: ` + address + `"cluj:7001"`},
		"no port":     {`"10.0.2.7:7002"`, `"10.0.2.7"`, `10:13: caller: ` + address + `"10.0.2.7"`},
		"port zero":   {`"10.0.2.7:7002"`, `"10.0.2.7:0"`, `10:13: caller: ` + address},
		"unspecified": {`"10.0.2.7:7002"`, `"0.0.0.0:7002"`, `10:13: caller: ` + address},
		"twice":       {`"10.0.2.7:7002"`, `"10.0.2.7:7001"`, `10:13: caller: want another address than that of peer`},
		"unknown":     {`"domain"`, `"zone":1,"domain"`, `8:3: zone: want one of the fields body, caller, cores, domain,`},
		"missing":     {`"domain": "cluj-a",`, ``, `4:1: file: want a field "domain", got none`},
		"drain":       {`"domain"`, `"drain":"0s","domain"`, `8:11: drain: want a duration above 0 and up to 10m, got "0s"`},
		"log":         {`"domain"`, `"log":"loud","domain"`, `8:9: log: want one of "debug", "info", "warn", "error", got "loud"`},
		"body":        {`"domain"`, `"body":0,"domain"`, `8:10: body: want at least 1, got 0`},
		"cores":       {`"domain"`, `"cores":0,"domain"`, `8:11: cores: want at least 1, got 0`},
		"header":      {`"domain"`, `"header":2048.5,"domain"`, `8:12: header: want a value of type integer, got 2048.5`},
		"service":     {`"atelier-front"`, `"Atelier"`, `6:14: service: want 1 to 63 of the characters a-z, 0-9 and -`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, c.old, c.replacement, 1)
			_, err := config.ParseSettings("bad.json", []byte(text))
			var invalid *config.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("error %v is not a config.InvalidError", err)
			}
			problems := invalid.Problems
			if got := problems[0].String(); !strings.HasPrefix(got, "bad.json:"+c.want) {
				t.Errorf("problem %s\nwant    bad.json:%s", got, c.want)
			}
		})
	}
}
