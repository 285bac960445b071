package wire

import (
	"net/netip"
	"time"
)

//go:generate go tool msgp -file schema.go -o schema_gen.go -tests=false -io=false

//msgp:shim Generation as:uint64 using:uint64/Generation
//msgp:shim Outcome as:uint8 using:uint8/Outcome
//msgp:shim UnixTime as:uint32 using:uint32/UnixTime
//msgp:shim State as:uint8 using:uint8/State
//msgp:shim netip.AddrPort as:string using:addrPortString/addrPortParse mode:convert
//msgp:tuple Heartbeat Request Response Header Cancel Slot HotKey ReleasedSlots RecordHandover Record Version Vote Verdict Edit Delta ResendRequest Policy

// Generation identifies one incarnation of a daemon. It is random and never
// zero; a restarted daemon has a new one.
type Generation uint64

// UnixTime is a moment of the wall clock in whole seconds since the Unix epoch,
// which is enough for people to read and short in rows.
type UnixTime uint32

// Heartbeat is the only datagram: it asks a witness to renew a lease, or
// answers such a request.
type Heartbeat struct {
	// Answer is false in a request and true in the witness's renewal.
	Answer bool
	// From is the generation that sends this datagram.
	From Generation
	// To is the generation that it is meant for; any other drops it.
	To Generation
	// Seq numbers the holder's heartbeats; a renewal repeats it.
	Seq uint32
}

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// Request is a caller's request on its way from the daemon that received it to
// the owner of its key.
type Request struct {
	Service string
	Kind    string
	Key     string
	// ID is the idempotency key, from the caller or made at ingress.
	ID string
	// FirstAttempt is true if ID was made at ingress and this is its first forward, so
	// that no other attempt with this ID can exist. It holds only for a receiver
	// that owns the key at Epoch.
	FirstAttempt bool
	// Epoch is that of the route by which the request was sent.
	Epoch uint64
	// Wait is what is left of the time the caller may be kept waiting.
	Wait time.Duration
	// Depth counts the nested calls above this one.
	Depth uint8
	// Policy are those of its kind, if the daemon that received it states them.
	Policy Policy
	Method string
	// Path is the path and query as the target is to see them.
	Path    string
	Headers []Header
	Body    []byte
}

// Policy are what the daemon beside a target must know of a request's kind. They
// come with the request, so that daemons with different configurations in force
// agree on it.
type Policy struct {
	// Present is false if the kind is to be looked up in the configuration.
	Present bool
	// Keyed is true if only the owner of the key may run it.
	Keyed bool
	// AtMostOnce is true if it may not be repeated.
	AtMostOnce bool
	// Priority orders requests where not all can be served; 0 goes first.
	Priority uint8
	// LatencyGoal is the time within which an answer is worth most; zero if not said.
	LatencyGoal time.Duration
	// OriginService is the service of the instance at which the request began.
	OriginService string
}

// Outcome states what is known about the execution of a request.
type Outcome uint8

const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the target's whole answer is attached.
	OutcomeAnswered
	// OutcomeNotRun means that no byte of the request reached a target.
	OutcomeNotRun
)

// Response is the final answer to a Request.
type Response struct {
	Outcome Outcome
	Status  uint16
	// Reason is a short machine-readable word for a refusal or an unknown.
	Reason string
	// RetryAfter tells when to come back; zero where that is of no use.
	RetryAfter time.Duration
	// NotOwner is true if the sender does not own the key; the receiver may route
	// the request again, since it was not run.
	NotOwner bool
	Headers  []Header
	Body     []byte
}

// Cancel ends interest in the request frame with the same frame ID.
type Cancel struct {
	Reason string
}

// State is where a daemon stands in its life.
type State uint8

const (
	// StateActive means that the daemon takes part in everything.
	StateActive State = iota
	// StateLeaving means that the daemon gives its slots away.
	StateLeaving
	// StateLeft means that the daemon needs its lease no more, and stays only for
	// those who have it as a witness.
	StateLeft
	// StateClosed means that the generation is ended for ever.
	StateClosed
)

// ReleasedSlots says that a generation has given away slots of the row that starts at
// First, the last time by the change that made the row's Number.
type ReleasedSlots struct {
	FirstSlot uint32
	Revision  uint64
}

// Member is the row of one generation of a daemon.
type Member struct {
	Instance   string         `msg:"i"`
	Generation Generation     `msg:"g"`
	Service    string         `msg:"s"`
	Region     string         `msg:"r"`
	Domain     string         `msg:"d"`
	Peer       netip.AddrPort `msg:"p"`
	Caller     netip.AddrPort `msg:"c"`
	Witnesses  []Generation   `msg:"w"`
	State      State          `msg:"t"`
	// Heirs share the slots of a closed generation by rendezvous hashing.
	Heirs []Generation `msg:"h"`
	// Idle is true while the target beside the daemon takes no work.
	Idle bool `msg:"a"`
	// DepartedTarget names the life of the target that has left for good; empty if none has.
	DepartedTarget string `msg:"l"`
	// ReleasedSlots lists the rows of slots that this generation has given slots of. Who
	// inherits from it must know those rows at least at these numbers.
	ReleasedSlots []ReleasedSlots `msg:"v"`
	// Joined is when this generation wrote its first row.
	Joined time.Time `msg:"j"`
	// Change is the request ID of the write that made this version.
	Change string `msg:"x"`
	// Reason says why the last change was made.
	Reason string `msg:"y"`
}

// Slot is the ownership of one slot.
type Slot struct {
	// Owner is zero while the slot is unassigned.
	Owner Generation
	Epoch uint64
	// TransferID names the hand-over that gave the slot to Owner; zero if Owner has
	// it by assignment or by the loss of another.
	TransferID uint64
	// AssignedAt is when this entry was written for Owner.
	AssignedAt UnixTime
	// Token is what the target of the last owner gave out when it released the
	// slot; the next target that shows it starts warm. Empty if there is none.
	Token string
}

// HotKey is the ownership of one key that is apart from its slot.
type HotKey struct {
	Key string
	Slot
}

// Slots is the row of a range of slots of one service.
type Slots struct {
	Service string `msg:"s"`
	// TotalSlots is how many slots the service has in all; it never changes.
	TotalSlots uint32 `msg:"n"`
	// NumericKeys is true if keys are numbers and a slot is a range of them; else keys
	// are hashed into slots.
	NumericKeys bool `msg:"k"`
	// Revision rises by one with each change of the row.
	Revision  uint64   `msg:"u"`
	FirstSlot uint32   `msg:"f"`
	Slots     []Slot   `msg:"e"`
	HotKeys   []HotKey `msg:"h"`
	Change    string   `msg:"x"`
}

// CurrentConfig is the row that says which configuration is in force.
type CurrentConfig struct {
	Number uint64    `msg:"n"`
	Digest string    `msg:"d"`
	Author string    `msg:"a"`
	At     time.Time `msg:"t"`
	// SectionDigests are the digests of the objects that make up the file, in order.
	SectionDigests []string `msg:"o"`
	Change         string   `msg:"x"`
	// RecentChanges holds the latest accepted changes, newest first, so that a lost
	// reply can be settled after a later change won.
	RecentChanges []AcceptedChange `msg:"l"`
}

// AcceptedChange is one accepted change of configuration.
type AcceptedChange struct {
	Number uint64 `msg:"n"`
	Change string `msg:"x"`
}

// Row is a row of the platform's table with its version.
type Row struct {
	Key     string `msg:"k"`
	Version uint64 `msg:"v"`
	Value   []byte `msg:"d"`
	Deleted bool   `msg:"r"`
}

// Edit is one step from a row's value to its next: keep Keep bytes of the old
// one, leave Drop bytes out, then add Put.
type Edit struct {
	Keep   uint32
	Drop   uint32
	Insert []byte
}

// Delta is what turns the value of a row at the version Base into that at
// Version; what follows the last edit is kept.
type Delta struct {
	Key         string
	BaseVersion uint64
	Version     uint64
	// Checksum is the checksum of the value at Version.
	Checksum uint32
	Edits    []Edit
}

// Rows carries news from one daemon to another: whole rows, and what has changed
// in rows. The answer is ResendRequest.
type Rows struct {
	From   Generation `msg:"f"`
	Rows   []Row      `msg:"r,omitempty"`
	Deltas []Delta    `msg:"d,omitempty"`
	// ResendRequest is set in an answer to Versions.
	ResendRequest []Version `msg:"w,omitempty"`
}

// ResendRequest names the rows that the sender of Rows should send again, each from the
// version that the receiver has; zero asks for the whole row.
type ResendRequest struct {
	Have []Version
}

// Version names a row and the version that the sender has of it.
type Version struct {
	Key     string
	Version uint64
}

// Summary holds one digest for each group of buckets of the sender's rows.
type Summary struct {
	From   Generation `msg:"f"`
	Groups []uint64   `msg:"b"`
	// ConfigNumber is the configuration number in force at the sender.
	ConfigNumber uint64 `msg:"c"`
}

// Digests answers Summary with the digests of all buckets in the groups that
// differ.
type Digests struct {
	From    Generation `msg:"f"`
	Groups  []uint32   `msg:"g"`
	Buckets []uint64   `msg:"b"`
}

// Versions lists the rows that the sender has in the named buckets. The answer
// is Rows with whatever is newer at the receiver, and what the receiver wants.
type Versions struct {
	From    Generation `msg:"f"`
	Buckets []uint32   `msg:"b"`
	Have    []Version  `msg:"v"`
}

// FetchObject asks a daemon for an object of the configuration.
type FetchObject struct {
	Digest string `msg:"d"`
}

// Object answers Fetch; Data is empty if the object is not held.
type Object struct {
	Data []byte `msg:"d"`
}

// ConfigNotice tells a daemon the number of the configuration in force at the sender, or
// asks for it.
type ConfigNotice struct {
	From   Generation `msg:"f"`
	Number uint64     `msg:"n"`
}

// ConfigText is a configuration as one text.
type ConfigText struct {
	Number uint64 `msg:"n"`
	Text   []byte `msg:"t"`
}

// Vote asks a witness to testify that a lease has run out.
type Vote struct {
	From Generation
	// Holder is the generation whose lease is in question.
	Holder Generation
}

// Verdict answers Vote. Expired true binds the witness.
type Verdict struct {
	Holder  Generation
	Expired bool
	// Wait is how long the witness is still bound by its last renewal.
	Wait time.Duration
}

// Record is what an owner remembers of one request ID.
type Record struct {
	ID      string
	Outcome Outcome
	// Done is false while the request runs.
	Done      bool
	CreatedAt time.Time
	Status    uint16
	Headers   []Header
	Body      []byte
}

// RecordHandover hands an owner's records of one slot, or of one hot key, to the next.
type RecordHandover struct {
	Service string
	Slot    uint32
	// HotKey is the hot key; empty for the whole slot.
	HotKey string
	// To is the generation that the records are meant for; an address may have
	// another by the time.
	To Generation
	// TransferID is that of the slot's entry once the hand-over is done.
	TransferID uint64
	// CompleteSince is the time before which an ID without a record may have run.
	CompleteSince time.Time
	Records       []Record
}

// Ack answers a message that needs no other answer.
type Ack struct {
	OK     bool   `msg:"o"`
	Reason string `msg:"r"`
}

// Status is what one daemon says about itself to an operator.
type Status struct {
	Instance     string        `msg:"i"`
	Generation   Generation    `msg:"g"`
	Service      string        `msg:"s"`
	Domain       string        `msg:"d"`
	State        State         `msg:"t"`
	ConfigNumber uint64        `msg:"c"`
	Lease        time.Duration `msg:"l"`
	Slots        int           `msg:"n"`
	InFlight     int           `msg:"f"`
	Queued       int           `msg:"q"`
	Limit        int           `msg:"m"`
	// Utilization is how busy its target has been of late: what it has to do, queue
	// included, as a share of Limit.
	Utilization float64 `msg:"u"`
	// SmoothedUtilization is the same over some seconds.
	SmoothedUtilization float64 `msg:"y"`
}

// StatusRequest asks a daemon for its Status.
type StatusRequest struct {
	From Generation `msg:"f"`
}
