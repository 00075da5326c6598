// Package dhdaemon builds and runs the components of an entry VM. The command
// dandelionhoistd and the end-to-end tests in dhsession use it.
//
// # Usage
//
//	daemon := &dhdaemon.Daemon{Settings: settings, Keys: keys, Timers: dhtimer.NewSystem(), Log: log}
//	err := daemon.Run(ctx, stop) // a value on stop starts the graceful shutdown
package dhdaemon

import (
	"context"
	"crypto/rand"
	"expvar"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcascade"
	"dandelionhoist.example/dh/dhclaim"
	"dandelionhoist.example/dh/dhcold"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhledger"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhnode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpeer"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhpool"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhserver"
	"dandelionhoist.example/dh/dhsetting"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

// resumeGrace is how long a request keeps running when no caller reads its answer.
const resumeGrace = 10 * time.Second

// PeerClient calls other entry VMs by address.
type PeerClient interface {
	dhmember.Transport
	dhquorum.Transport
	FetchRevision(ctx context.Context, address string, revision uint64) (*dhpb.Revision, error)
	PutBills(ctx context.Context, address string, m *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error)
	ListBills(ctx context.Context, address string, m *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error)
	LendCredit(ctx context.Context, address string, m *dhpb.LendCreditRequest) (*dhpb.LendCreditResponse, error)
	LendLimit(ctx context.Context, address string, m *dhpb.LendLimitRequest) (*dhpb.LendLimitResponse, error)
	FetchAnswer(ctx context.Context, address string, m *dhpb.FetchAnswerRequest) (*dhpb.FetchAnswerResponse, error)
}

// rolloutThresholds define which answers count against a rollout.
var rolloutThresholds = dhversion.AnswerCriteria{LowRating: 0.5, MinTokens: 1, SlowFirstToken: 5 * time.Second}

// Daemon is one entry VM. Exported fields are set before Run.
type Daemon struct {
	Settings dhsetting.Settings
	Keys     dhserver.Keys
	Timers   dhtimer.Service
	Log      *slog.Logger
	// Peers calls other entry VMs; nil selects the network client.
	Peers PeerClient
	// Engine calls backend servers; nil selects the network client.
	Engine dhrouter.Engine
	// Disk stores the durable state; nil selects the folder of the settings, if
	// one is set.
	Disk dhdisk.Disk
	// NewID returns random ids; nil selects crypto/rand.
	NewID func() string
	// Seed initializes the random number generators; 0 selects a random seed.
	Seed uint64
	// NoListen disables the network servers.
	NoListen bool

	group *dhgroup.Group
	// serverGroup runs the network servers.
	serverGroup *dhgroup.Group
	random      *random
	metrics     *dhmetric.Metrics
	members     *dhmember.Members
	proposer    *dhquorum.Proposer
	voter       *voter
	ledger      *dhledger.Ledger
	router      *dhrouter.Router
	node        *dhnode.Node
	digest      *dhbackend.Digest
	claims      *dhclaim.Claims
	limiter     *dhlimit.Limiter
	credits     *dhcold.Credits
	ratings     *ratings
	// incarnation identifies this start of the VM.
	incarnation uint64
	pools       *poolController
	drained     chan struct{}
}

// Run serves until a value arrives on stop and the graceful shutdown has
// ended, or until a component fails.
func (d *Daemon) Run(ctx context.Context, stop <-chan struct{}) error {
	if err := d.Build(ctx); err != nil {
		return err
	}
	d.start()
	d.group.Go(func(ctx context.Context) error { return d.waitStop(ctx, stop) })
	return d.group.Wait()
}

// waitStop waits for a value on stop and then performs the graceful shutdown.
func (d *Daemon) waitStop(ctx context.Context, stop <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	limited, cancel := dhtimer.WithTimeout(ctx, d.Timers, d.Settings.Timing.StopLimit.Std())
	defer cancel()
	d.node.Leave(limited)
	d.flushHeldBills(limited)
	close(d.drained)
	// Handlers may still be writing answers; the servers wait for them.
	err := d.serverGroup.Wait()
	d.Log.Info("stopped", slog.Bool("complete", err == nil && limited.Err() == nil))
	d.group.Stop()
	return nil
}

// setDefaults sets unset fields to their defaults.
func (d *Daemon) setDefaults() {
	if d.Peers == nil {
		d.Peers = &dhpeer.Client{Key: string(d.Keys.Peer[0])}
	}
	if d.Engine == nil {
		d.Engine = engineClient{new(dhengine.Client)}
	}
	if d.NewID == nil {
		d.NewID = rand.Text
	}
	if d.Seed == 0 {
		d.Seed = randomSeed()
	}
}

// Build creates all components without starting them. Run calls it unless it
// has been called before.
func (d *Daemon) Build(ctx context.Context) error {
	if d.group != nil {
		return nil
	}
	d.setDefaults()
	d.group = dhgroup.New(ctx)
	d.serverGroup = dhgroup.New(d.group.Context())
	d.drained = make(chan struct{})
	d.incarnation = d.newIncarnation()
	s := d.Settings
	d.metrics = dhmetric.New(s.Limits.HistogramLabels)
	d.random = newRandom(d.Seed)
	if err := d.buildState(); err != nil {
		return err
	}
	answers := &dhanswer.Table{
		Timers: d.Timers, MaxAnswers: s.Limits.Answers, MaxBytes: s.Limits.AnswerBytes, Keep: s.Timing.AnswerKept.Std(),
		Grace: resumeGrace,
	}
	placer := &dhplacement.Placer{Timers: d.Timers, Zone: s.Zone, Settings: dhplacement.Defaults(), Seed: d.Seed}
	planner := &dhcascade.Planner{Timers: d.Timers}
	d.claims = d.newClaims()
	d.credits = d.newCredits()
	limiter := &dhlimit.Limiter{Timers: d.Timers, MaxQueue: s.Limits.Queue, Peers: limitPeers{d}}
	d.limiter = limiter
	d.router = &dhrouter.Router{
		Timers: d.Timers, Group: d.group, Log: d.Log, Metrics: d.metrics, Answers: answers,
		Versions: &dhversion.Chooser{Keys: d.Keys.Session, NewSessionID: d.NewID},
		Placer:   placer,
		Credits:  d.credits, Limiter: limiter, Retries: &dhlimit.Budget{}, Breakers: &dhlimit.Breakers{Timers: d.Timers},
		Backoff: dhlimit.Backoff{Random: d.random.float64}.Delay,
		Claims:  d.claims, Ledger: d.ledger, Planner: planner, Engine: d.Engine,
		VM: s.Name, Zone: s.Zone, MaxAttempts: s.Limits.Attempts,
		NewRequestID: d.NewID,
	}
	if s.Rating.Address != "" {
		d.ratings = d.newRatings(planner)
		d.router.Ratings = d.ratings
	}
	d.node = &dhnode.Node{
		Settings: s, Timers: d.Timers, Group: d.group, Log: d.Log, Metrics: d.metrics, Peers: d.Peers,
		Registers: d.proposer, Revisions: &dhedit.Revisions{Timers: d.Timers}, Router: d.router, Limiter: limiter,
		Answers: answers, Evidence: &dhversion.Evidence{VM: s.Name, Incarnation: d.incarnation},
		VoterStatus: d.voterStatus, Criteria: rolloutThresholds,
		IsVoter: func(id string) bool { return d.proposer.Set().Contains(id) },
	}
	d.digest = &dhbackend.Digest{
		Timers: d.Timers, Name: s.Name, Zone: s.Zone, Received: d.node.AnnounceFromPeer,
		Lease: s.Timing.BackendLease.Std(), MaxBackends: s.Limits.Backends,
	}
	d.members = &dhmember.Members{
		Timers: d.Timers, Transport: d.Peers, Group: d.group, Seeds: s.Peers.Seeds, Seed: d.Seed, Logger: d.Log,
		Self: &dhpb.MemberRecord{
			Name: s.Name, Address: s.Listen.Peers, Zone: s.Zone, Region: s.Region, HasDisk: s.State.Folder != "",
		},
		Payloads: []dhmember.Payload{dhnode.Gossip{Node: d.node}, d.digest},
		Period:   s.Timing.GossipPeriod.Std(),
	}
	d.node.Members = d.members
	d.node.Prepare = append(d.node.Prepare, func(_ time.Time, s *dhrouter.Snapshot) { placer.Update(s.Backends) }, d.updateCredits)
	if source, ok := d.Engine.(cacheSource); ok {
		feed := &cacheFeed{daemon: d, source: source, placer: placer}
		d.node.Prepare = append(d.node.Prepare, feed.tick)
	}
	if orders, ok := d.Engine.(dhpool.Orders); ok && d.voter != nil {
		d.pools = newPoolController(d, orders)
	}
	d.router.Report = d.node.ReportAttempt
	d.node.Init()
	return nil
}

// ownerGone reports whether the VM of a claim's owner is dead or has left. A
// restarted owner with the same VM name is detected by the claim's age instead.
func (d *Daemon) ownerGone(owner string) bool {
	return d.vmGone(owner[:max(strings.LastIndexByte(owner, '.'), 0)])
}

func (d *Daemon) vmGone(name string) bool {
	m, ok := d.members.View().Get(name)
	return ok && m.State >= dhmember.Dead
}

// owner returns the id of this start of the VM that claims name as their owner.
func (d *Daemon) owner() string { return d.Settings.Name + "." + d.NewID() }

func (d *Daemon) newClaims() *dhclaim.Claims {
	return &dhclaim.Claims{
		Registers: d.proposer, Timers: d.Timers, Owner: d.owner(), OwnerStopped: d.ownerGone,
		Retention: d.Settings.Timing.ClaimRetention.Std(),
	}
}

// start runs all components on the group.
func (d *Daemon) start() {
	d.group.Go(d.node.Run)
	d.group.Go(d.members.Run)
	d.group.Go(d.node.KeepLease)
	d.group.Go(d.node.WaitStarted)
	d.group.Go(d.handOverBills)
	d.group.Go(d.maintain)
	d.group.Go(d.refillCredits)
	if d.ratings != nil {
		d.group.Go(d.runRatings)
	}
	if d.pools != nil {
		d.group.Go(d.pools.run)
	}
	d.startState()
	if d.NoListen {
		return
	}
	for _, server := range d.servers() {
		d.serverGroup.Go(server.Run)
	}
	d.group.Go(func(context.Context) error { return d.serverGroup.Wait() })
}

// Callers returns the callers' service.
func (d *Daemon) Callers() *dhserver.Callers {
	return &dhserver.Callers{Router: d.router, Others: &remoteAnswers{members: d.members, peers: d.Peers}}
}

// Operators returns the operators' service.
func (d *Daemon) Operators() *dhserver.Operators {
	return &dhserver.Operators{Node: d.node, Timers: d.Timers, Bills: billExporter{d.ledger}}
}

// PeerService returns the service for other entry VMs and backend servers.
func (d *Daemon) PeerService() *dhserver.Peers {
	peers := &dhserver.Peers{
		Node: d.node, Announced: d.digest.Announced, Router: d.router, Gossiper: d.members, Bills: d.ledger, CreditLender: zonePeers{d},
		LimitLender: limitPeers{d},
	}
	if d.voter != nil {
		peers.Voter = d.voter.Voter
	}
	return peers
}

// runRatings rates answers until ctx ends.
func (d *Daemon) runRatings(ctx context.Context) error {
	_ = d.ratings.Run(ctx) // returns only when ctx ends
	return nil
}

func (d *Daemon) servers() []dhserver.Server {
	listen := d.Settings.Listen
	operatorMux := http.NewServeMux()
	operatorMux.Handle("/debug/vars", dhserver.RequireOperator(d.vars(), d.Keys))
	profiles := http.NewServeMux()
	profiles.HandleFunc("/debug/pprof/", pprof.Index)
	profiles.HandleFunc("/debug/pprof/profile", pprof.Profile)
	operatorMux.Handle("/debug/pprof/", dhserver.RequireOperator(profiles, d.Keys))
	operatorMux.Handle("/", dhserver.OperatorHandler(d.Operators(), d.Keys))
	callerMux := http.NewServeMux()
	callerMux.HandleFunc("/health", d.health)
	callerMux.Handle("/", dhserver.CallerHandler(d.Callers(), d.Settings.Limits.RequestBytes))
	return []dhserver.Server{
		{Address: listen.Callers, Handler: callerMux, CertFile: listen.CertFile, KeyFile: listen.KeyFile, Drained: d.drained},
		{Address: listen.Operators, Handler: operatorMux, CertFile: listen.CertFile, KeyFile: listen.KeyFile, Drained: d.drained},
		{Address: listen.Peers, Handler: dhserver.PeerHandler(d.PeerService(), d.Keys), Drained: d.drained},
	}
}

// health answers the load balancer's health check, with status 200 while this
// VM accepts new requests.
func (d *Daemon) health(w http.ResponseWriter, _ *http.Request) {
	if !d.node.Ready() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("serving\n"))
}

// vars returns a handler that serves the metrics in the format of expvar.
func (d *Daemon) vars() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("dandelionhoist", d.metrics)
	vars.Set("cmdline", expvar.Get("cmdline"))
	vars.Set("memstats", expvar.Get("memstats"))
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(vars.String()))
	})
}
