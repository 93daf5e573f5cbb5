package coordinator

import (
	"context"
	"errors"
	"maps"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/messenger"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// reportTimeout is the time after which a peer without reports is not live.
const reportTimeout = 3 * time.Second

// errUnknownPeer means that no address of the peer is known.
var errUnknownPeer = errors.New("unknown peer")

// peers sends messages to other entry daemons and keeps what they reported.
type peers struct {
	messenger *messenger.Messenger
	logger    hclog.Logger

	mu    sync.Mutex
	known map[string]*peer
}

// peer is another entry daemon as its reports describe it.
type peer struct {
	name        string
	incarnation uint64
	address     string
	zone        string
	heard       time.Time
	spare       map[string]int
	usage       map[usageKey]runner.Resources
	pools       map[string]dispatcher.PoolDemand
}

type usageKey struct {
	pool string
	team string
}

func newPeers(logger hclog.Logger) *peers {
	return &peers{
		logger: logger,
		known:  map[string]*peer{},
	}
}

// observe takes over a report. Figures that a report leaves out have not changed.
// It returns the spare allowance of the sender by team.
func (p *peers) observe(r report, now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[r.Entry]
	if k == nil || k.incarnation != r.Incarnation {
		k = &peer{
			name:        r.Entry,
			incarnation: r.Incarnation,
			spare:       map[string]int{},
			usage:       map[usageKey]runner.Resources{},
			pools:       map[string]dispatcher.PoolDemand{},
		}
		p.known[r.Entry] = k
	}
	k.address = r.Address
	k.zone = r.Zone
	k.heard = now
	for _, t := range r.Teams {
		k.spare[t.Team] = t.Spare
	}
	for _, u := range r.Usage {
		k.usage[usageKey{
			pool: u.Pool,
			team: u.Team,
		}] = u.Used
	}
	for _, d := range r.Pools {
		k.pools[d.Pool] = dispatcher.PoolDemand{
			QueuedSlots: d.QueuedSlots,
			HeldTarget:  d.HeldTarget,
		}
	}
	return maps.Clone(k.spare)
}

// queuedSlots adds up what the live peers queue, by pool.
func (p *peers) queuedSlots(now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := map[string]int{}
	for _, k := range p.known {
		if now.Sub(k.heard) >= reportTimeout {
			continue
		}
		for pool, d := range k.pools {
			sum[pool] += d.QueuedSlots
		}
	}
	return sum
}

// holds returns the targets that live peers hold free, by pool. Of several in one pool
// that of the peer with the lowest name counts, so that one of them gives way.
func (p *peers) holds(now time.Time) map[string]dispatcher.Hold {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := map[string]dispatcher.Hold{}
	for _, k := range p.known {
		if now.Sub(k.heard) >= reportTimeout {
			continue
		}
		for pool, d := range k.pools {
			if old, ok := held[pool]; d.HeldTarget != "" && (!ok || k.name < old.Entry) {
				held[pool] = dispatcher.Hold{
					Entry:  k.name,
					Target: d.HeldTarget,
				}
			}
		}
	}
	return held
}

// live returns the peers with a recent report, sorted by name.
func (p *peers) live(now time.Time) []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peer
	for _, k := range p.known {
		if now.Sub(k.heard) < reportTimeout {
			list = append(list, *k)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// usage adds up what the live peers run. A pair that a peer reported before and
// that runs no more has zero resources.
func (p *peers) usage(now time.Time) map[usageKey]runner.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := map[usageKey]runner.Resources{}
	for _, k := range p.known {
		live := now.Sub(k.heard) < reportTimeout
		for key, used := range k.usage {
			total := sum[key]
			if live {
				total = total.Plus(used)
			}
			sum[key] = total
		}
	}
	return sum
}

// SpareFor implements dispatcher.Peers.
func (p *peers) SpareFor(team string, slots int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	best, most := "", slots-1
	for _, k := range p.known {
		if spare := k.spare[team]; spare > most && now.Sub(k.heard) < reportTimeout {
			best, most = k.name, spare
		}
	}
	if best != "" {
		// Until its next report the peer counts as having less, so that a burst
		// does not go to one peer only.
		p.known[best].spare[team] -= slots
	}
	return best
}

func (p *peers) address(name string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.known[name]; k != nil {
		return k.address, nil
	}
	return "", Error.New("%w: %q", errUnknownPeer, name)
}

// RequestPromise implements registrar.Peers.
func (p *peers) RequestPromise(ctx context.Context, to registrar.Member, r registrar.PromiseRequest) (registrar.PromiseAnswer, error) {
	return messenger.Call[registrar.PromiseRequest, registrar.PromiseAnswer](ctx, p.messenger, to.Address, kindRequestPromise, r)
}

// ConfirmMember implements registrar.Peers.
func (p *peers) ConfirmMember(ctx context.Context, to registrar.Member, r registrar.ConfirmRequest) (registrar.ConfirmAnswer, error) {
	return messenger.Call[registrar.ConfirmRequest, registrar.ConfirmAnswer](ctx, p.messenger, to.Address, kindConfirmMember, r)
}

// TransferAllowance implements limiter.Peers.
func (p *peers) TransferAllowance(ctx context.Context, to limiter.HolderID, r limiter.TransferRequest) (limiter.TransferAnswer, error) {
	address, err := p.address(to.Entry)
	if err != nil {
		return limiter.TransferAnswer{}, err
	}
	return messenger.Call[limiter.TransferRequest, limiter.TransferAnswer](ctx, p.messenger, address, kindTransferAllowance, r)
}

// reporter builds the reports of one entry daemon.
type reporter struct {
	last  map[string]int
	usage map[usageKey]runner.Resources
	pools map[string]dispatcher.PoolDemand
	sent  int
}

// fullReportEvery is the number of reports after which all figures are sent again,
// for peers that missed a report.
const fullReportEvery = 20

// poolChanges returns the pools whose figures differ from the last report. It comes
// before changes, which counts the reports.
func (r *reporter) poolChanges(pools map[string]dispatcher.PoolDemand) []poolReport {
	full := r.sent%fullReportEvery == 0
	var changed []poolReport
	for pool, d := range pools {
		if old, ok := r.pools[pool]; full || !ok || old != d {
			changed = append(changed, poolReport{
				Pool:        pool,
				QueuedSlots: d.QueuedSlots,
				HeldTarget:  d.HeldTarget,
			})
		}
	}
	r.pools = pools
	return changed
}

// changes returns the figures that differ from the last report.
func (r *reporter) changes(spare map[string]int, usage map[usageKey]runner.Resources) ([]teamReport, []usageReport) {
	full := r.sent%fullReportEvery == 0
	r.sent++
	var teams []teamReport
	for team, n := range spare {
		if old, ok := r.last[team]; full || !ok || old != n {
			teams = append(teams, teamReport{
				Team:  team,
				Spare: min(n, math.MaxInt32),
			})
		}
	}
	for key := range r.usage {
		if _, ok := usage[key]; !ok {
			usage[key] = runner.Resources{}
		}
	}
	var used []usageReport
	for key, n := range usage {
		if old, ok := r.usage[key]; full || !ok || old != n {
			used = append(used, usageReport{
				Pool: key.pool,
				Team: key.team,
				Used: n,
			})
		}
	}
	r.last = spare
	r.usage = usage
	return teams, used
}
