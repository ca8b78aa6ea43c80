// Package model holds the value types that the other packages share: availability
// zones, organisations, workers, jobs, tasks and placements. It has no behaviour
// beyond small accessors and depends on no other package of daisyfold.
package model
