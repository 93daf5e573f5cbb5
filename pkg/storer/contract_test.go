package storer_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// implementations lists every Store, with a function that creates an empty one.
var implementations = []struct {
	name string
	open func(t *testing.T) storer.Store
}{
	{"memory", func(*testing.T) storer.Store { return storer.NewMemory() }},
	{"faulty without faults", func(*testing.T) storer.Store { return &storer.FaultInjector{Store: storer.NewMemory()} }},
	{"client", func(t *testing.T) storer.Store {
		client, _ := openClient(t)
		return client
	}},
}

// openClient returns a client of a new platform. It must be called in a synctest bubble.
func openClient(t *testing.T) (*storer.Client, *emulator.Platform) {
	t.Helper()
	platform, err := emulator.NewPlatform(emulator.PlatformConfig{})
	if err != nil {
		t.Fatal(err)
	}
	client := serve(t, platform.Handler())
	t.Cleanup(platform.Close) // before the server stops: ends hanging calls
	return client, platform
}

func serve(t *testing.T, handler http.Handler) *storer.Client {
	t.Helper()
	listener := emulator.NewMemoryListener()
	server := &http.Server{Handler: handler}
	go server.Serve(listener) //nolint:errcheck // ends with ErrServerClosed
	client := storer.NewClient(storer.ClientConfig{
		Address: "platform",
		Dial:    listener.DialContext,
	})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		synctest.Wait()
	})
	return client
}

func mustWrite(t *testing.T, s storer.Store, w storer.Write) storer.Version {
	t.Helper()
	version, err := s.CompareAndSwap(t.Context(), w)
	if err != nil {
		t.Fatalf("write %s: %v", w.Key, err)
	}
	return version
}

func mustGet(t *testing.T, s storer.Store, key string) storer.Item {
	t.Helper()
	item, err := s.Get(t.Context(), key)
	if err != nil {
		t.Fatalf("get %s: %v", key, err)
	}
	return item
}

func wantError(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("error is %v, want %v", got, want)
	}
}

var contract = []struct {
	name string
	run  func(t *testing.T, s storer.Store)
}{
	{"an absent key has version zero", func(t *testing.T, s storer.Store) {
		if item := mustGet(t, s, "a b/&?"); item.Version != 0 || item.Key != "a b/&?" || len(item.Value) != 0 {
			t.Fatalf("got %+v", item)
		}
	}},
	{"a second create does not overwrite", func(t *testing.T, s storer.Store) {
		mustWrite(t, s, storer.Write{Key: "a", Value: []byte("1")})
		_, err := s.CompareAndSwap(t.Context(), storer.Write{Key: "a", Value: []byte("2")})
		wantError(t, err, storer.ErrConflict)
		if got := mustGet(t, s, "a"); string(got.Value) != "1" {
			t.Fatalf("value is %q", got.Value)
		}
	}},
	{"a stale version is refused", func(t *testing.T, s storer.Store) {
		v1 := mustWrite(t, s, storer.Write{Key: "a", Value: []byte("1")})
		v2 := mustWrite(t, s, storer.Write{Key: "a", Value: []byte("2"), Expected: v1})
		if v2 <= v1 {
			t.Fatalf("version %d follows %d", v2, v1)
		}
		_, err := s.CompareAndSwap(t.Context(), storer.Write{Key: "a", Value: []byte("3"), Expected: v1})
		wantError(t, err, storer.ErrConflict)
		wantError(t, s.Delete(t.Context(), "a", v1), storer.ErrConflict)
	}},
	{"a version is not reused after a deletion", func(t *testing.T, s storer.Store) {
		v1 := mustWrite(t, s, storer.Write{Key: "a"})
		if err := s.Delete(t.Context(), "a", v1); err != nil {
			t.Fatal(err)
		}
		if v2 := mustWrite(t, s, storer.Write{Key: "a"}); v2 <= v1 {
			t.Fatalf("version %d follows %d", v2, v1)
		}
	}},
	{"binary values of the largest size survive and larger ones are refused", func(t *testing.T, s storer.Store) {
		value := bytes.Repeat([]byte{0, 0xff, '"', '\n'}, storer.MaxValueBytes/4)
		mustWrite(t, s, storer.Write{Key: "a", Value: value})
		if got := mustGet(t, s, "a"); !bytes.Equal(got.Value, value) {
			t.Fatal("the value changed")
		}
		_, err := s.CompareAndSwap(t.Context(), storer.Write{Key: "b", Value: append(value, 0)})
		wantError(t, err, storer.ErrTooLarge)
	}},
	{"a list holds exactly the prefix in order", func(t *testing.T, s storer.Store) {
		for _, key := range []string{"p/b", "p/a", "q/a", "p"} {
			mustWrite(t, s, storer.Write{Key: key, Value: []byte(key)})
		}
		items, err := s.List(t.Context(), "p/")
		if err != nil {
			t.Fatal(err)
		}
		if len(items) != 2 || items[0].Key != "p/a" || items[1].Key != "p/b" || string(items[1].Value) != "p/b" {
			t.Fatalf("got %+v", items)
		}
	}},
	{"a watch returns a change that came before it", func(t *testing.T, s storer.Store) {
		v1 := mustWrite(t, s, storer.Write{Key: "a", Value: []byte("1")})
		item, err := s.Watch(t.Context(), "a", 0, time.Minute)
		if err != nil || item.Version != v1 {
			t.Fatalf("got %+v, %v", item, err)
		}
	}},
	{"a watch returns at the change and not when its time is over", func(t *testing.T, s storer.Store) {
		start := time.Now()
		written := make(chan error, 1)
		go func() {
			time.Sleep(10 * time.Second)
			_, err := s.CompareAndSwap(t.Context(), storer.Write{Key: "a", Value: []byte("1")})
			written <- err
		}()
		item, err := s.Watch(t.Context(), "a", 0, time.Minute)
		// The watch can return before the answer to the write has arrived.
		if err := <-written; err != nil {
			t.Fatal(err)
		}
		if err != nil || string(item.Value) != "1" || time.Since(start) != 10*time.Second {
			t.Fatalf("got %+v, %v after %v", item, err, time.Since(start))
		}
	}},
	{"a watch without a change returns the item when its time is over", func(t *testing.T, s storer.Store) {
		start := time.Now()
		v1 := mustWrite(t, s, storer.Write{Key: "a", Value: []byte("1")})
		item, err := s.Watch(t.Context(), "a", v1, 5*time.Second)
		if err != nil || item.Version != v1 || time.Since(start) != 5*time.Second {
			t.Fatalf("got %+v, %v after %v", item, err, time.Since(start))
		}
	}},
	{"a watch sees the expiry of a lease", func(t *testing.T, s storer.Store) {
		id, err := s.Grant(t.Context(), 3*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		v1 := mustWrite(t, s, storer.Write{Key: "a", Lease: id})
		item, err := s.Watch(t.Context(), "a", v1, time.Minute)
		if err != nil || item.Version != 0 {
			t.Fatalf("got %+v, %v", item, err)
		}
	}},
	{"a renewed lease keeps its keys and an expired one cannot be used", func(t *testing.T, s storer.Store) {
		id, err := s.Grant(t.Context(), 3*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		mustWrite(t, s, storer.Write{Key: "a", Lease: id})
		time.Sleep(2 * time.Second)
		if err := s.Renew(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if mustGet(t, s, "a").Version == 0 {
			t.Fatal("the key is gone although its lease was renewed")
		}
		time.Sleep(time.Second)
		if mustGet(t, s, "a").Version != 0 {
			t.Fatal("the key outlived its lease")
		}
		wantError(t, s.Renew(t.Context(), id), storer.ErrLeaseNotFound)
		_, err = s.CompareAndSwap(t.Context(), storer.Write{Key: "b", Lease: id})
		wantError(t, err, storer.ErrLeaseNotFound)
	}},
	{"a revoked lease deletes its keys", func(t *testing.T, s storer.Store) {
		id, err := s.Grant(t.Context(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		mustWrite(t, s, storer.Write{Key: "a", Lease: id})
		if err := s.Revoke(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		if mustGet(t, s, "a").Version != 0 {
			t.Fatal("the key outlived its lease")
		}
		wantError(t, s.Revoke(t.Context(), id), storer.ErrLeaseNotFound)
	}},
	{"a cancelled call changes nothing", func(t *testing.T, s storer.Store) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := s.CompareAndSwap(ctx, storer.Write{Key: "a"}); err == nil || errors.Is(err, storer.ErrOutcomeUnknown) {
			t.Fatalf("error is %v", err)
		}
		if mustGet(t, s, "a").Version != 0 {
			t.Fatal("the key was written")
		}
	}},
}

func TestStoreContract(t *testing.T) {
	for _, impl := range implementations {
		for _, c := range contract {
			t.Run(impl.name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, impl.open(t)) })
			})
		}
	}
}
