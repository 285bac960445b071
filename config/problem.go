package config

import (
	"fmt"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	// File is the file name that was passed to the parser.
	File string `json:"file"`
	// Line is counted from 1.
	Line int `json:"line"`
	// Column is counted in bytes from 1.
	Column int `json:"column"`
	// Field is the path of the value, such as services[0].kinds[2].wait; it is
	// empty for the file as a whole.
	Field string `json:"field"`
	// Want describes the expected value.
	Want string `json:"want"`
	// Got describes the actual value.
	Got string `json:"got"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "file"
	}
	return fmt.Sprintf("%s:%d:%d: %s: want %s, got %s", p.File, p.Line, p.Column, field, p.Want, p.Got)
}

// Problems are the errors of a file in the order of their lines.
type Problems []Problem

// String returns one line for each problem.
func (p Problems) String() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// InvalidError is returned for an invalid file.
type InvalidError struct {
	// Problems has at least one element.
	Problems Problems
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	return e.Problems.String()
}
