package loader

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const valid = `name = "entry-1"
region = "north"
availability_zone = "north-a"
caller_address = "127.0.0.1:8080"
operator_address = "127.0.0.1:8081"
metrics_address = "127.0.0.1:8082"
peer_address = "127.0.0.1:8080"
platform_address = "http://127.0.0.1:7000"
certificate_file = "entry.pem"
private_key_file = "entry-key.pem"
ca_files = ["ca.pem"]
operator_key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
`

// Guards against defaults that differ from the design page.
func TestDefaults(t *testing.T) {
	s, err := Parse("entry.toml", valid)
	if err != nil {
		t.Fatal(err)
	}
	if s.RequestBodyLimitBytes != 1<<20 || s.AnswerBodyLimitBytes != 16<<20 || s.JournalBodyLimitBytes != 512<<10 {
		t.Errorf("limits of bodies: %+v", s)
	}
	if s.InteractiveTimeout != 30*time.Second || s.DeferrableTimeout != time.Hour || s.DrainDelay != time.Second {
		t.Errorf("timeouts: %+v", s)
	}
	if s.PeerAdvertiseAddress != "" {
		t.Errorf("advertised address: %q, want that of the listener", s.PeerAdvertiseAddress)
	}
	if s.ReportInterval != 250*time.Millisecond || s.ConfigPollInterval != 500*time.Millisecond || s.HeartbeatInterval != 5*time.Second {
		t.Errorf("intervals: %+v", s)
	}
}

// Guards against bad values that are accepted, and against errors that do not name the line
// and the key.
func TestProblemsNameLineAndKey(t *testing.T) {
	cases := []struct {
		name, old, new, want string
	}{
		{name: "unknown key", new: "nam = 1\n", want: `entry.toml:13: nam: unknown key with 1; want a key of the reference`},
		{name: "upper case", old: `region =`, new: `Region =`, want: `entry.toml:2: Region: unknown key`},
		{name: "missing", old: `region = "north"`, want: `entry.toml: region: missing; want a string`},
		{name: "wrong type", old: `"entry-1"`, new: `1`, want: `entry.toml:1: name: got 1; want a string`},
		{name: "host name of the advertised address", new: "peer_advertise_address = \"entry:1\"\n", want: `entry.toml:13: peer_advertise_address: got "entry:1"; want an IP address`},
		{name: "host name", old: `127.0.0.1:8081`, new: `localhost:8081`, want: `entry.toml:5: operator_address: got "localhost:8081"; want an IP address`},
		{name: "port", old: `127.0.0.1:8081`, new: `127.0.0.1:65536`, want: `entry.toml:5: operator_address: got "127.0.0.1:65536"`},
		{name: "same address", old: `127.0.0.1:8082`, new: `127.0.0.1:8081`, want: `metrics_address: got "127.0.0.1:8081", which is also operator_address`},
		{name: "URL", old: `http:`, new: `ftp:`, want: `entry.toml:8: platform_address: got "ftp://127.0.0.1:7000"`},
		{name: "no CA", old: `["ca.pem"]`, new: `[]`, want: `entry.toml:11: ca_files: got []; want a list of 1 to 2`},
		{name: "below bounds", new: `drain_delay = "-1s"`, want: `entry.toml:13: drain_delay: got "-1s"; want a duration from "0s" to "1m0s"`},
		{name: "boolean", new: `profiling = "yes"`, want: `entry.toml:13: profiling: got "yes"; want true or false`},
		{name: "no unit", new: `drain_delay = 1`, want: `drain_delay: got 1; want a duration`},
		{name: "above bounds", new: `journal_body_limit = 524289`, want: `journal_body_limit: got 524289; want an integer from 1024 to 524288 bytes`},
		{name: "relation", new: "silence_timeout = \"1s\"", want: `silence_timeout: got 1s; want more than health_interval, 1s`},
		{name: "peer", new: `contact_peers = ["127.0.0.1:1", "peer"]`, want: `contact_peers: got [127.0.0.1:1 peer]; want a list of 0 to 64`},
		{name: "table", new: "[extra]\na = 1", want: `entry.toml:13: extra: unknown key`},
		{name: "syntax", old: `region =`, new: `region ==`, want: `entry.toml:2: `},
		{name: "key twice", new: `name = "entry-2"`, want: `entry.toml:13: `},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := valid + tc.new
			if tc.old != "" {
				text = strings.Replace(valid, tc.old, tc.new, 1)
			}
			s, err := Parse("entry.toml", text)
			var problems Problems
			if !errors.As(err, &problems) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
			if s.Name != "" {
				t.Error("got settings along with an error")
			}
		})
	}
}

// Guards against an operator key that is shown in an error because the file contains the key
// instead of its hash.
func TestOperatorKeyIsNotShown(t *testing.T) {
	_, err := Parse("entry.toml", strings.Replace(valid, strings.Repeat("0", 64), "sesame", 1))
	if err == nil || strings.Contains(err.Error(), "sesame") {
		t.Errorf("got %v", err)
	}
}

// Guards against reports that contain only the first problem.
func TestAllProblemsAreReported(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lines := strings.Split(strings.TrimSpace(valid), "\n")
		broken := 0
		for i, line := range lines {
			if rapid.Bool().Draw(rt, line) {
				key, _, _ := strings.Cut(line, " ")
				lines[i] = key + " = 1.5"
				broken++
			}
		}
		_, err := Parse("entry.toml", strings.Join(lines, "\n"))
		var problems Problems
		errors.As(err, &problems)
		if len(problems) != broken {
			rt.Errorf("%d problems, want %d: %v", len(problems), broken, err)
		}
	})
}

// Guards against settings that are accepted although the files that they name are missing.
func TestLoadReadsTheNamedFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(path, []byte(valid), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	for _, want := range []string{":9: certificate_file: ", ":11: ca_files: "} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// writePair writes a self-signed certificate, which is also its own CA, and its key.
func writePair(t *testing.T, dir string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		"entry.pem":     {Type: "CERTIFICATE", Bytes: certificate},
		"ca.pem":        {Type: "CERTIFICATE", Bytes: certificate},
		"entry-key.pem": {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against valid files that are refused, and against paths that depend on the working
// directory.
func TestLoadResolvesPathsFromTheFolderOfTheFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "entry.toml")
	if err := os.WriteFile(path, []byte(valid), 0o600); err != nil {
		t.Fatal(err)
	}
	writePair(t, dir)
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.CertificateFile != filepath.Join(dir, "entry.pem") || s.CAFiles[0] != filepath.Join(dir, "ca.pem") {
		t.Errorf("got %q and %q", s.CertificateFile, s.CAFiles)
	}
}

// Guards against keys that occur twice, lack a text, refuse their own default or are missing
// from the reference.
func TestTable(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range Table() {
		if seen[k.Name] || k.Help == "" || k.want() == "" {
			t.Errorf("%s: occurs twice or lacks a text", k.Name)
		}
		seen[k.Name] = true
		if k.Default != nil && k.set(&Settings{}, k.Default) != nil {
			t.Errorf("%s: default %v is refused", k.Name, k.Default)
		}
		if !strings.Contains(Reference(), "| `"+k.Name+"` |") {
			t.Errorf("%s: not in the reference", k.Name)
		}
	}
}

// Guards against panics, and against settings that are returned along with an error.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("name = 1\n[a]\nb = '''\nc = 1'''")
	f.Add("ca_files = [1, \"\"]\ndrain_delay = \"1e9s\"")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("entry.toml", text)
		if err != nil && s.Name != "" {
			t.Errorf("got settings %+v along with error %v", s, err)
		}
	})
}
