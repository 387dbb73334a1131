// Package keys provides mutual TLS between processes. Each certificate carries the role
// and host of its process in a URI name.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
)

// Role is the role of a process, by which peers authorize it.
type Role string

const (
	// RoleEntry is the role of siskinford-entry.
	RoleEntry Role = "entry"
	// RoleAgent is the role of siskinford-agent.
	RoleAgent Role = "agent"
)

// uriScheme is the scheme of the URI name in certificates.
const uriScheme = "siskinford"

// alpnProtocol is the ALPN identifier of connections between processes.
const alpnProtocol = "siskinford/1"

// serverName is the DNS name in every certificate. Peers are verified by role, not by name.
const serverName = "siskinford.internal"

// Config locates the key material. Each value is PEM text or the path of a PEM file.
type Config struct {
	// Certificate is the certificate chain of this process.
	Certificate string
	// Key is the private key of the certificate.
	Key string
	// Authority holds the certificates of the authorities that sign peers, several of
	// them during a rotation.
	Authority string
}

// Validate reports all missing and malformed values.
func (c Config) Validate() finding.List {
	var l finding.List
	certificate, certificateErr := readPEM("certificate", c.Certificate)
	key, keyErr := readPEM("key", c.Key)
	authority, authorityErr := readPEM("authority", c.Authority)
	for _, f := range []struct {
		place string
		err   error
	}{{"tls-certificate", certificateErr}, {"tls-key", keyErr}, {"tls-authority", authorityErr}} {
		if f.err != nil {
			l.Addf(f.place, "%v", f.err)
		}
	}
	if certificateErr == nil && keyErr == nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			l.Addf("tls-key", "%v", err)
		}
	}
	if authorityErr == nil && !x509.NewCertPool().AppendCertsFromPEM(authority) {
		l.Addf("tls-authority", "contains no certificate")
	}
	return l
}

// Credentials holds the current certificate, key and authorities of a process. It is safe
// for concurrent use.
type Credentials struct {
	config  Config
	current atomic.Pointer[material]
}

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New returns credentials with the key material that c locates.
func New(c Config) (*Credentials, error) {
	r := &Credentials{config: c}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reloads the key material for new connections. On an error the previous
// material stays in use.
func (r *Credentials) Reload() error {
	m, err := loadMaterial(r.config)
	if err != nil {
		return err
	}
	r.current.Store(m)
	return nil
}

func loadMaterial(c Config) (*material, error) {
	cert, err := readPEM("certificate", c.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := readPEM("key", c.Key)
	if err != nil {
		return nil, err
	}
	authority, err := readPEM("authority", c.Authority)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.New("authority contains no certificate")
	}
	return &material{certificate: pair, authority: pool}, nil
}

func readPEM(name, value string) ([]byte, error) {
	if value == "" {
		return nil, errors.Newf("%s is not set", name)
	}
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	data, err := os.ReadFile(value)
	return data, errors.Wrapf(err, "read %s", name)
}

// ServerConfig returns the TLS configuration of a listener that accepts peers of the given
// roles. It follows Reload.
func (r *Credentials) ServerConfig(accept ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := r.current.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{alpnProtocol},
				Certificates:           []tls.Certificate{m.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.authority,
				SessionTicketsDisabled: true,
				VerifyConnection:       verifyRole(accept),
			}, nil
		},
		NextProtos: []string{alpnProtocol},
	}
}

// ClientConfig returns the TLS configuration for dialing peers of the given roles, with the
// current key material.
func (r *Credentials) ClientConfig(accept ...Role) *tls.Config {
	m := r.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpnProtocol},
		Certificates:           []tls.Certificate{m.certificate},
		RootCAs:                m.authority,
		ServerName:             serverName,
		SessionTicketsDisabled: true,
		VerifyConnection:       verifyRole(accept),
	}
}

func verifyRole(accept []Role) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		role, host, err := PeerIdentity(s)
		if err != nil {
			return err
		}
		for _, r := range accept {
			if r == role {
				return nil
			}
		}
		return &RoleError{Role: role, Host: host, Accept: accept}
	}
}

// PeerIdentity returns the role and host of the peer of a connection.
func PeerIdentity(s tls.ConnectionState) (Role, id.Host, error) {
	if len(s.PeerCertificates) == 0 {
		return "", "", errors.New("peer presented no certificate")
	}
	for _, u := range s.PeerCertificates[0].URIs {
		if u.Scheme == uriScheme {
			return Role(u.Host), id.Host(strings.TrimPrefix(u.Path, "/")), nil
		}
	}
	return "", "", errors.New("peer certificate has no URI name with a role")
}

// RoleError reports a peer whose role is not accepted.
type RoleError struct {
	Role   Role
	Host   id.Host
	Accept []Role
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("host %q has role %q, want one of %q", e.Host, e.Role, e.Accept)
}
