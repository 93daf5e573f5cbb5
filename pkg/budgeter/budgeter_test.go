package budgeter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/budgeter"
)

// start is the beginning of virtual time.
var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func newBudget(bytes int64, connections int) *budgeter.Budget[string] {
	return budgeter.New[string](budgeter.Config{
		Bytes:       bytes,
		Connections: connections,
		SmallBytes:  100,
	})
}

// open opens a connection whose caller is sending a body, for which n bytes are reserved.
func open(t *testing.T, b *budgeter.Budget[string], name, origin string, n int64, now time.Time) *budgeter.Holder[string] {
	t.Helper()
	h, _ := b.Open(name, origin, now)
	if h == nil {
		t.Fatalf("connection %s does not fit", name)
	}
	if ok, _ := b.Begin(h, 0, now); !ok {
		t.Fatalf("request on %s does not fit", name)
	}
	if ok, _ := b.Reserve(h, n, now); !ok {
		t.Fatalf("%d bytes on %s do not fit", n, name)
	}
	b.Wait(h, budgeter.WaitingForCaller, now)
	return h
}

func names(holders []*budgeter.Holder[string]) string {
	text := ""
	for _, h := range holders {
		text += h.Connection
	}
	return text
}

// Guards against a process that runs out of memory: whatever callers do, no more is reserved than
// the budget has.
func ExampleBudget() {
	b := budgeter.New[string](budgeter.Config{
		Bytes:       1000,
		Connections: 10,
	})
	h, _ := b.Open("a connection", "192.0.2.1", start)
	fits, _ := b.Begin(h, 700, start)
	fmt.Println(fits, b.Usage().Bytes)
	fits, _ = b.Reserve(h, 700, start)
	fmt.Println(fits, b.Usage().Bytes)
	b.Release(h)
	fmt.Println(b.Usage().Bytes, b.Usage().Connections)
	// Output:
	// true 700
	// false 700
	// 0 1
}

// Guards against large requests that leave no room for ordinary ones.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	b := newBudget(1000, 100)
	open(t, b, "a", "x", 700, start)
	other, _ := b.Open("b", "y", start)
	if ok, _ := b.Begin(other, 150, start); ok {
		t.Error("a large request takes the room of small ones")
	}
	if ok, _ := b.Begin(other, 100, start); !ok {
		t.Error("a small request is refused")
	}
}

// Guards against one origin that holds all while others wait, and against one that is limited
// while nobody else holds much.
func TestHeaviestOriginLeavesRoomForOthers(t *testing.T) {
	b := newBudget(1000, 100)
	for i := range 7 {
		open(t, b, fmt.Sprint(i), "x", 100, start)
	}
	more, _ := b.Open("more", "x", start)
	if ok, _ := b.Begin(more, 100, start); ok {
		t.Error("an origin with most of the budget takes the last part")
	}
	other, _ := b.Open("other", "y", start)
	if ok, _ := b.Begin(other, 100, start); !ok {
		t.Error("another origin is refused")
	}
}

// Guards against stalled callers that keep others out, and against callers with progress that lose
// their requests to others.
func TestStalledCallersGiveWay(t *testing.T) {
	const rate = budgeter.DefaultMinRate
	tests := []struct {
		name string
		// progress is what the caller sends each 10 ms.
		progress int
		waiting  budgeter.Waiting
		want     bool // gives way
	}{
		{
			name:    "no progress",
			waiting: budgeter.WaitingForCaller,
			want:    true,
		},
		{
			name:     "a few bytes at a time",
			progress: rate / 1000,
			waiting:  budgeter.WaitingForCaller,
			want:     true,
		},
		{
			name:     "the slowest legal rate",
			progress: rate/100 + 1,
			waiting:  budgeter.WaitingForCaller,
		},
		{
			name:    "the process works on the request",
			waiting: budgeter.WaitingForWork,
		},
		{
			name:    "between two requests, with nothing reserved to give",
			waiting: budgeter.WaitingForRequest,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBudget(1000, 100)
			h := open(t, b, "a", "x", 700, start)
			if test.waiting == budgeter.WaitingForRequest {
				b.Release(h)
				open(t, b, "c", "x", 700, start)
			}
			b.Wait(h, test.waiting, start)
			now := start
			for ; now.Before(after(time.Second)); now = now.Add(10 * time.Millisecond) {
				if test.progress > 0 {
					b.Progress(h, test.progress, now)
				}
			}
			other, _ := b.Open("b", "y", now)
			_, shed := b.Begin(other, 700, now)
			gaveWay := false
			for _, s := range shed {
				gaveWay = gaveWay || s == h
			}
			if gaveWay != test.want {
				t.Errorf("gives way: %t, want %t", gaveWay, test.want)
			}
		})
	}
}

// Guards against callers that are disconnected although that makes too little room.
func TestNobodyGivesWayInVain(t *testing.T) {
	b := newBudget(1000, 100)
	open(t, b, "a", "x", 300, start)
	busy := open(t, b, "b", "x", 400, start)
	b.Wait(busy, budgeter.WaitingForWork, start)
	other, _ := b.Open("c", "y", after(time.Second))
	if ok, shed := b.Begin(other, 700, after(time.Second)); ok || len(shed) > 0 {
		t.Errorf("fits %t, %q gave way", ok, names(shed))
	}
}

// Guards against a light origin that pays for a heavy one, and against an order in which callers
// that wait for long stay.
func TestHeaviestOriginGivesWayFirstAndTheLongestStalledOfIt(t *testing.T) {
	b := newBudget(1000, 100)
	open(t, b, "l", "light", 100, start)
	open(t, b, "2", "heavy", 200, after(20*time.Millisecond))
	open(t, b, "1", "heavy", 200, after(10*time.Millisecond))
	open(t, b, "3", "heavy", 200, after(30*time.Millisecond))
	other, _ := b.Open("o", "other", after(time.Second))
	ok, shed := b.Begin(other, 400, after(time.Second))
	if !ok || names(shed) != "12" {
		t.Errorf("fits %t, gave way: %s, want 12", ok, names(shed))
	}
}

// Guards against silent connections that keep callers out.
func TestIdleConnectionGivesWayToANewOne(t *testing.T) {
	b := newBudget(1000, 8)
	for i := range 8 {
		if h, _ := b.Open(fmt.Sprint(i), fmt.Sprint("origin ", i), after(time.Duration(i)*time.Millisecond)); h == nil {
			t.Fatalf("connection %d does not fit", i)
		}
	}
	if h, _ := b.Open("early", "other", after(100*time.Millisecond)); h != nil {
		t.Error("a connection gives way before its caller could send a request")
	}
	h, shed := b.Open("late", "other", after(time.Second))
	if h == nil || names(shed) != "0" {
		t.Errorf("gave way: %s, want the oldest", names(shed))
	}
	if n := b.Usage().Connections; n != 8 {
		t.Errorf("%d connections are open, want 8", n)
	}
}

// Guards against a caller that never ends its request, and against one that is
// disconnected while its bytes are held up for some seconds or come slowly.
func TestRequestsWithoutProgressExpire(t *testing.T) {
	b := newBudget(1000, 10)
	stalled := open(t, b, "stalled", "x", 100, start)
	slow := open(t, b, "slow", "x", 100, start)
	heldUp := open(t, b, "held up", "x", 100, start)
	working := open(t, b, "working", "x", 100, start)
	b.Wait(working, budgeter.WaitingForWork, start)
	idle, _ := b.Open("idle", "x", start)
	expired := map[*budgeter.Holder[string]]time.Duration{}
	const bodyBytes = 256 << 10
	for at := time.Duration(0); at < 2*bodyBytes/budgeter.DefaultMinRate*time.Second; at += time.Second {
		b.Progress(slow, budgeter.DefaultMinRate, after(at))
		if at%(8*time.Second) == 0 {
			b.Progress(heldUp, bodyBytes, after(at))
		}
		for _, h := range b.Expire(after(at)) {
			expired[h] = at
		}
	}
	if at := expired[stalled]; at != budgeter.DefaultWindow || len(expired) != 1 {
		t.Errorf("expired: %v (%q), want the stalled one after %s", expired, []string{slow.Connection, heldUp.Connection, idle.Connection}, budgeter.DefaultWindow)
	}
}

// Guards against a caller whose time runs while the process works on its request.
func TestWorkDoesNotCountAgainstTheCaller(t *testing.T) {
	b := newBudget(1000, 10)
	h := open(t, b, "a", "x", 100, start)
	b.Wait(h, budgeter.WaitingForWork, after(time.Second))
	b.Wait(h, budgeter.WaitingForCaller, after(time.Hour))
	left := budgeter.DefaultWindow - time.Second
	if expired := b.Expire(after(time.Hour + left - 1)); len(expired) > 0 {
		t.Error("expired too early")
	}
	if expired := b.Expire(after(time.Hour + left)); len(expired) != 1 {
		t.Error("reading in pieces extends the time of a caller without progress")
	}
}

// Guards against room that is lost when connections end, in whatever order.
func TestEverythingIsFreeAfterTheLastConnection(t *testing.T) {
	b := newBudget(1000, 10)
	h := open(t, b, "a", "x", 100, start)
	open(t, b, "b", "x", 100, start)
	b.Close(h)
	b.Close(h)
	b.Release(h)
	if ok, _ := b.Reserve(h, 10, start); ok {
		t.Error("a closed connection reserves room")
	}
	b.Expire(after(time.Hour))
	if u := b.Usage(); u.Bytes != 0 || u.Connections != 0 {
		t.Errorf("still held: %+v", u)
	}
}

// Guards against a budget that a process in one of the deployments can't keep, or that turns away
// a single request inside the limits.
func TestBudgetOfAProcess(t *testing.T) {
	for _, l := range []budgeter.Limits{
		{
			MemoryBytes: 160 << 20,
			Files:       500,
		},
		{
			MemoryBytes: 184 << 20,
			Files:       4100,
		},
		{
			MemoryBytes: 536 << 20,
			Files:       8192,
		},
		{},
	} {
		cfg := l.Callers()
		held := cfg.Bytes + int64(cfg.Connections)*budgeter.ConnectionBytes
		if l.MemoryBytes > 0 && held > l.MemoryBytes/4 {
			t.Errorf("%+v: callers may hold %d bytes", l, held)
		}
		if l.Files > 0 && int64(2*cfg.Connections) > l.Files-200 {
			t.Errorf("%+v: %d connections leave no descriptors for their requests", l, cfg.Connections)
		}
		const largestRequest = 256<<10 + 6*256<<10 + 4000*640
		if !budgeter.New[string](cfg).EverFits(largestRequest) {
			t.Errorf("%+v: the largest legal request does not fit", l)
		}
	}
}
