package oneshot

import (
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSealableConn(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &sealableConn{Conn: near}

	// A pipe's write ends only with the read, so the write is in progress after one byte.
	done := make(chan error, 1)
	go func() {
		_, err := conn.Write([]byte("ab"))
		done <- err
	}()
	_, err := io.ReadFull(far, make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, !conn.sealIfUnused(0), "sealed during a write")
	_, err = io.ReadFull(far, make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, <-done)

	assert.Assert(t, !conn.sealIfUnused(0), "sealed although two bytes were written")
	assert.Equal(t, conn.bytesWritten(), int64(2))
	assert.Assert(t, conn.sealIfUnused(2))
	_, err = conn.Write([]byte("c"))
	assert.Assert(t, errors.Is(err, errSealed), "%v", err)
}
