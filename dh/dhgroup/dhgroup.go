// Package dhgroup starts goroutines that belong together and waits for them.
//
// # Usage
//
//	group := dhgroup.New(ctx)
//	group.Go(func(ctx context.Context) error { return serve(ctx) })
//	err := group.Wait()
//
// The context of the group ends when its first function fails.
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

// New returns a group whose context ends with ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	return &Group{group: group, ctx: ctx, cancel: cancel}
}

// Go runs f on a goroutine of the group.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.group.Go(func() error { return f(g.ctx) })
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Stop ends the group's context.
func (g *Group) Stop() { g.cancel() }

// Wait waits for all functions and returns the first error.
func (g *Group) Wait() error {
	defer g.cancel()
	return g.group.Wait()
}
