package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

const (
	uuidTextLen = 36
	uuidLen     = 16
	// uuidVersion is the version field of a time-ordered UUID (RFC 9562).
	uuidVersion = 7
	// uuidVariant is the two-bit variant field of RFC 9562.
	uuidVariant = 0b10
	// hashLen is the length of the truncated SHA-256 hashes in a record. Unit: bytes.
	hashLen = 16
)

// Key is a client-generated idempotency key: a version 7 UUID, which contains its
// creation time.
type Key [uuidLen]byte

// KeyError reports text that is not a version 7 UUID.
type KeyError struct {
	Text   string
	Reason string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q is not a version 7 UUID: %s", e.Text, e.Reason)
}

// ParseKey parses the hyphenated form of a version 7 UUID.
func ParseKey(s string) (Key, error) {
	var k Key
	if len(s) != uuidTextLen {
		return k, &KeyError{Text: s, Reason: fmt.Sprintf("it has %d characters, not %d", len(s), uuidTextLen)}
	}
	groups := strings.Split(s, "-")
	if len(groups) != 5 || len(groups[0]) != 8 || len(groups[1]) != 4 || len(groups[2]) != 4 || len(groups[3]) != 4 {
		return k, &KeyError{Text: s, Reason: "its hyphens are misplaced"}
	}
	if _, err := hex.Decode(k[:], []byte(strings.Join(groups, ""))); err != nil {
		return Key{}, &KeyError{Text: s, Reason: "it has a character that is not a hexadecimal digit"}
	}
	if version := k[6] >> 4; version != uuidVersion {
		return Key{}, &KeyError{Text: s, Reason: fmt.Sprintf("its version is %d", version)}
	}
	if k[8]>>6 != uuidVariant {
		return Key{}, &KeyError{Text: s, Reason: "its variant is not that of RFC 9562"}
	}
	return k, nil
}

// Time returns the creation time in the key, to the millisecond.
func (k Key) Time() time.Time {
	var b [8]byte
	copy(b[2:], k[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// String returns the key in its hyphenated form.
func (k Key) String() string {
	h := hex.EncodeToString(k[:])
	return strings.Join([]string{h[:8], h[8:12], h[12:16], h[16:20], h[20:]}, "-")
}

// Hash is the hash of a key with its team and service, or of a payload.
type Hash [hashLen]byte

// HashKey returns the hash of a key in the namespace of its team and service. The parts
// are length-prefixed, so that no two names yield the same input.
func HashKey(team id.Team, service id.Service, key Key) Hash {
	var b []byte
	for _, part := range []string{string(team), string(service), string(key[:])} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(part)))
		b = append(b, part...)
	}
	sum := sha256.Sum256(b)
	return Hash(sum[:hashLen])
}

// Action returns the action ID derived from the hash.
func (h Hash) Action() id.Action { return id.Action("key_" + hex.EncodeToString(h[:])) }

// HashPayload returns the hash of a request's payload.
func HashPayload(payload []byte) Hash {
	sum := sha256.Sum256(payload)
	return Hash(sum[:hashLen])
}
