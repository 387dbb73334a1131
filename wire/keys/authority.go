package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
)

// clockSkew backdates new certificates for peers whose clock is behind.
const clockSkew = 5 * time.Minute

// Authority is a certificate authority for development and tests.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

// NewAuthority creates a certificate authority that is valid for the given time.
func NewAuthority(valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template, err := newTemplate("siskinford authority", valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	return &Authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

// PEM returns the authority's certificate as PEM text.
func (a *Authority) PEM() string { return a.pem }

// Issue creates a key and a signed certificate for a process.
func (a *Authority) Issue(role Role, host id.Host, valid time.Duration) (Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Config{}, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(string(host), valid)
	if err != nil {
		return Config{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{serverName}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: string(role), Path: "/" + string(host)}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Config{}, errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Config{}, errors.Wrap(err, "encode key")
	}
	return Config{
		Certificate: encodePEM("CERTIFICATE", der),
		Key:         encodePEM("PRIVATE KEY", keyDER),
		Authority:   a.pem,
	}, nil
}

func newTemplate(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(valid),
	}, nil
}

func encodePEM(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}
