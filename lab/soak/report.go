package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/siskinford/siskinford/operate/logs"
)

// Result summarizes the run of one seed.
type Result struct {
	Seed       uint64
	Faults     int
	Requests   int
	Complete   int
	Refused    int
	Other      int
	MapChanges int
	Violations []Violation
	Took       time.Duration
}

func (r Result) String() string {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("%d PROMISES BROKEN", len(r.Violations))
	}
	return fmt.Sprintf("seed %d: %s; %d faults, %d requests: %d complete, %d refused, %d other; %d map changes, %.0f s",
		r.Seed, verdict, r.Faults, r.Requests, r.Complete, r.Refused, r.Other, r.MapChanges, r.Took.Seconds())
}

func (r *run) result() Result {
	out := Result{
		Seed: r.plan.Seed, Faults: len(r.plan.Faults), Violations: r.record.sortedViolations(), Took: time.Since(r.startedAt),
		MapChanges: r.site.Group().Status().MapSwitches,
	}
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for _, x := range r.record.exchanges {
		out.Requests++
		switch {
		case x.Reply.Complete():
			out.Complete++
		case impliesNotRun(x.Reply.Status):
			out.Refused++
		default:
			out.Other++
		}
	}
	return out
}

// logWindow is the time before and after the first violation whose logs are reported.
const logWindow = 4 * time.Second

// writeReport writes the violations, the plan, a plot, and the merged logs around the
// first violation into a directory.
func (r *run) writeReport(dir string, res Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintln(&text, res)
	for _, v := range res.Violations {
		fmt.Fprintf(&text, "%s  %6.2fs  %s  %s: %s\n", v.At.UTC().Format(time.RFC3339Nano), v.At.Sub(r.startedAt).Seconds(), v.Request, v.Promise, v.Detail)
	}
	fmt.Fprintln(&text, "plan:")
	for _, f := range r.plan.Faults {
		fmt.Fprintln(&text, " ", f)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.txt"), []byte(text.String()), 0o644); err != nil {
		return err
	}
	if len(res.Violations) > 0 {
		if err := r.writeLogs(filepath.Join(dir, "log.jsonl"), res.Violations[0].At); err != nil {
			return err
		}
	}
	return r.plot(filepath.Join(dir, "outcomes.svg"))
}

// writeLogs writes the merged log lines of all processes and the faults around a time.
func (r *run) writeLogs(path string, at time.Time) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	var all []logs.Line
	for _, p := range r.site.Processes() {
		lines, _, err := logs.Read(strings.NewReader(p.Output()))
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	for _, x := range r.plan.Faults {
		all = append(all, logs.Line{Time: r.startedAt.Add(x.At), Event: "soak.fault", Host: "soak", Message: x.String()})
	}
	logs.Sort(all)
	for _, l := range all {
		if l.Time.Before(at.Add(-logWindow)) || l.Time.After(at.Add(logWindow)) {
			continue
		}
		if err := writeLine(f, l); err != nil {
			return err
		}
	}
	return f.Close()
}

func writeLine(w io.Writer, l logs.Line) error {
	fields := map[string]any{"time": l.Time, "host": l.Host, "event": l.Event}
	for k, v := range map[string]string{"request": l.Request, "service": l.Service, "message": l.Message} {
		if v != "" {
			fields[k] = v
		}
	}
	for k, v := range l.Fields {
		fields[k] = v
	}
	return json.NewEncoder(w).Encode(fields)
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// plotBucket is the time resolution of the plot.
	plotBucket = 250 * time.Millisecond
)

// plot draws the rates of outcomes over time, with a mark at the start of each fault.
func (r *run) plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d", r.plan.Seed)
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = "requests per second"
	p.Legend.Top = true
	var complete, refused, other plotter.XYs
	last := int(time.Since(r.startedAt) / plotBucket)
	count := make([][3]float64, last+1)
	r.record.mu.Lock()
	for _, x := range r.record.exchanges {
		i := int(x.End.Sub(r.startedAt) / plotBucket)
		if i < 0 || i > last {
			continue
		}
		n := 1 / plotBucket.Seconds()
		switch {
		case x.Reply.Complete():
			count[i][0] += n
		case impliesNotRun(x.Reply.Status):
			count[i][1] += n
		default:
			count[i][2] += n
		}
	}
	r.record.mu.Unlock()
	for i, c := range count {
		at := float64(i) * plotBucket.Seconds()
		complete = append(complete, plotter.XY{X: at, Y: c[0]})
		refused = append(refused, plotter.XY{X: at, Y: c[1]})
		other = append(other, plotter.XY{X: at, Y: c[2]})
	}
	var marks plotter.XYs
	for _, f := range r.plan.Faults {
		marks = append(marks, plotter.XY{X: f.At.Seconds()})
	}
	if err := plotutil.AddLines(p, "complete", complete, "refused", refused, "other", other); err != nil {
		return err
	}
	if err := plotutil.AddScatters(p, "faults", marks); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
