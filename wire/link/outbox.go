package link

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/siskinford/siskinford/wire/codec"
)

// maxKeptBuffer is the capacity in bytes up to which a sent buffer is used again.
const maxKeptBuffer = 1 << 20

// outbox collects encoded messages and writes them in batches.
type outbox struct {
	maxBytes int
	gather   time.Duration

	mu     sync.Mutex
	cond   *sync.Cond
	buf    []byte
	spare  []byte
	queued uint64 // bytes ever put into buf
	taken  uint64 // bytes ever handed to the writer
	closed error
}

func newOutbox(c Config) *outbox {
	o := &outbox{maxBytes: c.MaxQueuedBytes, gather: c.GatherDelay}
	o.cond = sync.NewCond(&o.mu)
	return o
}

// QueueFullError reports a connection whose peer does not take its messages.
type QueueFullError struct{ Bytes int }

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d bytes wait for being sent", e.Bytes)
}

// put encodes m for sending and returns its position. It does not block on the peer.
func (o *outbox) put(m any) (position uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed != nil {
		return 0, o.closed
	}
	if len(o.buf) > o.maxBytes {
		return 0, &QueueFullError{Bytes: len(o.buf)}
	}
	before := len(o.buf)
	o.buf, err = codec.Append(o.buf, m)
	if err != nil {
		return 0, err
	}
	position = o.queued
	o.queued += uint64(len(o.buf) - before)
	if before == 0 {
		o.cond.Signal()
	}
	return position, nil
}

// sent reports whether a byte of the message at position may have left.
func (o *outbox) sent(position uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return position < o.taken
}

// run writes batches to w until the outbox is closed or a write fails.
func (o *outbox) run(w io.Writer) error {
	for {
		batch, err := o.take()
		if err != nil {
			return err
		}
		if _, err := w.Write(batch); err != nil {
			return err
		}
		o.recycle(batch)
	}
}

// take waits for messages. After close it still returns those queued before.
func (o *outbox) take() ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.buf) == 0 {
		if o.closed != nil {
			return nil, o.closed
		}
		o.cond.Wait()
	}
	if o.gather > 0 && o.closed == nil {
		o.mu.Unlock()
		time.Sleep(o.gather)
		o.mu.Lock()
	}
	batch := o.buf
	o.buf = o.spare[:0]
	o.spare = nil
	o.taken = o.queued
	return batch, nil
}

func (o *outbox) recycle(batch []byte) {
	if cap(batch) > maxKeptBuffer {
		return
	}
	o.mu.Lock()
	o.spare = batch
	o.mu.Unlock()
}

// close makes further puts fail with cause. Messages queued before are still written.
func (o *outbox) close(cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed == nil {
		o.closed = cause
	}
	o.cond.Broadcast()
}
