// Package codec encodes messages as CBOR with a length prefix.
package codec

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes bounds the size of one encoded message without its prefix.
const MaxMessageBytes = 2 << 20

// prefixBytes is the length in bytes of the big-endian length prefix.
const prefixBytes = 4

// decMode rejects duplicate map keys and limits nesting and collection sizes.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 10,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// TooLargeError reports a message above MaxMessageBytes.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Bytes, MaxMessageBytes)
}

// encMode encodes directly into the caller's buffer.
var encMode = mustEncMode()

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Write appends m with its length prefix to buf. On an error buf is unchanged.
func Write(buf *bytes.Buffer, m any) error {
	start := buf.Len()
	_, _ = buf.Write(make([]byte, prefixBytes))
	if err := encMode.MarshalToBuffer(m, buf); err != nil {
		buf.Truncate(start)
		return errors.Wrap(err, "encode message")
	}
	size := buf.Len() - start - prefixBytes
	if size > MaxMessageBytes {
		buf.Truncate(start)
		return &TooLargeError{Bytes: size}
	}
	binary.BigEndian.PutUint32(buf.Bytes()[start:], uint32(size))
	return nil
}

// Marshal encodes m without a prefix.
func Marshal(m any) ([]byte, error) { return cbor.Marshal(m) }

// Unmarshal decodes a message without a prefix.
func Unmarshal(data []byte, m any) error { return decMode.Unmarshal(data, m) }

// Reader decodes messages from a stream. It is not safe for concurrent use.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 16<<10)}
}

// Next decodes the next message into m, which must be a pointer to a zero value.
// It blocks until a whole message has arrived. The error is io.EOF if the stream ends
// between messages.
func (d *Reader) Next(m any) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(d.r, prefix[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(prefix[:]))
	if n > MaxMessageBytes {
		return &TooLargeError{Bytes: n}
	}
	if cap(d.buf) < n {
		d.buf = make([]byte, n)
	}
	body := d.buf[:n]
	if _, err := io.ReadFull(d.r, body); err != nil {
		return errors.Wrap(err, "read message body")
	}
	if err := decMode.Unmarshal(body, m); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}
