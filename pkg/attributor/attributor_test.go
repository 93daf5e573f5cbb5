package attributor_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/attributor"
)

// load plays tasks of several kinds that come and go on targets, and observes each of them twice
// a second. The usual tail latency and the noise are those of one kind for all.
type load struct {
	r          *rand.Rand
	now        time.Duration
	attributor *attributor.Attributor
	targets    []*loadedTarget
	kinds      []attributor.Kind
	// effect returns the factor on a task of a kind for each neighbour of another one.
	effect func(kind, neighbour attributor.Kind, now time.Duration) float64
	noise  float64 // standard deviation of the logarithm of an observation
}

type loadedTarget struct {
	id    string
	slow  float64
	tasks []*loadedTask
}

type loadedTask struct {
	kind     attributor.Kind
	baseline attributor.Baseline
	level    float64 // estimates are rough
	endsAt   time.Duration
}

const (
	loadTargets     = 12
	tasksPerTarget  = 3
	observeInterval = 500 * time.Millisecond
)

func newLoad(seed uint64, kinds ...attributor.Kind) *load {
	l := &load{
		r:          rand.New(rand.NewPCG(seed, 1)),
		attributor: attributor.New(attributor.Config{}),
		kinds:      kinds,
		effect:     func(attributor.Kind, attributor.Kind, time.Duration) float64 { return 1 },
		noise:      0.25,
	}
	for i := range loadTargets {
		l.targets = append(l.targets, &loadedTarget{
			id:   fmt.Sprintf("t%d", i),
			slow: 1,
		})
	}
	return l
}

// run plays the load and calls each after every round.
func (l *load) run(d time.Duration, each func()) {
	for end := l.now + d; l.now < end; {
		l.now += observeInterval
		for _, t := range l.targets {
			l.replace(t)
			for i := range t.tasks {
				l.observe(t, i)
			}
		}
		each()
	}
}

// replace ends and starts tasks at random.
func (l *load) replace(t *loadedTarget) {
	for len(t.tasks) < tasksPerTarget {
		t.tasks = append(t.tasks, &loadedTask{})
	}
	for i, task := range t.tasks {
		if l.now >= task.endsAt {
			t.tasks[i] = &loadedTask{
				kind:   l.kinds[l.r.IntN(len(l.kinds))],
				level:  math.Exp(0.4 * l.r.NormFloat64()),
				endsAt: l.now + time.Second + time.Duration(l.r.Int64N(int64(4*time.Second))),
			}
		}
	}
}

func (l *load) observe(t *loadedTarget, i int) {
	task := t.tasks[i]
	ratio := t.slow * task.level * math.Exp(l.noise*l.r.NormFloat64())
	var neighbours []attributor.Neighbour
	for k, n := range t.tasks {
		if k == i {
			continue
		}
		ratio *= l.effect(task.kind, n.kind, l.now)
		neighbours = append(neighbours, attributor.Neighbour{
			Kind:     n.kind,
			Exposure: 1,
		})
	}
	l.attributor.Observe(attributor.Observation{
		Kind:       task.kind,
		Target:     t.id,
		Baseline:   &task.baseline,
		Ratio:      ratio,
		Neighbours: neighbours,
	}, l.now)
}

func (l *load) confirmed(kind, neighbour attributor.Kind) bool {
	return l.attributor.Effect(kind, neighbour, l.now).Confirmed
}

// disturbing returns an effect of "batch" on "web" by the factor, and none otherwise.
func disturbing(factor float64) func(attributor.Kind, attributor.Kind, time.Duration) float64 {
	return func(kind, neighbour attributor.Kind, _ time.Duration) float64 {
		if kind == "web" && neighbour == "batch" {
			return factor
		}
		return 1
	}
}

const seeds = 100

// Guards against a pair that is not found, and against others that are blamed for it. The bounds
// are what callers notice: a disturbance of 2 to 3 times is found within 10 s, a weaker one within
// 30 s, in nine of ten plays; innocent pairs are blamed for 1% of the time at most.
func TestOneKindThatDisturbsAnotherIsFoundAndNoOther(t *testing.T) {
	tests := []struct {
		name   string
		factor float64
		within time.Duration
	}{
		{"by half", 1.5, 30 * time.Second},
		{"to twice", 2, 10 * time.Second},
		{"to three times", 3, 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			found, accusations, rounds := 0, 0, 0
			for seed := range uint64(seeds) {
				l := newLoad(seed, "web", "batch", "index")
				l.effect = disturbing(test.factor)
				at := time.Duration(0)
				l.run(time.Minute, func() {
					if at == 0 && l.confirmed("web", "batch") {
						at = l.now
					}
					rounds++
					accusations += l.innocentConfirmed()
				})
				if at > 0 && at <= test.within {
					found++
				}
			}
			t.Logf("found in %d of %d plays; innocent pairs blamed in %d of %d rounds", found, seeds, accusations, rounds*8)
			if found < seeds*9/10 {
				t.Errorf("found in %d of %d plays", found, seeds)
			}
			if accusations*100 > rounds*8 {
				t.Errorf("innocent pairs blamed in %d of %d rounds", accusations, rounds*8)
			}
		})
	}
}

// innocentConfirmed returns how many pairs other than batch beside web are confirmed.
func (l *load) innocentConfirmed() int {
	n := 0
	for _, kind := range l.kinds {
		for _, neighbour := range l.kinds {
			if (kind != "web" || neighbour != "batch") && l.confirmed(kind, neighbour) {
				n++
			}
		}
	}
	return n
}

// Guards against accusations where nothing disturbs. The bound: each pair is blamed for at most
// one second in a thousand, whatever the noise, also beside slow targets.
func TestNoPairIsBlamedInCalm(t *testing.T) {
	tests := []struct {
		name  string
		noise float64
		slow  float64
	}{
		{"little noise", 0.1, 1},
		{"usual noise", 0.25, 1},
		{"much noise", 0.6, 1},
		{"one slow target", 0.25, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			accusations, rounds := 0, 0
			for seed := range uint64(seeds) {
				l := newLoad(seed, "web", "batch", "index")
				l.noise = test.noise
				l.targets[0].slow = test.slow
				l.run(time.Minute, func() {
					rounds++
					accusations += l.innocentConfirmed()
					if l.confirmed("web", "batch") {
						accusations++
					}
				})
			}
			t.Logf("blamed in %d of %d rounds of a pair", accusations, rounds*9)
			if accusations*1000 > rounds*9 {
				t.Errorf("blamed in %d of %d rounds of a pair", accusations, rounds*9)
			}
		})
	}
}

// Guards against estimates that lag behind an effect that changes within seconds.
func TestDriftingEffectIsFollowed(t *testing.T) {
	for seed := range uint64(5) {
		l := newLoad(seed, "web", "batch", "index")
		factor := 3.0
		l.effect = func(kind, neighbour attributor.Kind, now time.Duration) float64 {
			return disturbing(factor)(kind, neighbour, now)
		}
		l.run(20*time.Second, func() {})
		if !l.confirmed("web", "batch") {
			t.Errorf("seed %d: not found while it disturbs", seed)
		}
		factor = 1
		l.run(8*time.Second, func() {})
		if l.confirmed("web", "batch") {
			t.Errorf("seed %d: still blamed 8 s after it ended: %+v", seed, l.attributor.Effect("web", "batch", l.now))
		}
	}
}

// Guards against evidence that is held against a pair for good although the two never run
// together again.
func TestEvidenceFades(t *testing.T) {
	l := newLoad(1, "web", "batch", "index")
	l.effect = disturbing(3)
	l.run(20*time.Second, func() {})
	if !l.confirmed("web", "batch") {
		t.Fatal("not found")
	}
	l.now += 2 * time.Minute
	if l.confirmed("web", "batch") || len(l.attributor.Pairs(l.now)) > 0 {
		t.Error("still blamed two minutes after the last observation")
	}
}

// Guards against a slow VM for which the only neighbour on it is blamed.
func TestPairSeenOnOneTargetIsNotBlamed(t *testing.T) {
	l := newLoad(1, "web", "batch", "index")
	l.targets = l.targets[:1]
	l.effect = disturbing(2)
	l.run(5*time.Minute, func() {
		if l.confirmed("web", "batch") {
			t.Fatalf("blamed after %v", l.now)
		}
	})
}

// Guards against effects between tasks of one image, the only kind of neighbours in many pools,
// that depend on how many run together, and against accusations there in calm.
func TestOneKindAlone(t *testing.T) {
	for _, factor := range []float64{1, 2} {
		l := newLoad(1, "web")
		l.effect = func(attributor.Kind, attributor.Kind, time.Duration) float64 { return factor }
		l.run(30*time.Second, func() {})
		// Each task always has two neighbours, so that nothing tells them from its usual level.
		if l.confirmed("web", "web") && factor == 1 {
			t.Error("blamed in calm")
		}
	}
}

// Guards against memory that grows with the images that callers invent, and against strangers
// that displace the kinds in use.
func TestInventedKindsShareOneEstimate(t *testing.T) {
	a := attributor.New(attributor.Config{
		MaxKinds: 4,
	})
	baselines := map[attributor.Kind]*attributor.Baseline{}
	observe := func(kind, neighbour attributor.Kind, now time.Duration) {
		if baselines[kind] == nil {
			baselines[kind] = &attributor.Baseline{}
		}
		a.Observe(attributor.Observation{
			Kind:     kind,
			Target:   "t",
			Baseline: baselines[kind],
			Ratio:    1,
			Neighbours: []attributor.Neighbour{{
				Kind:     neighbour,
				Exposure: float64(now / (200 * time.Millisecond) % 2),
			}},
		}, now)
	}
	for i := range 10_000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if i%20 == 0 {
			observe("web", "batch", now)
		}
		if now < time.Second {
			continue
		}
		observe(attributor.Kind(fmt.Sprintf("invented-%d", i)), attributor.Kind(fmt.Sprintf("invented-%d", i+1)), now)
		if a.Kinds() > 4 {
			t.Fatalf("%d kinds are kept", a.Kinds())
		}
	}
	web := a.Effect("web", "batch", 100*time.Second)
	if other := a.Effect("web", "never seen", 100*time.Second); web.Greatest >= other.Greatest {
		t.Errorf("the kind in use lost its estimate: %+v, unknown %+v", web, other)
	}
}

// Guards against figures that no estimate may take in.
func TestObservationsThatAreNoDurationsAreIgnored(t *testing.T) {
	a := attributor.New(attributor.Config{})
	var baseline attributor.Baseline
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		a.Observe(attributor.Observation{
			Kind:     "web",
			Baseline: &baseline,
			Ratio:    ratio,
		}, time.Second)
	}
	if a.Kinds() != 0 {
		t.Errorf("%d kinds are kept", a.Kinds())
	}
}
