package dhjournal

import (
	"context"
	"errors"
)

// maxQueuedCalls limits the calls that wait for a commit, and thereby the size of one batch.
const maxQueuedCalls = 4096

// Group runs calls on the single goroutine that owns a journal and its state,
// and commits all waiting calls together. Syncs run on this goroutine only, so
// that a slow disk does not block other goroutines.
type Group struct {
	// AfterCommit, if set, runs after each successful commit and before its
	// calls return. It must be set before Run.
	AfterCommit func(j *Journal)

	journal *Journal
	calls   chan *call
	stopped chan struct{}
	err     error
}

type call struct {
	f    func(j *Journal)
	done chan error
}

var errStopped = errors.New("journal group is stopped")

// NewGroup returns a group that serves calls once Run is called.
func NewGroup(j *Journal) *Group {
	return &Group{journal: j, calls: make(chan *call, maxQueuedCalls), stopped: make(chan struct{})}
}

// Run serves calls until ctx ends or the journal fails, then closes the
// journal. It returns the journal's error.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.stopped)
	defer func() { _ = g.journal.Close() }()
	g.err = errStopped
	batch := make([]*call, 0, maxQueuedCalls)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-g.calls:
			batch = g.drain(append(batch[:0], c))
		}
		if err := g.commit(batch); err != nil {
			g.err = err
			return err
		}
	}
}

func (g *Group) drain(batch []*call) []*call {
	for len(batch) < maxQueuedCalls {
		select {
		case c := <-g.calls:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

func (g *Group) commit(batch []*call) error {
	for _, c := range batch {
		c.f(g.journal)
	}
	err := g.journal.Commit()
	if err == nil && g.AfterCommit != nil {
		g.AfterCommit(g.journal)
	}
	for _, c := range batch {
		c.done <- err
	}
	return err
}

// Do runs f on the owning goroutine and returns when all records that f
// appended are synced. After an error the caller must not acknowledge anything:
// the records may or may not be on disk. When ctx ends, f may still run.
func (g *Group) Do(ctx context.Context, f func(j *Journal)) error {
	c := &call{f: f, done: make(chan error, 1)}
	select {
	case g.calls <- c:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return g.err
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
	}
	// The call may have been part of the last batch.
	select {
	case err := <-c.done:
		return err
	default:
		return g.err
	}
}
