package timer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.NilError(t, Sleep(t.Context(), time.Minute))
		assert.Equal(t, time.Since(start), time.Minute)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, Sleep(ctx, time.Minute), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), time.Minute+time.Second)
	})
}
