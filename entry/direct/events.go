package direct

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errPartialEvent = errors.New("stream ended within an event")

// eventReader splits a text/event-stream into whole events.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the bytes of the next event with its final blank line, and the
// event's ID, empty if it has none. The bytes are valid until the next call. At
// the end of a complete stream the error is io.EOF.
func (r *eventReader) next() (event []byte, eventID string, err error) {
	r.buf = r.buf[:0]
	for {
		line, err := r.br.ReadSlice('\n')
		whole := len(r.buf) == 0 || r.buf[len(r.buf)-1] == '\n'
		r.buf = append(r.buf, line...)
		switch {
		case len(r.buf) > maxEventBytes:
			return nil, "", errors.Newf("event exceeds %d bytes", maxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(r.buf) > 0:
			return nil, "", errPartialEvent
		case err != nil:
			return nil, "", err
		case whole && len(bytes.TrimRight(line, "\r\n")) == 0:
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

// succession tells how an event follows the last one that was passed on.
type succession uint8

const (
	next succession = iota
	repeated
	missing
)

// follows compares the IDs of two events in a row. Only IDs that are numbers tell
// of events that came twice or are missing.
func follows(last, eventID string) succession {
	before, err1 := strconv.ParseUint(last, 10, 64)
	now, err2 := strconv.ParseUint(eventID, 10, 64)
	switch {
	case err1 != nil || err2 != nil || now == before+1:
		return next
	case now <= before:
		return repeated
	default:
		return missing
	}
}
