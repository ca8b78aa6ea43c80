// Package model defines the value types that the other packages share: availability
// zones, organisations, workers, jobs, tasks and placements. It has no behaviour
// beyond small accessors and imports no other package of daisyfold.
package model
