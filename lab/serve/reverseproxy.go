package serve

import (
	"context"
	"flag"
	"fmt"
	"net/http/httputil"
	"net/url"
	"os"

	"github.com/google/subcommands"
)

// ReverseProxy is the subcommand that runs the baseline of the latency measurements:
// the standard library's reverse proxy, flushing after each write.
type ReverseProxy struct {
	listen string
	target string
}

// Name implements subcommands.Command.
func (*ReverseProxy) Name() string { return "reverse-proxy" }

// Synopsis implements subcommands.Command.
func (*ReverseProxy) Synopsis() string { return "run a plain reverse proxy as baseline" }

// Usage implements subcommands.Command.
func (*ReverseProxy) Usage() string { return "reverse-proxy --target URL [--listen ip:port]\n" }

// SetFlags implements subcommands.Command.
func (c *ReverseProxy) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", defaultListen, "TCP address")
	f.StringVar(&c.target, "target", "", "base URL of the back end; required")
}

// Execute implements subcommands.Command.
func (c *ReverseProxy) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	target, err := url.Parse(c.target)
	if err != nil || target.Host == "" {
		fmt.Fprintf(os.Stderr, "target %q is not a URL\n", c.target)
		return subcommands.ExitUsageError
	}
	proxy := &httputil.ReverseProxy{
		FlushInterval: -1,
		Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(target) },
	}
	return serve(c.listen, proxy)
}
