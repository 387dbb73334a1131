package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/lang"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 2 * lang.MaxScriptBytes
	// requestTimeout bounds reading and answering a request.
	requestTimeout = 20 * time.Second
)

// APIConfig configures the operator API.
type APIConfig struct {
	// KeyHashes lists NAME=HASH pairs of operators and the SHA-256 of their keys, in
	// hexadecimal digits and separated by commas. Default: none, which refuses all.
	KeyHashes string
	// Rate limits the requests per second of all operators together. Default: 20.
	Rate int
}

func DefaultAPIConfig() APIConfig { return APIConfig{Rate: 20} }

// Validate reports all values out of range.
func (c APIConfig) Validate() finding.List {
	var l finding.List
	c.parseCredentials(&l)
	if c.Rate <= 0 {
		l.Addf("operator-rate", "%d is not positive", c.Rate)
	}
	return l
}

// credential is an operator's name and the hash of the operator's key.
type credential struct{ name, hash string }

// hashHexLen is the length of a SHA-256 hash in hexadecimal digits.
const hashHexLen = 64

func (c APIConfig) parseCredentials(l *finding.List) []credential {
	var out []credential
	seen := map[string]bool{}
	for _, pair := range strings.Split(c.KeyHashes, ",") {
		if c.KeyHashes == "" {
			break
		}
		name, hash, ok := strings.Cut(strings.TrimSpace(pair), "=")
		switch {
		case !ok || name == "":
			l.Addf("operator-key-hash", "an item has not the form NAME=HASH")
		case len(hash) != hashHexLen || strings.Trim(hash, "0123456789abcdef") != "":
			l.Addf("operator-key-hash", "the hash of operator %q is not a SHA-256 in lower-case hexadecimal digits", name)
		case seen[hash]:
			l.Addf("operator-key-hash", "the hash of operator %q is given twice", name)
		default:
			out = append(out, credential{name: name, hash: hash})
		}
		seen[hash] = true
	}
	return out
}

// API serves the operator API over HTTP. It is safe for concurrent use.
type API struct {
	service     *Service
	credentials []credential
	limiter     *rate.Limiter
}

// NewAPI returns an API that answers with s.
func NewAPI(c APIConfig, s *Service) *API {
	var ignored finding.List // Validate reports the findings.
	return &API{service: s, credentials: c.parseCredentials(&ignored), limiter: rate.NewLimiter(rate.Limit(c.Rate), c.Rate)}
}

// Routes registers the routes of the API with r.
func (a *API) Routes(r chi.Router) { r.Post("/v1/query", a.serveQuery) }

// authenticate returns the name of the operator whose key the request carries.
func (a *API) authenticate(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	hash := []byte(config.HashKey(key))
	name, found := "", false
	for _, c := range a.credentials {
		if subtle.ConstantTimeCompare(hash, []byte(c.hash)) == 1 {
			name, found = c.name, true
		}
	}
	return name, found
}

func (a *API) serveQuery(w http.ResponseWriter, r *http.Request) {
	operator, ok := a.authenticate(r)
	if !ok {
		writeReply(w, http.StatusUnauthorized, &answer.Reply{Error: "the bearer token is not the key of an operator"})
		return
	}
	if !a.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		writeReply(w, http.StatusTooManyRequests, &answer.Reply{Error: "too many questions"})
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestTimeout))
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	var q answer.Request
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		writeReply(w, http.StatusBadRequest, &answer.Reply{Error: "the body is not a question: " + err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply := a.service.Answer(ctx, q, operator)
	if format := answer.Format(r.URL.Query().Get("format")); format != "" {
		writeFormatted(w, status(reply), reply, format)
		return
	}
	writeReply(w, status(reply), reply)
}

// status returns the HTTP status of a reply.
func status(r *answer.Reply) int {
	switch {
	case len(r.Findings) > 0:
		return http.StatusUnprocessableEntity
	case r.Plan != nil && r.Plan.State == answer.LostRace:
		return http.StatusConflict
	case r.Plan != nil && r.Plan.State == answer.OutcomeUnknown:
		return http.StatusBadGateway
	case r.Error != "":
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func writeReply(w http.ResponseWriter, status int, r *answer.Reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r) // It fails only if the client disconnected.
}

func writeFormatted(w http.ResponseWriter, status int, r *answer.Reply, f answer.Format) {
	var b bytes.Buffer
	if err := r.Write(&b, f); err != nil {
		writeReply(w, http.StatusInternalServerError, &answer.Reply{Error: err.Error()})
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}
