package operator

import (
	"cmp"
	"slices"

	"fulmarrun/storage"
	"fulmarrun/wire"
)

// Instance is the status that one daemon reported.
type Instance struct {
	Instance   string          `json:"instance"`
	Generation wire.Generation `json:"generation"`
	Service    string          `json:"service"`
	Domain     string          `json:"domain"`
	// State is "active", "leaving" or "closed".
	State string `json:"state"`
	// Config is the number of the configuration in force at the instance.
	Config uint64 `json:"config"`
	// Lease is the remaining time of its lease.
	Lease    storage.Duration `json:"lease"`
	Slots    int              `json:"slots"`
	InFlight int              `json:"inflight"`
	Queued   int              `json:"queued"`
	// Limit is the maximum number of requests in progress at its target.
	Limit int `json:"limit"`
}

// NewInstance converts a daemon's status to the form that operators get.
func NewInstance(s wire.Status) Instance {
	return Instance{
		Instance: s.Instance, Generation: s.Generation, Service: s.Service, Domain: s.Domain,
		State: s.State.String(), Config: s.ConfigNumber, Lease: storage.Duration(s.Lease),
		Slots: s.Slots, InFlight: s.InFlight, Queued: s.Queued, Limit: s.Limit,
	}
}

// StatusReply reports at which instances the accepted configuration is in force.
type StatusReply struct {
	// Accepted is the number of the newest known configuration.
	Accepted uint64 `json:"accepted"`
	// Lowest is the lowest number in force at any instance that answered.
	Lowest uint64 `json:"lowest"`
	// Lagging lists the instances where an older configuration is in force.
	Lagging []string `json:"lagging"`
	// Silent lists the instances that did not answer. Which configuration is in
	// force there is not known.
	Silent []string `json:"silent"`
	// Instances are ordered by domain, service and name.
	Instances []Instance `json:"instances"`
}

// NewStatusReply builds a StatusReply from the answers of the instances and the
// names of those that did not answer.
func NewStatusReply(accepted uint64, instances []Instance, silent []string) StatusReply {
	r := StatusReply{
		Accepted:  accepted,
		Lagging:   []string{},
		Silent:    slices.Sorted(slices.Values(silent)),
		Instances: slices.Clone(instances),
	}
	slices.SortFunc(r.Instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Generation, b.Generation))
	})
	for _, i := range r.Instances {
		r.Accepted = max(r.Accepted, i.Config)
	}
	r.Lowest = r.Accepted
	for _, i := range r.Instances {
		r.Lowest = min(r.Lowest, i.Config)
		if i.Config < r.Accepted {
			r.Lagging = append(r.Lagging, i.Instance)
		}
	}
	return r
}
