package platformwire

import "github.com/tinylib/msgp/msgp"

//go:generate go tool msgp -file schema.go -o schema_gen.go -tests=false -io=false

//msgp:tuple Held Released Grant

// Beat is the heartbeat that a target sends about once a second.
type Beat struct {
	// Address is the address where the target serves requests.
	Address string   `msg:"address"`
	Info    BeatInfo `msg:"node_info"`
	Status  Status   `msg:"status"`
	// Started is when the target started, in Unix milliseconds.
	Started msgp.Number `msg:"born"`
	// Holds are the ranges of keys that the target holds or still works on.
	Holds []Held `msg:"holds"`
	// Released are the ranges that the target released since its last answered heartbeat.
	Released []Released `msg:"released"`
}

// BeatInfo holds the properties of a target that do not change while it runs.
type BeatInfo struct {
	Service string `msg:"service"`
	// Software is the version of the target's software.
	Software string `msg:"version"`
	// Domain is the failure domain of the target.
	Domain string `msg:"zone"`
	// Slots is the maximum number of requests that the target runs at once.
	Slots msgp.Number `msg:"slots"`
}

// Status holds the properties of a target that change while it runs.
type Status struct {
	// State is "ready" or "draining".
	State string `msg:"state"`
	// Sequence increases with each heartbeat of the target.
	Sequence msgp.Number `msg:"sequence"`
	// Cold is the remaining warm-up time during which the target is slow after its start,
	// in milliseconds.
	Cold msgp.Number `msg:"cold_left_ms"`
}

// Held is a range of keys that a target holds, both ends included.
type Held struct {
	// First is the first key of the range.
	First uint32
	// Last is the last key of the range, included in it.
	Last  uint32
	Fence uint64
}

// Released is a range of keys that a target has released.
type Released struct {
	// First is the first key of the range.
	First uint32
	// Last is the last key of the range, included in it.
	Last uint32
	// Token allows the next holder of the range to start warm.
	Token string
}

// Grant is a range of keys that a target is to hold.
type Grant struct {
	// First is the first key of the range.
	First uint32
	// Last is the last key of the range, included in it.
	Last  uint32
	Fence uint64
	Token string
}

// Accepted answers a heartbeat without changing or renewing any grants.
type Accepted struct{}

// Granted answers a heartbeat with all ranges of keys that the target is to hold.
type Granted struct {
	Grants []Grant `msg:"holds"`
	// HoldTime is the validity of the grants, in milliseconds from when the target sent the
	// heartbeat.
	HoldTime int64 `msg:"hold_ms"`
}

// Config is the operators' configuration.
type Config struct {
	// Version is "r" followed by the number of the configuration.
	Version  string    `msg:"version"`
	Services []Service `msg:"services"`
	Limits   Limits    `msg:"limits"`
	Hosts    []Host    `msg:"virtual_hosts"`
	// Teams are the teams whose keys requests carry; empty if requests carry none.
	Teams []Team `msg:"tenants"`
}

// Service is the configuration of a service.
type Service struct {
	Name           string      `msg:"name"`
	MaxConnections msgp.Number `msg:"max_connections"`
	// ColdRate is the capacity of a target that is still warming up, in requests per second.
	ColdRate msgp.Number `msg:"cold_per_s"`
	// Keyed is true if each key of the service is held by one target.
	Keyed bool `msg:"sharded"`
}

// Limits bound the requests of callers.
type Limits struct {
	// Header and Body are in bytes.
	Header msgp.Number `msg:"max_header_bytes"`
	Body   msgp.Number `msg:"max_body_bytes"`
	// HeaderTimeout and IdleTimeout are in milliseconds.
	HeaderTimeout msgp.Number `msg:"header_timeout_ms"`
	IdleTimeout   msgp.Number `msg:"idle_timeout_ms"`
}

// Host is the list of routes of one virtual host.
type Host struct {
	Host   string  `msg:"host"`
	Routes []Route `msg:"route_paths"`
}

// Route is one route of a host.
type Route struct {
	Name   string `msg:"name"`
	Prefix string `msg:"prefix"`
	// Repeat says whether a request may run more than once: "safe" or "unsafe".
	Repeat string `msg:"route_type"`
	// Wait is the maximum time that a caller waits for the answer, in milliseconds.
	Wait msgp.Number `msg:"timeout_ms"`
	// LatencyGoal is the time within which an answer is worth most, in milliseconds.
	LatencyGoal msgp.Number `msg:"target_latency_ms"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority msgp.Number `msg:"priority"`
	// Attempts is the maximum number of targets that one request may be sent to.
	Attempts msgp.Number `msg:"max_attempts"`
	// Service is the service that answers all requests, unless Shares is set.
	Service string  `msg:"service"`
	Shares  []Share `msg:"traffic_split"`
	// Public is true if requests need no key of a team.
	Public bool `msg:"public"`
}

// Team is one team and the keys by which its requests are known.
type Team struct {
	Name string   `msg:"name"`
	Keys []string `msg:"api_keys"`
	// Priority goes before that of the route; 0 is the highest.
	Priority msgp.Number `msg:"priority"`
	// Rate is the limit of the team's requests over all daemons together, in requests per
	// second; without a limit it is zero or missing. Burst comes on top of it.
	Rate  msgp.Number `msg:"rate_per_s"`
	Burst msgp.Number `msg:"burst"`
}

// Share is the share of a route's requests that a service answers.
type Share struct {
	Service string      `msg:"service"`
	Weight  msgp.Number `msg:"weight"`
}

// Row is a row of the platform's store. This project leaves Part empty.
type Row struct {
	Table string `msg:"table"`
	Part  string `msg:"part"`
	Key   string `msg:"key"`
	// Value is in base64.
	Value   string `msg:"value"`
	Version uint64 `msg:"resource_version"`
	// Deleted is true in a feed if the row was deleted.
	Deleted bool `msg:"tombstone"`
}

// Rows answers a read, a feed, and a transaction. For a transaction whose conditions do
// not hold it has the current rows.
type Rows struct {
	Rows []Row `msg:"rows"`
	More bool  `msg:"has_more"`
	// Version is the version of the latest change of the whole store.
	Version uint64 `msg:"resource_version"`
}

// Transaction changes rows if all conditions hold.
type Transaction struct {
	Conditions []Condition `msg:"expect"`
	Puts       []Put       `msg:"puts"`
	Deletes    []RowName   `msg:"remove"`
}

// Condition requires a row to have a version, or not to exist if the version is zero.
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

// RowName identifies a row.
type RowName struct {
	Table string `msg:"table"`
	Part  string `msg:"part"`
	Key   string `msg:"key"`
}

// ObjectNames answers a request for a list of objects.
type ObjectNames struct {
	Names []string `msg:"names"`
}

// State is the state of the operators' table, as daemons exchange it.
type State struct {
	// Config is the encoded configuration.
	Config []byte `msg:"c"`
	// Out are the failure domains that are out of service.
	Out []string `msg:"o"`
}
