package caller

import (
	"net/http"
	"strings"
)

// minSecretLen is the length from which a segment of a path counts as a ticket
// or key. Unit: bytes.
const minSecretLen = 16

// redact replaces what may be a secret of the caller in a text for logs and the
// time line: the API key, the idempotency key, and long segments of the path.
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
