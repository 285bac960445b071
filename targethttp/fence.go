package targethttp

import (
	"net/http"
	"strconv"

	"fulmarrun/wire"
)

// Fence identifies the ownership under which the daemon sends a request to its target.
// A zero Epoch means that the service is not keyed.
type Fence struct {
	Service    string
	Slot       uint32
	Epoch      uint64
	Generation wire.Generation
}

func (f Fence) setHeaders(h http.Header) {
	if f.Epoch == 0 {
		return
	}
	h[HeaderSlot] = []string{strconv.FormatUint(uint64(f.Slot), 10)}
	h[HeaderEpoch] = []string{strconv.FormatUint(f.Epoch, 10)}
	h[HeaderGeneration] = []string{strconv.FormatUint(uint64(f.Generation), 10)}
}
