package authenticator

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

func treeWith(team string, c Credential, withdrawn bool) *configurer.Tree {
	return &configurer.Tree{
		Teams: map[string]configurer.Team{team: {
			Keys: []configurer.Key{{
				ID:        c.ID,
				SHA256:    c.Secret.SHA256(),
				Withdrawn: withdrawn,
			}},
		}},
	}
}

func ExampleCredential() {
	c := Credential{
		ID:     "k123",
		Secret: NewSecret("a-secret-of-a-team"),
	}
	fmt.Printf("%s %v %+v\n", c.Secret, c, c)
	fmt.Println(c.HeaderValue())
	// Output:
	// [redacted] {k123 [redacted]} {ID:k123 Secret:[redacted]}
	// k123.a-secret-of-a-team
}

// Guards against secrets in logs and errors.
func TestSecretIsNeverPrinted(t *testing.T) {
	c := Generate()
	var log strings.Builder
	hclog.New(&hclog.LoggerOptions{Output: &log}).Info("key", "key", c, "secret", c.Secret, "pointer", &c.Secret)
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	_, refused := NewIndex(&configurer.Tree{}).Verify(c)
	_, malformed := ParseHeader(c.HeaderValue() + "!")
	printed := []string{log.String(), string(text), refused.Error(), malformed.Error()}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d"} {
		printed = append(printed, fmt.Sprintf(verb, c), fmt.Sprintf(verb, &c), fmt.Sprintf(verb, c.Secret))
	}
	for _, s := range printed {
		if strings.Contains(s, c.Secret.Reveal()) || strings.Contains(s, fmt.Sprintf("%x", c.Secret.Reveal())) {
			t.Errorf("secret in %q", s)
		}
	}
}

// Guards against keys that are taken as another team's, and against errors that reveal which
// ids exist.
func TestVerify(t *testing.T) {
	c := Generate()
	cases := []struct {
		name string
		tree *configurer.Tree
		sent Credential
		team string
		err  error
	}{
		{name: "valid", tree: treeWith("a", c, false), sent: c, team: "a"},
		{name: "withdrawn", tree: treeWith("a", c, true), sent: c, err: ErrRefused},
		{name: "unknown", tree: &configurer.Tree{}, sent: c, err: ErrRefused},
		{name: "wrong secret", tree: treeWith("a", c, false), sent: Credential{ID: c.ID, Secret: Generate().Secret}, err: ErrRefused},
		{name: "empty", tree: treeWith("a", c, false), sent: Credential{}, err: ErrRefused},
	}
	var refusal string
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			team, err := NewIndex(tc.tree).Verify(tc.sent)
			if team != tc.team || !errors.Is(err, tc.err) {
				t.Errorf("got %q, %v, want %q, %v", team, err, tc.team, tc.err)
			}
			if err == nil {
				return
			}
			if refusal != "" && err.Error() != refusal {
				t.Errorf("refusal %q differs from %q", err, refusal)
			}
			refusal = err.Error()
		})
	}
}

// Guards against generated keys that are not accepted.
func TestGeneratedKeysAreAccepted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		keys := map[string]Credential{}
		for range rapid.IntRange(1, 20).Draw(rt, "keys") {
			c := Generate()
			keys[c.ID] = c
			text := fmt.Sprintf("weight = 1\nlimit = 1\nkeys = [{id = %q, sha256 = %q}]", c.ID, c.Secret.SHA256())
			if err := configurer.CheckDocument("teams/a", text); err != nil {
				rt.Fatal(err)
			}
			got, err := ParseHeader(c.HeaderValue())
			if err != nil || got != c {
				rt.Fatalf("got %v, %v", got, err)
			}
		}
	})
}

// Guards against panics, and against accepted values that parsing alters.
func FuzzParseHeader(f *testing.F) {
	f.Add("k123.a-secret-of-a-team")
	f.Add("k123..a-secret-of-a-team")
	f.Add(".")
	f.Fuzz(func(t *testing.T, value string) {
		c, err := ParseHeader(value)
		if err == nil && c.HeaderValue() != value {
			t.Errorf("%q became %q", value, c.HeaderValue())
		}
	})
}
