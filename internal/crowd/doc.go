// Package crowd starts the daemon as a process and sends it crowds of clients that keep to no
// limit: bodies that do not end, responses that nobody reads, connections that are not used. It
// has tests only, which run alone: go test -tags crowd -p 1 -count=1 ./internal/crowd/...
package crowd
