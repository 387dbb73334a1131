package site

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's store: kinds, names, revisions, lists, watches and conditional writes.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type event struct {
	kind    string
	at      uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

const pageItems = 500

func newStore() *Store {
	return &Store{revision: 1, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
}

// Put writes an object as the operator or a server does.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return *o
	}
	s.revision++
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
		s.objects[kind][name] = o
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.note(event{kind: kind, at: s.revision, Object: *o})
	return *o
}

func (s *Store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.note(event{kind: kind, at: s.revision, Object: gone, Deleted: true})
}

func (s *Store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind][name]
		var found object
		if o != nil {
			found = *o
		}
		s.mu.Unlock()
		if o == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, found)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, *s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(names) > pageItems, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		changed, at := s.changed, s.revision
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.at > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if over || len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &in); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	if v, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		in.Metadata.Revision = v
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	current := s.objects[kind][name]
	status, out := http.StatusOK, object{}
	switch {
	case current == nil && r.Method != http.MethodPost:
		status = http.StatusNotFound
	case current != nil && (r.Method == http.MethodPost || in.Metadata.Revision != 0 && in.Metadata.Revision != current.Metadata.Revision):
		status, out = http.StatusConflict, *current
	case r.Method == http.MethodDelete:
		out = *current
		s.remove(kind, name)
	default:
		out = s.put(kind, name, in.Spec)
	}
	s.mu.Unlock()
	reply(w, status, out)
}
