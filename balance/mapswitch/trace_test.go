package mapswitch

import (
	"flag"
	"fmt"
	"testing"
)

var traceSeed = flag.Int64("trace-seed", -1, "seed of a schedule to print")

// TestTrace prints a schedule, for debugging.
func TestTrace(t *testing.T) {
	if *traceSeed < 0 {
		return
	}
	w := newWorld(uint64(*traceSeed), 2+int(*traceSeed)%3)
	w.trace = func(format string, args ...any) {
		fmt.Printf("%6d %s\n", w.now.Milliseconds(), fmt.Sprintf(format, args...))
	}
	for range actionsPerSchedule {
		if err := w.act(); err != nil {
			t.Fatal(err)
		}
	}
}
