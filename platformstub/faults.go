package platformstub

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"fulmarrun/storage"
)

// Faults are the faults that the stub injects; the zero value injects none.
type Faults struct {
	// Latency is added to each call.
	Latency time.Duration
	// ReadRate and WriteRate limit the calls per second; zero means no limit.
	ReadRate  float64
	WriteRate float64
	// Outage makes all calls fail without effect.
	Outage bool
	// LoseShare is the share of writes that take effect but get no answer.
	LoseShare float64
	// LoseNext is the number of next writes that take effect but get no answer.
	LoseNext int
	// LateShare is the share of writes that take effect after LateDelay and get no answer.
	LateShare float64
	// LateNext is the number of next writes that take effect after LateDelay and get no
	// answer.
	LateNext int
	// LateDelay is the time after which a late write takes effect.
	LateDelay time.Duration
}

// faultsBody is the JSON form of Faults.
type faultsBody struct {
	Latency   storage.Duration `json:"latency"`
	ReadRate  float64          `json:"reads"`
	WriteRate float64          `json:"writes"`
	Outage    bool             `json:"outage"`
	LoseShare float64          `json:"lose"`
	LoseNext  int              `json:"losenext"`
	LateShare float64          `json:"late"`
	LateNext  int              `json:"latenext"`
	LateDelay storage.Duration `json:"delay"`
}

// MarshalJSON implements json.Marshaler.
func (f Faults) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(faultsBody{
		Latency: storage.Duration(f.Latency), ReadRate: f.ReadRate, WriteRate: f.WriteRate, Outage: f.Outage,
		LoseShare: f.LoseShare, LoseNext: f.LoseNext, LateShare: f.LateShare, LateNext: f.LateNext, LateDelay: storage.Duration(f.LateDelay),
	})
	if err != nil {
		return nil, fmt.Errorf("encode faults: %w", err)
	}
	return data, nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Faults) UnmarshalJSON(data []byte) error {
	var b faultsBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		return fmt.Errorf("decode faults: %w", err)
	}
	*f = Faults{
		Latency: time.Duration(b.Latency), ReadRate: b.ReadRate, WriteRate: b.WriteRate, Outage: b.Outage,
		LoseShare: b.LoseShare, LoseNext: b.LoseNext, LateShare: b.LateShare, LateNext: b.LateNext, LateDelay: time.Duration(b.LateDelay),
	}
	return nil
}
