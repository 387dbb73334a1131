package caller

import (
	"net/http"
	"strings"
)

// minSecretLen is the length in bytes from which a path segment is treated as a
// ticket or key.
const minSecretLen = 16

// redact removes the caller's API key, idempotency key and long path segments from
// a text for logs and the timeline.
func redact(r *http.Request, text string) string {
	secrets := append(strings.Split(r.URL.Path, "/"), r.Header.Get(HeaderIdempotencyKey))
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		secrets = append(secrets, key)
	}
	for _, secret := range secrets {
		if len(secret) >= minSecretLen {
			text = strings.ReplaceAll(text, secret, "[redacted]")
		}
	}
	return text
}
