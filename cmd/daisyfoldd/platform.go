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

// settingsPollInterval is the time between two reads of the settings file, which may change
// without a signal.
const settingsPollInterval = 5 * time.Second

// runPlatform runs the daemon on the users' platform and returns the exit code. An
// environment variable of the platform holds the path of the settings file.
func runPlatform() int {
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloadSignals, syscall.SIGHUP)
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
	defer func() { _ = logger.Sync() }() // writes queued log lines
	h := host.New(s, logger, dropped)
	stop := make(chan struct{})
	go func() { <-stopSignals; close(stop) }() // later signals have no effect
	go reloadOnChange(reloadSignals, path, logging.WithPart(logger, "host"), h)
	if err := h.Run(context.Background(), stop); err != nil {
		fmt.Fprintln(os.Stderr, "daisyfoldd:", err)
		return exitFailed
	}
	return 0
}

// reloadOnChange reloads the settings on each signal and when the file has changed.
func reloadOnChange(signals <-chan os.Signal, path string, log *zap.Logger, h *host.Host) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastData, _ := os.ReadFile(path) // runPlatform has just read it; the next poll reports an error
	for {
		select {
		case <-signals:
			log.Info("received SIGHUP; reloading the settings")
			lastData = reloadSettings(path, lastData, true, log, h)
		case <-ticker.C:
			lastData = reloadSettings(path, lastData, false, log, h)
		}
	}
}

// reloadSettings reads the settings file and applies it if it has changed or force is true.
// It returns the data to compare with at the next call.
func reloadSettings(path string, lastData []byte, force bool, log *zap.Logger, h *host.Host) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		log.Warn("cannot read the settings; keeping the current ones", zap.Error(err))
		return lastData
	}
	if !force && bytes.Equal(data, lastData) {
		return lastData
	}
	s, findings := platform.ParseSettings(path, data)
	if len(findings) > 0 {
		log.Warn("the settings are invalid; keeping the current ones", zap.Error(findings))
		return data
	}
	h.Reload(s)
	return data
}
