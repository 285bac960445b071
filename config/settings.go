package config

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"
)

// DefaultDrainTimeout is the time limit of a graceful stop if the settings do not
// set it.
const DefaultDrainTimeout = 30 * time.Second

// DefaultMaxBody is the maximum size of a body in bytes if the settings do not set
// it.
const DefaultMaxBody = 1 << 20

// DefaultCores is the number of CPU cores that a process uses if the settings do
// not set it.
const DefaultCores = 2

// DefaultMaxHeader is the maximum size of a request header in bytes if the settings
// do not set it.
const DefaultMaxHeader = 64 << 10

// DefaultLogLevel is the log level if the settings do not set it.
const DefaultLogLevel = "info"

// Settings are the settings of one process.
type Settings struct {
	// Instance is the name of the instance, unique in the deployment.
	Instance string
	// Service is the service of the target beside the process.
	Service string
	// Region is the region of the instance.
	Region string
	// Domain is the failure domain of the instance.
	Domain string
	// Peer is the listen address for other daemons, TCP and UDP.
	Peer netip.AddrPort
	// Caller is the listen address for callers' HTTP requests.
	Caller netip.AddrPort
	// Target is the listen address at which the target announces itself.
	Target netip.AddrPort
	// Operator is the listen address for operators' commands.
	Operator netip.AddrPort
	// Metrics is an additional listen address for metrics, which are also served at
	// Operator; there is none if it is not valid.
	Metrics netip.AddrPort
	// Platform is the address of the platform's service.
	Platform netip.AddrPort
	// DrainTimeout is the time limit of a graceful stop.
	DrainTimeout time.Duration
	// LogLevel is the log level: debug, info, warn or error.
	LogLevel string
	// MaxBody is the maximum size of a body in bytes.
	MaxBody int64
	// MaxHeader is the maximum size of a request header in bytes.
	MaxHeader int
	// Cores is the number of CPU cores that the process uses at the same time.
	Cores int
}

// ParseSettings parses and validates the settings of one process. The name is used
// in error messages only. For an invalid file, ParseSettings returns an
// [*InvalidError].
func ParseSettings(name string, data []byte) (*Settings, error) {
	d := newDocument(name, data)
	if err := d.err(); err != nil {
		return nil, err
	}
	if err := d.validate(settingsSchema); err != nil {
		return nil, err
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	var raw rawSettings
	if err := d.decode(&raw); err != nil {
		return nil, err
	}
	settings := raw.settings(d)
	if err := d.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

type rawSettings struct {
	Instance string       `json:"instance"`
	Service  string       `json:"service"`
	Region   string       `json:"region"`
	Domain   string       `json:"domain"`
	Peer     string       `json:"peer"`
	Caller   string       `json:"caller"`
	Target   string       `json:"target"`
	Operator string       `json:"operator"`
	Metrics  *string      `json:"metrics"`
	Platform string       `json:"platform"`
	Drain    *string      `json:"drain"`
	Log      *string      `json:"log"`
	Body     *json.Number `json:"body"`
	Header   *json.Number `json:"header"`
	Cores    *json.Number `json:"cores"`
}

func (r *rawSettings) settings(d *document) *Settings {
	s := &Settings{
		Instance:     r.Instance,
		Service:      r.Service,
		Region:       r.Region,
		Domain:       r.Domain,
		DrainTimeout: DefaultDrainTimeout,
		LogLevel:     DefaultLogLevel,
		MaxBody:      DefaultMaxBody,
		MaxHeader:    DefaultMaxHeader,
		Cores:        DefaultCores,
	}
	if r.Drain != nil {
		s.DrainTimeout = d.duration("/drain", *r.Drain)
		if s.DrainTimeout <= 0 || s.DrainTimeout > maxWait {
			d.reportValue("/drain", "a duration above 0 and up to "+shortDuration(maxWait))
		}
	}
	if r.Log != nil {
		s.LogLevel = *r.Log
	}
	if r.Body != nil {
		s.MaxBody = int64(d.integer("/body", *r.Body))
	}
	if r.Cores != nil {
		s.Cores = d.integer("/cores", *r.Cores)
	}
	if r.Header != nil {
		s.MaxHeader = d.integer("/header", *r.Header)
	}
	r.parseAddresses(d, s)
	return s
}

// parseAddresses sets the addresses of s, and reports those that are malformed or
// used for two fields.
func (r *rawSettings) parseAddresses(d *document, s *Settings) {
	usedBy := make(map[netip.AddrPort]string)
	type address struct {
		name string
		text string
		dest *netip.AddrPort
	}
	fields := []address{
		{"peer", r.Peer, &s.Peer},
		{"caller", r.Caller, &s.Caller},
		{"target", r.Target, &s.Target},
		{"operator", r.Operator, &s.Operator},
		{"platform", r.Platform, &s.Platform},
	}
	if r.Metrics != nil {
		fields = append(fields, address{"metrics", *r.Metrics, &s.Metrics})
	}
	for _, field := range fields {
		address, err := netip.ParseAddrPort(field.text)
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			d.reportValue("/"+field.name, `an IP number and a port, such as "10.0.1.7:7001"`)
			continue
		}
		if other, ok := usedBy[address]; ok {
			d.reportValue("/"+field.name, "another address than that of "+other)
		}
		usedBy[address] = field.name
		*field.dest = address
	}
}

// shortDuration formats a duration without trailing units that are zero, as 10m
// instead of 10m0s.
func shortDuration(value time.Duration) string {
	text := value.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
