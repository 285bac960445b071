package operator

import (
	"cmp"
	"slices"

	"fulmarrun/storage"
	"fulmarrun/wire"
)

// Instance is what one daemon said about itself.
type Instance struct {
	Instance   string          `json:"instance"`
	Generation wire.Generation `json:"generation"`
	Service    string          `json:"service"`
	Domain     string          `json:"domain"`
	// State is "active", "leaving" or "closed".
	State string `json:"state"`
	// Config is the number of the configuration in force there.
	Config uint64 `json:"config"`
	// Lease is what was left of its lease.
	Lease    storage.Duration `json:"lease"`
	Slots    int              `json:"slots"`
	InFlight int              `json:"inflight"`
	Queued   int              `json:"queued"`
	// Limit is the number of requests that its target may work on at once.
	Limit int `json:"limit"`
}

// NewInstance returns the operator's form of a daemon's status.
func NewInstance(s wire.Status) Instance {
	return Instance{
		Instance: s.Instance, Generation: s.Generation, Service: s.Service, Domain: s.Domain,
		State: s.State.String(), Config: s.ConfigNumber, Lease: storage.Duration(s.Lease),
		Slots: s.Slots, InFlight: s.InFlight, Queued: s.Queued, Limit: s.Limit,
	}
}

// StatusReply tells how far the accepted configuration is in force.
type StatusReply struct {
	// Accepted is the number of the newest configuration that is known.
	Accepted uint64 `json:"accepted"`
	// Lowest is the lowest number in force at any instance that answered.
	Lowest uint64 `json:"lowest"`
	// Lagging names the instances where an older one is in force.
	Lagging []string `json:"lagging"`
	// Silent names the instances that did not answer, so that what is in force
	// there is not known.
	Silent []string `json:"silent"`
	// Instances are ordered by domain, service and name.
	Instances []Instance `json:"instances"`
}

// NewStatusReply returns the reply that the answers of the instances add up to.
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
