// Command daisyfoldd is the daemon of one entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/daemon"
	"github.com/daisyfold/daisyfold/internal/logging"
	"github.com/daisyfold/daisyfold/internal/settings"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

// Exit codes of the command.
const (
	exitFailed   = 1
	exitBadInput = 2
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings of the daemon, JSON with comments"`
	Platform bool   `long:"platform" description:"run on the users' platform, with the platform's settings file"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitBadInput)
	}
	if o.Platform == (o.Settings != "") {
		fmt.Fprintln(os.Stderr, "daisyfoldd: specify either --settings FILE or --platform")
		os.Exit(exitBadInput)
	}
	if o.Platform {
		os.Exit(runPlatform())
	}
	s, findings := settings.Load(o.Settings)
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, findings.Error())
		os.Exit(exitBadInput)
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "daisyfoldd:", err)
		os.Exit(exitFailed)
	}
}

func run(s *settings.Settings) error {
	limitRuntime()
	logger, err := logging.New(s.Log.Level)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	flush, err := tracing.Setup(ctx, s)
	if err != nil {
		return err
	}
	registry := gometrics.NewRegistry()
	hosts := len(s.Peers) + 1
	external, err := daemon.NewExternal(s, registry, func() int { return hosts })
	if err != nil {
		return err
	}
	d := daemon.New(daemon.Options{
		Settings: s, Registry: registry, Logger: logger, External: external,
	})
	err = d.Run(ctx, stopOnSignal(cancel))
	return errors.Join(err, flush(context.WithoutCancel(ctx)))
}

// stopOnSignal returns a channel that is closed at the first SIGTERM or interrupt. The
// second signal calls cancel, which aborts the drain.
func stopOnSignal(cancel context.CancelFunc) <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		cancel()
	}()
	return stop
}
