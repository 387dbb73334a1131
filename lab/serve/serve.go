// Package serve implements the subcommands that run a test stand-in as a server process.
package serve

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/lab/engine"
	"github.com/siskinford/siskinford/lab/plainservice"
	"github.com/siskinford/siskinford/lab/platform"
)

// defaultListen selects a free loopback port.
const defaultListen = "127.0.0.1:0"

// serve serves h until SIGINT or SIGTERM. It prints "listening on URL", which tests
// parse.
func serve(listen string, h http.Handler) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(listener) }()
	fmt.Printf("listening on http://%s\n", listener.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	_ = s.Close()
	return subcommands.ExitSuccess
}

// Platform is the subcommand that runs the platform stand-in.
type Platform struct {
	listen string
	config platform.Config
}

// Name implements subcommands.Command.
func (*Platform) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*Platform) Synopsis() string { return "run the stand-in of the platform's object API" }

// Usage implements subcommands.Command.
func (*Platform) Usage() string { return "platform [--listen ip:port]\n" }

// SetFlags implements subcommands.Command.
func (c *Platform) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", defaultListen, "TCP address")
	f.Float64Var(&c.config.WritesPerSecond, "writes", 0, "limit of writes per second; 0 selects the default")
	f.Float64Var(&c.config.ReadsPerSecond, "reads", 0, "limit of reads per second; 0 selects the default")
	f.DurationVar(&c.config.HostLag, "host-lag", 0, "delay until a change of the host list becomes visible")
}

// Execute implements subcommands.Command.
func (c *Platform) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(c.listen, platform.New(c.config).Handler())
}

// Engine is the subcommand that runs the model engine stand-in.
type Engine struct {
	listen string
	config engine.Config
}

// Name implements subcommands.Command.
func (*Engine) Name() string { return "engine" }

// Synopsis implements subcommands.Command.
func (*Engine) Synopsis() string { return "run the stand-in of a model engine" }

// Usage implements subcommands.Command.
func (*Engine) Usage() string { return "engine [--listen ip:port] [--model name] [--step-time 20ms]\n" }

// SetFlags implements subcommands.Command.
func (c *Engine) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", defaultListen, "TCP address")
	f.StringVar(&c.config.Model, "model", "", "name of the model; empty accepts all")
	f.DurationVar(&c.config.StepTime, "step-time", 20*time.Millisecond, "time of an empty step")
	f.DurationVar(&c.config.SequenceTime, "sequence-time", 0, "time added to a step for each running sequence")
	f.DurationVar(&c.config.PrefillTime, "prefill-time", 0, "time added to a step for each prompt token that is not cached")
	f.IntVar(&c.config.Slots, "slots", 16, "sequences that run at the same time")
	f.DurationVar(&c.config.LoadLag, "load-lag", 0, "minimum age of load reports")
	f.BoolVar(&c.config.Fencing, "fencing", false, "refuse orders with an old epoch")
}

// Execute implements subcommands.Command.
func (c *Engine) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	e := engine.New(c.config)
	e.Start()
	defer e.Close()
	return serve(c.listen, e.Handler())
}

// Plain is the subcommand that runs the plain service stand-in.
type Plain struct {
	listen string
	config plainservice.Config
}

// Name implements subcommands.Command.
func (*Plain) Name() string { return "plain" }

// Synopsis implements subcommands.Command.
func (*Plain) Synopsis() string { return "run the stand-in of a plain service" }

// Usage implements subcommands.Command.
func (*Plain) Usage() string { return "plain [--listen ip:port] [--delay 0s]\n" }

// SetFlags implements subcommands.Command.
func (c *Plain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", defaultListen, "TCP address")
	f.DurationVar(&c.config.Delay, "delay", 0, "time that each run takes")
}

// Execute implements subcommands.Command.
func (c *Plain) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(c.listen, plainservice.New(c.config).Handler())
}
