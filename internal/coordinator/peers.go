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

// reportTimeout is the time without a report after which a peer no longer counts as live.
const reportTimeout = 3 * time.Second

// errUnknownPeer means that no address of the peer is known.
var errUnknownPeer = errors.New("unknown peer")

// peers sends messages to other entry daemons and stores what they reported.
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
	lastReport  time.Time
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

// observe stores a report. Figures that a report leaves out have not changed. It returns the
// spare allowance of the sender by team.
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
	k.lastReport = now
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

// queuedSlots returns the sum of the slots that the live peers queue, by pool.
func (p *peers) queuedSlots(now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := map[string]int{}
	for _, k := range p.known {
		if now.Sub(k.lastReport) >= reportTimeout {
			continue
		}
		for pool, d := range k.pools {
			sum[pool] += d.QueuedSlots
		}
	}
	return sum
}

// heldTargets returns the targets that live peers hold free, by pool. If several peers hold
// one in the same pool, only that of the peer with the lowest name counts, so that the others
// release theirs.
func (p *peers) heldTargets(now time.Time) map[string]dispatcher.Hold {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := map[string]dispatcher.Hold{}
	for _, k := range p.known {
		if now.Sub(k.lastReport) >= reportTimeout {
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
		if now.Sub(k.lastReport) < reportTimeout {
			list = append(list, *k)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// usage returns the sum of the resources that the live peers use, by pool and team. A pair
// that was reported before and is no longer in use has zero resources.
func (p *peers) usage(now time.Time) map[usageKey]runner.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := map[usageKey]runner.Resources{}
	for _, k := range p.known {
		live := now.Sub(k.lastReport) < reportTimeout
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

// PeerWithSpare implements dispatcher.Peers.
func (p *peers) PeerWithSpare(team string, slots int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	best, most := "", slots-1
	for _, k := range p.known {
		if spare := k.spare[team]; spare > most && now.Sub(k.lastReport) < reportTimeout {
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
	spare       map[string]int
	usage       map[usageKey]runner.Resources
	pools       map[string]dispatcher.PoolDemand
	sentReports int
}

// fullReportEvery is the number of reports after which all figures are sent again,
// for peers that missed a report.
const fullReportEvery = 20

// poolChanges returns the pools whose figures differ from the last report. It must be called
// before teamChanges, which counts the reports.
func (r *reporter) poolChanges(pools map[string]dispatcher.PoolDemand) []poolReport {
	full := r.sentReports%fullReportEvery == 0
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

// teamChanges returns the spare allowance and the usage that differ from the last report.
func (r *reporter) teamChanges(spare map[string]int, usage map[usageKey]runner.Resources) ([]teamReport, []usageReport) {
	full := r.sentReports%fullReportEvery == 0
	r.sentReports++
	var teams []teamReport
	for team, n := range spare {
		if old, ok := r.spare[team]; full || !ok || old != n {
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
	r.spare = spare
	r.usage = usage
	return teams, used
}
