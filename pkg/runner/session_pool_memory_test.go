package runner

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// sessionTarget is a worker that only opens and renews sessions.
type sessionTarget struct{ Target }

func (sessionTarget) OpenSession(context.Context, string, time.Duration) (string, error) {
	return "boot", nil
}

func (sessionTarget) RenewSession(context.Context, string, string, time.Duration) error { return nil }

// Guards against sessions that are never dropped: a non-idempotent request has a session
// of its own, and replaced VMs have new names.
func TestUnusedSessionsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewSessionPool(SessionPoolConfig{MayRun: func() bool { return true }})
		defer k.Close()
		held, err := k.Acquire(t.Context(), "held", sessionTarget{})
		if err != nil {
			t.Fatal(err)
		}
		highest := 0
		for n := range 1000 {
			s, err := k.Acquire(t.Context(), strconv.Itoa(n), sessionTarget{})
			if err != nil {
				t.Fatal(err)
			}
			s.Release()
			time.Sleep(100 * time.Millisecond)
			highest = max(highest, len(k.sessions))
		}
		if most := int(2 * DefaultSessionTTL / (100 * time.Millisecond)); highest > most {
			t.Errorf("%d sessions kept, want at most %d, the number opened within two TTLs", highest, most)
		}
		again, err := k.Acquire(t.Context(), "held", sessionTarget{})
		if err != nil || again.ID != held.ID {
			t.Errorf("a session in use was dropped: %v, %v", again, err)
		}
		again.Release()
		held.Release()
	})
}
