package dial

import (
	"errors"
	"net"
	"syscall"
)

// IsIdle reports whether a kept connection is open and has no unread bytes, which would belong to
// no request.
func IsIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var waiting bool
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && waiting
}
