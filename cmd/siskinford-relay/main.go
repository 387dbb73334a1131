// Command siskinford-relay runs next to an endpoint whose engine is a rank of a
// group. It samples the rank and forwards the orders of entries to it.
package main

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/agent/relay"
	"github.com/siskinford/siskinford/platform/replica"
	"github.com/siskinford/siskinford/platform/settings"
	wire "github.com/siskinford/siskinford/wire/relay"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

func run() int {
	zerolog.TimeFieldFormat = time.RFC3339Nano // Same as in the logs of entries.
	log := zerolog.New(os.Stdout).With().Timestamp().Str("program", "siskinford-relay").Logger()
	s, err := settings.Load()
	if err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("invalid settings")
		return exitUsage
	}
	log = log.With().Str("host", string(s.Host)).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // The settings that the relay uses do not change while it runs.
	address := netip.AddrPortFrom(s.IP, s.InternalPorts[0]).String()
	log.Info().Str("event", "process.started").Str("address", address).Str("engine", s.ReplicaAddress).Msg("relay started")
	newEngine := func(address string) wire.Engine { return replica.New(address) }
	server := relay.New(replica.New(s.ReplicaAddress), newEngine, func(event string, err error) {
		log.Info().Err(err).Str("event", event).Send()
	})
	server.SetLimits(relay.Limits{MemoryBytes: s.MemoryLimitBytes, MaxDescriptors: s.MaxOpenFiles})
	if err := server.Listen(ctx, address); err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("relay failed")
		return exitFailure
	}
	log.Info().Str("event", "process.stopping").Msg("relay stopped")
	return 0
}
