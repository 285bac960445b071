package config

import (
	"encoding/json"
	"fmt"
)

// MaxHedgePrice is the highest price of a repetition at which a request may be
// hedged.
const MaxHedgePrice = 1.0

// Cost is the cost of running a request again.
type Cost struct {
	// AtMostOnce is true if the request may run at most once.
	AtMostOnce bool
	// Price is the relative cost of a repetition, where 0 is free. It is ignored
	// if AtMostOnce is true.
	Price float64
}

// UnmarshalJSON accepts a number or any string. The schema has already rejected
// strings other than "never".
func (c *Cost) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		*c = Cost{AtMostOnce: true}
		return nil
	}
	*c = Cost{}
	if err := json.Unmarshal(data, &c.Price); err != nil {
		return fmt.Errorf("read cost: %w", err)
	}
	return nil
}
