package config

import (
	"encoding/json"
	"strconv"
	"time"
)

// File is the operators' file: it is applied as a whole.
type File struct {
	// Out names the failure domains that are to receive no new work.
	Out []string
	// Services are in the order of the file.
	Services []Service
	// Routes lead requests that name a host to services. A file that operators
	// write has none; a platform's adapter fills them in.
	Routes []Route
	// MaxBody is the size of the longest body that callers may send to routes, in bytes;
	// zero for no bound of the file's.
	MaxBody int64
}

// Option configures Parse.
type Option func(*options)

type options struct {
	// slots tells the slots of a service that has run; zero for another.
	slots func(service string) int
}

// WithFixedSlots is a functional option that refuses a service whose slots differ
// from what slots tells; it tells zero for a service that has not run.
func WithFixedSlots(slots func(service string) int) Option {
	return func(o *options) { o.slots = slots }
}

// WithPrevious is a functional option that refuses a service whose slots differ
// from those in the file that is to be replaced.
func WithPrevious(f *File) Option {
	slots := make(map[string]int, len(f.Services))
	for i := range f.Services {
		slots[f.Services[i].Name] = f.Services[i].Slots
	}
	return WithFixedSlots(func(service string) int { return slots[service] })
}

// Parse reads the operators' file. The name is used in error messages only. A
// refused file gives an [*InvalidError].
func Parse(name string, data []byte, opts ...Option) (*File, error) {
	o := options{slots: func(string) int { return 0 }}
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
	checkSlots(d, file, o.slots)
	if err := d.err(); err != nil {
		return nil, err
	}
	return file, nil
}

// rawFile is the file as JSON gives it, with every optional field a pointer or
// a zero value.
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
		f.Services = append(f.Services, r.Services[i].service(d, element("/services", i)))
	}
	return f
}

func (r *rawService) service(d *document, at string) Service {
	s := Service{
		Name:    r.Name,
		Slots:   d.integer(at+"/slots", r.Slots),
		Retain:  DefaultRetain,
		Skew:    DefaultSkew,
		Ceiling: DefaultCeiling,
		Kinds:   make([]Kind, 0, len(r.Kinds)),
	}
	if r.Retain != nil {
		s.Retain = d.duration(at+"/retain", *r.Retain)
	}
	if r.Skew != nil {
		s.Skew = d.duration(at+"/skew", *r.Skew)
	}
	if r.Ceiling != nil {
		s.Ceiling = d.integer(at+"/ceiling", *r.Ceiling)
	}
	for i := range r.Kinds {
		s.Kinds = append(s.Kinds, r.Kinds[i].kind(d, element(at+"/kinds", i)))
	}
	return s
}

func (r *rawKind) kind(d *document, at string) Kind {
	return Kind{
		Name:    r.Name,
		Method:  r.Method,
		Path:    r.Path,
		Key:     KeySource(r.Key),
		Wait:    d.duration(at+"/wait", r.Wait),
		Repeat:  r.Repeat,
		Domains: r.Domains,
		Targets: r.Targets,
		Class:   r.Class,
	}
}

// duration parses the text at a JSON pointer; a duration too long for the type
// is reported.
func (d *document) duration(at, text string) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil {
		d.reportValue(at, "a duration below 292 years")
		return 0
	}
	return value
}

// integer parses the number at a JSON pointer; one with a fraction is reported.
func (d *document) integer(at string, number json.Number) int {
	value, err := strconv.Atoi(number.String())
	if err != nil {
		d.reportValue(at, "an integer without a fraction")
	}
	return value
}
