package targethttp

import "github.com/pkg/errors"

const (
	// ReasonAbsent means that no target has announced itself.
	ReasonAbsent = "absent"
	// ReasonInvalid means that the request can't be expressed in HTTP.
	ReasonInvalid = "invalid"
	// ReasonConnect means that no connection could be made, or that no byte could be
	// written to it.
	ReasonConnect = "connect"
	// ReasonLease means that the check before the first byte failed, usually because the
	// lease has ended.
	ReasonLease = "lease"
	// ReasonFence means that the target rejected the fence.
	ReasonFence = "fence"
	// ReasonShed means that the target answered that it sheds load.
	ReasonShed = "shed"
	// ReasonLost means that the connection broke before the answer began.
	ReasonLost = "lost"
	// ReasonHead means that the head of the answer is malformed, so that nothing of it counts.
	ReasonHead = "head"
	// ReasonCut means that the answer ended early or declared no length.
	ReasonCut = "cut"
	// ReasonCrossed means that the answer belongs to another request.
	ReasonCrossed = "crossed"
	// ReasonDoubtful means that the answer lacks the proof that it comes from the target.
	ReasonDoubtful = "doubtful"
	// ReasonSize means that the answer exceeds the size limit.
	ReasonSize = "size"
	// ReasonTimeout means that the deadline of the request passed.
	ReasonTimeout = "timeout"
	// ReasonCancel means that the request was cancelled.
	ReasonCancel = "cancel"
)

var (
	// ErrNotRun is wrapped by the error of Do if the request did not run.
	ErrNotRun = errors.New("request did not run")
	// ErrUnknown is wrapped by the error of Do if the request may have run.
	ErrUnknown = errors.New("request may have run")
)
