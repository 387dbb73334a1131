package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bounds what a Server holds for its connections. The zero value has no limits.
type Limits struct {
	// MemoryBytes is the memory of the host, and MaxDescriptors the number of descriptors that the process may open.
	MemoryBytes    int64
	MaxDescriptors int
}

const (
	// lineDivisor is the part of the host's memory for long lines, and connDivisor that of the descriptors for
	// connections. The rank beside the relay needs the rest.
	lineDivisor = 16
	connDivisor = 4
	// minLineBytes is the least room for long lines: a line of the greatest length while its buffer grows.
	minLineBytes = 2 * maxLineBytes
	// firstLineBytes is the first size of a buffer. It doubles while a line grows.
	firstLineBytes = 2 << 10
	// freeLineBytes is the size up to which buffers are not accounted for.
	freeLineBytes = 64 << 10
	// maxOrders bounds the orders of a connection in progress. An entry has one for each rank of a group.
	maxOrders = 64
	// acceptInterval is the time between two connections that are accepted while the server is full. Entries call again
	// sooner than a crowd has passed.
	acceptInterval = 5 * time.Millisecond
)

var (
	errNoLineMemory = errors.New("no memory is left for a long line")
	errLineTooLong  = errors.New("a line exceeds the limit")
)

// intake accounts for long lines and connections.
type intake struct {
	lineLimit int64
	connLimit int
	lines     atomic.Int64

	mu    sync.Mutex // leaf lock
	conns map[net.Conn]*activity
}

// activity is when a connection last sent a message, and whether it ever did.
type activity struct {
	last   time.Time
	proved bool
}

func newIntake(l Limits) *intake {
	i := &intake{conns: make(map[net.Conn]*activity)}
	if l.MemoryBytes > 0 {
		i.lineLimit = max(l.MemoryBytes/lineDivisor, minLineBytes)
	}
	if l.MaxDescriptors > 0 {
		i.connLimit = max(l.MaxDescriptors/connDivisor, 1)
	}
	return i
}

// acquire holds n bytes for a long line and reports whether there is room.
func (i *intake) acquire(n int64) bool {
	if i.lines.Add(n) <= i.lineLimit || i.lineLimit == 0 {
		return true
	}
	i.lines.Add(-n)
	return false
}

// add adds a connection. If there are too many, it returns the one to close: the one that has been silent for
// longest, of those that never sent a message if there are any.
func (i *intake) add(c net.Conn, now time.Time) (victim net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.connLimit > 0 && len(i.conns) >= i.connLimit {
		var least *activity
		for other, a := range i.conns {
			if least == nil || !a.proved && least.proved || a.proved == least.proved && a.last.Before(least.last) {
				victim, least = other, a
			}
		}
		delete(i.conns, victim)
	}
	i.conns[c] = &activity{last: now}
	return victim
}

// note notes that a connection sent a message.
func (i *intake) note(c net.Conn, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a := i.conns[c]; a != nil {
		a.last, a.proved = now, true
	}
}

func (i *intake) remove(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}

// lineReader reads lines whose buffers are accounted for.
type lineReader struct {
	br     *bufio.Reader
	intake *intake
	buf    []byte
	held   int64
}

func newLineReader(r io.Reader, i *intake) *lineReader {
	return &lineReader{br: bufio.NewReaderSize(r, firstLineBytes), intake: i}
}

// next returns the next line without its end. It is valid until the next call.
func (r *lineReader) next() ([]byte, error) {
	r.release()
	r.buf = r.buf[:0]
	for {
		part, err := r.br.ReadSlice('\n')
		if err == nil && len(r.buf) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		if !r.reserve(len(part)) {
			return nil, errNoLineMemory
		}
		r.buf = append(r.buf, part...)
		switch {
		case len(r.buf) > maxLineBytes:
			return nil, errLineTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(r.buf) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		return bytes.TrimRight(r.buf, "\r\n"), nil
	}
}

// reserve makes room for n more bytes in the buffer, and reports whether there is memory for it.
func (r *lineReader) reserve(n int) bool {
	if len(r.buf)+n <= cap(r.buf) {
		return true
	}
	size := max(2*cap(r.buf), firstLineBytes)
	if size > freeLineBytes {
		if !r.intake.acquire(int64(size)) {
			return false
		}
		r.intake.lines.Add(-r.held)
		r.held = int64(size)
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	return true
}

// release gives up the buffer of a long line.
func (r *lineReader) release() {
	if r.held > 0 {
		r.intake.lines.Add(-r.held)
		r.held, r.buf = 0, nil
	}
}
