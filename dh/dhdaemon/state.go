package dhdaemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhjournal"
	"dandelionhoist.example/dh/dhledger"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// bootstrapPeriod is the interval between attempts to create or find the
	// voter set.
	bootstrapPeriod = 200 * time.Millisecond
	// confirmWait is how long a restarted voter, once it has reached another
	// VM, collects the record numbers that other VMs remember of it.
	confirmWait = time.Second
	// handOverPeriod is the interval between attempts to hand over held bills.
	handOverPeriod = time.Second
)

// randomSeed returns a seed from crypto/rand.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// random is a seeded random number generator that is safe for concurrent use.
// The seed makes tests reproducible.
type random struct {
	mu   sync.Mutex
	rand *mathrand.Rand
}

func newRandom(seed uint64) *random { return &random{rand: mathrand.New(mathrand.NewPCG(seed, 2))} }

func (r *random) uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Uint64()
}

func (r *random) float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.Float64()
}

func (r *random) shuffle(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// newIncarnation returns the incarnation number of this start. Later starts get
// higher numbers unless the VM's clock is set back.
func (d *Daemon) newIncarnation() uint64 { return uint64(d.Timers.Now().UnixMilli()) }

// voter is the durable state of a VM with a disk.
type voter struct {
	*dhquorum.Voter
	bills *dhjournal.Group
}

// buildState opens the disk and creates the proposer and the ledger.
func (d *Daemon) buildState() error {
	s := d.Settings
	d.proposer = &dhquorum.Proposer{
		Name: s.Name + "." + d.NewID(), Transport: d.Peers, Timers: d.Timers, Timeout: s.Timing.QuorumTimeout.Std(),
		Random: d.random.uint64,
	}
	d.ledger = &dhledger.Ledger{
		Name: s.Name, Group: d.group, Timers: d.Timers, Voters: d.billVoters, Reachable: d.reachable, Known: d.known,
		MaxHeld: s.Limits.Bills,
	}
	if s.State.Folder == "" {
		return nil
	}
	if d.Disk == nil {
		disk, err := dhdisk.OpenOS(s.State.Folder)
		if err != nil {
			return dhcode.Wrap(dhcode.DiskFailed, err)
		}
		d.Disk = disk
	}
	v, err := dhquorum.OpenVoter(d.Disk, d.NewID())
	if err != nil {
		return err
	}
	store := &dhledger.Store{VoterID: v.Status().ID}
	journal, err := dhjournal.Open(d.Disk, "bills", billState{store})
	if err != nil {
		return err
	}
	d.voter = &voter{Voter: v, bills: dhjournal.NewGroup(journal)}
	store.Journal = billJournal{d.voter.bills}
	d.ledger.Store = store
	return nil
}

// startState starts the voter, if this VM has one, and the search for the voter
// set.
func (d *Daemon) startState() {
	if d.voter != nil {
		d.group.Go(d.voter.Run)
		d.group.Go(d.voter.bills.Run)
		d.group.Go(d.confirmVoter)
		d.group.Go(d.maintainVoterSet)
	}
	d.group.Go(d.bootstrap)
}

// confirmVoter lets the voter vote once other VMs have reported the highest
// record number that they remember of it. This detects a disk that was restored
// from an older copy.
func (d *Daemon) confirmVoter(ctx context.Context) error {
	if len(d.Settings.State.Voters) > 1 {
		select {
		case <-d.members.Joined():
		case <-ctx.Done():
			return nil
		}
		if err := dhtimer.Sleep(ctx, d.Timers, confirmWait); err != nil {
			return nil
		}
	}
	return d.voter.Confirm(ctx, d.members.VoterSequence(d.voter.Status().ID))
}

// bootstrap creates the first voter set, or finds the current one. VMs that are
// not voters only find it, from the voters' answers.
func (d *Daemon) bootstrap(ctx context.Context) error {
	var first []dhquorum.Member
	for _, v := range d.Settings.State.Voters {
		first = append(first, dhquorum.Member{Address: v.Address, Zone: v.Zone})
	}
	for ctx.Err() == nil {
		set, err := d.proposer.Bootstrap(ctx, first)
		if err == nil {
			d.Log.Info("voter set", slog.Uint64("epoch", set.Epoch), slog.Int("voters", len(set.Voters)))
			return nil
		}
		d.Log.Debug("no voter set yet", slog.String("error", err.Error()))
		if dhtimer.Sleep(ctx, d.Timers, bootstrapPeriod) != nil {
			return nil
		}
	}
	return nil
}

func (d *Daemon) voterStatus() (string, uint64) {
	if d.voter == nil {
		return "", 0
	}
	s := d.voter.Status()
	return s.ID, s.Sequence
}

// billState adapts the merged set of bills to dhjournal.State.
type billState struct{ *dhledger.Store }

// Apply implements dhjournal.State.
func (s billState) Apply(record []byte) error { return s.Restore(record) }

// billJournal adapts a journal group to dhledger.Journal.
type billJournal struct{ group *dhjournal.Group }

// Append implements dhledger.Journal.
func (b billJournal) Append(record []byte, apply func()) error {
	return b.group.Do(context.Background(), func(j *dhjournal.Journal) {
		apply()
		j.Append(record)
	})
}

// billPeer calls the ledger of another VM.
type billPeer struct {
	client  PeerClient
	address string
}

// PutBills implements dhledger.Client.
func (b billPeer) PutBills(ctx context.Context, r *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error) {
	return b.client.PutBills(ctx, b.address, r)
}

// ListBills implements dhledger.Client.
func (b billPeer) ListBills(ctx context.Context, r *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	return b.client.ListBills(ctx, b.address, r)
}

// billVoters returns the voters as ledger peers, in two sets while the voter
// set changes.
func (d *Daemon) billVoters() [][]dhledger.Peer {
	set := d.proposer.Set()
	var sets [][]dhledger.Peer
	for _, members := range [][]dhquorum.Member{set.Voters, set.Next} {
		var peers []dhledger.Peer
		for _, m := range members {
			peers = append(peers, dhledger.Peer{Name: m.ID, VoterID: m.ID, Client: billPeer{d.Peers, m.Address}})
		}
		if len(peers) > 0 {
			sets = append(sets, peers)
		}
	}
	return sets
}

func (d *Daemon) reachable() []dhledger.Peer {
	return d.otherPeers(d.members.View().Alive(), func(m dhmember.Member) bool { return m.State == dhmember.Alive })
}

func (d *Daemon) known() []dhledger.Peer {
	return d.otherPeers(d.members.View().All(), func(m dhmember.Member) bool { return m.State != dhmember.Left })
}

func (d *Daemon) otherPeers(list []dhmember.Member, keep func(dhmember.Member) bool) []dhledger.Peer {
	var peers []dhledger.Peer
	for _, m := range list {
		if m.Name != d.Settings.Name && keep(m) {
			peers = append(peers, dhledger.Peer{Name: m.Name, VoterID: m.VoterID, Client: billPeer{d.Peers, m.Address}})
		}
	}
	return peers
}

// handOverBills periodically hands held bills over to the voters.
func (d *Daemon) handOverBills(ctx context.Context) error {
	for dhtimer.Sleep(ctx, d.Timers, handOverPeriod) == nil {
		if _, err := d.ledger.HandOver(ctx); err != nil {
			d.Log.Warn("bills not handed over", slog.Int("held", d.ledger.Held()), slog.String("error", err.Error()))
		}
	}
	return nil
}

// flushHeldBills hands over all held bills before the VM stops, or until ctx
// ends.
func (d *Daemon) flushHeldBills(ctx context.Context) {
	for d.ledger.Held() > 0 {
		_, _ = d.ledger.HandOver(ctx) // retried until ctx ends
		if dhtimer.Sleep(ctx, d.Timers, bootstrapPeriod) != nil {
			return
		}
	}
}

// billExporter exports and forgets bills for operators.
type billExporter struct{ ledger *dhledger.Ledger }

// Export implements dhserver.BillExporter. The ledger merges bills by account
// and request id; operators see the caller's request id.
func (e billExporter) Export(ctx context.Context, req *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	out, err := e.ledger.Export(ctx, req.GetAfter(), int(req.GetLimit()))
	if err != nil {
		return nil, err
	}
	response := &dhpb.ExportBillsResponse{Next: out.Next, Complete: out.Complete}
	for _, b := range out.Bills {
		b = proto.CloneOf(b)
		b.RequestId = strings.TrimPrefix(b.RequestId, dhrouter.BillID(b.Account, ""))
		response.Bills = append(response.Bills, b)
	}
	return response, nil
}

// Forget implements dhserver.BillExporter.
func (e billExporter) Forget(ctx context.Context, bills []*dhpb.Bill) (voters int, err error) {
	ids := make([]string, 0, len(bills))
	for _, b := range bills {
		ids = append(ids, dhrouter.BillID(b.GetAccount(), b.GetRequestId()))
	}
	return e.ledger.Forget(ctx, ids)
}

// remoteAnswers fetches and cancels answers that other entry VMs hold.
type remoteAnswers struct {
	members *dhmember.Members
	peers   PeerClient
}

// Fetch implements dhserver.AnswerFetcher. All other VMs are queried
// concurrently, so that an unresponsive VM does not delay the answer.
func (o *remoteAnswers) Fetch(ctx context.Context, account, requestID string, offset int64) (*dhpb.FetchAnswerResponse, error) {
	out, err := o.queryOtherVMs(ctx, &dhpb.FetchAnswerRequest{Account: account, RequestId: requestID, Offset: offset})
	if err != nil || out.GetFound() {
		return out, err
	}
	err = dhcode.Errorf(dhcode.AnswerNotKept, "no reachable entry VM holds the answer to request %q", requestID)
	return nil, dhcode.WithRan(err, dhcode.RanUnknown)
}

// Cancel implements dhserver.AnswerFetcher.
func (o *remoteAnswers) Cancel(ctx context.Context, account, requestID string) bool {
	out, err := o.queryOtherVMs(ctx, &dhpb.FetchAnswerRequest{Account: account, RequestId: requestID, Cancel: true})
	return err == nil && out.GetFound()
}

type fetchResult struct {
	answer *dhpb.FetchAnswerResponse
	err    error
}

// queryOtherVMs returns the response of the VM that holds the answer to the
// request, or nil when no reachable VM holds it.
func (o *remoteAnswers) queryOtherVMs(ctx context.Context, req *dhpb.FetchAnswerRequest) (*dhpb.FetchAnswerResponse, error) {
	otherMembers := o.others()
	answers := make(chan fetchResult, len(otherMembers))
	group := dhgroup.New(ctx)
	defer group.Stop()
	for _, m := range otherMembers {
		group.Go(func(ctx context.Context) error {
			out, err := o.peers.FetchAnswer(ctx, m.Address, req)
			answers <- fetchResult{out, err}
			return nil
		})
	}
	for range otherMembers {
		a := <-answers
		if a.err == nil && a.answer.GetFound() {
			return a.answer, nil
		}
		if a.err != nil && dhcode.Of(a.err) != dhcode.QuorumUnreachable {
			return nil, a.err
		}
	}
	return nil, nil
}

func (o *remoteAnswers) others() []dhmember.Member {
	view := o.members.View()
	return slices.DeleteFunc(view.Alive(), func(m dhmember.Member) bool { return m.Name == view.Self.Name })
}

// engineClient calls backend servers over the network.
type engineClient struct{ client *dhengine.Client }

// Generate implements dhrouter.Engine.
func (e engineClient) Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (dhrouter.Stream, error) {
	stream, err := e.client.Generate(ctx, address, req)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// CacheEvents implements cacheSource.
func (e engineClient) CacheEvents(ctx context.Context, address string, after uint64, f func(*dhpb.CacheEvent) bool) error {
	return e.client.CacheEvents(ctx, address, after, f)
}
