package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// defaultPollWait bounds a watch whose request has no valid wait parameter.
const defaultPollWait = 5 * time.Second

// Handler serves the object API under /v1 and fault injection under /lab.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(objectapi.PathObjects+"/{kind}/{name}", p.handleCall(CallGet, p.get))
	r.Put(objectapi.PathObjects+"/{kind}/{name}", p.handleCall(CallPut, p.put))
	r.Delete(objectapi.PathObjects+"/{kind}/{name}", p.handleCall(CallDelete, p.delete))
	r.Get(objectapi.PathObjects+"/{kind}", p.listOrWatch)
	r.Get(objectapi.PathHosts, p.handleCall(CallHosts, p.listHosts))
	p.labRoutes(r)
	return r
}

// handleCall wraps next with the call count, rate limit, outage and delay.
func (p *Platform) handleCall(kind CallKind, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.countCall(r.Header.Get(objectapi.HeaderCaller), kind)
		limit := p.reads
		if kind.isWrite() {
			limit = p.writes
		}
		if !limit.Allow() {
			p.countLimited()
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		if !p.applyOutage(w, r) {
			return
		}
		next(w, r)
	}
}

// applyOutage blocks a call during a hang and for the injected delay. It reports whether
// the call may proceed.
func (p *Platform) applyOutage(w http.ResponseWriter, r *http.Request) bool {
	for {
		faults, changed := p.currentFaults()
		switch faults.Outage {
		case OutageRefuse:
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return false
		case OutageHang:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return false
			}
		default:
			return wait(r.Context(), faults.delay())
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	kind, name := objectKey(r)
	o, err := p.store.GetEarlier(r.Context(), kind, name, p.Faults().StaleVersions)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(objectapi.QueryAfter) {
		p.handleCall(CallWatch, p.watch)(w, r)
		return
	}
	p.handleCall(CallList, p.list)(w, r)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	kind := pathParam(r, "kind")
	objects, revision, err := p.store.ListEarlier(r.Context(), kind, p.Faults().StaleVersions)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, objectapi.ObjectList{Revision: revision, Objects: objects})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(objectapi.QueryAfter), 10, 64)
	if err != nil {
		http.Error(w, "query parameter \"after\" is not a revision", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), pollWait(r))
	defer cancel()
	objects, revision, err := p.store.Watch(ctx, pathParam(r, "kind"), after)
	if errors.Is(err, context.DeadlineExceeded) {
		objects, revision, err = nil, after, nil
	}
	if err != nil {
		return
	}
	// A watch that started before an outage must not be answered during it.
	if !p.applyOutage(w, r) {
		return
	}
	writeJSON(w, http.StatusOK, objectapi.ObjectList{Revision: revision, Objects: objects})
}

func pollWait(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get(objectapi.QueryWait))
	if err != nil || ms <= 0 {
		return defaultPollWait
	}
	return min(time.Duration(ms)*time.Millisecond, objectapi.MaxPollWait)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectapi.MaxValueBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	kind, name := objectKey(r)
	o := objectapi.Object{
		Kind: kind, Name: name, Version: version,
		WriteID: r.Header.Get(objectapi.HeaderWriteID), Value: value,
	}
	p.write(w, func(ctx context.Context) (objectapi.Object, error) {
		written, err := p.store.Put(ctx, o)
		written.Value = nil
		return written, err
	})
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	kind, name := objectKey(r)
	writeID := r.Header.Get(objectapi.HeaderWriteID)
	p.write(w, func(ctx context.Context) (objectapi.Object, error) {
		err := p.store.DeleteWithWriteID(ctx, kind, name, version, writeID)
		return objectapi.Object{Kind: kind, Name: name, Deleted: true}, err
	})
}

// write applies a write under the injected write faults. It takes effect even if the
// caller has disconnected.
func (p *Platform) write(w http.ResponseWriter, apply func(context.Context) (objectapi.Object, error)) {
	ctx := context.Background()
	if p.holdWrite(func() { _, _ = apply(ctx) }) {
		panic(http.ErrAbortHandler)
	}
	o, err := apply(ctx)
	if p.dropsAnswer() {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, objectapi.HostList{Hosts: p.visibleHosts(time.Now())})
}

func objectKey(r *http.Request) (kind, name string) {
	return pathParam(r, "kind"), pathParam(r, "name")
}

// pathParam unescapes a path parameter, which chi leaves escaped if the path has an escape.
func pathParam(r *http.Request, name string) string {
	value := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return value
	}
	if plain, err := url.PathUnescape(value); err == nil {
		return plain
	}
	return value
}

func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(r.URL.Query().Get(objectapi.QueryVersion), 10, 64)
	if err != nil {
		http.Error(w, "query parameter \"version\" is not a version", http.StatusBadRequest)
		return 0, false
	}
	return version, true
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "value exceeds 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	http.Error(w, "body cannot be read", http.StatusBadRequest)
}

func writeError(w http.ResponseWriter, err error) {
	var notFound *objectapi.NotFoundError
	var conflict *objectapi.ConflictError
	switch {
	case errors.As(err, &notFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, conflict.Current)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
