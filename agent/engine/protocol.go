package engine

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Paths of the engine's HTTP protocol.
const (
	PathCompletions = "/v1/completions"
	PathAttempts    = "/v1/attempts/"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathOrders      = "/v1/orders"
	PathState       = "/v1/state"
)

// StreamEnd is the data of the last event of a complete stream.
const StreamEnd = "[DONE]"

// CompletionRequest is the body of a completion request. Attempt, Priority and
// Epoch extend the common completions API.
type CompletionRequest struct {
	Model     string     `json:"model"`
	Prompt    string     `json:"prompt"`
	MaxTokens int        `json:"max_tokens"`
	Stream    bool       `json:"stream"`
	Attempt   id.Attempt `json:"attempt_id"`
	Priority  int        `json:"priority,omitempty"`
	Epoch     uint64     `json:"epoch,omitempty"`
}

// Choice is one alternative of a completion; the engine returns exactly one.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// CompletionUsage holds the token counts of a completion.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Chunk is the data of one server-sent event, or the whole response if the
// completion is not streamed. The last chunk carries Usage and a finish reason.
type Chunk struct {
	ID      string           `json:"id"`
	Choices []Choice         `json:"choices"`
	Usage   *CompletionUsage `json:"usage,omitempty"`
}

// isText reports whether the chunk carries the text of one choice and nothing else.
func (c Chunk) isText() bool {
	return len(c.Choices) == 1 && c.Choices[0].FinishReason == "" && c.Usage == nil
}

// ErrorBody is the body of a response with an error status.
type ErrorBody struct {
	Error string `json:"error"`
	// NotStarted is true if the engine did not and will not run the request.
	NotStarted bool `json:"not_started,omitempty"`
}

// OrderKind is the kind of change that an order makes.
type OrderKind string

const (
	// OrderLoad loads a version of a model or adapter.
	OrderLoad OrderKind = "load"
	// OrderRole changes the role of the engine.
	OrderRole OrderKind = "role"
	// OrderMap sets the expert map version for all later steps.
	OrderMap OrderKind = "map"
	// OrderSteps permits the steps From to Through on a map version. Only engines
	// that wait for permission need it.
	OrderSteps OrderKind = "steps"
)

// Order changes the state of the engine.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Epoch is the fencing token of the order.
	Epoch   uint64 `json:"epoch"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// MapVersion, From and Through belong to OrderMap and OrderSteps.
	MapVersion uint64 `json:"map_version,omitempty"`
	From       uint64 `json:"from,omitempty"`
	Through    uint64 `json:"through,omitempty"`
}

// State is the engine's state after the orders it has carried out.
type State struct {
	// Epoch is the greatest fencing token seen.
	Epoch uint64 `json:"epoch"`
	// Models maps the names of loaded models and adapters to their version.
	Models     map[string]string `json:"models"`
	Role       string            `json:"role"`
	MapVersion uint64            `json:"map_version"`
	// Step is the number of the next step.
	Step uint64 `json:"step"`
}

// LoadBody is the body of a load report. Durations are in microseconds.
type LoadBody struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	CachedBlocks int   `json:"cached_blocks"`
	StepTime     int64 `json:"step_time_us"`
	Slots        int   `json:"slots"`
	Age          int64 `json:"age_us"`
}

// Load returns the report with typed durations.
func (b LoadBody) Load() Load {
	return Load{
		Running:      b.Running,
		Waiting:      b.Waiting,
		CachedBlocks: b.CachedBlocks,
		StepTime:     time.Duration(b.StepTime) * time.Microsecond,
		Slots:        b.Slots,
		Age:          time.Duration(b.Age) * time.Microsecond,
	}
}
