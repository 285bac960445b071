package budget

import "github.com/pkg/errors"

const (
	// headByteCost is the memory that a byte of a head takes, and headLineCost that of a line beyond
	// its bytes: the head is parsed twice, and each field is an entry of a map with a list of values.
	headByteCost = 4
	headLineCost = 256
	// bodyByteCost is the memory that a byte of a body takes: what was received is joined, and encoded
	// for another daemon or the target.
	bodyByteCost = 2
	// minLineSize is the size of the shortest line of a head, in bytes.
	minLineSize = 4
)

// ErrNoRoom is returned where a client gets no more memory.
var ErrNoRoom = errors.New("no room for more of this client")

// HeadCost returns the memory that a part of the head of a request takes, in bytes.
func HeadCost(size, lines int) int64 { return int64(size)*headByteCost + int64(lines)*headLineCost }

// BodyCost returns the memory that a part of the body of a request takes, in bytes.
func BodyCost(size int) int64 { return int64(size) * bodyByteCost }

// MaxHeadCost returns the most that a part of a head of the given size can take, in bytes.
func MaxHeadCost(size int) int64 { return HeadCost(size, size/minLineSize) }
