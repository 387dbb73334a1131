package direct

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/entry/intake"
)

const (
	// firstBufferBytes is the first size of the buffer for a body whose end has not arrived. It doubles as the
	// body grows.
	firstBufferBytes = 4 << 10
	// unreadBodyTime and unreadBodyBytes bound the reading of a body that the entry does not need.
	unreadBodyTime  = 300 * time.Millisecond
	unreadBodyBytes = 256 << 10
)

var (
	// errNoMemory reports that the process has no room for a body or an answer.
	errNoMemory = errors.New("the entry has no memory left for it")
	// errBodyTooLarge reports a body beyond the limit of the configuration.
	errBodyTooLarge = errors.New("the body is too large")
)

// readBody reads the body of a client's request within the request's time, and while it may still be
// sent to an endpoint.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64, q *request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	bound := &bodyBound{rc: http.NewResponseController(w)}
	timer := time.AfterFunc(time.Until(q.deadline), func() { bound.expire(errBodyLate) })
	defer timer.Stop()
	defer context.AfterFunc(h.drain.begun, func() {
		if last := h.drain.lastStart(q); last.Before(q.deadline) {
			timer.Reset(time.Until(last))
		}
	})()
	q.conn.BeginBody(func() { bound.expire(errNoMemory) })
	defer q.conn.EndBody()
	b, err := readAccounted(r.Body, q.conn, r.ContentLength, limit)
	if late := bound.complete(); late != nil {
		return nil, late
	}
	return b, err
}

// readAccounted reads a body of at most limit bytes, or without a bound if limit is zero. length is the stated
// length, negative if unknown. The buffer is accounted for at the connection before it is allocated.
func readAccounted(body io.Reader, conn *intake.Conn, length, limit int64) ([]byte, error) {
	var (
		b    []byte
		held int64
	)
	fail := func(err error) ([]byte, error) {
		conn.Release(held)
		return nil, err
	}
	for {
		if int64(len(b)) == length {
			// The end of the body, or an error, is still to be read. It needs a byte of its own.
			var one [1]byte
			n, err := io.ReadFull(body, one[:])
			switch {
			case err == io.EOF:
				return b, nil
			case err != nil:
				return fail(err)
			case n > 0:
				return fail(errBodyTooLarge)
			}
		}
		if len(b) == cap(b) {
			size := max(firstBufferBytes, 2*int64(cap(b)))
			if length >= 0 {
				size = min(size, length)
			}
			if limit > 0 {
				size = min(size, limit+1)
			}
			if !conn.Acquire(size) {
				return fail(errNoMemory)
			}
			grown := make([]byte, len(b), size)
			copy(grown, b)
			b = grown
			conn.Release(held)
			held = size
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case limit > 0 && int64(len(b)) > limit:
			return fail(errBodyTooLarge)
		case err == io.EOF:
			return b, nil
		case err != nil:
			return fail(err)
		}
	}
}

func (h *Handler) bodyError(w http.ResponseWriter, r *http.Request, info RequestInfo, err error) {
	switch {
	case errors.Is(err, errBodyTooLarge):
		h.rejectUnread(w, r, info, http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, errNoMemory):
		h.rejectUnread(w, r, info, http.StatusServiceUnavailable, err.Error())
	case !errors.Is(err, errBodyLate):
		panic(http.ErrAbortHandler) // The client disconnected.
	case h.drain.isBegun():
		h.rejectUnread(w, r, info, http.StatusServiceUnavailable, string(reasonStopping))
	default:
		h.rejectUnread(w, r, info, http.StatusRequestTimeout, errBodyLate.Error())
	}
}

// rejectUnread rejects a request whose body may still be on its way, and has its connection closed. A connection
// that is closed before it is read is reset, and the client may never see the answer.
func (h *Handler) rejectUnread(w http.ResponseWriter, r *http.Request, info RequestInfo, status int, text string) {
	rc := http.NewResponseController(w)
	w.Header().Set("Connection", "close")
	_ = rc.EnableFullDuplex() // Supported by HTTP/1.
	h.reject(w, r, info, status, text)
	if rc.Flush() == nil && rc.SetReadDeadline(time.Now().Add(unreadBodyTime)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, unreadBodyBytes)) // Nobody needs it.
	}
}
