// Package soak is a randomized fault injection test. It runs the programs as processes
// against stand-ins, injects faults scheduled by a seed, and checks what clients and
// back ends observe against the product's promises.
package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/lab/faultproxy"
	"github.com/siskinford/siskinford/lab/faults"
	"github.com/siskinford/siskinford/lab/procs"
	"github.com/siskinford/siskinford/lab/replicas"
)

// HostKind is the role of a host.
type HostKind string

// The roles of hosts. All clients count as one host, and so does the platform.
const (
	Entry    HostKind = "entry"
	Model    HostKind = "model" // a rank with the relay beside it
	Plain    HostKind = "plain"
	Clients  HostKind = "clients"
	Platform HostKind = "platform"
	// RejectedEntries stands for the platform's link to entries that it rejects.
	RejectedEntries HostKind = "turned-away"
)

// Host is one host of the site.
type Host struct {
	Kind  HostKind
	Index int
}

func (h Host) String() string {
	if h.Kind == Clients || h.Kind == Platform || h.Kind == RejectedEntries {
		return string(h.Kind)
	}
	return fmt.Sprintf("%s-%d", h.Kind, h.Index)
}

// Shape is the number of hosts and zones of a site.
type Shape struct{ Entries, Ranks, Plains, Zones int }

// Kind is a kind of request.
type Kind string

const (
	// Chat is a stream that may be resumed at another endpoint.
	Chat Kind = "chat"
	// Issue is an action that may run at most once.
	Issue Kind = "issue"
	// Look is idempotent.
	Look Kind = "look"
)

// Request is a request of a client.
type Request struct {
	ID   id.Request
	Kind Kind
	// Key is the API key, which identifies the team.
	Key string
	// Timeout is the time for which the client waits for the answer.
	Timeout time.Duration
	// BodyDelay is the time between the head and the body.
	BodyDelay time.Duration
}

// Reply is the outcome of a request at the client.
type Reply struct {
	// Status is zero if there was no answer.
	Status     int
	RetryAfter time.Duration
	Signed     bool
	Body       string
	// Events are the events of a stream.
	Events []string
	// Err is the reason why the answer is incomplete.
	Err error
}

// Complete reports whether the client received a complete, successful answer.
func (r Reply) Complete() bool { return r.Err == nil && r.Status == 200 }

// Client sends one request at a time over a persistent connection.
type Client interface {
	Send(ctx context.Context, entry int, r Request) Reply
	Close()
}

// Oracle defines the expected answers of a site.
type Oracle interface {
	// CheckAnswer checks the body of an answer and returns the generation of the
	// configuration that was applied to the request.
	CheckAnswer(r Request, body string) (generation int, err error)
	// CheckEvents checks the events of a stream and reports whether it is complete.
	CheckEvents(r Request, events []string) (all bool, err error)
	// Generation returns the generation of the configuration that defines a team.
	Generation(team id.Team) (int, bool)
	// Path returns the path of a request.
	Path(Request) string
	// Service returns the service to which a path is routed.
	Service(path string) id.Service
	// Key returns the API key that a generation adds and the next but one removes.
	Key(generation int) string
	// StableKey returns the API key that is valid in all generations.
	StableKey() string
}

// Site is an installation of processes and stand-ins under test.
type Site interface {
	Oracle
	Shape() Shape
	// Zone returns the index of a host's zone.
	Zone(Host) int
	// Start starts or restarts the process of an entry or the relay beside a rank.
	Start(Host) error
	// Process returns the most recently started process of a host.
	Process(Host) *procs.Process
	// Processes returns all processes started so far, including exited ones.
	Processes() []*procs.Process
	// Ready reports whether an entry passes its readiness probe.
	Ready(entry int) bool
	// Listens reports whether an entry accepts client connections.
	Listens(entry int) bool
	NewClient() Client
	// SetLinks replaces the faults of the links between hosts.
	SetLinks(func(from, to Host) faultproxy.Faults)
	// ResetLinks resets the open connections between hosts. BlackholeLinks drops all
	// further data on them.
	ResetLinks(func(from, to Host) bool)
	BlackholeLinks(func(from, to Host) bool)
	// SetPlatformFaults replaces the platform's faults towards entries.
	SetPlatformFaults(func(entry int) faults.PlatformFaults)
	CompactPlatform()
	// RestorePlatform makes the platform's store return to a copy of the given age. The operator
	// and the back ends write theirs again after rewriteAfter.
	RestorePlatform(age, rewriteAfter time.Duration)
	// Configure writes a generation of the configuration.
	Configure(generation int) error
	// SetBehavior sets how back ends handle requests.
	SetBehavior(func(Host) faults.Behavior)
	// MarkLeaving announces that a plain back end is leaving, Remove unregisters it, and Replace
	// starts another one at its address, of another service if other is set.
	MarkLeaving(plain int) (id.Endpoint, error)
	Remove(plain int)
	Replace(plain int, other bool) error
	Group() *replicas.Group
	Executions() *replicas.ExecutionCounter
	// OnArrival sets a callback for each request at a back end, with the entry that sent it.
	OnArrival(func(a faults.Arrival, entry int))
	// LastWriter returns the entry that last wrote to the platform, or -1.
	LastWriter() int
	Close()
}

// Signals for graceful stops and reloads.
const (
	stopSignal   = syscall.SIGTERM
	reloadSignal = syscall.SIGHUP
)
