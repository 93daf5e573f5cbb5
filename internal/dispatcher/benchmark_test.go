package dispatcher

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"
)

// The expected size of a pool in two years.
const (
	benchTargets = 310
	benchTeams   = 84
)

func benchFixture(b *testing.B) *loadFixture {
	f := newLoadFixture(b, benchTeams, 0)
	b.Cleanup(f.Close)
	f.setTargets(0, benchTargets)
	f.awaitUsable(b, benchTargets)
	b.ReportAllocs()
	return f
}

// submit runs one request and reads its whole answer.
func (f *loadFixture) submit(ctx context.Context, r Request) Result {
	result := f.Submit(ctx, r)
	if result.Body != nil {
		_, _ = io.Copy(io.Discard, result.Body)
		_ = result.Body.Close()
	}
	return result
}

// BenchmarkSubmit measures a request from admission to the end of its answer.
func BenchmarkSubmit(b *testing.B) {
	for _, c := range []struct {
		name  string
		first int // team, -1 for the open queue
		teams int
	}{
		{
			name:  "open",
			first: -1,
			teams: 1,
		},
		{
			name:  "keyed",
			teams: benchTeams,
		},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := benchFixture(b)
			n := 0
			for b.Loop() {
				n++
				if result := f.submit(b.Context(), request(c.first+n%c.teams)); result.Outcome != OutcomeDone {
					b.Fatalf("%+v", result)
				}
			}
		})
	}
}

func BenchmarkSubmitParallel(b *testing.B) {
	f := benchFixture(b)
	var n atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if result := f.submit(context.Background(), request(int(n.Add(1))%benchTeams)); result.Outcome != OutcomeDone {
				b.Errorf("%+v", result)
				return
			}
		}
	})
}

// BenchmarkAdmit measures the check of a keyed request against the configuration.
func BenchmarkAdmit(b *testing.B) {
	f := benchFixture(b)
	now := time.Now()
	n := 0
	for b.Loop() {
		n++
		if _, refusal := f.admit(request(n%benchTeams), now); refusal != nil {
			b.Fatalf("%+v", refusal)
		}
	}
}

// BenchmarkAcquire queues a request, acquires allowance, places it and releases it.
func BenchmarkAcquire(b *testing.B) {
	f := benchFixture(b)
	deadline := time.Now().Add(time.Hour)
	n := 0
	for b.Loop() {
		n++
		p, refusal := f.admit(request(n%benchTeams), time.Now())
		if refusal != nil {
			b.Fatalf("%+v", refusal)
		}
		g, err := p.pool.acquire(b.Context(), p.Team, p.queue.Class, p.need, deadline)
		if err != nil {
			b.Fatal(err)
		}
		g.release(true)
	}
}

// BenchmarkTick measures a tick of a pool without queued requests, which applies ejections.
func BenchmarkTick(b *testing.B) {
	f := benchFixture(b)
	p := f.pool(fakePool)
	for b.Loop() {
		p.tick(time.Now())
	}
}
