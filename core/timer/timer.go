// Package timer provides a sleep that ends with a context.
package timer

import (
	"context"
	"time"
)

// Sleep blocks for d. If ctx ends first, it returns the error of ctx.
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
