// Package msg defines the messages between entries and agents and among entries. They
// are encoded as CBOR.
package msg

import (
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/timeline"
)

// Order is a message from an entry to an agent or another entry. Exactly one of its
// pointer fields but Stamp is set.
type Order struct {
	// ID correlates replies with the order within a connection.
	ID       uint64        `cbor:"1,keyasint"`
	Dispatch *Dispatch     `cbor:"2,keyasint,omitempty"`
	Attach   *Attach       `cbor:"3,keyasint,omitempty"`
	Withdraw *Withdraw     `cbor:"4,keyasint,omitempty"`
	Ticket   *TicketOrder  `cbor:"5,keyasint,omitempty"`
	Inquire  *Inquire      `cbor:"6,keyasint,omitempty"`
	Reports  *ReportsOrder `cbor:"7,keyasint,omitempty"`
	Probe    *Probe        `cbor:"8,keyasint,omitempty"`
	// Drain sets or clears the agent's drain state.
	Drain *DrainOrder `cbor:"9,keyasint,omitempty"`
	// Peer is sent between entries.
	Peer *Peer `cbor:"10,keyasint,omitempty"`
	// Events queries the timeline.
	Events *EventsOrder `cbor:"11,keyasint,omitempty"`
	// Stamp is the time of the sender's hybrid logical clock, nil in probes.
	Stamp *timeline.Stamp `cbor:"12,keyasint,omitempty"`
	// Group is forwarded to the ranks on the agent's host.
	Group *Group `cbor:"16,keyasint,omitempty"`
}

// Reply is a message from the listening side of a connection. Exactly one of its
// pointer fields but Stamp is set.
type Reply struct {
	// ID is the ID of the order.
	ID     uint64         `cbor:"1,keyasint"`
	Frame  *Frame         `cbor:"2,keyasint,omitempty"`
	Status *AttemptStatus `cbor:"3,keyasint,omitempty"`
	Ticket *Ticket        `cbor:"4,keyasint,omitempty"`
	Report *Report        `cbor:"5,keyasint,omitempty"`
	Probe  *Probe         `cbor:"6,keyasint,omitempty"`
	Peer   *Peer          `cbor:"7,keyasint,omitempty"`
	Events *Events        `cbor:"8,keyasint,omitempty"`
	// Group is sent to each session that sent an order with Group, with the ID of the
	// first one.
	Group *Group `cbor:"16,keyasint,omitempty"`
	// Stamp is the time of the sender's hybrid logical clock; see CarriesStamp.
	Stamp *timeline.Stamp `cbor:"9,keyasint,omitempty"`
}

// CarriesStamp reports whether the reply is sent with a stamp. Frequent ones are not: body
// frames, reports, group statuses and probes.
func (r *Reply) CarriesStamp() bool {
	if r.Frame != nil {
		return r.Frame.End != nil || r.Frame.Refused != nil || r.Frame.Head != nil
	}
	return r.Report == nil && r.Probe == nil && r.Group == nil
}

// Group carries an encoded groupmsg.Order to an agent, or a groupmsg.Status from it.
type Group struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
}

// Peer carries an encoded message between the fleet packages of two entries.
type Peer struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
	// Error is set in the reply to an order that failed.
	Error string `cbor:"2,keyasint,omitempty"`
}

// DrainOrder sets the drain state of an agent.
type DrainOrder struct {
	Drain bool `cbor:"1,keyasint"`
	// Version is the version of the endpoints configuration. Only greater ones have an effect.
	Version uint64 `cbor:"2,keyasint"`
}

// EventsOrder queries events of the receiving process.
type EventsOrder struct {
	// Since is the earliest wall time in nanoseconds since the Unix epoch.
	Since    int64       `cbor:"1,keyasint"`
	Request  id.Request  `cbor:"2,keyasint,omitempty"`
	Endpoint id.Endpoint `cbor:"3,keyasint,omitempty"`
	Kind     string      `cbor:"4,keyasint,omitempty"`
	Limit    int         `cbor:"5,keyasint,omitempty"`
}

// Events is the reply to EventsOrder.
type Events struct {
	Process string           `cbor:"1,keyasint"`
	Events  []timeline.Event `cbor:"2,keyasint"`
}

// Class classifies requests by predicted work.
type Class uint8

const (
	// ClassShort is work below the agent's threshold for long work.
	ClassShort Class = iota
	// ClassLong is work that may run many times longer than the rest.
	ClassLong
)

// Dispatch requests that an agent run one attempt of a request.
type Dispatch struct {
	Request     id.Request     `cbor:"1,keyasint"`
	Attempt     id.Attempt     `cbor:"2,keyasint"`
	Incarnation id.Incarnation `cbor:"3,keyasint"`
	Endpoint    id.Endpoint    `cbor:"4,keyasint"`
	Team        id.Team        `cbor:"5,keyasint"`
	Service     id.Service     `cbor:"6,keyasint"`
	// Action and Ticket are set for non-idempotent actions.
	Action id.Action `cbor:"7,keyasint,omitempty"`
	Ticket string    `cbor:"8,keyasint,omitempty"`
	// PayloadHash is the xxhash64 of method, path and body; equal actions must have equal payloads.
	PayloadHash uint64 `cbor:"9,keyasint,omitempty"`
	// QueueTimeoutMicros bounds the time from the arrival of the attempt at the agent to
	// its start.
	QueueTimeoutMicros int64 `cbor:"10,keyasint"`
	// RunTimeoutMicros is the time after which a started attempt is cancelled. Zero means none.
	RunTimeoutMicros int64        `cbor:"11,keyasint,omitempty"`
	Class            Class        `cbor:"12,keyasint,omitempty"`
	Work             uint32       `cbor:"13,keyasint,omitempty"` // predicted tokens of prompt and response
	Chat             *Chat        `cbor:"14,keyasint,omitempty"`
	Plain            *HTTPRequest `cbor:"15,keyasint,omitempty"`
}

// Chat is the payload for a model engine.
type Chat struct {
	Model     string `cbor:"1,keyasint"`
	Prompt    string `cbor:"2,keyasint"`
	MaxTokens int    `cbor:"3,keyasint"`
}

// HTTPRequest is the payload for a plain HTTP service.
type HTTPRequest struct {
	Method string   `cbor:"1,keyasint"`
	Path   string   `cbor:"2,keyasint"`
	Header []Header `cbor:"3,keyasint,omitempty"`
	Body   []byte   `cbor:"4,keyasint,omitempty"`
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Frame is one part of the response of an attempt, numbered by Seq from zero.
type Frame struct {
	Attempt id.Attempt    `cbor:"1,keyasint"`
	Seq     uint32        `cbor:"2,keyasint"`
	Data    []byte        `cbor:"3,keyasint,omitempty"` // text of tokens, or body bytes
	Tokens  uint32        `cbor:"4,keyasint,omitempty"`
	Head    *ResponseHead `cbor:"5,keyasint,omitempty"`
	End     *End          `cbor:"6,keyasint,omitempty"`
	// Refused is set in the only frame of an attempt that was refused.
	Refused *Refusal `cbor:"7,keyasint,omitempty"`
}

// ResponseHead is the status and header of the response of a plain service.
type ResponseHead struct {
	Status int      `cbor:"1,keyasint"`
	Header []Header `cbor:"2,keyasint,omitempty"`
}

// End is the end of a response.
type End struct {
	// Count is the number of frames before this one.
	Count uint32 `cbor:"1,keyasint"`
	// Checksum is the xxhash64 of all Data in order.
	Checksum uint64          `cbor:"2,keyasint"`
	Outcome  outcome.Outcome `cbor:"3,keyasint"`
	// Error is empty if the response is complete.
	Error        string `cbor:"4,keyasint,omitempty"`
	FinishReason string `cbor:"5,keyasint,omitempty"`
	PromptTokens uint32 `cbor:"6,keyasint,omitempty"`
	AnswerTokens uint32 `cbor:"7,keyasint,omitempty"`
	CachedTokens uint32 `cbor:"8,keyasint,omitempty"`
}

// Code is the machine-readable reason of a refusal.
type Code string

const (
	// CodeIncarnation refuses a dispatch for another incarnation.
	CodeIncarnation Code = "wrong-incarnation"
	// CodeDraining refuses new work at a draining agent.
	CodeDraining Code = "draining"
	// CodeQueueFull refuses work beyond the capacity of the queue.
	CodeQueueFull Code = "queue-full"
	// CodeDeadline refuses work that did not start in time.
	CodeDeadline Code = "deadline"
	// CodeWithdrawn refuses an attempt that was withdrawn before its start.
	CodeWithdrawn Code = "withdrawn"
	// CodePayload refuses an action that was used with another payload.
	CodePayload Code = "payload-mismatch"
	// CodeTicket refuses a ticket that is forged or bound to another team.
	CodeTicket Code = "ticket-invalid"
	// CodeTicketExpired refuses an expired ticket. Its action may have run before.
	CodeTicketExpired Code = "ticket-expired"
	// CodeUnknownAttempt refuses to attach to an attempt that the agent does not know.
	CodeUnknownAttempt Code = "unknown-attempt"
	// CodeLedgerFull refuses an action for which the ledger has no space.
	CodeLedgerFull Code = "ledger-full"
	// CodeBackend refuses an attempt because the engine or plain service is unreachable.
	CodeBackend Code = "backend-unreachable"
	// CodeBadRequest refuses a malformed message.
	CodeBadRequest Code = "bad-request"
)

// Refusal states why an attempt was not started. Its outcome is always "not-run".
type Refusal struct {
	Code   Code   `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
	// RetryAfterMicros is zero if unknown.
	RetryAfterMicros int64 `cbor:"3,keyasint,omitempty"`
}

// Attach requests the frames of an attempt from a sequence number on. An agent of the
// named incarnation that does not know the attempt tombstones it and replies with a
// Refusal, so that a dispatch that arrives later is refused.
type Attach struct {
	Attempt     id.Attempt     `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	From        uint32         `cbor:"3,keyasint"`
	// Team, Action and PayloadHash are set for actions. If only the action is known, with
	// this payload, the frames of its attempt are sent.
	Team        id.Team   `cbor:"4,keyasint,omitempty"`
	Action      id.Action `cbor:"5,keyasint,omitempty"`
	PayloadHash uint64    `cbor:"6,keyasint,omitempty"`
}

// Withdraw cancels an attempt: it is tombstoned before its start, and afterwards
// cancelled at the engine unless it has an action.
type Withdraw struct {
	Attempt     id.Attempt     `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	// Team and Action are set for actions. An action of another attempt is not cancelled.
	Team   id.Team   `cbor:"3,keyasint,omitempty"`
	Action id.Action `cbor:"4,keyasint,omitempty"`
}

// Inquire queries the status of an action.
type Inquire struct {
	Action      id.Action      `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	Team        id.Team        `cbor:"3,keyasint"`
}

// State is the state of an attempt in an agent's ledger.
type State string

const (
	// StateUnknown means that the agent does not know the attempt or action.
	StateUnknown State = "unknown"
	// StateQueued means that the attempt waits for its start.
	StateQueued State = "queued"
	// StateStarted means that the attempt was sent to the back end.
	StateStarted State = "started"
	// StateDone means that the response is complete or failed.
	StateDone State = "done"
	// StateTombstoned means that the attempt was not started and will never be.
	StateTombstoned State = "tombstoned"
)

// AttemptStatus is the reply to Withdraw and Inquire.
type AttemptStatus struct {
	Incarnation id.Incarnation `cbor:"1,keyasint"`
	State       State          `cbor:"2,keyasint"`
	// Outcome is the outcome of the action over all its attempts, or of the attempt if the
	// order has no action.
	Outcome outcome.Outcome `cbor:"3,keyasint"`
	Attempt id.Attempt      `cbor:"4,keyasint,omitempty"`
}

// TicketOrder requests a ticket for one action of a team.
type TicketOrder struct {
	Team    id.Team    `cbor:"1,keyasint"`
	Service id.Service `cbor:"2,keyasint"`
}

// Ticket is the reply to TicketOrder.
type Ticket struct {
	Ticket string `cbor:"1,keyasint"`
	// ExpiresUnixMS is the expiry time in milliseconds since the Unix epoch.
	ExpiresUnixMS int64    `cbor:"2,keyasint"`
	Refused       *Refusal `cbor:"3,keyasint,omitempty"`
}

// ReportsOrder subscribes to load reports.
type ReportsOrder struct {
	// IntervalMicros is the interval between reports.
	IntervalMicros int64 `cbor:"1,keyasint"`
}

// Report is the load of one endpoint. It is sent at an interval and when Draining changes.
type Report struct {
	// Endpoint and Incarnation are set only in the first report of a subscription.
	Endpoint    id.Endpoint    `cbor:"1,keyasint,omitempty"`
	Incarnation id.Incarnation `cbor:"2,keyasint,omitempty"`
	// Seq counts the reports of an incarnation.
	Seq      uint64 `cbor:"3,keyasint"`
	Draining bool   `cbor:"4,keyasint,omitempty"`
	// Healthy is false while the back end does not respond.
	Healthy bool `cbor:"5,keyasint"`
	// Queued and Running count attempts; QueuedTokens and RunningTokens are predictions.
	Queued        uint32 `cbor:"6,keyasint,omitempty"`
	Running       uint32 `cbor:"7,keyasint,omitempty"`
	QueuedTokens  uint64 `cbor:"8,keyasint,omitempty"`
	RunningTokens uint64 `cbor:"9,keyasint,omitempty"`
	// Slots is the maximum number of concurrent attempts.
	Slots uint32 `cbor:"10,keyasint,omitempty"`
	// StepTimeMicros is the recent step time of the engine.
	StepTimeMicros int64 `cbor:"11,keyasint,omitempty"`
	// EngineLagMicros is the age of the engine's own load report.
	EngineLagMicros int64 `cbor:"12,keyasint,omitempty"`
	// CacheEvents are prefix cache events since the last report, in order.
	CacheEvents []CacheEvent `cbor:"13,keyasint,omitempty"`
}

// CacheEvent reports that an engine stored or evicted a block of its prefix cache.
type CacheEvent struct {
	// Seq counts the engine's events; a gap means that events were lost.
	Seq uint64 `cbor:"1,keyasint"`
	// Block is the hash of the prefix up to and including the block.
	Block uint64 `cbor:"2,keyasint"`
	// Evicted is true if the block was evicted, Cleared if the whole cache was.
	Evicted bool `cbor:"3,keyasint,omitempty"`
	Cleared bool `cbor:"4,keyasint,omitempty"`
}

// Probe checks the liveness of a connection. The reply carries the incarnation.
type Probe struct {
	Incarnation id.Incarnation `cbor:"1,keyasint"`
}
