// Package ticket issues and verifies tickets for non-idempotent actions. A ticket is bound
// to an endpoint, an incarnation of its agent, a service and a team.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/codec"
)

// Prefix distinguishes tickets from idempotency keys chosen by callers.
const Prefix = "skt1."

const (
	keyBytes   = 32
	nonceBytes = 16
	macBytes   = sha256.Size
)

// MaxLen bounds the length of a ticket in bytes.
const MaxLen = 1024

// Claims are the contents of a ticket.
type Claims struct {
	Endpoint    id.Endpoint    `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	Service     id.Service     `cbor:"3,keyasint"`
	Team        id.Team        `cbor:"4,keyasint"`
	Action      id.Action      `cbor:"5,keyasint"`
	// ExpiresUnixMS is the expiry time in milliseconds since the Unix epoch.
	ExpiresUnixMS int64 `cbor:"6,keyasint"`
}

// Expires returns the expiry time of the ticket.
func (c Claims) Expires() time.Time { return time.UnixMilli(c.ExpiresUnixMS) }

// Issuer issues and verifies the tickets of one incarnation. Its key never leaves the
// process.
type Issuer struct {
	endpoint    id.Endpoint
	incarnation id.Incarnation
	lifetime    time.Duration
	now         func() time.Time
	key         [keyBytes]byte
}

// NewIssuer returns an issuer with a random key.
func NewIssuer(e id.Endpoint, inc id.Incarnation, lifetime time.Duration, now func() time.Time) *Issuer {
	i := &Issuer{endpoint: e, incarnation: inc, lifetime: lifetime, now: now}
	_, _ = rand.Read(i.key[:]) // crypto/rand.Read never returns an error.
	return i
}

// Issue returns a new ticket and its claims.
func (i *Issuer) Issue(team id.Team, service id.Service) (string, Claims, error) {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	claims := Claims{
		Endpoint:      i.endpoint,
		Incarnation:   i.incarnation,
		Service:       service,
		Team:          team,
		Action:        id.Action("tkt_" + hex.EncodeToString(nonce[:])),
		ExpiresUnixMS: i.now().Add(i.lifetime).UnixMilli(),
	}
	body, err := codec.Marshal(claims)
	if err != nil {
		return "", Claims{}, err
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(append(i.mac(body), body...)), claims, nil
}

// InvalidError reports a ticket that cannot be accepted.
type InvalidError struct {
	Reason string
	// Expired is true if the ticket is valid except for its expiry.
	Expired bool
}

func (e *InvalidError) Error() string { return fmt.Sprintf("ticket is invalid: %s", e.Reason) }

// Verify returns the claims of a ticket if it was issued by i for the team and service and
// has not expired.
func (i *Issuer) Verify(text string, team id.Team, service id.Service) (Claims, error) {
	raw, claims, err := decode(text)
	if err != nil {
		return Claims{}, err
	}
	if !hmac.Equal(raw[:macBytes], i.mac(raw[macBytes:])) {
		return Claims{}, &InvalidError{Reason: "it was not issued by this incarnation"}
	}
	switch {
	case claims.Team != team:
		return Claims{}, &InvalidError{Reason: "it was issued to another team"}
	case claims.Service != service:
		return Claims{}, &InvalidError{Reason: fmt.Sprintf("it was issued for service %q", claims.Service)}
	case i.now().After(claims.Expires()):
		return Claims{}, &InvalidError{Reason: "it has expired", Expired: true}
	}
	return claims, nil
}

// ParseUnverified returns the claims of a ticket without verifying them. Use them only to
// route the ticket to its endpoint.
func ParseUnverified(text string) (Claims, error) {
	_, claims, err := decode(text)
	return claims, err
}

func decode(text string) ([]byte, Claims, error) {
	var claims Claims
	if len(text) > MaxLen {
		return nil, claims, &InvalidError{Reason: fmt.Sprintf("it is longer than %d bytes", MaxLen)}
	}
	encoded, ok := strings.CutPrefix(text, Prefix)
	if !ok {
		return nil, claims, &InvalidError{Reason: fmt.Sprintf("it does not begin with %q", Prefix)}
	}
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil || len(raw) <= macBytes {
		return nil, claims, &InvalidError{Reason: "it is malformed"}
	}
	if err := codec.Unmarshal(raw[macBytes:], &claims); err != nil {
		return nil, claims, &InvalidError{Reason: "it is malformed"}
	}
	return raw, claims, nil
}

func (i *Issuer) mac(body []byte) []byte {
	h := hmac.New(sha256.New, i.key[:])
	_, _ = h.Write(body)
	return h.Sum(nil)
}
