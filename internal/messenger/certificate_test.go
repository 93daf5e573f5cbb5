package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against an authority that cannot sign after a restart, certificates that end
// after their authority, and a lost private key.
func TestLoadedAuthoritySigns(t *testing.T) {
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	born := time.Now().Add(-300 * 24 * time.Hour)
	made, err := NewAuthority("craie", born)
	if err != nil {
		t.Fatal(err)
	}
	if err := made.WriteCertificate(file("ca.pem")); err != nil {
		t.Fatal(err)
	}
	if err := made.WriteKey(file("ca-key.pem")); err != nil {
		t.Fatal(err)
	}
	loaded, err := LoadAuthority(file("ca.pem"), file("ca-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	until, err := loaded.Issue("entry-1", file("entry.pem"), file("entry-key.pem"), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if !until.Equal(loaded.NotAfter()) || until.After(born.Add(certificateLifetime)) {
		t.Errorf("the certificate ends at %v, the authority at %v", until, loaded.NotAfter())
	}
	cfg, err := LoadTLS(Files{
		Certificate: file("entry.pem"),
		Key:         file("entry-key.pem"),
		CAs:         []string{file("ca.pem")},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := cfg.VerifyConnection(tls.ConnectionState{
		PeerCertificates: []*x509.Certificate{cfg.Certificates[0].Leaf},
	}); err != nil {
		t.Error(err)
	}
	before, err := os.ReadFile(file("entry-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := loaded.Issue("entry-1", file("other.pem"), file("entry-key.pem"), time.Now()); err == nil {
		t.Error("a key was replaced")
	}
	if _, err := os.Stat(file("other.pem")); err == nil {
		t.Error("a certificate without its key was written")
	}
	if after, err := os.ReadFile(file("entry-key.pem")); err != nil || string(after) != string(before) {
		t.Errorf("the key changed: %v", err)
	}
	for _, name := range []string{"ca-key.pem", "entry-key.pem"} {
		if info, err := os.Stat(file(name)); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v, %v; want mode 0600", name, info.Mode(), err)
		}
	}
}
