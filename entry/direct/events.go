package direct

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/entry/intake"
)

// maxEventBytes bounds a single event.
const maxEventBytes = 1 << 20

var errPartialEvent = errors.New("stream ended within an event")

// eventReader splits a text/event-stream into events.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
	// conn is the client's connection, which may be nil. held are the bytes accounted for there.
	conn *intake.Conn
	held int
}

// eventStep is the size of the steps in which long events are accounted for. Shorter events are part of what every
// connection takes.
const eventStep = 64 << 10

func newEventReader(r io.Reader, conn *intake.Conn) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, 4<<10), conn: conn}
}

// account holds the bytes of the buffer beyond the first step. It reports whether there is room.
func (r *eventReader) account() bool {
	for len(r.buf)-r.held > eventStep {
		if !r.conn.Acquire(eventStep) {
			return false
		}
		r.held += eventStep
	}
	return true
}

// release ends the holding of a long event, whose buffer is given up too.
func (r *eventReader) release() {
	if r.held > 0 {
		r.conn.Release(int64(r.held))
		r.buf, r.held = nil, 0
	}
}

// next returns the next event including its blank line, and its ID, empty if absent. The
// bytes are valid until the next call. A complete stream ends with io.EOF.
func (r *eventReader) next() (event []byte, eventID string, err error) {
	r.release()
	r.buf = r.buf[:0]
	for {
		line, err := r.br.ReadSlice('\n')
		lineStart := len(r.buf) == 0 || r.buf[len(r.buf)-1] == '\n'
		r.buf = append(r.buf, line...)
		switch {
		case len(r.buf) > maxEventBytes:
			return nil, "", errors.Newf("event exceeds %d bytes", maxEventBytes)
		case !r.account():
			return nil, "", errNoMemory
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(r.buf) > 0:
			return nil, "", errPartialEvent
		case err != nil:
			return nil, "", err
		case lineStart && len(bytes.TrimRight(line, "\r\n")) == 0:
			return r.buf, eventField(r.buf, "id"), nil
		}
	}
}

// eventField returns the last value of a field of an event.
func eventField(event []byte, name string) string {
	var value string
	for line := range bytes.Lines(event) {
		field, rest, ok := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if ok && string(field) == name {
			value = string(bytes.TrimPrefix(rest, []byte(" ")))
		}
	}
	return value
}

// eventOrder is the position of an event relative to the last one forwarded.
type eventOrder uint8

const (
	inOrder eventOrder = iota
	duplicate
	gap
	// disorder means that the endpoint's IDs decrease, so that none of them can be relied on.
	disorder
)

// eventSequence is the position in a series of events with increasing IDs. Endpoints choose the steps between them: an
// event may hold several tokens, and be numbered by them.
type eventSequence struct {
	// lastEventID is the ID of the last event forwarded.
	lastEventID string
	// step is the greatest increase so far, zero if unknown.
	step uint64
}

// compare returns the order of the next event. starts is true for the first event of an attempt: one that continues
// another endpoint's series may have left out events, and has if the step is greater than any before. Within an attempt
// the endpoint's own series is complete. Only numeric IDs are compared.
func (s *eventSequence) compare(eventID string, starts bool) eventOrder {
	last, err1 := strconv.ParseUint(s.lastEventID, 10, 64)
	seq, err2 := strconv.ParseUint(eventID, 10, 64)
	switch {
	case err1 != nil || err2 != nil:
		return inOrder
	case seq <= last:
		return duplicate
	case starts && s.step > 0 && seq-last > s.step:
		return gap
	}
	return inOrder
}

// advance records an event that was forwarded.
func (s *eventSequence) advance(eventID string) {
	if eventID == "" {
		return
	}
	last, err := strconv.ParseUint(s.lastEventID, 10, 64) // Zero before the first event.
	if seq, err2 := strconv.ParseUint(eventID, 10, 64); err2 == nil && seq > last && (err == nil || s.lastEventID == "") {
		s.step = max(s.step, seq-last)
	}
	s.lastEventID = eventID
}

// attemptOrder orders the events of one attempt.
type attemptOrder struct {
	started bool
	// greatest is the greatest numeric ID so far.
	greatest uint64
}

// compare returns the order of the attempt's next event after a position.
func (o *attemptOrder) compare(s *eventSequence, eventID string) eventOrder {
	starts := !o.started
	o.started = true
	if seq, err := strconv.ParseUint(eventID, 10, 64); err == nil {
		if seq < o.greatest {
			return disorder
		}
		o.greatest = seq
	}
	return s.compare(eventID, starts)
}
