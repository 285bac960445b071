package control

import (
	"net/netip"
	"time"

	"fulmarrun/audit"
	"fulmarrun/handover"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// Effect is an action that a Core asks its shell to carry out; the types in this
// file are the only ones.
type Effect interface{ effect() }

// SendHeartbeat sends a heartbeat datagram.
type SendHeartbeat struct {
	To        netip.AddrPort
	Heartbeat wire.Heartbeat
}

// RequestVote asks a witness whether a lease has expired.
type RequestVote struct {
	To      netip.AddrPort
	Witness wire.Generation
	Vote    wire.Vote
}

// Purpose is the reason for a Write.
type Purpose uint8

const (
	// PurposeSelf changes the generation's own member row.
	PurposeSelf Purpose = iota
	// PurposeTakeover closes another generation.
	PurposeTakeover
	// PurposePlan assigns free slots.
	PurposePlan
	// PurposeMove hands over slots owned here.
	PurposeMove
)

// Write is a conditional transaction; the shell retries it until the outcome is
// known and then sends WriteDone.
type Write struct {
	Purpose     Purpose
	Subject     wire.Generation
	Transaction storage.Transaction
	Entry       audit.Entry
	// Move is the hand-over that a write with PurposeMove completes.
	Move Move
}

// SendRows sends rows and deltas to peers. If a peer answers that it could not
// apply some of them, the shell passes its answer to the Core as RowsRequested and
// sends the resulting rows once.
type SendRows struct {
	To     []netip.AddrPort
	Update wire.Rows
}

// Compare compares rows with a peer and fetches the rows that are newer there.
type Compare struct {
	To      netip.AddrPort
	Summary wire.Summary
}

// LoadConfig fetches a configuration and puts it in force.
type LoadConfig struct {
	CurrentConfig wire.CurrentConfig
	// From is a peer that has the configuration; if it is invalid, the shell reads
	// from the platform only.
	From netip.AddrPort
}

// Move prepares a hand-over of slots: the shell stops admission to them, waits for
// the requests that run there, sends the records of the slots to the next owners
// and then sends MoveReady with the moves that are ready, or MoveFailed.
type Move struct {
	Moves []handover.Move
	// FirstSlot is the first slot of the first row of slots that the moves take from.
	FirstSlot uint32
	// TransferID identifies this hand-over; the records are sent under it.
	TransferID uint64
	// DrainTimeout is how long the shell waits for running requests before it
	// abandons the move.
	DrainTimeout time.Duration
	Reason       string
}

// FinishMove ends a Move whose outcome is known: the shell admits requests again
// and routes them again.
type FinishMove struct {
	Move    Move
	Applied bool
}

// RowSkipped reports a row that can't be decoded; the other rows stay in effect.
type RowSkipped struct {
	Key string
	Err error
}

// Probe reads the configuration row from the platform and delivers it as
// RowsArrived; any answer shows that the platform is reachable.
type Probe struct{}

// Reload reads all rows from the platform again and delivers them as RowsArrived.
type Reload struct {
	// At is when the rows were requested.
	At time.Time
}

// Drain stops admission and waits for the running requests; the shell then sends
// Drained.
type Drain struct{}

// DrainKeyed stops admission of keyed requests, since no witness will remain to
// renew the lease, and waits for the running ones; the shell then sends
// KeyedDrained.
type DrainKeyed struct{ Round int }

// PredecessorFound delivers the row of another generation of the same instance. Members may
// remember a later state of it than the platform.
type PredecessorFound struct{ Row wire.Row }

// Closed reports that this generation has ended and must not serve any requests.
type Closed struct{ Reason string }

// LeaveCompleted reports that a leaving daemon has closed its row, since it owns no
// slots any more or no member can take them.
type LeaveCompleted struct{}

func (SendHeartbeat) effect()    {}
func (RequestVote) effect()      {}
func (Write) effect()            {}
func (SendRows) effect()         {}
func (Compare) effect()          {}
func (LoadConfig) effect()       {}
func (Move) effect()             {}
func (FinishMove) effect()       {}
func (RowSkipped) effect()       {}
func (PredecessorFound) effect() {}
func (Closed) effect()           {}
func (Probe) effect()            {}
func (Reload) effect()           {}
func (Drain) effect()            {}
func (DrainKeyed) effect()       {}
func (LeaveCompleted) effect()   {}
