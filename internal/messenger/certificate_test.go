package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against an authority that cannot sign after it was loaded from its files,
// certificates that expire after their authority, and private keys that are overwritten or
// readable by other users.
func TestLoadedAuthoritySigns(t *testing.T) {
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	createdAt := time.Now().Add(-300 * 24 * time.Hour)
	created, err := NewAuthority("craie", createdAt)
	if err != nil {
		t.Fatal(err)
	}
	if err := created.WriteCertificate(file("ca.pem")); err != nil {
		t.Fatal(err)
	}
	if err := created.WriteKey(file("ca-key.pem")); err != nil {
		t.Fatal(err)
	}
	loaded, err := LoadAuthority(file("ca.pem"), file("ca-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	notAfter, err := loaded.Issue("entry-1", file("entry.pem"), file("entry-key.pem"), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if !notAfter.Equal(loaded.NotAfter()) || notAfter.After(createdAt.Add(certificateLifetime)) {
		t.Errorf("the certificate expires at %v, the authority at %v", notAfter, loaded.NotAfter())
	}
	cfg, err := LoadTLS(TLSFiles{
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
