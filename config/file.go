package config

import (
	"encoding/json"
	"strconv"
	"time"
)

// File is the operators' file, the configuration that is applied as a whole.
type File struct {
	// Out are the failure domains out of service, which get no new requests.
	Out []string
	// Services are in the order of the file.
	Services []Service
	// Routes map requests to services by host and path. Operators' files have none;
	// the package platform sets them.
	Routes []Route
	// MaxBody is the maximum size in bytes of the body of a request to a route; zero
	// if the file sets no limit.
	MaxBody int64
	// Teams are the teams whose keys requests carry; empty if requests carry none. Operators'
	// files have none; the package platform sets them.
	Teams []Team
}

// Option configures Parse.
type Option func(*options)

type options struct {
	// slotsOf returns the number of slots that a service runs with, or zero if the
	// service has not run yet.
	slotsOf func(service string) int
}

// WithFixedSlots is a functional option that rejects a service whose number of
// slots differs from the number that slotsOf returns; slotsOf returns zero for a
// service that has not run yet.
func WithFixedSlots(slotsOf func(service string) int) Option {
	return func(o *options) { o.slotsOf = slotsOf }
}

// WithPrevious is a functional option that rejects a service whose number of
// slots differs from that in f, the file to be replaced.
func WithPrevious(f *File) Option {
	slots := make(map[string]int, len(f.Services))
	for i := range f.Services {
		slots[f.Services[i].Name] = f.Services[i].Slots
	}
	return WithFixedSlots(func(service string) int { return slots[service] })
}

// Parse parses and validates the operators' file. The name is used in error
// messages only. For an invalid file, Parse returns an [*InvalidError].
func Parse(name string, data []byte, opts ...Option) (*File, error) {
	o := options{slotsOf: func(string) int { return 0 }}
	for _, opt := range opts {
		opt(&o)
	}
	d := newDocument(name, data)
	if err := d.err(); err != nil {
		return nil, err
	}
	if err := d.validate(fileSchema); err != nil {
		return nil, err
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	var raw rawFile
	if err := d.decode(&raw); err != nil {
		return nil, err
	}
	file := raw.file(d)
	checkFile(d, file)
	checkSlots(d, file, o.slotsOf)
	if err := d.err(); err != nil {
		return nil, err
	}
	return file, nil
}

// rawFile is the decoded JSON of the file. Each optional field is a pointer or
// has its zero value if it is absent.
type rawFile struct {
	Out      []string     `json:"out"`
	Services []rawService `json:"services"`
}

type rawService struct {
	Name    string       `json:"name"`
	Slots   json.Number  `json:"slots"`
	Retain  *string      `json:"retain"`
	Skew    *string      `json:"skew"`
	Ceiling *json.Number `json:"ceiling"`
	Kinds   []rawKind    `json:"kinds"`
}

type rawKind struct {
	Name    string   `json:"name"`
	Method  string   `json:"method"`
	Path    string   `json:"path"`
	Key     rawKey   `json:"key"`
	Wait    string   `json:"wait"`
	Repeat  Cost     `json:"repeat"`
	Domains []string `json:"domains"`
	Targets []string `json:"targets"`
	Class   Class    `json:"class"`
}

type rawKey struct {
	Path   string `json:"path"`
	Header string `json:"header"`
	Query  string `json:"query"`
}

func (r *rawFile) file(d *document) *File {
	f := &File{Out: r.Out, Services: make([]Service, 0, len(r.Services))}
	for i := range r.Services {
		f.Services = append(f.Services, r.Services[i].service(d, elementPointer("/services", i)))
	}
	return f
}

func (r *rawService) service(d *document, pointer string) Service {
	s := Service{
		Name:    r.Name,
		Slots:   d.integer(pointer+"/slots", r.Slots),
		Retain:  DefaultRetain,
		Skew:    DefaultSkew,
		Ceiling: DefaultCeiling,
		Kinds:   make([]Kind, 0, len(r.Kinds)),
	}
	if r.Retain != nil {
		s.Retain = d.duration(pointer+"/retain", *r.Retain)
	}
	if r.Skew != nil {
		s.Skew = d.duration(pointer+"/skew", *r.Skew)
	}
	if r.Ceiling != nil {
		s.Ceiling = d.integer(pointer+"/ceiling", *r.Ceiling)
	}
	for i := range r.Kinds {
		s.Kinds = append(s.Kinds, r.Kinds[i].kind(d, elementPointer(pointer+"/kinds", i)))
	}
	return s
}

func (r *rawKind) kind(d *document, pointer string) Kind {
	return Kind{
		Name:    r.Name,
		Method:  r.Method,
		Path:    r.Path,
		Key:     KeySource(r.Key),
		Wait:    d.duration(pointer+"/wait", r.Wait),
		Repeat:  r.Repeat,
		Domains: r.Domains,
		Targets: r.Targets,
		Class:   r.Class,
	}
}

// duration parses the duration at a JSON pointer, and reports one that overflows
// time.Duration.
func (d *document) duration(pointer, text string) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil {
		d.reportValue(pointer, "a duration below 292 years")
		return 0
	}
	return value
}

// integer parses the number at a JSON pointer, and reports one with a fraction.
func (d *document) integer(pointer string, number json.Number) int {
	value, err := strconv.Atoi(number.String())
	if err != nil {
		d.reportValue(pointer, "an integer without a fraction")
	}
	return value
}
