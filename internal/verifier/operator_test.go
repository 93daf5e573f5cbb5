package verifier

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/pkg/authenticator"
	"github.com/comfreyford/comfreyford/pkg/configurer"
)

// issueKey grants a team a new key and returns the value of the header.
func (f *fixture) issueKey(entry int, team, id string) (string, server.ChangeAnswer, error) {
	credential := authenticator.Generate()
	credential.ID = id
	var a server.ChangeAnswer
	err := f.CallOperatorAPI(f.ctx, f.Entries[entry], http.MethodPost, "/v1/settings/keys/issue", server.KeyRequest{
		ChangeID: uuid.NewString(),
		Author:   "verifier",
		KeyID:    id,
		Team:     team,
		SHA256:   credential.Secret.SHA256(),
	}, &a)
	return credential.HeaderValue(), a, err
}

func (f *fixture) withdrawKey(entry int, id string) (server.ChangeAnswer, error) {
	var a server.ChangeAnswer
	err := f.CallOperatorAPI(f.ctx, f.Entries[entry], http.MethodPost, "/v1/settings/keys/withdraw", server.KeyRequest{
		ChangeID: uuid.NewString(),
		Author:   "verifier",
		KeyID:    id,
	}, &a)
	return a, err
}

func (f *fixture) document(entry int, path string) (configurer.Document, error) {
	var doc configurer.Document
	err := f.CallOperatorAPI(f.ctx, f.Entries[entry], http.MethodGet, "/v1/settings/documents/"+path, nil, &doc)
	return doc, err
}

// putNumber replaces the number under a name in a document. It returns the answer and the
// new text.
func (f *fixture) putNumber(entry int, doc configurer.Document, name string, value int) (server.ChangeAnswer, string, error) {
	text := regexp.MustCompile(name+` = \d+`).ReplaceAllString(doc.Text, fmt.Sprintf("%s = %d", name, value))
	var a server.ChangeAnswer
	err := f.CallOperatorAPI(f.ctx, f.Entries[entry], http.MethodPut, "/v1/settings/documents/"+doc.Path, server.PutRequest{
		ChangeID: uuid.NewString(),
		Author:   fmt.Sprintf("operator-%d", entry),
		Expected: doc.Version,
		Text:     text,
	}, &a)
	return a, text, err
}

// revision returns the configuration revision in force at an entry daemon.
func (f *fixture) revision(entry int) uint64 {
	f.t.Helper()
	var l server.Listing
	if err := f.CallOperatorAPI(f.ctx, f.Entries[entry], http.MethodGet, "/v1/settings/documents", nil, &l); err != nil {
		f.t.Fatal(err)
	}
	return l.Revision
}

// checkSameText fails the test if an entry daemon has a different text of a document.
func (f *fixture) checkSameText(path, text string) {
	f.t.Helper()
	for i, e := range f.Entries {
		doc, err := f.document(i, path)
		if err != nil {
			f.t.Fatal(err)
		}
		if doc.Text != text {
			f.t.Errorf("%s has a different text of %s:\n%s\nwant:\n%s", e.Name, path, doc.Text, text)
		}
	}
}

// Guards against a withdrawn key that still works at some entry daemon after the
// operator was told that the withdrawal is in force, and against a newly granted one
// that does not work.
func TestWithdrawnKeyWorksNowhereAndGrantedKeyEverywhere(t *testing.T) {
	f := newFixture(t)
	old := f.Keys["orders"]
	s := f.stream(8, func(caller, n int) call {
		method := http.MethodGet
		queue := "stock"
		if caller%2 == 0 {
			method, queue = http.MethodPost, "orders"
		}
		return f.call((caller+n)%len(f.Entries), queue, method, old)
	})
	for i := range f.Entries {
		if a := f.send(f.call(i, "stock", http.MethodGet, old)); !a.done() {
			t.Fatalf("before the withdrawal: %v", a)
		}
	}
	a, err := f.withdrawKey(1, "orders-1")
	if err != nil || a.State != server.ChangeInForce {
		t.Fatalf("withdrawal: %+v, %v", a, err)
	}
	inForce := time.Now()
	key, a, err := f.issueKey(2, "orders", "orders-2")
	if err != nil || a.State != server.ChangeInForce {
		t.Fatalf("grant: %+v, %v", a, err)
	}
	for i := range f.Entries {
		if a := f.send(f.call(i, "stock", http.MethodGet, key)); !a.done() {
			t.Errorf("new key: %v", a)
		}
		if a := f.send(f.call(i, "stock", http.MethodGet, old)); a.reason != dispatcher.ReasonKeyRefused {
			t.Errorf("withdrawn key: %v", a)
		}
	}
	answers := s.stop()
	for _, a := range answers {
		if a.sent.After(inForce) && a.reason != dispatcher.ReasonKeyRefused {
			t.Errorf("withdrawn key after the withdrawal was in force: %v", a)
		}
	}
	f.checkAnswers(answers)
}

// Guards against accepting two concurrent changes of one document, of which one is then
// lost, and against entry daemons that keep different texts.
func TestRacingOperatorsLoseNoAcceptedChange(t *testing.T) {
	f := newFixture(t)
	const path = "teams/planning"
	type result struct {
		text string
		err  error
	}
	for round := range 6 {
		doc, err := f.document(round%len(f.Entries), path)
		if err != nil {
			t.Fatal(err)
		}
		results := make([]result, len(f.Entries))
		var wg sync.WaitGroup
		for i := range f.Entries {
			wg.Go(func() {
				_, text, err := f.putNumber(i, doc, "weight", 10*(round+1)+i)
				results[i] = result{
					text: text,
					err:  err,
				}
			})
		}
		wg.Wait()
		accepted := ""
		for i, r := range results {
			switch {
			case r.err == nil && accepted != "":
				t.Fatalf("round %d: two changes on one version were accepted", round)
			case r.err == nil:
				accepted = r.text
			case !strings.Contains(r.err.Error(), "409"):
				t.Errorf("round %d, operator %d: %v, want a conflict", round, i, r.err)
			}
		}
		if accepted == "" {
			t.Fatalf("round %d: no change was accepted: %v", round, results)
		}
		f.checkSameText(path, accepted)
	}
}

// Guards against reporting a lowered limit as in force while more work still runs.
func TestLoweredLimitHoldsOnceInForce(t *testing.T) {
	f := newFixture(t)
	const lowered = 4
	s := f.stream(24, func(caller, n int) call {
		c := f.call((caller+n)%len(f.Entries), "orders", http.MethodPost, f.Keys["orders"])
		c.duration = 700 * time.Millisecond
		return c
	})
	f.await("more work than the lowered limit runs", eventTimeout, func() error {
		if n := peak(f.runs(), "orders", time.Time{}); n <= lowered {
			return fmt.Errorf("peak is %d", n)
		}
		return nil
	})
	doc, err := f.document(0, "teams/orders")
	if err != nil {
		t.Fatal(err)
	}
	a, _, err := f.putNumber(0, doc, "limit", lowered)
	if err != nil || a.State != server.ChangeInForce {
		t.Fatalf("change: %+v, %v", a, err)
	}
	inForce := time.Now()
	f.await("work continues under the lowered limit", eventTimeout, func() error {
		n := 0
		for _, run := range f.runs() {
			if run.Team == "orders" && run.StartNS > inForce.UnixNano() {
				n++
			}
		}
		if n < 3*lowered {
			return errors.New("too few runs")
		}
		return nil
	})
	answers := s.stop()
	runs := f.runs()
	if n := peak(runs, "orders", time.Time{}); n > f.Limits()["orders"] {
		t.Errorf("%d slots ran, limit %d", n, f.Limits()["orders"])
	}
	if n := peak(runs, "orders", inForce); n > lowered {
		t.Errorf("%d slots ran after limit %d was in force", n, lowered)
	}
	f.checkAnswers(answers)
}
