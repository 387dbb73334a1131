package keys

import "github.com/siskinford/siskinford/core/settings"

// Register registers the settings of the key material.
func (c *Config) Register(s *settings.Set) {
	s.String(&c.Certificate, "tls-certificate", "PEM text or file of the certificate chain", settings.Required(), settings.Secret())
	s.String(&c.Key, "tls-key", "PEM text or file of the private key", settings.Required(), settings.Secret())
	s.String(&c.Authority, "tls-authority", "PEM text or file of the certificates that sign peers", settings.Required(), settings.Secret())
}
