// Package queue orders waiting jobs without knowing true run times.
package queue

// History holds run times learned from finished jobs. Its methods stand in the
// other files of this package.
type History struct{}
