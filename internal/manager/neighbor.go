package manager

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/forwarder"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// This file lets a daemon that the store turns away answer its callers through a neighbor that is
// served. The neighbor checks the route and the key itself; this daemon may have neither.

// CallKind is the kind of a caller's request.
type CallKind string

// The kinds of calls.
const (
	CallSubmit CallKind = "submit"
	CallState  CallKind = "state"
	CallCancel CallKind = "cancel"
)

// CallCarrier carries calls to other daemons.
type CallCarrier interface {
	// Carry hands a call to the daemon at the address and returns its answer. An error that wraps
	// ErrNotSent means that the daemon has not received the call; after others, the outcome is
	// unknown.
	Carry(ctx context.Context, address string, kind CallKind, call Call) (Result, error)
}

// ErrNotSent means that a call did not reach a neighbor.
var ErrNotSent = errors.New("not sent")

// NeighborConfig lets a daemon hand calls to others.
type NeighborConfig struct {
	Address string   // at which this daemon takes calls from others
	Zones   []string // availability zones of the installation
	Carrier CallCarrier
}

const (
	// neighborPrefix precedes the addresses of daemons: then the zone and a slot.
	neighborPrefix = "neighbors/"
	// neighborSlots bounds the addresses that are stored for a zone, and so what a daemon reads.
	// Daemons beyond it hand calls on, but get none.
	neighborSlots = 8
	// neighborTTL is how long an address stays in the store after the last renewal. A daemon that
	// is turned away for longer is no help to others.
	neighborTTL = 45 * time.Second
	// neighborRefresh is the time between two renewals and reads.
	neighborRefresh = 15 * time.Second
	// neighborSettle is the time between the first write of the own address and the first read:
	// daemons that start together have written theirs by then.
	neighborSettle = 2 * time.Second
	// unstatedDeadline is the time in which a call without a deadline is answered.
	unstatedDeadline = 3 * time.Second
)

// neighborRecord is the address of a daemon in the store.
type neighborRecord struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// neighborhood hands calls to neighbors and keeps their addresses.
type neighborhood struct {
	cfg      Config
	router   *forwarder.Router
	draining atomic.Bool
	lease    storer.LeaseID
	newest   answeredRevision
}

func newNeighborhood(cfg Config) *neighborhood {
	return &neighborhood{
		cfg: cfg,
		router: forwarder.New(forwarder.Config{
			Name: cfg.Name,
			Zone: cfg.AvailabilityZone,
		}),
	}
}

// run publishes the address of this daemon and reads those of others until ctx ends.
func (n *neighborhood) run(ctx context.Context) error {
	n.publish(ctx)
	for pause := neighborSettle; sleeper.Sleep(ctx, pause); pause = neighborRefresh {
		if err := n.refresh(ctx); err != nil {
			n.cfg.Logger.Info("addresses of neighbors not read, those known are used", "error", err)
		}
	}
	return nil
}

// slotKey returns the key under which this daemon stores its address.
func (n *neighborhood) slotKey() string {
	return fmt.Sprintf("%s%s/%d", neighborPrefix, n.cfg.AvailabilityZone, nameHash(n.cfg.Name)%neighborSlots)
}

func nameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// publish stores the address of this daemon under a lease of its own.
func (n *neighborhood) publish(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if n.lease == 0 {
		lease, _, err := n.cfg.Store.GrantLease(call, max(neighborTTL, n.cfg.Bounds.MinLease))
		if err != nil {
			n.cfg.Logger.Info("address for neighbors not stored", "error", err)
			return
		}
		n.lease = lease
	}
	data, err := cbor.Marshal(neighborRecord{
		Name:    n.cfg.Name,
		Address: n.cfg.Neighbors.Address,
	})
	if err != nil {
		n.cfg.Logger.Error("encoding the address for neighbors failed", "error", err)
		return
	}
	if _, err := n.cfg.Store.Commit(call, storer.Transaction{
		Puts: []storer.Put{{
			Key:   n.slotKey(),
			Value: data,
			Lease: n.lease,
		}},
	}); err != nil {
		n.cfg.Logger.Info("address for neighbors not stored", "error", err)
	}
}

// refresh renews the lease of the own address and reads those of the own zone and of one other,
// so that what a daemon reads does not grow with the fleet.
func (n *neighborhood) refresh(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, 4*storeTimeout)
	defer cancel()
	switch err := n.cfg.Store.Renew(call, n.lease); {
	case errors.Is(err, storer.ErrLeaseNotFound):
		n.lease = 0
	case err != nil:
		return err
	}
	var neighbors []forwarder.Neighbor
	published := false
	for _, zone := range n.zonesToRead() {
		listing, err := storer.Scan(call, n.cfg.Store, neighborPrefix+zone+"/")
		if err != nil {
			return err
		}
		for _, item := range listing.Items {
			var r neighborRecord
			if err := cbor.Unmarshal(item.Value, &r); err != nil || r.Address == "" {
				n.cfg.Logger.Warn("address of a neighbor not readable", "key", item.Key, "error", err)
				continue
			}
			published = published || item.Key == n.slotKey()
			neighbors = append(neighbors, forwarder.Neighbor{
				Name:    r.Name,
				Zone:    zone,
				Address: r.Address,
			})
		}
	}
	n.router.SetNeighbors(neighbors)
	if !published || n.lease == 0 {
		n.publish(ctx)
	}
	return nil
}

// zonesToRead returns the own zone and one other, which differs between daemons.
func (n *neighborhood) zonesToRead() []string {
	zones := []string{n.cfg.AvailabilityZone}
	others := slices.DeleteFunc(slices.Clone(n.cfg.Neighbors.Zones), func(zone string) bool { return zone == n.cfg.AvailabilityZone })
	if len(others) > 0 {
		zones = append(zones, others[int(nameHash(n.cfg.Name)%uint32(len(others)))])
	}
	return zones
}

// serve answers a call: locally or, if this daemon can't, through a neighbor. A call that a
// neighbor handed on is answered locally in any case.
func (f *Front) serve(ctx context.Context, kind CallKind, call Call, local func(context.Context, Call) Result) Result {
	if f.neighbors == nil || call.Forwarded {
		return local(ctx, call)
	}
	result := unavailable("store unavailable")
	switch {
	case f.neighbors.router.Unserved(f.cfg.Clock()):
	case f.neighbors.newest.after(f.settings.revision(), f.cfg.Clock()):
		result = unavailable("configuration not up to date")
	default:
		result = local(ctx, call)
	}
	if result.Verdict != VerdictUnavailable && result.Verdict != VerdictUnknown {
		return result
	}
	call.Revision = f.settings.revision()
	return f.neighbors.handOn(ctx, kind, call, result)
}

// mayHandOn reports whether a neighbor could serve the call, so that a write without an answer is
// not tried again here.
func (f *Front) mayHandOn(call Call) bool {
	return f.neighbors != nil && !call.Forwarded && f.neighbors.router.HasOpen(f.cfg.Clock())
}

// ServeNeighbor answers a call that another daemon handed on. It refuses at once what this daemon
// can't serve either.
func (f *Front) ServeNeighbor(ctx context.Context, kind CallKind, call Call) Result {
	call.Forwarded = true
	if f.neighbors != nil && (f.neighbors.draining.Load() || f.neighbors.router.Unserved(f.cfg.Clock())) {
		return unavailable("store unavailable here, too")
	}
	if f.settings.revision() < call.Revision {
		return unavailable("configuration older than that of the daemon that hands the call on")
	}
	result := Result{
		Verdict: VerdictInvalid,
		Reason:  "kind of call unknown",
	}
	switch {
	case kind == CallSubmit && call.Job != nil:
		result = f.Submit(ctx, call)
	case kind == CallState:
		result = f.State(ctx, call)
	case kind == CallCancel:
		result = f.Cancel(ctx, call)
	}
	result.Revision = f.settings.revision()
	return result
}

// maxRevisionLag is how long a daemon may take to read a configuration by which a neighbor has
// answered one of its callers. After that it decides by its own again, which it may be unable to
// replace: a configuration that it can't read stays out of force.
const maxRevisionLag = 5 * time.Second

// answeredRevision is the newest revision of a configuration by which neighbors have answered
// callers of this daemon. It is safe for concurrent use.
type answeredRevision struct {
	mu       sync.Mutex
	revision storer.Version
	at       time.Duration
}

func (a *answeredRevision) add(revision storer.Version, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision > a.revision {
		a.revision, a.at = revision, now
	}
}

// after reports whether callers were answered by a newer configuration than that of the revision,
// so that they would see an older one again.
func (a *answeredRevision) after(revision storer.Version, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision > revision && now-a.at < maxRevisionLag
}

// handOn hands a call to neighbors until one has served it. own is the answer of this daemon: a
// refusal, or that the outcome of a write is unknown. Jobs and cancellations take effect once,
// however many daemons store them.
func (n *neighborhood) handOn(ctx context.Context, kind CallKind, call Call, own Result) Result {
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(unstatedDeadline)
	}
	unanswered := own.Verdict == VerdictUnknown
	var tried []string
	for ctx.Err() == nil {
		attempt, ok := n.router.Next(tried, time.Until(call.Deadline), n.cfg.Clock())
		if !ok {
			break
		}
		tried = append(tried, attempt.Address)
		result, err := n.carry(ctx, attempt, kind, call)
		switch {
		case err == nil && result.Verdict == VerdictUnknown, err != nil && !errors.Is(err, ErrNotSent):
			unanswered = true
		case err == nil && result.Verdict != VerdictUnavailable:
			return finalAnswer(result, unanswered)
		}
	}
	if kind == CallState {
		return own // a read has no outcome that could be unknown
	}
	return unknownIfUnanswered(own, unanswered)
}

// finalAnswer returns the answer of a neighbor. One that rests on the configuration alone must not
// deny what an earlier attempt without an answer may have stored.
func finalAnswer(result Result, unanswered bool) Result {
	switch result.Verdict {
	case VerdictOK, VerdictNotRun, VerdictNoJob:
		return result
	}
	return unknownIfUnanswered(result, unanswered)
}

// carry makes one attempt and records its outcome.
func (n *neighborhood) carry(ctx context.Context, attempt forwarder.Attempt, kind CallKind, call Call) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attempt.Timeout)
	defer cancel()
	began := n.cfg.Clock()
	result, err := n.cfg.Neighbors.Carrier.Carry(ctx, attempt.Address, kind, call)
	n.newest.add(result.Revision, n.cfg.Clock())
	outcome := string(result.Verdict)
	switch {
	case err != nil && errors.Is(err, ErrNotSent):
		outcome = "not_sent"
	case err != nil:
		outcome = string(VerdictUnknown)
	}
	switch now := n.cfg.Clock(); {
	case errors.Is(ctx.Err(), context.Canceled): // the caller has left; that says nothing of the neighbor
	case err != nil || result.Verdict == VerdictUnavailable || result.Verdict == VerdictUnknown:
		n.router.NeighborFailed(attempt.Address, now)
	default:
		n.router.NeighborServed(attempt.Address, now)
	}
	n.cfg.Logger.Info("call handed to a neighbor", "job", jobOf(call), "call", string(kind), "neighbor", attempt.Name, "zone", attempt.Zone,
		"outcome", outcome, "took_ms", (n.cfg.Clock() - began).Milliseconds(), "error", err)
	if n.cfg.Recorder != nil {
		n.cfg.Recorder.ForwardedCall(string(kind), outcome)
	}
	return result, err
}

// jobOf returns the end of the path of a call, which is the ID of its job: the route is not known
// here.
func jobOf(call Call) string {
	return call.Path[strings.LastIndexByte(call.Path, '/')+1:]
}

// observedStore tells the router of each call to the store whether it was served.
type observedStore struct {
	storer.TransactionalStore
	router *forwarder.Router
	clock  func() time.Duration
}

// Read implements storer.TransactionalStore.
func (s *observedStore) Read(ctx context.Context, key string) (i storer.Item, err error) {
	defer s.observe(ctx, s.clock(), &err)
	return s.TransactionalStore.Read(ctx, key)
}

// ScanPages implements storer.TransactionalStore.
func (s *observedStore) ScanPages(ctx context.Context, prefix string, page func(items []storer.Item)) (v storer.Version, err error) {
	defer s.observe(ctx, s.clock(), &err)
	return s.TransactionalStore.ScanPages(ctx, prefix, page)
}

// WatchPrefix implements storer.TransactionalStore.
func (s *observedStore) WatchPrefix(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (c storer.Changes, err error) {
	defer s.observe(ctx, s.clock(), &err)
	return s.TransactionalStore.WatchPrefix(ctx, prefix, after, wait)
}

// Commit implements storer.TransactionalStore.
func (s *observedStore) Commit(ctx context.Context, t storer.Transaction) (v storer.Version, err error) {
	defer s.observe(ctx, s.clock(), &err)
	return s.TransactionalStore.Commit(ctx, t)
}

func (s *observedStore) observe(ctx context.Context, sentAt time.Duration, err *error) {
	timedOut := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !timedOut:
	case errors.Is(*err, storer.ErrUnavailable), errors.Is(*err, storer.ErrOutcomeUnknown):
		s.router.StoreFailed(s.clock())
	default:
		s.router.StoreServed(sentAt)
	}
}
