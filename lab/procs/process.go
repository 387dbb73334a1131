// Package procs runs the repository's programs as separate processes for integration
// tests and measurements.
package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLogLines bounds the output kept per process. Later lines are dropped.
const maxLogLines = 20_000

// Process is a running program.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu      sync.Mutex // leaf lock
	lines   []string
	changed chan struct{}
}

// Start starts a program with env added to the environment.
func Start(name, path string, args, env []string) (*Process, error) {
	p := &Process{name: name, cmd: exec.Command(path, args...), done: make(chan struct{}), changed: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	var readers sync.WaitGroup
	readers.Go(func() { p.collectLines(stdout) })
	readers.Go(func() { p.collectLines(stderr) })
	go func() {
		readers.Wait()
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Name returns the name given to Start.
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

func (p *Process) collectLines(r io.Reader) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		if len(p.lines) < maxLogLines {
			p.lines = append(p.lines, scanner.Text())
		}
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

// Output returns the stdout and stderr lines so far, in order of arrival.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// Event is a line of a JSON log.
type Event map[string]any

// Field returns a string field, or "" if it is missing or not a string.
func (e Event) Field(field string) string {
	text, _ := e[field].(string)
	return text
}

// AwaitEvent waits for a log line with the given event name.
func (p *Process) AwaitEvent(ctx context.Context, name string) (Event, error) {
	var found Event
	err := p.awaitLine(ctx, func(line string) bool {
		var e Event
		if json.Unmarshal([]byte(line), &e) != nil || e.Field("event") != name {
			return false
		}
		found = e
		return true
	})
	return found, errors.Wrapf(err, "event %q", name)
}

// AwaitEvents waits until count log lines with an event name have been printed.
func (p *Process) AwaitEvents(ctx context.Context, name string, count int) error {
	err := p.awaitLine(ctx, func(line string) bool {
		var e Event
		if json.Unmarshal([]byte(line), &e) == nil && e.Field("event") == name {
			count--
		}
		return count == 0
	})
	return errors.Wrapf(err, "events %q", name)
}

// AwaitEventField waits for a log line with the given event name and field value.
func (p *Process) AwaitEventField(ctx context.Context, name, field, value string) error {
	err := p.awaitLine(ctx, func(line string) bool {
		var e Event
		return json.Unmarshal([]byte(line), &e) == nil && e.Field("event") == name && e.Field(field) == value
	})
	return errors.Wrapf(err, "event %q of %q", name, value)
}

// AwaitPrefix waits for a line with a prefix and returns the rest of the line.
func (p *Process) AwaitPrefix(ctx context.Context, prefix string) (string, error) {
	var rest string
	err := p.awaitLine(ctx, func(line string) bool {
		var ok bool
		rest, ok = strings.CutPrefix(line, prefix)
		return ok
	})
	return rest, errors.Wrapf(err, "line %q", prefix)
}

func (p *Process) awaitLine(ctx context.Context, match func(string) bool) error {
	next := 0
	for {
		p.mu.Lock()
		lines, changed := p.lines[next:], p.changed
		p.mu.Unlock()
		for _, line := range lines {
			if match(line) {
				return nil
			}
		}
		next += len(lines)
		select {
		case <-changed:
		case <-p.done:
			return errors.Newf("%s exited: %s", p.name, p.Output())
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s printed: %s", p.name, p.Output())
		}
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Suspend stops the process with SIGSTOP until Resume.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Done is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop sends SIGTERM, waits for the process to exit and returns its exit code.
func (p *Process) Stop(ctx context.Context) (int, error) {
	p.Signal(syscall.SIGTERM)
	return p.Wait(ctx)
}

// Wait waits for the process to exit and returns its exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "%s has not exited", p.name)
	}
}

// clockTick is the unit of CPU time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// CPU returns the user and system CPU time of the process.
func (p *Process) CPU() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, errors.Wrapf(err, "CPU time of %s", p.name)
	}
	_, fields, _ := strings.Cut(string(data), ") ")
	var user, system int64
	columns := strings.Fields(fields)
	if len(columns) < 13 {
		return 0, errors.Newf("/proc/PID/stat of %s is malformed", p.name)
	}
	if _, err := fmt.Sscan(columns[11], &user); err != nil {
		return 0, errors.Wrapf(err, "CPU time of %s", p.name)
	}
	if _, err := fmt.Sscan(columns[12], &system); err != nil {
		return 0, errors.Wrapf(err, "CPU time of %s", p.name)
	}
	return time.Duration(user+system) * clockTick, nil
}

// Memory returns the resident memory of the process in bytes.
func (p *Process) Memory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return 0, errors.Wrapf(err, "memory of %s", p.name)
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, errors.Wrapf(err, "memory of %s", p.name)
	}
	return resident * int64(os.Getpagesize()), nil
}
