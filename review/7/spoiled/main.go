// Command spoiled shows what an entry does when one bit of a replica's answer about its map is wrong.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/lab/faults"
	"github.com/siskinford/siskinford/lab/replicas"
	"github.com/siskinford/siskinford/platform/standin"

	"siskinford-review/6/kit"
)

const (
	ranks, sets, experts, places = 16, 4, 64, 5
	// spoiledRanks are less than 0.35 of the ranks, and spoiledAnswers bounds the share of their answers, for spoiledTime at a time.
	spoiledRanks   = 5
	spoiledAnswers = 0.02
	spoiledTime    = 5500 * time.Millisecond
	pause          = 5 * time.Second
	times          = 2
	// allowed is the number of requests that the rule lets a machine lose.
	allowed = 3
)

// spoiler flips a bit of a digit in some answers of some replicas to calls of their own API.
type spoiler struct {
	mu     sync.Mutex
	active bool
	report func(format string, args ...any)
	// answers and spoiled count the answers of all ranks.
	answers, spoiled        int
	byRank, spoiledBy, from [ranks]int
}

func (s *spoiler) wrap(rank int, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		api := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/")
		s.mu.Lock()
		s.answers++
		s.byRank[rank]++
		spoil := s.active && api && rank < spoiledRanks && r.URL.Query().Has("lists") && float64(s.spoiledBy[rank]+1) <= spoiledAnswers*float64(s.byRank[rank]-s.from[rank])
		if spoil {
			s.spoiledBy[rank]++
		}
		s.mu.Unlock()
		if !spoil {
			h.ServeHTTP(w, r)
			return
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		before := strings.TrimSpace(string(body))
		flip(body)
		s.mu.Lock()
		s.spoiled++
		s.report("rank %d: one bit of its answer to GET %s is wrong: %s becomes %s", rank, r.URL, before, strings.TrimSpace(string(body)))
		s.mu.Unlock()
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body) // The caller detects a truncated answer.
	})
}

// flip changes one bit of a digit so that an expert is named that does not exist.
func flip(body []byte) {
	var answer struct {
		Map struct {
			Experts [][]int `json:"experts"`
		} `json:"map"`
	}
	for _, i := range rand.Perm(len(body)) {
		if body[i] < '0' || body[i] > '9' {
			continue
		}
		for bit := range 4 {
			body[i] ^= 1 << bit
			if body[i] >= '0' && body[i] <= '9' && json.Unmarshal(body, &answer) == nil {
				for _, set := range answer.Map.Experts {
					for _, e := range set {
						if e >= experts {
							return
						}
					}
				}
			}
			body[i] ^= 1 << bit
		}
	}
}

func (s *spoiler) set(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = active
	s.from, s.spoiledBy = s.byRank, [ranks]int{}
}

func main() {
	var s spoiler
	kit.Main(kit.Options{
		Ranks: ranks, DeskSlots: 12, DeskTime: 150 * time.Millisecond, Rank: s.wrap,
		Group: func(g *replicas.GroupConfig) {
			g.LayerSets, g.ExpertsPerSet, g.MaxPerRank, g.MaxNewPerMap = sets, experts, places, 2
			g.TimePerStream = 3 * time.Millisecond
		},
	}, func(ctx context.Context, k *kit.Kit) (bool, error) { return run(ctx, k, &s) })
}

// outcome is a request on a kept channel to an entry.
type outcome struct {
	kit.Sent
	// first is true for the first request of a channel.
	first bool
}

func run(_ context.Context, k *kit.Kit, s *spoiler) (bool, error) {
	var mu sync.Mutex
	arrived := make(map[id.Request]string)
	for _, p := range k.Site.PlainReplicas {
		p.OnArrival = func(a faults.Arrival) {
			mu.Lock()
			defer mu.Unlock()
			arrived[a.Request] = fmt.Sprintf("%s at %s", a.Endpoint, k.At(a.At))
		}
	}
	s.report = k.Log
	time.Sleep(time.Second)
	var (
		wg   sync.WaitGroup
		list []outcome
	)
	stop := make(chan struct{})
	ends := k.Supervise(stop)
	for i := range k.Entries {
		for n := range 6 {
			wg.Go(func() {
				path := standin.PathLook
				if n%2 == 0 {
					path = standin.PathIssue
				}
				keep(k, i, kit.Request{Method: http.MethodPost, Path: path + "tag", Deadline: time.Second}, stop, func(o outcome) {
					mu.Lock()
					defer mu.Unlock()
					list = append(list, o)
				})
			})
		}
		for range 8 {
			wg.Go(func() {
				keep(k, i, kit.Request{Method: http.MethodPost, Path: standin.PathChat + "c", Deadline: 8 * time.Second}, stop, func(outcome) {})
			})
		}
	}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
				k.Site.Group.ShiftPopularity()
			}
		}
	}()
	time.Sleep(pause)
	for range times {
		s.set(k.Trouble)
		time.Sleep(spoiledTime)
		s.set(false)
		time.Sleep(pause)
	}
	close(stop)
	wg.Wait()
	for i, n := range ends() {
		k.Log("entry %d has ended by itself %d times", i, n)
	}
	k.Log("the ranks gave %d answers, %d of them spoiled; passes with two maps: %v", s.answers, s.spoiled, k.Site.Group.Status().Violations)
	return judge(k, list, arrived), nil
}

func judge(k *kit.Kit, list []outcome, arrived map[id.Request]string) bool {
	sort.Slice(list, func(i, j int) bool { return list[i].Sent.Sent.Before(list[j].Sent.Sent) })
	lost := make([]int, len(k.Entries))
	for _, o := range list {
		at, passed := arrived[id.Request(o.ID)]
		ran := k.Site.Executions.Count(id.Request(o.ID))
		cut := passed && !o.first && o.Status == 0 && o.Err != nil && o.Ended.Sub(o.Sent.Sent) < o.Deadline
		if cut {
			lost[o.Entry]++
		}
		k.Log("sent %s to entry %d on a kept channel (%v): request %s %s, answered %d (%v) at %s, ran %d times, reached %s%s", k.At(o.Sent.Sent), o.Entry,
			!o.first, o.ID, o.Path, o.Status, o.Err, k.At(o.Ended), ran, at, map[bool]string{true: "  LOST"}[cut])
	}
	broken := false
	for i, n := range lost {
		k.Log("entry %d passed %d requests of kept channels on to sound replicas and closed the channels without an answer", i, n)
		broken = broken || n > allowed
	}
	return broken
}

// keep sends requests one after the other on a kept channel to an entry until stop is closed.
func keep(k *kit.Kit, entry int, q kit.Request, stop <-chan struct{}, record func(outcome)) {
	var (
		c  net.Conn
		br *bufio.Reader
	)
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		default:
		}
		first := c == nil
		if first {
			var err error
			if c, err = net.DialTimeout("tcp", k.Address(entry), time.Second); err != nil {
				c = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(c)
		}
		a, again := kit.Send(k, c, br, q)
		record(outcome{Sent: kit.Sent{Answer: a, Request: q, Entry: entry}, first: first})
		if !again {
			_ = c.Close()
			c = nil
		}
		if a.Status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
}
