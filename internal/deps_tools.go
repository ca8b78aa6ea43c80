//go:build deps

// Package internal pins the modules that the project uses.
package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/gravitational/trace"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/tailscale/hujson"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/term"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
