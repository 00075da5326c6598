package dhengine

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

// Announcements are sent every announcePeriod. The announceTimeout is shorter
// than the period, so that a slow entry VM does not delay the next announcement.
const (
	announcePeriod  = time.Second
	announceTimeout = 900 * time.Millisecond
)

// Announcer announces a Model to entry VMs.
type Announcer struct {
	Model  *Model
	Timers dhtimer.Service
	// Entries are the base URLs of the entry VMs.
	Entries []string
	// PeerKey is sent as the bearer token.
	PeerKey string
	// HTTP defaults to NewHTTPClient.
	HTTP connect.HTTPClient
	// Log defaults to slog.Default.
	Log *slog.Logger

	once    sync.Once
	clients []dhpbconnect.AnnounceServiceClient
}

func (a *Announcer) connect() {
	if a.HTTP == nil {
		a.HTTP = NewHTTPClient()
	}
	if a.Log == nil {
		a.Log = slog.Default()
	}
	for _, url := range a.Entries {
		a.clients = append(a.clients, dhpbconnect.NewAnnounceServiceClient(a.HTTP, url, dhwire.WithKey(a.PeerKey)))
	}
}

// Run sends an announcement to every entry VM each second until ctx ends. It
// logs only when announcements to an entry VM begin to fail or succeed again.
func (a *Announcer) Run(ctx context.Context) error {
	a.once.Do(a.connect)
	g := dhgroup.New(ctx)
	for i := range a.clients {
		g.Go(func(ctx context.Context) error {
			failed := false
			for {
				err := a.announce(ctx, i)
				if (err != nil) != failed && ctx.Err() == nil {
					failed = err != nil
					a.Log.Info("announcement", "entry", a.Entries[i], "ok", !failed, "error", err)
				}
				if dhtimer.Sleep(ctx, a.Timers, announcePeriod) != nil {
					return nil
				}
			}
		})
	}
	return g.Wait()
}

// AnnounceOnce sends one announcement to all entry VMs concurrently and waits
// for their responses or the timeout.
func (a *Announcer) AnnounceOnce(ctx context.Context) {
	a.once.Do(a.connect)
	g := dhgroup.New(ctx)
	for i := range a.clients {
		g.Go(func(ctx context.Context) error {
			_ = a.announce(ctx, i)
			return nil
		})
	}
	_ = g.Wait()
}

func (a *Announcer) announce(ctx context.Context, i int) error {
	record := a.Model.Record()
	if record == nil {
		return nil
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, a.Timers, announceTimeout)
	defer cancel()
	_, err := a.clients[i].Announce(ctx, &dhpb.AnnounceRequest{Backend: record})
	return err
}
