package relay

import (
	"bytes"
	"strings"
	"testing"
)

// FuzzLines guards against lines that are split or joined in another way than by their ends, and against bytes that
// stay accounted for after them.
func FuzzLines(f *testing.F) {
	f.Add([]byte("{}\n{}\r\n\n"))
	f.Add([]byte(strings.Repeat("x", 3*freeLineBytes) + "\nshort\nrest"))
	f.Add([]byte(strings.Repeat("x", maxLineBytes+1) + "\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		i := newIntake(Limits{MemoryBytes: 1})
		r := newLineReader(bytes.NewReader(in), i)
		for _, want := range bytes.SplitAfter(in, []byte("\n")) {
			got, err := r.next()
			if err != nil {
				if bytes.HasSuffix(want, []byte("\n")) && len(want) <= maxLineBytes {
					t.Fatalf("line of %d bytes: %v", len(want), err)
				}
				break
			}
			if !bytes.Equal(got, bytes.TrimRight(want, "\r\n")) {
				t.Fatalf("%q, not %q", got, want)
			}
		}
		r.release()
		if n := i.lines.Load(); n != 0 {
			t.Fatalf("%d bytes are still accounted for", n)
		}
	})
}
