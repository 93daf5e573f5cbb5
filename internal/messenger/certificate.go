package messenger

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"time"
)

// protocolName is the ALPN name; it changes when releases can't talk to each other any more.
const protocolName = "comfreyford/1"

const certificateLifetime = 365 * 24 * time.Hour

// Files names the PEM files of an entry daemon.
type Files struct {
	Certificate string
	Key         string
	// CAs are all trusted authorities. During a rotation both the old and the new one are listed.
	CAs []string
}

// LoadTLS reads the certificate and the authorities. Peers must present a
// certificate of one of the authorities; their names come from it.
func LoadTLS(files Files) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	for _, name := range files.CAs {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if !pool.AppendCertsFromPEM(content) {
			return nil, Error.New("%s: want PEM certificates", name)
		}
	}
	return &tls.Config{
		Certificates:           []tls.Certificate{certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection checks the chain; peers are called by IP number, not by name
		VerifyConnection:       verifier(pool),
		NextProtos:             []string{protocolName},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true, // a resumed session would outlive the rotation of an authority
	}, nil
}

// verifier checks that the peer's certificate was signed by an authority of the installation.
func verifier(pool *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return Error.New("peer sent no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         pool,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return Error.Wrap(err)
	}
}

// PeerName returns the name that the peer's certificate proves.
func PeerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// Authority signs certificates of entry daemons.
type Authority struct {
	certificate *x509.Certificate
	der         []byte
	key         *ecdsa.PrivateKey
}

// NewAuthority makes an authority with a fresh key.
func NewAuthority(name string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(certificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Authority{
		certificate: certificate,
		der:         der,
		key:         key,
	}, nil
}

// WriteCertificate writes the authority's certificate to a PEM file.
func (a *Authority) WriteCertificate(file string) error {
	return writePEM(file, "CERTIFICATE", a.der)
}

// Issue writes a certificate for the entry daemon name and its key to PEM files.
func (a *Authority) Issue(name, certificateFile, keyFile string, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Error.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	return errors.Join(
		writePEM(certificateFile, "CERTIFICATE", der),
		writePEM(keyFile, "PRIVATE KEY", keyDER),
	)
}

func writePEM(file, kind string, der []byte) error {
	content := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return Error.Wrap(err)
	}
	return nil
}
