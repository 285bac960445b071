package logs

// The events are the values of the field "msg". docs/OPERATIONS.md lists them.
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

	EventClientsEvicted = "clients evicted" // since the last summary, to make room for others

	EventRequestLost      = "request lost at the target"
	EventRequestSuspected = "request suspected" // a target has ended under it
	EventRequestCleared   = "request cleared"   // a target has answered it
	EventRequestShutOut   = "request shut out"
	EventSuspectNotStored = "suspect not stored"

	EventTeamLimited    = "team limited" // its requests are refused, since they exceed its limit
	EventTeamNotLimited = "team no longer limited"

	EventLeaseHeld        = "lease held"
	EventLeaseLost        = "lease lost"
	EventGenerationEnds   = "generation ends"
	EventClosedByPeer     = "closed by a peer"
	EventGenerationClosed = "generation closed"
	EventSlotsChanged     = "slots changed"
	EventMoveAbandoned    = "move given up"
	EventChange           = "change" // a change that is also in the audit trail
	EventWriteRejected    = "write rejected"
	EventWriteObsolete    = "write given up, the store was restored"
	EventRowSkipped       = "row skipped"
	EventMemberKnown      = "member known" // another daemon was added to the known members
	EventMemberGone       = "member gone"  // it was removed from them
	EventMemberIdle       = "member idle"
	EventMemberActive     = "member takes work"

	EventNewTarget       = "target met"
	EventTargetChanged   = "target changed"
	EventTargetCondition = "target states its condition"
	EventTargetClosed    = "target closed to new work"
	EventTargetAnnounced = "target announced"
	EventTargetSilent    = "target not heard of"
	EventGrantTooLarge   = "no room to grant all slots"
	EventBeatRefused     = "beat refused"
	EventLeaveRefused    = "leave refused"
	EventBeatOutdated    = "beat overtaken"

	EventConfigRead         = "configuration read"
	EventConfigSkipped      = "configuration skipped"
	EventConfigInForce      = "configuration in force"
	EventConfigOutdated     = "configuration not newer than the one in force"
	EventConfigNotLoaded    = "configuration not loaded"
	EventPeerConfigTaken    = "configuration taken from a peer"
	EventPeerConfigNotTaken = "configuration of a peer not taken"
	EventConfigNotMerged    = "configuration not merged"
	EventConfigNotEncoded   = "configuration not encoded"
	EventDomainChanged      = "failure domain changed"

	EventStoreLost          = "store lost"
	EventStoreRegained      = "store regained"
	EventStoreRestored      = "store restored from a copy"
	EventPlatformReadFailed = "platform not read"
	EventFeedReset          = "history of the operators' table is gone; reading it again"
	EventFeedReadFailed     = "operators' table not read"
	EventFeedDoubted        = "feed of the operators' table may be lost; opening it again"
	EventPeerLost           = "peer lost"
	EventPeerRegained       = "peer regained"
)

// The fields are the keys of a line other than "time", "level" and "msg".
const (
	FieldAddress     = "address"     // address of the target
	FieldAfter       = "after"       // version of the store from which changes are read, exclusive
	FieldAge         = "age"         // age of the information that the line is based on, or duration of an outage
	FieldAnswered    = "answered"    // requests answered since the last summary
	FieldAuthor      = "author"      // operator who applied the configuration
	FieldChecks      = "checks"      // whether the target checks grants
	FieldClients     = "clients"     // open connections of clients
	FieldCold        = "cold"        // how much longer the target is in its cold start
	FieldConfig      = "config"      // number of the configuration in force
	FieldConfigAge   = "configage"   // time since the configuration came into force
	FieldCrashes     = "crashes"     // processes of targets that have ended under a request
	FieldDomain      = "domain"      // failure domain
	FieldDrain       = "drain"       // time limit of a graceful stop
	FieldEpoch       = "epoch"       // epoch of the route; 0 without a key
	FieldErr         = "err"         // error
	FieldEvicted     = "evicted"     // clients whose connections were closed to make room for others
	FieldFingerprint = "fingerprint" // identifies a request by its content
	FieldFrom        = "from"        // previous owner of the keys, or sender of a message
	FieldGained      = "gained"      // number of slots that became owned
	FieldGeneration  = "generation"  // generation of a daemon
	FieldGoroutines  = "goroutines"  // goroutines of the process
	FieldHidden      = "hidden"      // lines of the event that were not logged since the last one that was
	FieldHost        = "host"        // host in the request
	FieldHosts       = "hosts"       // hosts of the configuration
	FieldID          = "id"          // ID of the request that the line is about
	FieldIdle        = "idle"        // whether a target accepts no work
	FieldInFlight    = "inflight"    // requests in progress at the target
	FieldInstance    = "instance"    // instance that wrote the line
	FieldKey         = "key"         // key of a request, or of a row
	FieldKind        = "kind"        // kind of a request
	FieldLate        = "late"        // delay by which a timer of the process fired late
	FieldLatency     = "latency"     // mean latency of the target
	FieldLease       = "lease"       // remaining time of the lease
	FieldLeft        = "left"        // remaining wait time of the request
	FieldLimit       = "limit"       // maximum number of requests in progress at the target
	FieldLeaving     = "leaving"     // whether the target states that it is about to stop
	FieldLimited     = "limited"     // whether the target states a rate limit
	FieldLinesHidden = "lineshidden" // lines about requests that were not logged since the last summary
	FieldLost        = "lost"        // number of slots that are no longer owned
	FieldMember      = "member"      // instance of another daemon
	FieldMembers     = "members"     // number of known daemons
	FieldMemory      = "memory"      // memory that is charged to clients, in bytes
	FieldNumber      = "number"      // number of a configuration
	FieldOut         = "out"         // whether a domain is out of service
	FieldOutcome     = "outcome"     // answered, not-run or unknown
	FieldOwned       = "owned"       // number of owned slots
	FieldPath        = "path"        // path in the request
	FieldPeer        = "peer"        // address of another daemon
	FieldPID         = "pid"         // process ID
	FieldQueued      = "queued"      // how long a request waited for admission
	FieldRate        = "rate"        // rate limit that the target states, in requests per second
	FieldReason      = "reason"      // reason, as one of the words listed in docs/OPERATIONS.md
	FieldRefused     = "refused"     // requests refused since the last summary
	FieldRetry       = "retry"       // delay after which the answer asks the caller to retry
	FieldRunning     = "running"     // requests in progress at this daemon
	FieldSequence    = "sequence"    // sequence number of a heartbeat
	FieldSent        = "sent"        // requests admitted to the target since the last summary
	FieldService     = "service"     // service of a request or daemon
	FieldSettings    = "settings"    // name of the settings file
	FieldSlot        = "slot"        // number of a slot
	FieldSlots       = "slots"       // capacity in concurrent requests that the target reports, or number of slots concerned
	FieldStack       = "stack"       // stack of the goroutine that panicked
	FieldStatus      = "status"      // status of the target's response or of the refusal; 0 if the outcome determines it
	FieldStoreAge    = "storeage"    // time since the store's last answer
	FieldSubject     = "subject"     // instance that a change concerns
	FieldTarget      = "target"      // name of the target process
	FieldTargetAge   = "targetage"   // time since the target's last heartbeat
	FieldTeam        = "team"        // name of a team
	FieldTimeline    = "timeline"    // number of times that the store was restored from a copy
	FieldTo          = "to"          // instance that an attempt was sent to, or new owner of the keys
	FieldTook        = "took"        // duration of the request or operation
	FieldUnknown     = "unknown"     // requests of unknown outcome since the last summary
	FieldUntil       = "until"       // when a request that is shut out may run again
	FieldVersion     = "version"     // version of a row
	FieldWait        = "wait"        // maximum time that the caller waits for an answer
	FieldWaiting     = "waiting"     // requests that wait for admission
	FieldWhat        = "what"        // kind of change, as in the audit trail
	FieldWho         = "who"         // instance that made a change
	FieldWhy         = "why"         // reason of a change
)
