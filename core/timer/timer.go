// Package timer waits for a time that a context can cut short.
package timer

import (
	"context"
	"time"
)

// Sleep blocks for d or until ctx ends, in which case it returns the error of ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
