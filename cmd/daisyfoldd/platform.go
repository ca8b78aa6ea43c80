package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/host"
	"github.com/daisyfold/daisyfold/internal/logging"
	"github.com/daisyfold/daisyfold/platform"
)

// settingsCheck is the time between two looks at the settings file, which may change
// without a signal.
const settingsCheck = 5 * time.Second

// runPlatform runs the daemon on the users' platform, whose settings file is named by
// an environment variable.
func runPlatform() int {
	path := os.Getenv(platform.SettingsEnvVar)
	if path == "" {
		fmt.Fprintf(os.Stderr, "daisyfoldd: %s is not set\n", platform.SettingsEnvVar)
		return exitBadInput
	}
	s, findings := platform.LoadSettings(path)
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, findings.Error())
		return exitBadInput
	}
	logger, dropped, err := logging.NewStdout("info")
	if err != nil {
		fmt.Fprintln(os.Stderr, "daisyfoldd:", err)
		return exitFailed
	}
	host.SetMemoryLimit(s)
	defer func() { _ = logger.Sync() }() // waits for the last lines
	h := host.New(s, logger, dropped)
	stop := make(chan struct{})
	go watch(path, logging.Part(logger, "host"), h, stop)
	if err := h.Run(context.Background(), stop); err != nil {
		fmt.Fprintln(os.Stderr, "daisyfoldd:", err)
		return exitFailed
	}
	return 0
}

// watch closes stop on SIGTERM, and reloads the settings on SIGHUP and when the file has
// changed.
func watch(path string, log *zap.Logger, h *host.Host, stop chan<- struct{}) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	last, _ := os.ReadFile(path) // it was read a moment ago; a failure shows at the next look
	for {
		select {
		case got := <-signals:
			if got != syscall.SIGHUP {
				close(stop)
				return
			}
			log.Info("reload asked for")
			last = reload(path, last, true, log, h)
		case <-ticker.C:
			last = reload(path, last, false, log, h)
		}
	}
}

// reload reads the settings file and uses it if it has changed, or if asked to. It
// returns what it read.
func reload(path string, last []byte, asked bool, log *zap.Logger, h *host.Host) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		log.Warn("the settings cannot be read; the old ones stay", zap.Error(err))
		return last
	}
	if !asked && bytes.Equal(data, last) {
		return last
	}
	s, findings := platform.ParseSettings(path, data)
	if len(findings) > 0 {
		log.Warn("the settings have faults; the old ones stay", zap.Error(findings))
		return data
	}
	h.Reload(s)
	return data
}
