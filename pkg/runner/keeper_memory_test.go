package runner

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// opener is a worker that only opens sessions.
type opener struct{ Target }

func (opener) OpenSession(context.Context, string, time.Duration) (string, error) {
	return "boot", nil
}

func (opener) RenewSession(context.Context, string, string, time.Duration) error { return nil }

// Guards against sessions that are remembered for ever: a non-idempotent request has
// a session of its own, and replaced VMs have new names.
func TestUnusedSessionsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewKeeper(KeeperConfig{MayUse: func() bool { return true }})
		defer k.Close()
		held, err := k.Acquire(t.Context(), "held", opener{})
		if err != nil {
			t.Fatal(err)
		}
		highest := 0
		for n := range 1000 {
			s, err := k.Acquire(t.Context(), strconv.Itoa(n), opener{})
			if err != nil {
				t.Fatal(err)
			}
			s.Release()
			time.Sleep(100 * time.Millisecond)
			highest = max(highest, len(k.sessions))
		}
		if most := int(2 * DefaultSessionTTL / (100 * time.Millisecond)); highest > most {
			t.Errorf("%d sessions remembered, want at most those of two TTLs, %d", highest, most)
		}
		again, err := k.Acquire(t.Context(), "held", opener{})
		if err != nil || again.ID != held.ID {
			t.Errorf("a session in use was forgotten: %v, %v", again, err)
		}
		again.Release()
		held.Release()
	})
}
