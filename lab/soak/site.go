// Package soak runs the real programs as separate processes against stand-ins,
// injects faults from outside them in a seeded order, and checks what callers
// and back ends see against the product's promises.
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

// HostKind is what a host is for.
type HostKind string

// The kinds of hosts. Clients and the platform count as one host each.
const (
	Entry    HostKind = "entry"
	Model    HostKind = "model" // a rank with the relay beside it
	Plain    HostKind = "plain"
	Clients  HostKind = "clients"
	Platform HostKind = "platform"
	// RejectedEntries stands for the platform's link to the entries that it turns away.
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

// Shape counts the hosts of a site.
type Shape struct{ Entries, Ranks, Plains, Zones int }

// Kind is a kind of request.
type Kind string

const (
	// Chat is a stream that may be continued at another endpoint.
	Chat Kind = "chat"
	// Issue is an action that may run once at most.
	Issue Kind = "issue"
	// Look may be repeated freely.
	Look Kind = "look"
)

// Request is what a client sends.
type Request struct {
	ID   id.Request
	Kind Kind
	// Key identifies the team.
	Key string
	// Timeout is the time for which the client waits.
	Timeout time.Duration
}

// Reply is what a client got.
type Reply struct {
	// Status is zero if there was no answer.
	Status     int
	RetryAfter time.Duration
	Signed     bool
	Body       string
	// Events holds the events of a stream.
	Events []string
	// Err tells why the answer is not complete.
	Err error
}

// Complete reports whether the client got a whole success.
func (r Reply) Complete() bool { return r.Err == nil && r.Status == 200 }

// Client sends requests one after the other over a connection that it keeps.
type Client interface {
	Send(ctx context.Context, entry int, r Request) Reply
	Close()
}

// Oracle tells what the whole answers of a site look like.
type Oracle interface {
	// CheckAnswer checks the body of an answer and returns the generation of the
	// configuration by which it was handled.
	CheckAnswer(r Request, body string) (generation int, err error)
	// CheckEvents checks the events of a stream and reports whether all are there.
	CheckEvents(r Request, events []string) (all bool, err error)
	// Generation returns the generation of the configuration that names a team.
	Generation(team id.Team) (int, bool)
	// Path returns the path of a request.
	Path(Request) string
	// Service returns the service that may run a request to a path.
	Service(path string) id.Service
	// Key returns the key that a generation adds and the next but one lacks.
	Key(generation int) string
	// StableKey returns the key that all generations hold.
	StableKey() string
}

// Site is an installation with real processes and stand-ins around them.
type Site interface {
	Oracle
	Shape() Shape
	// Zone returns the number of a host's zone.
	Zone(Host) int
	// Start starts the process of an entry or beside a rank, also after it ended.
	Start(Host) error
	// Process returns the last process that was started on a host.
	Process(Host) *procs.Process
	// Processes returns all that were started, those that ended included.
	Processes() []*procs.Process
	// Ready reports whether an entry says that it is ready.
	Ready(entry int) bool
	// Listens reports whether an entry accepts connections of clients.
	Listens(entry int) bool
	NewClient() Client
	// SetLinks replaces the faults between hosts.
	SetLinks(func(from, to Host) faultproxy.Faults)
	// ResetLinks resets the present connections between hosts, and SilenceLinks
	// drops what is sent on them for good.
	ResetLinks(func(from, to Host) bool)
	BlackholeLinks(func(from, to Host) bool)
	// SetPlatformFaults replaces the troubles of entries with the platform.
	SetPlatformFaults(func(entry int) faults.PlatformFaults)
	CompactPlatform()
	// Configure writes a generation of the configuration.
	Configure(generation int) error
	// SetBehavior tells how back ends treat requests.
	SetBehavior(func(Host) faults.Behavior)
	// MarkLeaving says that a plain back end leaves, Remove that it has left, and Replace
	// starts another one at its address, maybe of another service.
	MarkLeaving(plain int) (id.Endpoint, error)
	Remove(plain int)
	Replace(plain int, other bool) error
	Group() *replicas.Group
	Ledger() *replicas.Ledger
	// OnArrival is told of each request at a back end, with the entry that sent it.
	OnArrival(func(a faults.Arrival, entry int))
	// LastWriter returns the entry that last wrote to the platform, or -1.
	LastWriter() int
	Close()
}

// Signals that faults send.
const (
	stopSignal   = syscall.SIGTERM
	reloadSignal = syscall.SIGHUP
)
