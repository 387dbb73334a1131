package link

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"sync"

	"github.com/siskinford/siskinford/wire/codec"
)

// maxReusedBufferBytes is the capacity up to which a written buffer is reused.
const maxReusedBufferBytes = 1 << 20

// outbox is the send queue of a connection. It encodes messages and writes them in batches.
type outbox struct {
	maxBytes int
	yields   int

	mu            sync.Mutex
	cond          *sync.Cond
	buf           *bytes.Buffer
	spare         *bytes.Buffer
	enqueuedBytes uint64 // total
	dequeuedBytes uint64 // total, passed to the writer
	closeCause    error
}

func newOutbox(c Config) *outbox {
	o := &outbox{maxBytes: c.MaxQueuedBytes, yields: c.WriterYields, buf: new(bytes.Buffer), spare: new(bytes.Buffer)}
	o.cond = sync.NewCond(&o.mu)
	return o
}

// QueueFullError reports a full send queue, whose peer does not read.
type QueueFullError struct{ Bytes int }

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("send queue is full: %d bytes queued", e.Bytes)
}

// enqueue encodes m and returns its position in bytes since the start of the connection.
// It does not wait for the peer.
func (o *outbox) enqueue(m any) (position uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closeCause != nil {
		return 0, o.closeCause
	}
	before := o.buf.Len()
	if before > o.maxBytes {
		return 0, &QueueFullError{Bytes: before}
	}
	if err := codec.Write(o.buf, m); err != nil {
		return 0, err
	}
	position = o.enqueuedBytes
	o.enqueuedBytes += uint64(o.buf.Len() - before)
	if before == 0 {
		o.cond.Signal()
	}
	return position, nil
}

// maybeSent reports whether a byte of the message at position may have been sent.
func (o *outbox) maybeSent(position uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return position < o.dequeuedBytes
}

// run writes batches to w until the outbox is closed or a write fails.
func (o *outbox) run(w io.Writer) error {
	for {
		batch, err := o.nextBatch()
		if err != nil {
			return err
		}
		if _, err := w.Write(batch.Bytes()); err != nil {
			return err
		}
		o.recycle(batch)
	}
}

// nextBatch waits for messages. After close it first returns the remaining ones.
func (o *outbox) nextBatch() (*bytes.Buffer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.buf.Len() == 0 {
		if o.closeCause != nil {
			return nil, o.closeCause
		}
		o.cond.Wait()
	}
	o.mu.Unlock()
	yield(o.yields)
	o.mu.Lock()
	batch := o.buf
	o.buf = o.spare
	o.spare = nil
	o.dequeuedBytes = o.enqueuedBytes
	return batch, nil
}

// yield lets runnable goroutines add their messages to the batch. It does not sleep, as
// the runtime's timers are too coarse.
func yield(times int) {
	for range times {
		runtime.Gosched()
	}
}

func (o *outbox) recycle(batch *bytes.Buffer) {
	if batch.Cap() > maxReusedBufferBytes {
		batch = new(bytes.Buffer)
	}
	batch.Reset()
	o.mu.Lock()
	o.spare = batch
	o.mu.Unlock()
}

// close makes enqueue fail with cause. Queued messages are still written.
func (o *outbox) close(cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closeCause == nil {
		o.closeCause = cause
	}
	o.cond.Broadcast()
}
