// Command wrongrank shows what happens to the maps of a group when one bit of the rank is wrong in some reports of its replicas.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/siskinford/siskinford/lab/replicas"
	"github.com/siskinford/siskinford/platform/standin"

	"siskinford-review/6/kit"
)

const (
	ranks, sets, experts, places = 16, 4, 64, 5
	// spoiledRanks are less than 0.35 of the ranks, and spoiledAnswers the share of their answers, for spoiledTime at a time.
	spoiledRanks   = 5
	spoiledAnswers = 0.02
	spoiledTime    = 5500 * time.Millisecond
	pause          = 5 * time.Second
	times          = 5
	// shiftInterval is the time after which other experts are in demand.
	shiftInterval = 1500 * time.Millisecond
)

// spoiler flips a bit of the rank in some reports of some replicas, and notes the orders that the ranks get.
type spoiler struct {
	k *kit.Kit

	mu     sync.Mutex
	active bool
	// answers and spoiled count the answers of the ranks.
	answers, spoiled int
	notes            []string
}

func (s *spoiler) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf("%s  %s", s.k.At(time.Now()), fmt.Sprintf(format, args...)))
}

func (s *spoiler) set(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = active
}

// chosen reports whether an answer of a rank is to be spoiled.
func (s *spoiler) chosen(rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	return s.active && rank < spoiledRanks && rand.Float64() < spoiledAnswers
}

func (s *spoiler) wrap(rank int, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		chosen := s.chosen(rank)
		switch {
		case r.URL.Path == "/v1/order":
			s.order(rank, h, w, r)
			return
		case !chosen || r.URL.Path != "/v1/report":
			h.ServeHTTP(w, r)
			return
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		body := flip(rec.Body.Bytes())
		s.mu.Lock()
		s.spoiled++
		s.mu.Unlock()
		s.note("rank %d: one bit of its report is wrong: %s", rank, strings.TrimSpace(string(body)))
		write(w, rec, body)
	})
}

// order passes an order on and notes it with its answer.
func (s *spoiler) order(rank int, h http.Handler, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o struct {
		Operation     string
		Version, Step uint64
	}
	_ = json.Unmarshal(body, &o) // The replica judges it.
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	s.note("rank %d: order %s, version %d, step %d: %d", rank, o.Operation, o.Version, o.Step, rec.Code)
	write(w, rec, rec.Body.Bytes())
}

func write(w http.ResponseWriter, rec *httptest.ResponseRecorder, body []byte) {
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(rec.Code)
	_, _ = w.Write(body) // The caller detects a truncated answer.
}

var rankField = regexp.MustCompile(`"rank":\d`)

// flip changes one bit of the digit of the rank, so that it is another digit.
func flip(body []byte) []byte {
	at := rankField.FindIndex(body)
	if at == nil {
		return body
	}
	for _, bit := range rand.Perm(4) {
		if d := body[at[1]-1] ^ 1<<bit; d >= '0' && d <= '9' {
			body[at[1]-1] = d
			break
		}
	}
	return body
}

func main() {
	var s spoiler
	kit.Main(kit.Options{
		Ranks: ranks, Rank: s.wrap,
		Group: func(g *replicas.GroupConfig) {
			g.LayerSets, g.ExpertsPerSet, g.MaxPerRank, g.MaxNewPerMap = sets, experts, places, 2
			g.TimePerStream = 3 * time.Millisecond
		},
		Begun: func(k *kit.Kit) { s.k = k },
	}, func(_ context.Context, k *kit.Kit) (bool, error) { return run(k, &s) })
}

func run(k *kit.Kit, s *spoiler) (bool, error) {
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var chats []func() []kit.Sent
	for range 8 {
		chats = append(chats, k.Load(kit.Request{Method: http.MethodPost, Path: standin.PathChat + "c", Deadline: 8 * time.Second}, 5*time.Millisecond, stop))
	}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(shiftInterval):
				k.Site.Group.ShiftPopularity()
			}
		}
	}()
	time.Sleep(pause)
	for range times {
		s.set(k.Trouble)
		time.Sleep(spoiledTime)
		s.set(false)
		if len(k.Site.Group.Status().Violations) > 0 {
			time.Sleep(time.Second)
			break
		}
		time.Sleep(pause)
	}
	close(stop)
	answered := make(map[string]int)
	for _, wait := range chats {
		for _, c := range wait() {
			answered[strconv.Itoa(c.Status)]++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.notes {
		k.Log("%s", n)
	}
	status := k.Site.Group.Status()
	for _, v := range status.Violations {
		k.Log("%s  TWO MAPS", v)
	}
	k.Log("%d loops of streams, answers by status: %v; the ranks gave %d answers, %d of them spoiled; %d changes of map in %d passes", len(chats), answered, s.answers,
		s.spoiled, status.MapSwitches, status.Step)
	k.Log("%d times a pass began while a rank had another map than rank 0", len(status.Violations))
	return len(status.Violations) > 0, nil
}
