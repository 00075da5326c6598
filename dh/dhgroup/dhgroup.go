// Package dhgroup runs a group of goroutines with a common context and waits for
// them to return.
//
// # Usage
//
//	group := dhgroup.New(ctx)
//	group.Go(func(ctx context.Context) error { return serve(ctx) })
//	err := group.Wait()
//
// The group's context is cancelled when one of its functions returns an error.
package dhgroup

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines with a common context.
type Group struct {
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	return &Group{group: group, ctx: ctx, cancel: cancel}
}

// Go runs f in a new goroutine of the group.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.group.Go(func() error { return f(g.ctx) })
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Stop cancels the group's context.
func (g *Group) Stop() { g.cancel() }

// Wait waits for all functions to return, cancels the group's context and
// returns the first error.
func (g *Group) Wait() error {
	defer g.cancel()
	return g.group.Wait()
}
