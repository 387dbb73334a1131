package client

import (
	"net"

	"github.com/cockroachdb/errors"
)

// dialFailed reports whether err is a failure to connect, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
