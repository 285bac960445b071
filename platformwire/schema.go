package platformwire

import "github.com/tinylib/msgp/msgp"

//go:generate go tool msgp -file schema.go -o schema_gen.go -tests=false -io=false

//msgp:tuple Held Released Grant

// Beat is what a target says of itself about once a second.
type Beat struct {
	// Address is where it serves requests.
	Address string   `msg:"address"`
	Info    BeatInfo `msg:"node_info"`
	Status  Status   `msg:"status"`
	// Started is when it started, in Unix milliseconds.
	Started msgp.Number `msg:"born"`
	// Holds are the ranges of keys that it holds or still works on.
	Holds []Held `msg:"holds"`
	// Released are those that it has given up since its last answered beat.
	Released []Released `msg:"released"`
}

// BeatInfo is what does not change while a target lives.
type BeatInfo struct {
	Service string `msg:"service"`
	// Software is the version of the target's software.
	Software string `msg:"version"`
	Domain   string `msg:"zone"`
	// Slots is how many requests it runs at once.
	Slots msgp.Number `msg:"slots"`
}

// Status is what changes while a target lives.
type Status struct {
	// State is "ready" or "draining".
	State    string      `msg:"state"`
	Sequence msgp.Number `msg:"sequence"`
	// Cold is how much longer it is slow after its start, in milliseconds.
	Cold msgp.Number `msg:"cold_left_ms"`
}

// Held is a range of keys that a target holds, both ends included.
type Held struct {
	First uint32
	Last  uint32
	Fence uint64
}

// Released is a range of keys that a target has given up.
type Released struct {
	First uint32
	Last  uint32
	// Token lets the next holder start warm.
	Token string
}

// Grant is a range of keys that a target is to hold.
type Grant struct {
	First uint32
	Last  uint32
	Fence uint64
	Token string
}

// Accepted answers a beat and says nothing of what to hold.
type Accepted struct{}

// Granted answers a beat with all that the target is to hold.
type Granted struct {
	Grants []Grant `msg:"holds"`
	// HoldTime is for how long, in milliseconds from the sending of the beat.
	HoldTime int64 `msg:"hold_ms"`
}

// Config is the operators' configuration.
type Config struct {
	// Version is "r" and a number.
	Version  string    `msg:"version"`
	Services []Service `msg:"services"`
	Limits   Limits    `msg:"limits"`
	Hosts    []Host    `msg:"virtual_hosts"`
}

// Service is a service of the configuration.
type Service struct {
	Name           string      `msg:"name"`
	MaxConnections msgp.Number `msg:"max_connections"`
	// ColdRate is how many requests a second a cold target bears.
	ColdRate msgp.Number `msg:"cold_per_s"`
	// Keyed is true if each of its keys is held by one target.
	Keyed bool `msg:"sharded"`
}

// Limits bound what callers may send.
type Limits struct {
	Header msgp.Number `msg:"max_header_bytes"`
	Body   msgp.Number `msg:"max_body_bytes"`
	// HeaderTimeout and IdleTimeout are in milliseconds.
	HeaderTimeout msgp.Number `msg:"header_timeout_ms"`
	IdleTimeout   msgp.Number `msg:"idle_timeout_ms"`
}

// Host holds the routes of one host.
type Host struct {
	Host   string  `msg:"host"`
	Routes []Route `msg:"route_paths"`
}

// Route is one route of a host.
type Route struct {
	Name   string `msg:"name"`
	Prefix string `msg:"prefix"`
	// Repeat is "safe" or "unsafe": whether a request may run more than once.
	Repeat string `msg:"route_type"`
	// Wait is how long a caller may be kept waiting, in milliseconds.
	Wait msgp.Number `msg:"timeout_ms"`
	// LatencyGoal is the time within which an answer is worth most, in milliseconds.
	LatencyGoal msgp.Number `msg:"target_latency_ms"`
	// Priority is its rank; 0 is the highest.
	Priority msgp.Number `msg:"priority"`
	// Attempts is how many targets one request may be sent to.
	Attempts msgp.Number `msg:"max_attempts"`
	// Service answers all requests, unless Shares says otherwise.
	Service string  `msg:"service"`
	Shares  []Share `msg:"traffic_split"`
}

// Share is the part of a route's requests that a service answers.
type Share struct {
	Service string      `msg:"service"`
	Weight  msgp.Number `msg:"weight"`
}

// Row is a row of the platform's store.
type Row struct {
	Table string `msg:"table"`
	Part  string `msg:"part"`
	Key   string `msg:"key"`
	// Value is in base64.
	Value   string `msg:"value"`
	Version uint64 `msg:"resource_version"`
	// Deleted is true in a feed if the row was dropped.
	Deleted bool `msg:"tombstone"`
}

// Rows answers a reading, a feed, and a transaction whose conditions do not hold.
type Rows struct {
	Rows []Row `msg:"rows"`
	More bool  `msg:"has_more"`
	// Version is that of the newest change of the whole store.
	Version uint64 `msg:"resource_version"`
}

// Transaction changes rows if all conditions hold.
type Transaction struct {
	Conditions []Condition `msg:"expect"`
	Puts       []Put       `msg:"puts"`
	Deletes    []RowName   `msg:"remove"`
}

// Condition is the version that a row must have; zero if there must be no row.
type Condition struct {
	Table   string `msg:"table"`
	Part    string `msg:"part"`
	Key     string `msg:"key"`
	Version uint64 `msg:"resource_version"`
}

// Put writes a row.
type Put struct {
	Table string `msg:"table"`
	Part  string `msg:"part"`
	Key   string `msg:"key"`
	// Value is in base64.
	Value string `msg:"value"`
}

// RowName names a row.
type RowName struct {
	Table string `msg:"table"`
	Part  string `msg:"part"`
	Key   string `msg:"key"`
}

// ObjectNames lists objects.
type ObjectNames struct {
	Names []string `msg:"names"`
}

// State is all that operators have written, as daemons exchange it.
type State struct {
	// Config is the encoded configuration.
	Config []byte   `msg:"c"`
	Out    []string `msg:"o"`
}
