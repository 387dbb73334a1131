package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// playOdd sends requests to a plain service and to a model, and with trouble has another writer add entries with a
// service that no configuration names, at the addresses of the plain service's replicas.
func playOdd(s *site) (bool, error) {
	for i := range 3 {
		name := fmt.Sprintf("i-desk%d", i)
		if _, err := s.serveReplica(90+i, &desk{site: s, name: name, work: 20 * time.Millisecond}); err != nil {
			return false, err
		}
		if err := s.register(name, deskName, 90+i, 6, nil); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		name := fmt.Sprintf("i-model%d", i)
		if _, err := s.serveReplica(80+i, &model{site: s, name: name, step: 1}); err != nil {
			return false, err
		}
		if err := s.register(name, modelName, 80+i, 12, nil); err != nil {
			return false, err
		}
	}
	if err := s.configure(); err != nil {
		return false, err
	}
	if err := s.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if err := s.countServed("before", new(tally), new(tally)); err != nil {
		return false, err
	}
	if s.trouble {
		for i := range 3 {
			if err := s.register(fmt.Sprintf("odd-%d", i), "storage-box", 90+i, 6, nil); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(5 * time.Second) // Well over configMs and stableWindowMs.
	var plain, all tally
	if err := s.countServed("after", &plain, &all); err != nil {
		return false, err
	}
	s.noteLog(0, "endpoints.applied", "endpoint.rejected")
	share := func(t tally) float64 { return float64(t.served) / float64(t.sent) }
	s.note("served: %d of %d requests of the plain service, %d of %d of all", plain.served, plain.sent, all.served, all.sent)
	return share(plain) < share(all)/4, nil
}

// tally counts requests.
type tally struct{ sent, served int }

// countServed sends 80 requests of two kinds, and adds those of the plain service and all.
func (s *site) countServed(when string, plain, all *tally) error {
	for n := range 80 {
		method, path := http.MethodPost, "/reserve/chest"
		if n%2 == 1 {
			path = "/chat/say"
		}
		id := newID()
		r := s.request(n/2%2, method, path, id, 2*time.Second)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.note("client, %s: %s %s: status %d, %.60q, end: %v", when, path, id, resp.StatusCode, body, err)
		ok := resp.StatusCode == http.StatusOK && err == nil
		for _, t := range []*tally{plain, all} {
			if t == plain && n%2 == 1 {
				continue
			}
			t.sent++
			if ok {
				t.served++
			}
		}
	}
	return nil
}
