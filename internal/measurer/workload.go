package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// The sizes of section 2.6 of the design.
const (
	workerSlots       = 8
	workerConnections = 64
	workerCPUMillis   = 32_000
	workerMemoryMB    = 64_000
	rackWorkers       = 4
	spareWorkers      = 8
	zones             = 4 // availability zones, one entry daemon each
	spare             = "spare"
)

// Demand of a service as a multiple of its mean: at its peak, which the services have in
// turn, and at other times.
const (
	peak   = 5.0
	trough = 0.05
)

type service struct {
	name    string
	workers int
}

func services() []service {
	return []service{
		{
			name:    "quotes",
			workers: 10,
		},
		{
			name:    "stock",
			workers: 8,
		},
		{
			name:    "orders",
			workers: 12,
		},
		{
			name:    "reorder",
			workers: 9,
		},
		{
			name:    "ledger",
			workers: 11,
		},
	}
}

// team has a weight and a fraction of the demand, which is not proportional to the weight.
type team struct {
	name   string
	weight int
	demand float64
}

func teams() []team {
	return []team{
		{
			name:   "schools",
			weight: 4,
			demand: 0.30,
		},
		{
			name:   "clubs",
			weight: 3,
			demand: 0.30,
		},
		{
			name:   "hotels",
			weight: 2,
			demand: 0.20,
		},
		{
			name:   "planning",
			weight: 1,
			demand: 0.10,
		},
		{
			name:   "colours",
			weight: 1,
			demand: 0.07,
		},
		{
			name:   "audit",
			weight: 1,
			demand: 0.03,
		},
	}
}

// kind describes the requests of one class.
type kind struct {
	class        configurer.Class
	fraction     float64 // of all requests
	meanDuration time.Duration
	deadline     time.Duration
}

func kinds() []kind {
	return []kind{
		{
			class:        configurer.ClassUrgent,
			fraction:     0.1,
			meanDuration: 200 * time.Millisecond,
			deadline:     30 * time.Second,
		},
		{
			class:        configurer.ClassInteractive,
			fraction:     0.6,
			meanDuration: 400 * time.Millisecond,
			deadline:     30 * time.Second,
		},
		{
			class:        configurer.ClassDeferrable,
			fraction:     0.3,
			meanDuration: 1500 * time.Millisecond,
			deadline:     time.Hour,
		},
	}
}

func meanDuration() time.Duration {
	mean := 0.0
	for _, k := range kinds() {
		mean += k.fraction * float64(k.meanDuration)
	}
	return time.Duration(mean)
}

// arrival is one generated request.
type arrival struct {
	at       time.Duration
	service  int
	zone     int
	team     int
	kind     int
	duration time.Duration
	declared runner.Resources
}

// generate returns the arrivals of a run in the order of time. The services take turns of
// 4 to 8 s in which the demand is peak times the mean; otherwise it is trough times the mean.
func generate(cfg Config, rng *rand.Rand) []arrival {
	var all []arrival
	list := services()
	for now, turn := time.Duration(0), 0; now < cfg.Duration; turn++ {
		end := now + 4*time.Second + time.Duration(rng.Int64N(int64(4*time.Second)))
		rates := make([]float64, len(list))
		total := 0.0
		for i, s := range list {
			rates[i] = cfg.Load * float64(s.workers*workerSlots) / meanDuration().Seconds()
			if i == turn%len(list) {
				rates[i] *= peak
			} else {
				rates[i] *= trough
			}
			total += rates[i]
		}
		for {
			now += time.Duration(rng.ExpFloat64() / total * float64(time.Second))
			if now >= end || now >= cfg.Duration {
				now = end
				break
			}
			all = append(all, newArrival(now, pick(rng, total, len(rates), func(i int) float64 { return rates[i] }), rng))
		}
	}
	return all
}

func newArrival(at time.Duration, service int, rng *rand.Rand) arrival {
	k := pick(rng, 1, len(kinds()), func(i int) float64 { return kinds()[i].fraction })
	return arrival{
		at:       at,
		service:  service,
		zone:     rng.IntN(zones),
		team:     pick(rng, 1, len(teams()), func(i int) float64 { return teams()[i].demand }),
		kind:     k,
		duration: time.Duration(float64(kinds()[k].meanDuration) * logNormal(rng, 0.8)),
		declared: runner.Resources{
			Slots:     1,
			CPUMillis: min(int64(2000*logNormal(rng, 1)), workerCPUMillis),
			MemoryMB:  min(int64(4000*logNormal(rng, 1)), workerMemoryMB),
		},
	}
}

// logNormal returns a log-normal factor of mean 1: at sigma 1, one value in six differs
// from the median by more than a factor of 2.7 upwards and one in six downwards.
func logNormal(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

func pick(rng *rand.Rand, total float64, n int, weight func(int) float64) int {
	x := rng.Float64() * total
	for i := range n - 1 {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}
