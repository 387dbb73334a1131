package member

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
)

// State is what a table believes about a host. Between two claims of equal
// incarnation, the greater state wins.
type State uint8

const (
	// Alive means that the host answers.
	Alive State = iota
	// Leaving means that the host answers, but must receive no new work.
	Leaving
	// Suspect means that the host has been silent and will be declared dead
	// unless it answers. It must receive no new work.
	Suspect
	// Dead means that the host stayed silent.
	Dead
)

// String returns the state as it appears in events.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return fmt.Sprintf("state-%d", uint8(s))
}

// Peer is an entry host as the members of a zone know it.
type Peer struct {
	Host id.Host `cbor:"1,keyasint"`
	// Address is where the host takes calls, as "ip:port".
	Address string `cbor:"2,keyasint"`
	// Incarnation grows with each start of the host's process and whenever the
	// host refutes a claim about itself.
	Incarnation uint64 `cbor:"3,keyasint"`
	State       State  `cbor:"4,keyasint,omitempty"`
}

// MessageType tells what a message is for.
type MessageType uint8

const (
	// Ping asks for an Ack.
	Ping MessageType = iota + 1
	// Ack tells that a host answers: the sender, or the host in About.
	Ack
	// PingReq asks the receiver to ping the host in About for the sender.
	PingReq
	// Sync carries all members of the zone. The receiver answers with its own.
	Sync
	// SyncAnswer answers a Sync.
	SyncAnswer
	// Exchange carries the sender's zone summary to another zone.
	Exchange
	// ExchangeAnswer answers an Exchange.
	ExchangeAnswer
)

// Message is exchanged between two hosts.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	Zone id.Zone     `cbor:"2,keyasint"`
	From Peer        `cbor:"3,keyasint"`
	// Seq connects an Ack with its Ping or Forward.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
	// About is the host to ping or that answered.
	About *Peer `cbor:"5,keyasint,omitempty"`
	// Hash is the hash of the sender's members, set in pings and acks.
	Hash uint64 `cbor:"6,keyasint,omitempty"`
	// Updates are claims about hosts of the sender's zone.
	Updates []Peer `cbor:"7,keyasint,omitempty"`
	// Summaries are the states of zones.
	Summaries []Summary `cbor:"8,keyasint,omitempty"`
	// AppData is opaque data of the process, for example a digest of versions.
	AppData []byte `cbor:"9,keyasint,omitempty"`
}

// Summary is the state of a zone as one of its delegates sees it. Its size does
// not depend on the number of hosts.
type Summary struct {
	Zone id.Zone `cbor:"1,keyasint"`
	// Delegate is the host that made the summary.
	Delegate id.Host `cbor:"2,keyasint"`
	// Stamp orders the summaries of a zone: the delegate's wall time in milliseconds.
	Stamp int64 `cbor:"3,keyasint"`
	// Alive is the number of hosts that take new work.
	Alive int `cbor:"4,keyasint"`
	// Contacts are hosts of the zone that take calls from other zones, delegates first.
	Contacts []Peer `cbor:"5,keyasint,omitempty"`
	// Load is opaque aggregate data of the zone.
	Load []byte `cbor:"6,keyasint,omitempty"`
}

// Outgoing is a message to send to an address.
type Outgoing struct {
	Address string
	// Reconnect asks to abandon the connection to Address before sending.
	Reconnect bool
	Message   Message
}

// Encode returns the messages as one payload.
func Encode(messages []Message) ([]byte, error) {
	if len(messages) == 0 {
		return nil, nil
	}
	payload, err := cbor.Marshal(messages)
	if err != nil {
		return nil, fmt.Errorf("encode membership messages: %w", err)
	}
	return payload, nil
}

// Decode returns the messages of a payload.
func Decode(payload []byte) ([]Message, error) {
	if len(payload) == 0 {
		return nil, nil
	}
	var messages []Message
	if err := cbor.Unmarshal(payload, &messages); err != nil {
		return nil, fmt.Errorf("decode membership messages: %w", err)
	}
	return messages, nil
}
