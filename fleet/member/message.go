package member

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
)

// State is the liveness state of a host. Of two updates with the same incarnation,
// the one with the greater state wins.
type State uint8

const (
	// Alive means that the host answers probes.
	Alive State = iota
	// Leaving means that the host answers probes but must receive no new work.
	Leaving
	// Suspect means that probes of the host timed out and that it will be declared
	// dead unless it answers. It must receive no new work.
	Suspect
	// Dead means that a suspected host did not answer in time.
	Dead
)

// String returns the name of the state in events.
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

// Peer is the membership record of an entry host.
type Peer struct {
	Host id.Host `cbor:"1,keyasint"`
	// Address is the "ip:port" at which the host takes calls.
	Address string `cbor:"2,keyasint"`
	// Incarnation grows with each start of the host's process and each time the
	// host refutes an update about itself.
	Incarnation uint64 `cbor:"3,keyasint"`
	State       State  `cbor:"4,keyasint,omitempty"`
}

// MessageType tells what a message is for.
type MessageType uint8

const (
	// Ping asks for an Ack.
	Ping MessageType = iota + 1
	// Ack confirms that a host answers: the sender, or the host in About.
	Ack
	// PingReq asks the receiver to ping the host in About on behalf of the sender.
	PingReq
	// Sync carries the sender's full member list and asks for a SyncAnswer.
	Sync
	// SyncAnswer carries the full member list of the receiver of a Sync.
	SyncAnswer
	// Exchange carries the sender's zone summary to another zone.
	Exchange
	// ExchangeAnswer answers an Exchange.
	ExchangeAnswer
)

// Message is a protocol message between two hosts.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	Zone id.Zone     `cbor:"2,keyasint"`
	From Peer        `cbor:"3,keyasint"`
	// Seq matches an Ack to its Ping or PingReq.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
	// About is the host to ping in a PingReq, or the host that answered in an Ack.
	About *Peer `cbor:"5,keyasint,omitempty"`
	// Hash is the hash of the sender's member list, set on messages inside a zone.
	Hash uint64 `cbor:"6,keyasint,omitempty"`
	// Updates are membership updates about hosts of the sender's zone.
	Updates []Peer `cbor:"7,keyasint,omitempty"`
	// Summaries are zone summaries.
	Summaries []Summary `cbor:"8,keyasint,omitempty"`
	// AppData is opaque application data, for example a digest of versions.
	AppData []byte `cbor:"9,keyasint,omitempty"`
}

// Summary is the aggregated state of a zone, made by one of its delegates. Its
// size does not depend on the number of hosts.
type Summary struct {
	Zone id.Zone `cbor:"1,keyasint"`
	// Delegate is the host that made the summary.
	Delegate id.Host `cbor:"2,keyasint"`
	// Stamp orders the summaries of a zone: the delegate's wall time in milliseconds.
	Stamp int64 `cbor:"3,keyasint"`
	// Alive is the number of hosts that take new work.
	Alive int `cbor:"4,keyasint"`
	// Contacts are live hosts of the zone to call from other zones, delegates first.
	Contacts []Peer `cbor:"5,keyasint,omitempty"`
	// Load is the zone's opaque aggregated load.
	Load []byte `cbor:"6,keyasint,omitempty"`
}

// Outgoing is a message to send.
type Outgoing struct {
	Address string
	// Reconnect requests a new connection to Address for this message.
	Reconnect bool
	Message   Message
}

// Encode encodes messages as one payload, nil if there are none.
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

// Decode decodes the messages of a payload. An empty payload holds none.
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
