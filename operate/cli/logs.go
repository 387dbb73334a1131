package cli

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/operate/logs"
)

// standardInput is the file name that stands for the standard input.
const standardInput = "-"

// explainFromLogs explains a request from collected logs.
func (c *Explain) explainFromLogs(f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() != 2 || f.Arg(0) != "request" {
		fmt.Fprint(c.streams.Err, c.Usage())
		return process.ExitUsage
	}
	lines, err := c.readLogs()
	if err != nil {
		fmt.Fprintln(c.streams.Err, err)
		return process.ExitFailure
	}
	report, ok := logs.Explain(lines, f.Arg(1))
	if !ok {
		fmt.Fprintf(c.streams.Err, "no log line has request %s; lines may have been dropped or the logs may start later\n", f.Arg(1))
		return process.ExitFailure
	}
	if err := report.Write(c.streams.Out); err != nil {
		fmt.Fprintln(c.streams.Err, err)
		return process.ExitFailure
	}
	return process.ExitOK
}

func (c *Explain) readLogs() ([]logs.Line, error) {
	var all []logs.Line
	for _, name := range strings.Split(c.logs, ",") {
		lines, err := c.readLog(name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	logs.Sort(all)
	return all, nil
}

func (c *Explain) readLog(name string) ([]logs.Line, error) {
	var in io.Reader = c.streams.In
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	lines, _, err := logs.Read(in)
	return lines, err
}
