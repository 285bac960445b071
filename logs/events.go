package logs

// Events are what the field "msg" of a line may say. docs/OPERATIONS.md lists them.
const (
	EventProcessStart  = "process starts"
	EventProcessEnd    = "process ends"
	EventStopping      = "stopping"
	EventLeaving       = "leaving"
	EventLeaveTimeout  = "leave not finished in time"
	EventLeft          = "left"
	EventCallersCutOff = "callers cut off"
	EventReloadIgnored = "settings are read at the next start"
	EventSummary       = "summary"
	EventProcessLate   = "process runs late"
	EventHandlerPanic  = "handling panicked"

	EventRequestRefused    = "request turned away"
	EventRequestUnanswered = "request without an answer"
	EventRequestSlow       = "request slow"
	EventAttemptFailed     = "try failed"
	EventRequestNotServed  = "request not served here"
	EventRequestSlowHere   = "request slow here"

	EventLeaseHeld        = "lease held"
	EventLeaseLost        = "lease lost"
	EventGenerationEnds   = "generation ends"
	EventClosedByPeer     = "closed by a peer"
	EventGenerationClosed = "generation closed"
	EventSlotsChanged     = "slots changed"
	EventMoveAbandoned    = "move given up"
	EventChange           = "change"
	EventWriteRejected    = "write rejected"
	EventRowSkipped       = "row skipped"
	EventMemberKnown      = "member known"
	EventMemberGone       = "member gone"
	EventMemberIdle       = "member idle"
	EventMemberActive     = "member takes work"

	EventNewTarget       = "target met"
	EventTargetChanged   = "target changed"
	EventTargetClosed    = "target closed to new work"
	EventTargetAnnounced = "target announced"
	EventTargetSilent    = "target not heard of"
	EventGrantTooLarge   = "no room to grant all slots"
	EventBeatRefused     = "beat refused"
	EventBeatOutdated    = "beat overtaken"

	EventConfigRead         = "configuration read"
	EventConfigSkipped      = "configuration skipped"
	EventConfigInForce      = "configuration in force"
	EventConfigNotLoaded    = "configuration not loaded"
	EventPeerConfigTaken    = "configuration taken from a peer"
	EventPeerConfigNotTaken = "configuration of a peer not taken"
	EventConfigNotEncoded   = "configuration not encoded"
	EventDomainChanged      = "failure domain changed"

	EventStoreLost          = "store lost"
	EventStoreRegained      = "store regained"
	EventPlatformReadFailed = "platform not read"
	EventFeedReset          = "history of the operators' table is gone; reading it again"
	EventFeedReadFailed     = "operators' table not read"
	EventPeerLost           = "peer lost"
	EventPeerRegained       = "peer regained"
)

// Fields are the keys of a line besides "time", "level" and "msg".
const (
	FieldAddress     = "address"     // address of the target
	FieldAfter       = "after"       // version of the store after which is read
	FieldAge         = "age"         // how long ago what the line rests on was learned, or how long a loss lasted
	FieldAnswered    = "answered"    // requests answered since the last summary
	FieldAuthor      = "author"      // operator who applied the configuration
	FieldChecks      = "checks"      // whether the target checks its grants
	FieldCold        = "cold"        // how long the target stays cold
	FieldConfig      = "config"      // number of the configuration in force
	FieldConfigAge   = "configage"   // how long it has been in force
	FieldDomain      = "domain"      // failure domain
	FieldDrain       = "drain"       // limit of a graceful stop
	FieldEpoch       = "epoch"       // epoch of the route; 0 without a key
	FieldErr         = "err"         // error
	FieldFrom        = "from"        // whose the keys were, or who sent it
	FieldGained      = "gained"      // slots that are owned now and were not
	FieldGeneration  = "generation"  // generation of a daemon
	FieldGoroutines  = "goroutines"  // goroutines of the process
	FieldHidden      = "hidden"      // lines of the event that were left out since the last one
	FieldHost        = "host"        // host that a request named
	FieldHosts       = "hosts"       // hosts of the configuration
	FieldID          = "id"          // ID of the request that the line is about
	FieldIdle        = "idle"        // whether a target takes no work
	FieldInFlight    = "inflight"    // requests at the target
	FieldInstance    = "instance"    // instance that writes the line
	FieldKey         = "key"         // key of a request, or of a row
	FieldKind        = "kind"        // kind of a request
	FieldLate        = "late"        // how much later than asked for the process was woken
	FieldLatency     = "latency"     // mean latency of the target
	FieldLease       = "lease"       // what is left of the lease
	FieldLeft        = "left"        // what was left of the request's wait
	FieldLimit       = "limit"       // requests that the target may be given at once
	FieldLinesHidden = "lineshidden" // lines about requests left out since the last summary
	FieldLost        = "lost"        // slots that were owned and are not now
	FieldMember      = "member"      // instance of another daemon
	FieldMembers     = "members"     // daemons known
	FieldNumber      = "number"      // number of a configuration
	FieldOut         = "out"         // whether a domain is out of service
	FieldOutcome     = "outcome"     // answered, not-run or unknown
	FieldOwned       = "owned"       // slots owned
	FieldPath        = "path"        // path that a request named
	FieldPeer        = "peer"        // address of another daemon
	FieldPID         = "pid"         // process ID
	FieldQueued      = "queued"      // how long a request waited for admission
	FieldReason      = "reason"      // why, in one word; docs/OPERATIONS.md has the list
	FieldRefused     = "refused"     // requests refused since the last summary
	FieldRetry       = "retry"       // when the caller was told to come back
	FieldRunning     = "running"     // requests being served here
	FieldSequence    = "sequence"    // number of a beat
	FieldService     = "service"     // service of a request or daemon
	FieldSettings    = "settings"    // file of the settings
	FieldSlot        = "slot"        // slot
	FieldSlots       = "slots"       // requests that the target says it bears at once, or slots concerned
	FieldStack       = "stack"       // goroutine's stack at a panic
	FieldStatus      = "status"      // status of the target's answer, or of the refusal; 0 if by outcome
	FieldStoreAge    = "storeage"    // how long ago the store last answered
	FieldSubject     = "subject"     // instance that a change is about
	FieldTarget      = "target"      // name of the target's life
	FieldTargetAge   = "targetage"   // how long ago the target was last heard of
	FieldTo          = "to"          // instance that a try went to, or whose the keys are now
	FieldTook        = "took"        // how long it took
	FieldUnknown     = "unknown"     // requests of unknown outcome since the last summary
	FieldVersion     = "version"     // version of a row
	FieldWait        = "wait"        // how long the caller may be kept waiting
	FieldWaiting     = "waiting"     // requests that wait for admission
	FieldWhat        = "what"        // kind of change, as in the audit trail
	FieldWho         = "who"         // instance that made a change
	FieldWhy         = "why"         // why a change was made
)
