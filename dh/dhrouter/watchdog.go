package dhrouter

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog ends an attempt whose backend server has been silent for too long,
// once the retry budget has paid for another one. Its timer runs once per
// patience, not once per event.
type watchdog struct {
	router   *Router
	pool     string
	stop     context.CancelCauseFunc
	patience time.Duration
	seen     atomic.Int64
	ended    atomic.Bool
}

func (w *watchdog) progress(now time.Time) { w.seen.Store(now.UnixNano()) }

// start begins the watch of an attempt that may be silent for first before its
// first sign of progress.
func (w *watchdog) start(now time.Time, first time.Duration) {
	if w.patience > 0 {
		w.progress(now.Add(first - w.patience))
		w.router.Timers.After(first, w.check)
	}
}

func (w *watchdog) check(now time.Time) {
	if w.ended.Load() {
		return
	}
	silent := time.Duration(now.UnixNano() - w.seen.Load())
	if silent < w.patience {
		w.router.Timers.After(w.patience-silent, w.check)
		return
	}
	if w.router.Retries.Retry(w.pool) != nil {
		// Without another attempt the answer may still come.
		w.router.Timers.After(w.patience, w.check)
		return
	}
	w.stop(errStalled)
}

func (w *watchdog) end() { w.ended.Store(true) }
