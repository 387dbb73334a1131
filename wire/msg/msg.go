// Package msg defines the typed messages between entries, agents and peers.
// They are encoded as CBOR. Durations are in microseconds unless a name says otherwise.
package msg

import (
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/timeline"
)

// Order is a message from an entry to an agent or to another entry. Exactly one
// of the pointer fields is set.
type Order struct {
	// ID correlates replies with the order. It is unique within a connection.
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
	// Peer belongs to package fleet.
	Peer *Peer `cbor:"10,keyasint,omitempty"`
	// Events asks for events of the time line.
	Events *EventsOrder `cbor:"11,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock. It is not set in probes.
	Stamp *timeline.Stamp `cbor:"12,keyasint,omitempty"`
	// Group is for the ranks on the agent's host.
	Group *Group `cbor:"16,keyasint,omitempty"`
}

// Reply is a message from the listening side of a connection. Exactly one of the
// pointer fields is set.
type Reply struct {
	// ID is that of the order.
	ID     uint64         `cbor:"1,keyasint"`
	Frame  *Frame         `cbor:"2,keyasint,omitempty"`
	Status *AttemptStatus `cbor:"3,keyasint,omitempty"`
	Ticket *Ticket        `cbor:"4,keyasint,omitempty"`
	Report *Report        `cbor:"5,keyasint,omitempty"`
	Probe  *Probe         `cbor:"6,keyasint,omitempty"`
	Peer   *Peer          `cbor:"7,keyasint,omitempty"`
	Events *Events        `cbor:"8,keyasint,omitempty"`
	// Group is sent to each session that sent an order with Group, under the ID
	// of the first one.
	Group *Group `cbor:"16,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock; see Causal.
	Stamp *timeline.Stamp `cbor:"9,keyasint,omitempty"`
}

// CarriesStamp reports whether the reply carries a stamp. Frames in the middle of an
// answer, reports, states of groups and probes do not, since there are many of them.
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

// Peer carries an encoded message of package fleet.
type Peer struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
	// Error is set in replies to orders that failed.
	Error string `cbor:"2,keyasint,omitempty"`
}

// DrainOrder tells an agent its configured drain state.
type DrainOrder struct {
	Drain bool `cbor:"1,keyasint"`
	// Version is that of the endpoints configuration. An agent obeys only greater versions.
	Version uint64 `cbor:"2,keyasint"`
}

// EventsOrder asks for events of the receiving process.
type EventsOrder struct {
	// Since is the oldest wall time in nanoseconds since the Unix epoch.
	Since    int64       `cbor:"1,keyasint"`
	Request  id.Request  `cbor:"2,keyasint,omitempty"`
	Endpoint id.Endpoint `cbor:"3,keyasint,omitempty"`
	Kind     string      `cbor:"4,keyasint,omitempty"`
	Limit    int         `cbor:"5,keyasint,omitempty"`
}

// Events answers EventsOrder.
type Events struct {
	Process string           `cbor:"1,keyasint"`
	Events  []timeline.Event `cbor:"2,keyasint"`
}

// Class is the predicted amount of work of a request.
type Class uint8

const (
	// ClassShort marks work below the agent's threshold for long work.
	ClassShort Class = iota
	// ClassLong marks work that may run many times longer than the rest.
	ClassLong
)

// Dispatch asks an agent to run one attempt of a request.
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
	// QueueTimeoutMicros is the time in microseconds that the attempt may wait for
	// its start, counted from its arrival at the agent.
	QueueTimeoutMicros int64 `cbor:"10,keyasint"`
	// RunTimeoutMicros is the time in microseconds after which a started attempt is cancelled. Zero means none.
	RunTimeoutMicros int64        `cbor:"11,keyasint,omitempty"`
	Class            Class        `cbor:"12,keyasint,omitempty"`
	Work             uint32       `cbor:"13,keyasint,omitempty"` // predicted tokens, prompt and answer
	Chat             *Chat        `cbor:"14,keyasint,omitempty"`
	Plain            *HTTPRequest `cbor:"15,keyasint,omitempty"`
}

// Chat is the payload for a model engine.
type Chat struct {
	Model     string `cbor:"1,keyasint"`
	Prompt    string `cbor:"2,keyasint"`
	MaxTokens int    `cbor:"3,keyasint"`
}

// HTTPRequest is the payload for a plain service: one HTTP request.
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

// Frame is one message of an attempt's answer, in order of Seq from zero.
type Frame struct {
	Attempt id.Attempt    `cbor:"1,keyasint"`
	Seq     uint32        `cbor:"2,keyasint"`
	Data    []byte        `cbor:"3,keyasint,omitempty"` // text of tokens, or body bytes
	Tokens  uint32        `cbor:"4,keyasint,omitempty"`
	Head    *ResponseHead `cbor:"5,keyasint,omitempty"`
	End     *End          `cbor:"6,keyasint,omitempty"`
	// Refused is set in the only frame of an attempt that was not started.
	Refused *Refusal `cbor:"7,keyasint,omitempty"`
}

// ResponseHead starts the answer of a plain service.
type ResponseHead struct {
	Status int      `cbor:"1,keyasint"`
	Header []Header `cbor:"2,keyasint,omitempty"`
}

// End closes an answer.
type End struct {
	// Count is the number of frames before this one.
	Count uint32 `cbor:"1,keyasint"`
	// Checksum is the xxhash64 of all data in order.
	Checksum uint64          `cbor:"2,keyasint"`
	Outcome  outcome.Outcome `cbor:"3,keyasint"`
	// Error is empty if the answer is complete.
	Error        string `cbor:"4,keyasint,omitempty"`
	FinishReason string `cbor:"5,keyasint,omitempty"`
	PromptTokens uint32 `cbor:"6,keyasint,omitempty"`
	AnswerTokens uint32 `cbor:"7,keyasint,omitempty"`
	CachedTokens uint32 `cbor:"8,keyasint,omitempty"`
}

// Code is a stable reason for a refusal.
type Code string

const (
	// CodeIncarnation refuses a dispatch for another incarnation.
	CodeIncarnation Code = "wrong-incarnation"
	// CodeDraining refuses new work of an agent that leaves.
	CodeDraining Code = "draining"
	// CodeQueueFull refuses work beyond the queue's bound.
	CodeQueueFull Code = "queue-full"
	// CodeDeadline refuses work that did not start in time.
	CodeDeadline Code = "deadline"
	// CodeWithdrawn refuses an attempt that was withdrawn before its start.
	CodeWithdrawn Code = "withdrawn"
	// CodePayload refuses another payload under a used action.
	CodePayload Code = "payload-mismatch"
	// CodeTicket refuses a ticket that is not genuine or is for another team.
	CodeTicket Code = "ticket-invalid"
	// CodeTicketExpired refuses a ticket that was valid once. Its action may have run before.
	CodeTicketExpired Code = "ticket-expired"
	// CodeUnknownAttempt answers an attach for an attempt that the agent never saw.
	CodeUnknownAttempt Code = "unknown-attempt"
	// CodeLedgerFull refuses an action that the ledger cannot remember.
	CodeLedgerFull Code = "ledger-full"
	// CodeBackend reports that the engine or plain service could not be reached before the start.
	CodeBackend Code = "backend-unreachable"
	// CodeBadRequest refuses a malformed message.
	CodeBadRequest Code = "bad-request"
)

// Refusal states why an attempt was not started. It always means "not run".
type Refusal struct {
	Code   Code   `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
	// RetryAfterMicros is in microseconds. Zero means unknown.
	RetryAfterMicros int64 `cbor:"3,keyasint,omitempty"`
}

// Attach asks for the frames of an attempt from a sequence number on. An agent
// of the named incarnation that does not know the attempt tombstones it and
// answers with a Refusal, so that a dispatch that arrives later is refused.
type Attach struct {
	Attempt     id.Attempt     `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	From        uint32         `cbor:"3,keyasint"`
	// Team, Action and PayloadHash are set for actions. If the attempt is unknown
	// but its action is known with this payload, the frames of the action's
	// attempt are sent.
	Team        id.Team   `cbor:"4,keyasint,omitempty"`
	Action      id.Action `cbor:"5,keyasint,omitempty"`
	PayloadHash uint64    `cbor:"6,keyasint,omitempty"`
}

// Withdraw cancels an attempt: before its start it is tombstoned, afterwards it
// is cancelled at the engine if the attempt has no action.
type Withdraw struct {
	Attempt     id.Attempt     `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	// Team and Action are set for actions. An action of another attempt is left alone.
	Team   id.Team   `cbor:"3,keyasint,omitempty"`
	Action id.Action `cbor:"4,keyasint,omitempty"`
}

// Inquire asks what is known of an action.
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
	// StateStarted means that the attempt was handed to the back end.
	StateStarted State = "started"
	// StateDone means that the answer is complete or failed.
	StateDone State = "done"
	// StateTombstoned means that the attempt was not started and will never be.
	StateTombstoned State = "tombstoned"
)

// AttemptStatus answers Withdraw and Inquire.
type AttemptStatus struct {
	Incarnation id.Incarnation `cbor:"1,keyasint"`
	State       State          `cbor:"2,keyasint"`
	// Outcome is that of the action over all its attempts, if the order named
	// one, and otherwise that of the attempt.
	Outcome outcome.Outcome `cbor:"3,keyasint"`
	Attempt id.Attempt      `cbor:"4,keyasint,omitempty"`
}

// TicketOrder asks for a ticket for one action of a team.
type TicketOrder struct {
	Team    id.Team    `cbor:"1,keyasint"`
	Service id.Service `cbor:"2,keyasint"`
}

// Ticket answers a TicketOrder.
type Ticket struct {
	Ticket string `cbor:"1,keyasint"`
	// ExpiresUnixMS is the wall time in milliseconds after which the ticket is refused.
	ExpiresUnixMS int64    `cbor:"2,keyasint"`
	Refused       *Refusal `cbor:"3,keyasint,omitempty"`
}

// ReportsOrder subscribes to load reports.
type ReportsOrder struct {
	// IntervalMicros between reports in microseconds.
	IntervalMicros int64 `cbor:"1,keyasint"`
}

// Report is the state of one endpoint. It is sent at an interval and at once when Draining changes.
type Report struct {
	// Endpoint and Incarnation are set in the first report of a subscription and
	// hold for the later ones.
	Endpoint    id.Endpoint    `cbor:"1,keyasint,omitempty"`
	Incarnation id.Incarnation `cbor:"2,keyasint,omitempty"`
	// Seq counts the reports of an incarnation.
	Seq      uint64 `cbor:"3,keyasint"`
	Draining bool   `cbor:"4,keyasint,omitempty"`
	// Healthy is false while the back end does not answer.
	Healthy bool `cbor:"5,keyasint"`
	// Queued and Running count attempts; the token counts are predicted work.
	Queued        uint32 `cbor:"6,keyasint,omitempty"`
	Running       uint32 `cbor:"7,keyasint,omitempty"`
	QueuedTokens  uint64 `cbor:"8,keyasint,omitempty"`
	RunningTokens uint64 `cbor:"9,keyasint,omitempty"`
	// Slots is the number of attempts that run at the same time.
	Slots uint32 `cbor:"10,keyasint,omitempty"`
	// StepTimeMicros is the engine's recent step time in microseconds.
	StepTimeMicros int64 `cbor:"11,keyasint,omitempty"`
	// EngineLagMicros is the age in microseconds of the engine's own load report.
	EngineLagMicros int64 `cbor:"12,keyasint,omitempty"`
	// CacheEvents are prefix cache events since the last report, in order.
	CacheEvents []CacheEvent `cbor:"13,keyasint,omitempty"`
}

// CacheEvent tells that an engine stored or evicted a block of a prompt prefix.
type CacheEvent struct {
	// Seq counts the engine's events; a gap means that events were lost.
	Seq uint64 `cbor:"1,keyasint"`
	// Block is the hash of the prefix up to and including the block.
	Block uint64 `cbor:"2,keyasint"`
	// Evicted is true if the block was removed. Cleared is true if the whole cache was.
	Evicted bool `cbor:"3,keyasint,omitempty"`
	Cleared bool `cbor:"4,keyasint,omitempty"`
}

// Probe verifies that a connection still works. The reply carries the incarnation.
type Probe struct {
	Incarnation id.Incarnation `cbor:"1,keyasint"`
}
