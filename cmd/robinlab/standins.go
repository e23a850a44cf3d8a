package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/lab/storesim"
)

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = 5 * time.Second

// serveHTTP serves until the context ends.
func serveHTTP(ctx context.Context, logger *zerolog.Logger, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", address)
	}
	logger.Info().Str("address", listener.Addr().String()).Msg("listening")
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// storeCommand runs the key-value service.
type storeCommand struct {
	Listen        string `help:"Address of the HTTP gateway." default:"127.0.0.1:2379"`
	Seed          uint64 `help:"Seed for lost answers." default:"1"`
	DelayMs       int    `help:"Delay of each answer in milliseconds."`
	LostAnswers   int    `help:"Share of writes whose answer is lost, in thousandths."`
	RatePerSecond int    `help:"Requests a second above which the store refuses; 0 is unlimited."`
	MachineLagMs  int    `help:"Age of the machine list in milliseconds."`
}

// Run serves until the process is told to stop.
func (command *storeCommand) Run(ctx context.Context, logger *zerolog.Logger) error {
	faults := storesim.Faults{
		DelayMillis:      command.DelayMs,
		LostAnswers:      command.LostAnswers,
		RatePerSecond:    command.RatePerSecond,
		MachineLagMillis: command.MachineLagMs,
	}
	return serveHTTP(ctx, logger, command.Listen, storesim.NewServer(faults, command.Seed))
}
