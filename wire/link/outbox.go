package link

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"sync"

	"github.com/siskinford/siskinford/wire/codec"
)

// maxKeptBuffer is the capacity in bytes up to which a sent buffer is used again.
const maxKeptBuffer = 1 << 20

// outbox collects encoded messages and writes them in batches.
type outbox struct {
	maxBytes int
	yields   int

	mu     sync.Mutex
	cond   *sync.Cond
	buf    *bytes.Buffer
	spare  *bytes.Buffer
	queued uint64 // bytes ever put into buf
	taken  uint64 // bytes ever handed to the writer
	closed error
}

func newOutbox(c Config) *outbox {
	o := &outbox{maxBytes: c.MaxQueuedBytes, yields: c.WriterYields, buf: new(bytes.Buffer), spare: new(bytes.Buffer)}
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
	before := o.buf.Len()
	if before > o.maxBytes {
		return 0, &QueueFullError{Bytes: before}
	}
	if err := codec.Write(o.buf, m); err != nil {
		return 0, err
	}
	position = o.queued
	o.queued += uint64(o.buf.Len() - before)
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
		if _, err := w.Write(batch.Bytes()); err != nil {
			return err
		}
		o.recycle(batch)
	}
}

// take waits for messages. After close it still returns those queued before.
func (o *outbox) take() (*bytes.Buffer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.buf.Len() == 0 {
		if o.closed != nil {
			return nil, o.closed
		}
		o.cond.Wait()
	}
	o.mu.Unlock()
	yield(o.yields)
	o.mu.Lock()
	batch := o.buf
	o.buf = o.spare
	o.spare = nil
	o.taken = o.queued
	return batch, nil
}

// yield lets goroutines that are ready to run put their messages into the batch.
// It does not sleep: the runtime's timers are too coarse for that.
func yield(times int) {
	for range times {
		runtime.Gosched()
	}
}

func (o *outbox) recycle(batch *bytes.Buffer) {
	if batch.Cap() > maxKeptBuffer {
		batch = new(bytes.Buffer)
	}
	batch.Reset()
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
