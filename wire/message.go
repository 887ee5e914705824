package wire

import (
	"fmt"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// Outcomes that an error names towards the caller.
const (
	// OutcomeNotRun says that no engine and no service was handed the request.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown says that the request may have run and will not be run again.
	OutcomeUnknown Outcome = "outcomeUnknown"
	// OutcomeFailed says that the request was handed over and ended without an answer.
	OutcomeFailed Outcome = "failed"
)

// Codes that an error carries towards the caller.
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
	// Outcome says what became of a request that has no answer.
	Outcome string

	// Code names the cause of a refusal or failure.
	Code string

	// Refusal is the reason why a request has no answer, as it travels between routers and to the caller.
	Refusal struct {
		Status     int
		Code       Code
		Message    string
		Outcome    Outcome
		RetryAfter time.Duration
		// OverflowEngine names the engine that holds the chat's prefix since an earlier refusal, if any.
		OverflowEngine ident.Engine
		// Crashed names the engines that the request crashed, where that is the reason.
		Crashed []ident.Engine
		// Load is the refusing home's own load, so that the next home decides on fresh sums.
		Load []RouterLoad
	}

	// RouterLoad is the load of one model at one router.
	RouterLoad struct {
		Router ident.Router
		Load   ModelLoad
	}

	// Hello opens a connection between two routers.
	Hello struct {
		Router      ident.Router
		Incarnation ident.Incarnation
	}

	// Submit hands a request to the home router of an engine, or asks to resume one.
	Submit struct {
		Request      ident.Request
		Organisation ident.Organisation
		Class        ident.Class
		Chat         ident.Chat
		Model        ident.Model
		Engine       ident.Engine
		Stream       bool
		Body         []byte
		// FirstOffset is the offset of the first event that is wanted.
		FirstOffset int
		// ReceivedText is the text that the caller already has, for continuing on another engine.
		ReceivedText string
		// OverflowTried says that the engine which the chat spilled to was asked already.
		OverflowTried bool
		// MustQueue asks the home to queue the request where it would redirect it.
		MustQueue bool
		// Crashed names the engines that the request is known to have crashed.
		Crashed []ident.Engine
		// Loads are the loads of the homes that refused before.
		Loads []RouterLoad
		// Waited is the time in which the request has been held by other routers.
		Waited time.Duration
	}

	// Events carries consecutive events of a stream.
	Events struct {
		FirstOffset int
		Items       [][]byte
	}

	// End closes a stream, with a refusal where there is no whole answer.
	End struct {
		Status  int
		Total   int
		Refusal *Refusal
		// Loads are the home's own loads, so that entries and homes decide on fresh sums.
		Loads []RouterLoad
	}

	// Ack tells how many events the receiver has passed on.
	Ack struct {
		Delivered int
	}

	// Cancel ends reading a stream, and stops its run where Stop is set.
	Cancel struct {
		StopRun bool
	}

	// ServiceCall hands an unrepeatable call to the home router of its key.
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

	// ServiceAnswer is the answer to a service call, or its refusal.
	ServiceAnswer struct {
		Status      int
		ContentType string
		Body        []byte
		Refusal     *Refusal
	}

	// ShareRequest asks an organisation's home router for a share of its limits.
	ShareRequest struct {
		Router       ident.Router
		Organisation ident.Organisation
		Requests     float64
		Tokens       float64
		Running      int
	}

	// ShareGrant lends a share of an organisation's limits until it expires.
	ShareGrant struct {
		Requests    float64
		Tokens      float64
		Concurrency int
		Valid       time.Duration
	}

	// Member is what one router says of another.
	Member struct {
		Router      ident.Router
		Incarnation ident.Incarnation
		State       uint8
	}

	// ModelLoad is one router's own load of one model.
	ModelLoad struct {
		Model   ident.Model
		Running int
		// Waiting counts what waits for a slot, without what could run on another engine.
		Waiting int
		Engines int
		// TokenGapMicros is the median time between tokens on the router's engines.
		TokenGapMicros int64
	}

	// Entry is one entry of the two lists with its revision; an entry without a value was deleted.
	Entry struct {
		Key      string
		Value    []byte
		Revision ident.Revision
	}

	// Digest summarises the configuration of a router for comparison.
	Digest struct {
		Highest  ident.Revision
		Checksum uint64
	}

	// EngineState tells that an engine is leaving.
	EngineState struct {
		Engine  ident.Engine
		Leaving bool
		Age     time.Duration
	}

	// Suspect counts the engines that crashed while they ran a request's body.
	Suspect struct {
		Fingerprint uint64
		Engines     []ident.Engine
	}

	// Gossip is a heartbeat with what is worth repeating.
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

	// ProbeRequest asks a router to reach another on the sender's behalf.
	ProbeRequest struct {
		Target ident.Router
	}

	// ProbeReply tells whether the target was reached.
	ProbeReply struct {
		Reached bool
	}

	// EntriesRequest asks for the entries of some buckets that are newer than the asker's.
	EntriesRequest struct {
		Buckets   []uint8
		Checksums []uint64
		// Known holds the revision of each entry that the asker has in those buckets.
		Known []Entry
	}

	// EntriesReply carries the newer entries, and the sums of all buckets where those were asked for.
	EntriesReply struct {
		Ready     bool
		Checksums []uint64
		Entries   []Entry
	}

	// PublishRequest hands committed entries to a router that must keep them.
	PublishRequest struct {
		Entries []Entry
	}

	// OverflowNotice tells the home of an engine where a chat went that it refused.
	OverflowNotice struct {
		From ident.Engine
		To   ident.Engine
		Chat ident.Chat
	}

	// StatusReply is what one router knows of itself.
	StatusReply struct {
		Router   ident.Router
		Ready    bool
		Leaving  bool
		Revision ident.Revision
		Sum      uint64
		Engines  []EngineStatus
	}

	// EngineStatus is what the home of an engine knows of it.
	EngineStatus struct {
		Engine  ident.Engine
		Home    ident.Router
		Running int
		Queued  int
		Weight  float64
		Leaving bool
	}

	// Call is a request between routers with one reply; exactly one field is set.
	Call struct {
		Service  *ServiceCall
		Share    *ShareRequest
		Probe    *ProbeRequest
		Entries  *EntriesRequest
		Publish  *PublishRequest
		Overflow *OverflowNotice
		Status   bool
	}

	// Reply answers a call; exactly one field is set.
	Reply struct {
		Service *ServiceAnswer
		Share   *ShareGrant
		Probe   *ProbeReply
		Entries *EntriesReply
		Status  *StatusReply
		Refusal *Refusal
	}
)

// Error names the code and message of the refusal.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

// Refuse returns a refusal that nothing was handed over for.
func Refuse(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun}
}
