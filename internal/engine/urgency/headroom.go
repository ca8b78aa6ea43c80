package urgency

import (
	"math"
	"time"
)

const (
	// ArrivalWindow is the time over which arrivals of urgent work are counted: several times the
	// length of a burst of callers, so that the room that is kept does not come and go with each job.
	ArrivalWindow = 10 * time.Second
	// stopsCovered is the number of stops, one after the other, during whose time arriving urgent
	// work finds room: one until the room of a stop is free, and one that has to be repeated.
	stopsCovered = 2
	// maxHeadroomShare bounds the headroom. Urgent work that needs more has most of the workers
	// anyway, and what it does not use at once must not keep other work waiting.
	maxHeadroomShare = 0.25
)

// Headroom returns how many of the workers to keep free of other work for the urgent work that
// arrives while stops for it take effect, given the urgent work that arrived in the last
// ArrivalWindow, in workers that it fills. An urgent job whose objective leaves half of its run time
// is late if it first has to wait for a stop.
func Headroom(arrived float64, workers int, stop time.Duration) int {
	expected := arrived * stopsCovered * float64(stop) / float64(ArrivalWindow)
	return int(math.Ceil(min(expected, maxHeadroomShare*float64(workers))))
}

// MayUseHeadroom reports whether waiting work may use the room that is kept for urgent work: urgent
// work itself, unless it is beyond its organisation's rate, long-running work, for which other work
// would be stopped at once, and work that has waited for maxWait.
func MayUseHeadroom(w Work) bool {
	return (w.Priority == 0 && (w.Guaranteed || w.WithinRate)) || w.LongRunning || w.WaitingMS >= maxWait.Milliseconds()
}
