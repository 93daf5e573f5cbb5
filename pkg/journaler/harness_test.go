package journaler

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// gate pauses all calls of one owner. Calls that wait at it continue when it opens,
// like packets of a paused process.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil: open
}

func (g *gate) set(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused && g.closed == nil {
		g.closed = make(chan struct{})
	}
	if !paused && g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// cross waits at the gate for the request; the returned function does so for the answer.
func (g *gate) cross() func() {
	g.pass()
	return g.pass
}

// world is the test environment: one store, one worker and some owners.
type world struct {
	t             testing.TB
	store         *checkedStore
	worker        *fakeWorker
	owners        []*owner
	mu            sync.Mutex
	maybeAccepted map[uuid.UUID]int // submissions that may have been accepted
	created       map[uuid.UUID]bool
	wg            sync.WaitGroup

	attempts atomic.Int64 // attempts of synchronous requests
}

// owner is one entry daemon.
type owner struct {
	gate
	w            *world
	name         string
	j            *Journal
	mu           sync.Mutex
	storeDown    bool
	lostAnswers  int    // number of answers still to be lost
	calls        int    // counted before and again after each call
	crashAt      int    // calls value at which the owner is paused for good; zero: never
	crashOn      string // key whose calls are counted, besides those of bodies and results
	freeSlots    int    // number of tasks that may still be started
	ended        []bool // arguments of the releases
	notPermitted bool
	denyOnPlace  bool // the next placement sets notPermitted
}

func newWorld(t testing.TB, owners int) *world {
	w := &world{
		t: t,
		store: &checkedStore{
			Store: storer.NewMemory(),
			t:     t,
			codec: mustCodec(t),
			docs:  map[string]*Document{},
		},
		worker:        newWorker(),
		maybeAccepted: map[uuid.UUID]int{},
		created:       map[uuid.UUID]bool{},
	}
	for n := range owners {
		o := &owner{
			w:         w,
			name:      string(rune('a' + n)),
			freeSlots: ownerAllowance,
		}
		target := &gatedTarget{
			worker: w.worker,
			gate:   &o.gate,
			owner:  o,
		}
		o.j = New(Config{
			Store: &storer.FaultInjector{
				Store:  w.store,
				Before: o.before,
				After:  o.after,
			},
			Entry:   o.name,
			Limiter: &WriteLimiter{},
			Targets: func(string) (runner.Target, error) { return target, nil },
			Dispatcher: &fakeDispatcher{
				target: target,
				owner:  o,
			},
			MayRun:      o.mayRun,
			MinSweepAge: time.Nanosecond,
		})
		w.owners = append(w.owners, o)
	}
	return w
}

const (
	// ownerAllowance is the number of tasks that each owner may run at a time.
	ownerAllowance = 3
	// sessionEnd is the time after which a session without renewals has certainly ended.
	sessionEnd = 20200 * time.Millisecond
)

func (o *owner) mayRun(string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.notPermitted
}

func (o *owner) setPermitted(permitted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notPermitted = !permitted
}

// acquire waits for allowance.
func (o *owner) acquire(ctx context.Context) (func(ended bool), error) {
	for !o.takeSlot() {
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return func(ended bool) {
		o.mu.Lock()
		o.ended = append(o.ended, ended)
		o.mu.Unlock()
		if ended {
			o.releaseSlot()
		} else {
			time.AfterFunc(sessionEnd, o.releaseSlot)
		}
	}, nil
}

func (o *owner) takeSlot() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.freeSlots <= 0 {
		return false
	}
	o.freeSlots--
	return true
}

func (o *owner) releaseSlot() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.freeSlots++
}

// toggleStore cuts the owner off from the store, or connects it again.
func (o *owner) toggleStore() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.storeDown = !o.storeDown
}

func (o *owner) onCall(op storer.Op, key string) error {
	o.mu.Lock()
	if op == storer.OpList { // made by the sweep, not for a request
		key = ""
	}
	if key == o.crashOn || strings.Count(key, "/") > 1 {
		o.calls++
		if o.calls == o.crashAt {
			o.set(true)
		}
	}
	down := o.storeDown
	o.mu.Unlock()
	o.pass()
	if down {
		return storer.ErrUnavailable
	}
	return nil
}

func (o *owner) before(_ context.Context, op storer.Op, key string) error { return o.onCall(op, key) }

func (o *owner) after(_ context.Context, op storer.Op, key string) error {
	_ = o.onCall(op, key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lostAnswers > 0 && op == storer.OpCompareAndSwap {
		o.lostAnswers--
		return storer.ErrOutcomeUnknown
	}
	return nil
}

// checkedStore checks every committed document against the previous one.
type checkedStore struct {
	storer.Store
	t     testing.TB
	codec *codec
	mu    sync.Mutex
	docs  map[string]*Document
}

// CompareAndSwap ignores the end of ctx: what a paused process has sent arrives.
func (o *checkedStore) CompareAndSwap(ctx context.Context, w storer.Write) (storer.Version, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v, err := o.Store.CompareAndSwap(context.WithoutCancel(ctx), w)
	if err != nil || strings.Count(w.Key, "/") > 1 {
		return v, err
	}
	doc, err := o.codec.decode(w.Value)
	if err != nil {
		return v, err
	}
	if old := o.docs[w.Key]; old != nil {
		for id, r := range old.Records {
			if now, ok := doc.Records[id]; r.State.Final() && ok && now.State != r.State {
				o.t.Errorf("%s ended twice: %s, then %s", id, r.State, now.State)
			}
		}
	}
	o.docs[w.Key] = doc
	return v, nil
}

// Delete checks that no record names the key, unless the record is about to be dropped.
func (o *checkedStore) Delete(ctx context.Context, key string, expected storer.Version) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, doc := range o.docs {
		for id, r := range doc.Records {
			if slices.Contains(r.keys(), key) && !r.expired(time.Now()) {
				o.t.Errorf("%s lost its key %s", id, key)
			}
		}
	}
	return o.Store.Delete(ctx, key, expected)
}

// fakeDispatcher is the dispatcher of one owner.
type fakeDispatcher struct {
	target runner.Target
	owner  *owner
}

func (p *fakeDispatcher) Place(ctx context.Context, job Job) (Placement, error) {
	if job.Request.Queue == "never" {
		return Placement{}, ErrCannotRun
	}
	release, err := p.owner.acquire(ctx)
	p.owner.mu.Lock()
	p.owner.notPermitted = p.owner.notPermitted || p.owner.denyOnPlace
	p.owner.mu.Unlock()
	return Placement{
		Name:    "w",
		Target:  p.target,
		Release: release,
	}, err
}

func (p *fakeDispatcher) AcquireAllowance(ctx context.Context, _ Job) (func(ended bool), error) {
	return p.owner.acquire(ctx)
}
