package control

import (
	"net/netip"
	"time"

	"fulmarrun/audit"
	"fulmarrun/handover"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// Effect is what a Core asks its shell to do; the types of this file and no
// others.
type Effect interface{ effect() }

// SendHeartbeat sends a datagram.
type SendHeartbeat struct {
	To        netip.AddrPort
	Heartbeat wire.Heartbeat
}

// RequestVote asks a witness whether a lease has run out.
type RequestVote struct {
	To      netip.AddrPort
	Witness wire.Generation
	Vote    wire.Vote
}

// Purpose tells what a Write is for.
type Purpose uint8

const (
	// PurposeSelf changes the daemon's own row.
	PurposeSelf Purpose = iota
	// PurposeTakeover closes another generation.
	PurposeTakeover
	// PurposePlan assigns free slots.
	PurposePlan
	// PurposeMove gives own slots away.
	PurposeMove
)

// Write is a conditional transaction; the shell repeats it until its outcome is
// known and then sends WriteDone.
type Write struct {
	Purpose     Purpose
	Subject     wire.Generation
	Transaction storage.Transaction
	Entry       audit.Entry
	// Move is what a write for PurposeMove completes.
	Move Move
}

// SendRows sends news to peers. The shell brings what a peer answers that it
// wants as WantedArrived, and sends it once.
type SendRows struct {
	To     []netip.AddrPort
	Update wire.Rows
}

// Compare compares rows with a peer and fetches what is newer there.
type Compare struct {
	To      netip.AddrPort
	Summary wire.Summary
}

// LoadConfig fetches a configuration and puts it in force.
type LoadConfig struct {
	CurrentConfig wire.CurrentConfig
	// From is a peer that has it; invalid for the platform alone.
	From netip.AddrPort
}

// Move prepares to give slots away: the shell stops admission to them, waits for
// what runs there, sends their records to the next owners and then sends MoveReady
// with the moves that are ready, or MoveFailed.
type Move struct {
	Moves []handover.Move
	// First is the first row of slots that is taken from.
	First uint32
	// Transfer names this hand-over; the records are sent under it.
	Transfer uint64
	// DrainTimeout is how long requests may run on before the move is given up.
	DrainTimeout time.Duration
	Reason       string
}

// FinishMove ends a Move whose outcome is known: the shell admits requests again,
// which are routed anew.
type FinishMove struct {
	Move    Move
	Applied bool
}

// RowSkipped says that a row can't be read; the others hold.
type RowSkipped struct {
	Key string
	Err error
}

// Probe reads the row of the configuration from the platform and brings it as
// RowsArrived; any answer is a sign of life.
type Probe struct{}

// Reload reads all rows from the platform again and brings them as RowsArrived.
type Reload struct{}

// Drain stops admission and waits for running requests; Drained ends it.
type Drain struct{}

// DrainKeyed stops admission of keyed requests, since no witness will be left for
// their lease, and waits for those that run; Forsaken ends it.
type DrainKeyed struct{ Round int }

// Closed says that this generation is ended and must serve nothing.
type Closed struct{ Reason string }

// LeaveCompleted says that a leaving daemon owns nothing any more, or has none to give
// its slots to, and has closed its row.
type LeaveCompleted struct{}

func (SendHeartbeat) effect()  {}
func (RequestVote) effect()    {}
func (Write) effect()          {}
func (SendRows) effect()       {}
func (Compare) effect()        {}
func (LoadConfig) effect()     {}
func (Move) effect()           {}
func (FinishMove) effect()     {}
func (RowSkipped) effect()     {}
func (Closed) effect()         {}
func (Probe) effect()          {}
func (Reload) effect()         {}
func (Drain) effect()          {}
func (DrainKeyed) effect()     {}
func (LeaveCompleted) effect() {}
