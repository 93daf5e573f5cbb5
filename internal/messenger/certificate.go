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

// protocolName is the ALPN protocol name. It changes with every incompatible protocol change.
const protocolName = "comfreyford/1"

const certificateLifetime = 365 * 24 * time.Hour

// TLSFiles names the PEM files of an entry daemon.
type TLSFiles struct {
	Certificate string
	Key         string
	// CAs are the certificates of all trusted authorities: during a rotation, of the old and
	// the new one.
	CAs []string
}

// LoadTLS reads the files and returns a configuration for both clients and servers. Peers
// must present a certificate that one of the authorities signed; PeerName returns the name in
// it.
func LoadTLS(files TLSFiles) (*tls.Config, error) {
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
		InsecureSkipVerify:     true, // VerifyConnection verifies the chain; peers are dialed by IP address, not by name
		VerifyConnection:       verifier(pool),
		NextProtos:             []string{protocolName},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true, // a resumed session would still be accepted after its authority was removed
	}, nil
}

// verifier returns a function that checks that an authority in pool signed the peer's
// certificate.
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

// PeerName returns the common name in the peer's certificate, or "" without a certificate.
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

// NewAuthority generates a key and a self-signed certificate that is valid for 365 days.
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

// LoadAuthority reads an authority from the PEM files of its certificate and key.
func LoadAuthority(certificateFile, keyFile string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, Error.New("%s: want the certificate of an authority with an ECDSA key", certificateFile)
	}
	return &Authority{
		certificate: pair.Leaf,
		der:         pair.Certificate[0],
		key:         key,
	}, nil
}

// NotAfter returns when the authority's certificate expires. No certificate that it signed
// is valid for longer.
func (a *Authority) NotAfter() time.Time { return a.certificate.NotAfter }

// WriteKey writes the authority's private key to a PEM file.
func (a *Authority) WriteKey(file string) error {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return Error.Wrap(err)
	}
	return writePEM(file, "PRIVATE KEY", der)
}

// Issue writes a certificate for the entry daemon name and its key to new PEM files. It
// returns when the certificate expires: never after the authority, since peers refuse it
// from then on.
func (a *Authority) Issue(name, certificateFile, keyFile string, now time.Time) (notAfter time.Time, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return time.Time{}, Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     earlier(now.Add(certificateLifetime), a.certificate.NotAfter),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return time.Time{}, Error.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return time.Time{}, Error.Wrap(err)
	}
	// The key is written first, so that a failure leaves no certificate without its key.
	if err := writePEM(keyFile, "PRIVATE KEY", keyDER); err != nil {
		return time.Time{}, err
	}
	return template.NotAfter, writePEM(certificateFile, "CERTIFICATE", der)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// writePEM creates a file. It fails if the file exists, since an overwritten private key
// cannot be recovered.
func writePEM(file, kind string, der []byte) error {
	content := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(content)
	return Error.Wrap(errors.Join(err, f.Close()))
}
