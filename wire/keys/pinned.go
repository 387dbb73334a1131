package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
)

// pinnedValidity exceeds the lifetime of any process. Peers do not check it, as clocks
// may jump.
const pinnedValidity = 10 * 365 * 24 * time.Hour

// TrustFunc reports whether to accept a peer whose certificate has the fingerprint.
// Remote is nil when dialing. It must not block.
type TrustFunc func(host id.Host, fingerprint string, remote net.Addr) bool

// PinnedIdentity is a self-signed certificate, created at each start of a process, that
// peers verify by its fingerprint.
type PinnedIdentity struct {
	certificate tls.Certificate
	fingerprint string
}

// NewPinnedIdentity creates a key and a self-signed certificate.
func NewPinnedIdentity(role Role, host id.Host) (*PinnedIdentity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(string(host), pinnedValidity)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: string(role), Path: "/" + string(host)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	return &PinnedIdentity{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		fingerprint: fingerprint(der),
	}, nil
}

func fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// Fingerprint returns the SHA-256 of the certificate in hexadecimal.
func (p *PinnedIdentity) Fingerprint() string { return p.fingerprint }

// ServerConfig returns the TLS configuration of a listener for trusted peers of a role.
func (p *PinnedIdentity) ServerConfig(accept Role, trust TrustFunc) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpnProtocol},
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			var remote net.Addr
			if hello.Conn != nil {
				remote = hello.Conn.RemoteAddr()
			}
			c := p.config(accept, trust, remote)
			c.ClientAuth = tls.RequireAnyClientCert
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration for dialing trusted peers of a role.
func (p *PinnedIdentity) ClientConfig(accept Role, trust TrustFunc) *tls.Config {
	c := p.config(accept, trust, nil)
	c.ServerName = serverName
	c.InsecureSkipVerify = true // VerifyConnection verifies the fingerprint.
	return c
}

func (p *PinnedIdentity) config(accept Role, trust TrustFunc, remote net.Addr) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpnProtocol},
		Certificates:           []tls.Certificate{p.certificate},
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			role, host, err := PeerIdentity(s)
			if err != nil {
				return err
			}
			if role != accept {
				return &RoleError{Role: role, Host: host, Accept: []Role{accept}}
			}
			if !trust(host, fingerprint(s.PeerCertificates[0].Raw), remote) {
				return errors.Newf("certificate of host %q has an untrusted fingerprint", string(host))
			}
			return nil
		},
	}
}
