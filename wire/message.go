package wire

import (
	"fmt"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// Outcomes of requests without an answer, as reported to the caller.
const (
	// OutcomeNotRun means that the request was not sent to any engine or service.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run and will not be run again.
	OutcomeUnknown Outcome = "outcomeUnknown"
	// OutcomeFailed means that the request was sent and ended without an answer.
	OutcomeFailed Outcome = "failed"
)

// Codes of errors, as reported to the caller.
const (
	CodeBadRequest      Code = "invalid_request"
	CodeTooLarge        Code = "request_too_large"
	CodeUnauthorised    Code = "invalid_api_key"
	CodeForbidden       Code = "not_allowed"
	CodeUnknownModel    Code = "model_not_found"
	CodeUnknownService  Code = "service_not_found"
	CodeLimit           Code = "rate_limit_exceeded"
	CodeOverloaded      Code = "overloaded"
	CodeNoEngine        Code = "no_engine"
	CodeSuspect         Code = "suspect_request"
	CodeKeyMissing      Code = "idempotency_key_missing"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeKeyExpired      Code = "idempotency_key_expired"
	CodeStore           Code = "store_unavailable"
	CodeUnknown         Code = "outcome_unknown"
	CodeEngine          Code = "engine_failed"
	CodeNotHome         Code = "not_home"
	CodeOverBound       Code = "over_bound"
	CodeLeaving         Code = "leaving"
	CodePeerUnreachable Code = "peer_unreachable"
	CodeNotReady        Code = "not_ready"
)

type (
	// Outcome says whether a request without an answer has run.
	Outcome string

	// Code identifies the cause of a refusal or failure.
	Code string

	// Refusal is the reason why a request has no answer. It is sent between routers and to the caller.
	Refusal struct {
		Status     int
		Code       Code
		Message    string
		Outcome    Outcome
		RetryAfter time.Duration
		// OverflowEngine is the engine that answered the chat earlier in place of the refusing engine, and so holds its prefix. It is
		// empty if there is none.
		OverflowEngine ident.Engine
		// Crashed lists the engines that the request crashed, if that is the reason.
		Crashed []ident.Engine
		// Loads holds the loads that the request carried and the load of the refusing home router, so that the next home router
		// decides on fresh loads.
		Loads []RouterLoad
	}

	// RouterLoad is the load of one model at one router.
	RouterLoad struct {
		Router ident.Router
		Load   ModelLoad
	}

	// Hello is the first message on a connection and identifies the router that dialled.
	Hello struct {
		Router      ident.Router
		Incarnation ident.Incarnation
	}

	// Submit sends a request to the home router of an engine, or resumes the stream of an earlier one.
	Submit struct {
		Request      ident.Request
		Organisation ident.Organisation
		Class        ident.Class
		Chat         ident.Chat
		Model        ident.Model
		Engine       ident.Engine
		Stream       bool
		Body         []byte
		// FirstOffset is the offset of the first event to return.
		FirstOffset int
		// ReceivedText is the text that the caller has already received, from which another engine can continue.
		ReceivedText string
		// OverflowTried keeps the home router from redirecting the request to the engine to which the chat overflowed. It is set
		// once an engine has refused the request as over its bound, and on the second copy of a hedged request.
		OverflowTried bool
		// MustQueue makes the home router queue the request if it would otherwise redirect it.
		MustQueue bool
		// Crashed lists the engines that the request is known to have crashed.
		Crashed []ident.Engine
		// Loads holds the loads of the home routers that refused the request before, and of the sending router.
		Loads []RouterLoad
		// Waited is the time that the request has already waited at the sending router and at other home routers. It is 0 if the
		// caller has received a part of the answer.
		Waited time.Duration
	}

	// Events carries consecutive events of a stream, the first of which has the offset FirstOffset.
	Events struct {
		FirstOffset int
		Items       [][]byte
	}

	// End closes a stream. Total is the offset after the last event. Refusal is set if the answer is incomplete.
	End struct {
		Status  int
		Total   int
		Refusal *Refusal
		// Loads holds the loads of the home router, so that other routers decide on fresh loads.
		Loads []RouterLoad
	}

	// Ack reports how many events the receiver has delivered.
	Ack struct {
		Delivered int
	}

	// Cancel says that the receiver stops reading the stream. With StopRun the engine's run is stopped too.
	Cancel struct {
		StopRun bool
	}

	// ServiceCall is a call to a plain service. A non-idempotent call is sent to the home router of its idempotency key, Key.
	ServiceCall struct {
		Request      ident.Request
		Organisation ident.Organisation
		Service      ident.Service
		Method       string
		Path         string
		ContentType  string
		Key          string
		Body         []byte
	}

	// ServiceAnswer is the answer to a service call. Refusal is set if there is none.
	ServiceAnswer struct {
		Status      int
		ContentType string
		Body        []byte
		Refusal     *Refusal
	}

	// ShareRequest asks an organisation's home router for a share of the organisation's limits. It states the demand at the requesting
	// router: requests and tokens per second, and running requests including those refused since the last ShareRequest.
	ShareRequest struct {
		Router       ident.Router
		Organisation ident.Organisation
		Requests     float64
		Tokens       float64
		Running      int
	}

	// ShareGrant grants a share of an organisation's limits for the duration Valid: requests and tokens per second, and concurrent
	// requests.
	ShareGrant struct {
		Requests    float64
		Tokens      float64
		Concurrency int
		Valid       time.Duration
	}

	// Member is what one router reports of another: its incarnation and its state, which is a constant of
	// package fleet.
	Member struct {
		Router      ident.Router
		Incarnation ident.Incarnation
		State       uint8
	}

	// ModelLoad is the load of one model on the engines of one home router.
	ModelLoad struct {
		Model   ident.Model
		Running int
		// Waiting counts the requests that wait for a slot, except those that could run on another engine.
		Waiting int
		Engines int
		// TokenGapMicros is the median time between tokens on the router's engines, in microseconds.
		TokenGapMicros int64
		// Incarnation is that of the router, or 0 from a router of a version without the fields that follow.
		Incarnation ident.Incarnation
		// SentMicros is when the load was sent, in microseconds since the start of the router.
		SentMicros int64
		// Lowest holds the lowest numbers of running requests in consecutive intervals of 25 ms, the latest first. LowestAgeMicros is the
		// time since the end of the latest, in microseconds.
		Lowest          []int
		LowestAgeMicros int64
	}

	// Entry is one entry of the lists of plans and allowances, with its revision. An entry without a value was deleted.
	Entry struct {
		Key      string
		Value    []byte
		Revision ident.Revision
	}

	// Digest summarises a router's configuration by its highest revision and a checksum of its entries, so that routers can detect
	// differences.
	Digest struct {
		Highest  ident.Revision
		Checksum uint64
	}

	// EngineState reports whether an engine is leaving. Age is the time since this was observed.
	EngineState struct {
		Engine  ident.Engine
		Leaving bool
		Age     time.Duration
	}

	// Suspect lists the engines that crashed while they ran a request. The fingerprint identifies the request by its organisation and
	// body.
	Suspect struct {
		Fingerprint uint64
		Engines     []ident.Engine
	}

	// Gossip is a heartbeat between routers with the updates to spread further.
	Gossip struct {
		From         ident.Router
		Incarnation  ident.Incarnation
		Leaving      bool
		Members      []Member
		Loads        []ModelLoad
		Digest       Digest
		Entries      []Entry
		EngineStates []EngineState
		Suspects     []Suspect
	}

	// ProbeRequest asks a router to probe another router on the sender's behalf.
	ProbeRequest struct {
		Target ident.Router
	}

	// ProbeReply reports whether the target was reached.
	ProbeReply struct {
		Reached bool
	}

	// EntriesRequest asks for the entries in Buckets that are newer than those of the requester, or for the checksums of all buckets
	// if Buckets is empty.
	EntriesRequest struct {
		Buckets []uint8
		// Checksums is not used. It keeps its place in the wire format.
		Checksums []uint64
		// Known holds the keys and revisions of the requester's entries in those buckets.
		Known []Entry
	}

	// EntriesReply carries either the newer entries or the checksums of all buckets, as requested. Ready reports whether the router
	// has read the configuration.
	EntriesReply struct {
		Ready bool
		// Checksums holds one checksum of keys and revisions per bucket, in the order of the buckets.
		Checksums []uint64
		Entries   []Entry
	}

	// PublishRequest sends committed entries to a router, which must apply them before it replies.
	PublishRequest struct {
		Entries []Entry
	}

	// OverflowNotice informs the home router of the engine From, the first choice for a chat, that the engine To has answered the chat
	// instead and so holds its prefix.
	OverflowNotice struct {
		From ident.Engine
		To   ident.Engine
		Chat ident.Chat
	}

	// StatusReply is a router's own status. Revision and Sum are the highest revision and the checksum of its configuration.
	// GET /admin/status writes it and EngineStatus as JSON under their field names.
	StatusReply struct {
		Router   ident.Router
		Ready    bool
		Leaving  bool
		Revision ident.Revision
		Sum      uint64
		Engines  []EngineStatus
	}

	// EngineStatus is the status of an engine as its home router sees it.
	EngineStatus struct {
		Engine  ident.Engine
		Home    ident.Router
		Running int
		Queued  int
		Weight  float64
		Leaving bool
	}

	// Call is a request between routers that gets one reply. Exactly one field is set.
	Call struct {
		Service  *ServiceCall
		Share    *ShareRequest
		Probe    *ProbeRequest
		Entries  *EntriesRequest
		Publish  *PublishRequest
		Overflow *OverflowNotice
		Status   bool
	}

	// Reply is the reply to a Call. At most one field is set: the replies to Publish and Overflow are empty.
	Reply struct {
		Service *ServiceAnswer
		Share   *ShareGrant
		Probe   *ProbeReply
		Entries *EntriesReply
		Status  *StatusReply
		Refusal *Refusal
	}
)

// Error returns the code and the message of the refusal.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

// Refuse returns a Refusal with OutcomeNotRun and the formatted message.
func Refuse(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun}
}
