package timeline

import (
	"strings"

	"github.com/rs/zerolog"
)

// LoggingRecorder is a Recorder that also logs events, under the same names and IDs.
// Unknown outcomes and broken answers are logged at level warn, other events of
// requests and attempts at level debug.
type LoggingRecorder struct {
	Ring *Ring
	Log  zerolog.Logger
}

// Record implements Recorder.
func (l LoggingRecorder) Record(e Event) {
	l.Ring.Record(e)
	entry := l.Log.WithLevel(level(e))
	for _, f := range []struct{ name, value string }{
		{"request", string(e.Request)},
		{"attempt", string(e.Attempt)},
		{"endpoint", string(e.Endpoint)},
		{"incarnation", string(e.Incarnation)},
		{"duty", e.Duty},
	} {
		if f.value != "" {
			entry = entry.Str(f.name, f.value)
		}
	}
	entry.Str("event", string(e.Kind)).Msg(e.Detail)
}

func level(e Event) zerolog.Level {
	kind := string(e.Kind)
	switch {
	case strings.HasSuffix(kind, ".broken"), strings.HasSuffix(kind, ".unknown"):
		return zerolog.WarnLevel
	case e.Request != "" || e.Attempt != "":
		return zerolog.DebugLevel
	}
	return zerolog.InfoLevel
}
