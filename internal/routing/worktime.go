package routing

import (
	"math"
	"time"
)

const (
	// minWorkTime and maxWorkTime bound a reported work time, so that a faulty report neither attracts all requests to a
	// server nor keeps them all away.
	minWorkTime = 0.5
	maxWorkTime = 5
	// workTimeWindow is the time over which reports are averaged. The figure changes many times a second, so that one report
	// says little about the next second; what lasts longer is in the learned speed. In the play of TestSharedServers 3 s to
	// 30 s gave no shorter times to the first token than no figure at all.
	workTimeWindow = 500 * time.Millisecond
	// workTimeHalfReports is the number of reports at which their mean weighs as much as the assumption that the server works
	// as usual.
	workTimeHalfReports = 1
	// workTimeHalfAge is the age of the last report at which the mean weighs half.
	workTimeHalfAge = 400 * time.Millisecond
)

type (
	// workTime is the mean of the relative work times that a server has reported lately. The zero value is that of a server
	// that reports none.
	workTime struct {
		mean    float64
		reports float64 // Decaying number of reports.
		last    time.Time
	}
)

// add adds a reported work time, and ignores zero, which means that none was reported. Old reports lose their
// weight within workTimeWindow.
func (w *workTime) add(value float64, now time.Time) {
	if !(value > 0) {
		return
	}
	value = min(max(value, minWorkTime), maxWorkTime)
	if w.last.IsZero() {
		*w = workTime{mean: value, reports: 1, last: now}
		return
	}
	kept := math.Exp(-float64(max(now.Sub(w.last), 0)) / float64(workTimeWindow))
	w.reports = w.reports*kept + 1
	w.mean += (value - w.mean) / w.reports
	w.last = now
}

// factor returns the factor by which the server is expected to take longer than usual, exactly one if it reports no work
// times. With few or old reports it is nearer to one.
func (w *workTime) factor(now time.Time) float64 {
	if w.last.IsZero() {
		return 1
	}
	trust := w.reports / (w.reports + workTimeHalfReports) * freshness(now.Sub(w.last), workTimeHalfAge)
	return 1 + (w.mean-1)*trust
}
