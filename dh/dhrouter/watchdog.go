package dhrouter

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt whose backend server has made no progress within
// timeout, once a retry has been taken from the retry budget. Its timer fires
// about once per timeout, not once per event.
type watchdog struct {
	router       *Router
	pool         string
	cancel       context.CancelCauseFunc
	timeout      time.Duration
	lastProgress atomic.Int64
	ended        atomic.Bool
}

func (w *watchdog) progress(now time.Time) { w.lastProgress.Store(now.UnixNano()) }

// start starts the watchdog. The first sign of progress may take up to first.
func (w *watchdog) start(now time.Time, first time.Duration) {
	if w.timeout > 0 {
		w.progress(now.Add(first - w.timeout))
		w.router.Timers.After(first, w.check)
	}
}

func (w *watchdog) check(now time.Time) {
	if w.ended.Load() {
		return
	}
	silent := time.Duration(now.UnixNano() - w.lastProgress.Load())
	if silent < w.timeout {
		w.router.Timers.After(w.timeout-silent, w.check)
		return
	}
	if w.router.Retries.Retry(w.pool) != nil {
		// No retry is permitted, and the answer may still arrive.
		w.router.Timers.After(w.timeout, w.check)
		return
	}
	w.cancel(errStalled)
}

func (w *watchdog) end() { w.ended.Store(true) }
