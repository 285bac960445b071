package config

import (
	"bytes"

	"github.com/tailscale/hujson"
)

// Split cuts the operators' file at the start of each element of "services", so
// that a change of one service changes few of the sections. The sections alias
// data and joined are data byte for byte; text that is no such file is one
// section.
func Split(data []byte) [][]byte {
	d := newDocument("", data)
	if len(d.problems) > 0 {
		return [][]byte{data}
	}
	services := d.root.Find("/services")
	if services == nil {
		return [][]byte{data}
	}
	array, ok := services.Value.(*hujson.Array)
	if !ok {
		return [][]byte{data}
	}
	sections := make([][]byte, 0, len(array.Elements)+1)
	start := 0
	for i := range array.Elements {
		end := array.Elements[i].StartOffset
		sections = append(sections, data[start:end:end])
		start = end
	}
	return append(sections, data[start:])
}

// Join puts sections together again.
func Join(sections [][]byte) []byte {
	return bytes.Join(sections, nil)
}
