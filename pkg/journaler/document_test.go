package journaler

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// idAt returns a UUIDv7 of the given time.
func idAt(t time.Time, n byte) uuid.UUID {
	ms := t.UnixMilli()
	id := uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70, 0, 0x80}
	id[15] = n
	return id
}

func mustCodec(t testing.TB) *codec {
	t.Helper()
	c, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var baseTime = time.UnixMilli(1_800_000_000_000)

func documentIn(t *testing.T, state State, idempotent bool) (*Document, uuid.UUID) {
	t.Helper()
	d, id := NewDocument(), idAt(baseTime, 1)
	steps := []func() error{
		func() error {
			return d.Accept(id, Request{
				Idempotent: idempotent,
				Team:       "a",
			}, inlineBlob(nil))
		},
		func() error { return d.Start(id, Attempt{Task: "t"}) },
		func() error {
			switch state {
			case StateDone:
				return d.Finish(id, "t", Result{Status: 200}, baseTime)
			case StateFailed:
				return d.Fail(id, "v", baseTime)
			case StateCancelled:
				return d.Cancel(id, "a", baseTime)
			case StateUnknown:
				return d.MarkUnknown(id, "t", baseTime)
			}
			return nil
		},
	}
	if state == StateAccepted {
		steps = steps[:1]
	}
	for _, step := range steps {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	return d, id
}

// Guards against a transition that changes a final record or starts a record twice.
func TestIllegalTransitionsAreRefused(t *testing.T) {
	transitions := map[string]func(*Document, uuid.UUID) error{
		"start":   func(d *Document, id uuid.UUID) error { return d.Start(id, Attempt{Task: "t2"}) },
		"adopt":   func(d *Document, id uuid.UUID) error { return d.Adopt(id, "t", "s2") },
		"not_run": func(d *Document, id uuid.UUID) error { return d.NotRun(id, "t") },
		"retry":   func(d *Document, id uuid.UUID) error { return d.Retry(id, "t", 4, baseTime) },
		"finish":  func(d *Document, id uuid.UUID) error { return d.Finish(id, "t", Result{}, baseTime) },
		"fail":    func(d *Document, id uuid.UUID) error { return d.Fail(id, "v", baseTime) },
		"cancel":  func(d *Document, id uuid.UUID) error { return d.Cancel(id, "a", baseTime) },
		"unknown": func(d *Document, id uuid.UUID) error { return d.MarkUnknown(id, "t", baseTime) },

		"withdraw": func(d *Document, id uuid.UUID) error { return d.Withdraw(id) },
	}
	legal := map[State]string{
		StateAccepted: "start fail cancel withdraw",
		StateStarted:  "adopt not_run finish fail cancel unknown",
	}
	for _, state := range []State{StateAccepted, StateStarted, StateDone, StateFailed, StateCancelled, StateUnknown} {
		for name, apply := range transitions {
			d, id := documentIn(t, state, false)
			err := apply(d, id)
			want := strings.Contains(" "+legal[state]+" ", " "+name+" ")
			var illegal *StateError
			if want != (err == nil) || (!want && !errors.As(err, &illegal)) {
				t.Errorf("%s in %s: %v", name, state, err)
			}
		}
	}
	d, id := documentIn(t, StateStarted, true)
	if err := errors.Join(d.Retry(id, "t", 4, baseTime), d.Withdraw(id)); !errors.Is(err, ErrTransitionNotAllowed) {
		t.Errorf("withdrawal after a run: %v", err)
	}
	d, id = documentIn(t, StateStarted, true)
	if err := d.Finish(id, "other", Result{}, baseTime); !errors.Is(err, ErrWrongTask) {
		t.Errorf("finish of a former attempt: %v", err)
	}
	if err := d.Cancel(id, "b", baseTime); !errors.Is(err, ErrWrongTeam) {
		t.Errorf("cancel by another team: %v", err)
	}
	if err := d.Retry(id, "t", 1, baseTime); err != nil || d.Records[id].Verdict != VerdictAttemptsExhausted {
		t.Errorf("retry beyond the attempts: %v", err)
	}
	if err := d.Accept(id, Request{}, Blob{}); !errors.Is(err, ErrIdentityExists) {
		t.Errorf("accept twice: %v", err)
	}
}

// Guards against a document that outgrows the limit of a value after its records were
// accepted, and against records that are changed by encoding and decoding.
func TestDocumentStaysBelowItsBound(t *testing.T) {
	c := mustCodec(t)
	rapid.Check(t, func(t *rapid.T) {
		d, n := NewDocument(), byte(0)
		name := func(label string) string { return rapid.StringN(0, 20, maxNameBytes).Draw(t, label) }
		pick := func() uuid.UUID { return idAt(baseTime, byte(rapid.IntRange(0, int(n)).Draw(t, "id"))) }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				n++
				body := inlineBlob(rapid.SliceOfN(rapid.Byte(), 0, MaxInlineBytes).Draw(t, "body"))
				_ = d.Accept(idAt(baseTime, n), Request{
					Queue:      name("q"),
					Path:       name("p"),
					Idempotent: true,
				}, body)
			},
			"start": func(*rapid.T) {
				_ = d.Start(pick(), Attempt{
					Task:    "t",
					Target:  name("t"),
					BootID:  name("b"),
					Session: name("s"),
				})
			},
			"finish": func(*rapid.T) {
				_ = d.Finish(pick(), "t", Result{
					Type:   name("c"),
					Key:    name("k"),
					Digest: 1 << 60,
				}, baseTime)
			},
			"retry":  func(*rapid.T) { _ = d.Retry(pick(), "t", 2, baseTime) },
			"fail":   func(*rapid.T) { _ = d.Fail(pick(), Verdict(name("v")), baseTime) },
			"expire": func(*rapid.T) { d.Expire(baseTime.Add(time.Hour), nil) },
			"": func(t *rapid.T) {
				data, err := c.encode(d)
				if err != nil || len(data) > d.MaxEncodedBytes() || d.MaxEncodedBytes() > MaxDocumentBytes {
					t.Fatalf("%d bytes, bound %d: %v", len(data), d.MaxEncodedBytes(), err)
				}
				decoded, err := c.decode(data)
				if err != nil || decoded.used != d.used {
					t.Fatalf("decode: %v", err)
				}
				if again, err := c.encode(decoded); err != nil || !bytes.Equal(data, again) {
					t.Fatalf("round trip changed the document: %v", err)
				}
			},
		})
	})
}

// Guards against an accepted record that cannot end because the document is full.
func TestFullDocumentRefusesOnlyNewRecords(t *testing.T) {
	d, c := NewDocument(), mustCodec(t)
	long := strings.Repeat("x", maxNameBytes)
	var ids []uuid.UUID
	for n := range 1 << 14 {
		id := idAt(baseTime.Add(time.Duration(n)*time.Millisecond), 1)
		if err := d.Accept(id, Request{Queue: long}, inlineBlob(nil)); err != nil {
			if !errors.Is(err, ErrShardFull) {
				t.Fatal(err)
			}
			break
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		if err := errors.Join(
			d.Start(id, Attempt{
				Task:    long,
				Target:  long,
				BootID:  long,
				Session: long,
			}),
			d.Finish(id, long, Result{
				Type: long,
				Key:  long,
			}, baseTime),
		); err != nil {
			t.Fatal(err)
		}
	}
	if data, err := c.encode(d); err != nil || len(data) > MaxDocumentBytes {
		t.Fatalf("%d bytes: %v", len(data), err)
	}
}

// Guards against a mixed roll-out in which the older release drops fields of the newer one.
func TestNeighbouringReleaseKeepsUnknownFields(t *testing.T) {
	c := mustCodec(t)
	d, id := documentIn(t, StateStarted, true)
	d.Version = DocumentVersion + 1
	d.Extra = map[uint64]cbor.RawMessage{90: {0x01}}
	r := d.Records[id]
	r.Extra = map[uint64]cbor.RawMessage{91: {0x61, 'x'}}
	d.put(r)
	data, err := c.encode(d)
	if err != nil {
		t.Fatal(err)
	}
	back, err := c.decode(data)
	if err != nil || back.Finish(id, "t", Result{Status: 200}, baseTime) != nil {
		t.Fatal(err)
	}
	got := back.Records[id]
	if back.Version != DocumentVersion+1 || len(back.Extra) != 1 || string(got.Extra[91]) != "ax" || got.Status != 200 {
		t.Fatalf("lost fields: %+v", got)
	}
	for name, change := range map[string]func(){
		"version too new": func() { d.Version = DocumentVersion + 2 },
		"unknown state":   func() { r.State = "paused"; d.put(r); d.Version = DocumentVersion },
	} {
		change()
		data, err := c.encode(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.decode(data); !errors.Is(err, ErrUnsupportedVersion) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a decoder that fails without a typed error or accepts what it cannot write back.
func FuzzDecode(f *testing.F) {
	c := mustCodec(f)
	d := NewDocument()
	for n := range byte(3) {
		if err := d.Accept(idAt(baseTime, n), Request{Queue: "q"}, inlineBlob([]byte("b"))); err != nil {
			f.Fatal(err)
		}
	}
	d.TakeOver("a", "t")
	d.Extra = map[uint64]cbor.RawMessage{90: {0x01}}
	seed, err := c.encode(d)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add(seed[:len(seed)/2])
	f.Add([]byte{0xa0})
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := c.decode(data)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnsupportedVersion) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		out, err := c.encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.decode(out); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against dropping a record before its keys are deleted, or too early.
func TestExpireKeepsRecordsWithinRetention(t *testing.T) {
	d, id := documentIn(t, StateStarted, true)
	if err := errors.Join(d.Retry(id, "t", 4, baseTime), d.Withdraw(id)); !errors.Is(err, ErrTransitionNotAllowed) {
		t.Errorf("withdrawal after a run: %v", err)
	}
	d, id = documentIn(t, StateStarted, true)
	if err := d.Finish(id, "t", Result{Key: "k"}, baseTime.Add(5*time.Minute)); err != nil {
		t.Fatal(err)
	}
	early := d.Expire(baseTime.Add(11*time.Minute), nil)
	due := d.Expire(baseTime.Add(15*time.Minute), nil)
	if len(early) != 0 || len(due) != 1 || len(d.Records) != 1 {
		t.Errorf("keys to delete: early %v, when due %v; %d records", early, due, len(d.Records))
	}
	if d.Expire(baseTime.Add(15*time.Minute), map[string]bool{"k": true}); len(d.Records) != 0 {
		t.Error("the record stayed after its key was deleted")
	}
}

// Guards against running an identity whose record may already have been dropped.
func TestIdentityChecks(t *testing.T) {
	for _, tt := range []struct {
		name string
		id   uuid.UUID
		want error
	}{
		{
			name: "new",
			id:   idAt(baseTime, 1),
		},
		{
			name: "not version 7",
			id:   uuid.UUID{6: 0x40, 8: 0x80},
			want: ErrBadIdentity,
		},
		{
			name: "in the future",
			id:   idAt(baseTime.Add(61*time.Second), 1),
			want: ErrBadIdentity,
		},
		{
			name: "slightly ahead",
			id:   idAt(baseTime.Add(59*time.Second), 1),
		},
		{
			name: "old",
			id:   idAt(baseTime.Add(-9*time.Minute-time.Millisecond), 1),
			want: ErrIdentityExpired,
		},
	} {
		if err := CheckNew(tt.id, baseTime); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
	if _, err := ParseIdentity("nonsense"); !errors.Is(err, ErrBadIdentity) {
		t.Errorf("parse: %v", err)
	}
}
