package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of the promises, as the site's settings give them.
const (
	// settle is the time after a fault for which promises with a time bound wait.
	settle = 3 * time.Second
	// configBound is the time in which a configuration must be in force after its
	// acknowledgement, and configOuter is added while the platform turned some away.
	configBound = 2 * time.Second
	configOuter = 5 * time.Second
	// rollbackSlack is the time for which an older version may still be seen
	// after a newer one, and slowSlack that of entries that were struck.
	rollbackSlack = 250 * time.Millisecond
	slowSlack     = 2 * time.Second
	// drainBound is the time after which a leaving endpoint gets nothing new.
	drainBound = 2 * time.Second
	// lateBound is the time past a client's patience by which it must have a final answer.
	lateBound = 500 * time.Millisecond
	// readSlack is the time after which a request counts as read by its entry.
	readSlack = 200 * time.Millisecond
	// RetryBudgetRatio and RetryBudgetExtra are the budget of further tries in retryWindow.
	RetryBudgetRatio = 0.05
	RetryBudgetExtra = 10
	retryWindow      = 10 * time.Second
	// noticeBound is the time in which the platform notices that an entry is not
	// ready: it asks each second and counts two misses.
	noticeBound = 2 * time.Second
	// recoverBound is the time in which all is served again after the last fault.
	recoverBound = 12 * time.Second
	// graceBound is the time in which a process ends that is asked to, at the latest.
	graceBound = 8 * time.Second
)

// Promises, by the names that reports use.
const (
	promiseOnce     = "an action runs once at most"
	promiseTrue     = "what is said not to have run has not"
	promiseOwn      = "a caller gets the whole answer to its own request"
	promiseOrder    = "the events of a stream come in order, without gap or repetition"
	promiseService  = "a request is run by the service of its route"
	promiseMap      = "no pass begins with two maps"
	promiseDrain    = "an endpoint that leaves gets no new work"
	promiseConfig   = "an accepted configuration is in force everywhere"
	promiseNoReturn = "a configuration never goes back"
	promiseAllowed  = "what every configuration allows is not turned away"
	promiseStop     = "a graceful stop cuts off no request"
	promiseListen   = "an entry that leaves accepts connections until that is noticed"
	promiseEnd      = "a process that is asked to stop ends within its grace"
	promiseTime     = "a caller has a final answer when its time is over"
	promiseBudget   = "further tries stay within the budget"
	promiseRecover  = "all is served again after the faults"
	promiseAlive    = "no process ends by itself"
	promiseHeld     = "a group is not held for longer than a change takes"
)

// checkReply checks what can be told from one exchange.
func (r *run) checkReply(x *exchange) {
	runs := r.site.Ledger().Runs(x.ID)
	fail := func(promise, format string, args ...any) {
		r.record.violate(Violation{
			Promise: promise, At: x.Done, Request: x.ID,
			Detail: fmt.Sprintf("%s at entry-%d: status %d, %v: ", x.Kind, x.Entry, x.Reply.Status, x.Reply.Err) + fmt.Sprintf(format, args...),
		})
	}
	switch {
	case saysNotRun(x.Reply.Status) && runs > 0:
		fail(promiseTrue, "it ran %d times", runs)
	case x.Reply.Status >= 300 && x.Reply.Status < 500 && !saysNotRun(x.Reply.Status) && x.Key == r.site.StableKey():
		fail(promiseAllowed, "%s", x.Reply.Body)
	case x.Reply.Status == http.StatusOK && !x.Reply.Signed:
		fail(promiseOwn, "the answer is not signed: %q", x.Reply.Body)
	}
	if x.Kind == Chat && x.Reply.Status == http.StatusOK {
		all, err := r.site.CheckEvents(x.Request, x.Reply.Events)
		if err != nil {
			fail(promiseOrder, "%v", err)
		}
		if x.Reply.Err == nil && !all {
			fail(promiseOwn, "the stream ends after %d events and looks complete", len(x.Reply.Events))
		}
	}
	if x.Kind != Chat && x.Reply.Complete() {
		if _, err := r.site.CheckAnswer(x.Request, x.Reply.Body); err != nil {
			fail(promiseOwn, "%v", err)
		}
	}
}

func saysNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// check looks at all that was recorded. It may be called at any time.
func (r *run) check() {
	for _, v := range r.site.Group().Status().Violations {
		r.record.violate(Violation{Promise: promiseMap, Detail: v})
	}
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for _, x := range r.record.exchanges {
		r.checkRuns(x)
		r.checkTime(x)
		r.checkStop(x)
	}
	r.checkArrivals()
	r.checkConfig()
	r.checkBudget()
}

// checkRuns checks how often a request ran, also after it was answered.
func (r *run) checkRuns(x *exchange) {
	runs := r.site.Ledger().Runs(x.ID)
	if x.Kind == Issue && runs > 1 {
		r.record.report(Violation{Promise: promiseOnce, At: x.At, Request: x.ID, Detail: fmt.Sprintf("it ran %d times", runs)})
	}
	if !x.Done.IsZero() && saysNotRun(x.Reply.Status) && runs > 0 {
		r.record.report(Violation{Promise: promiseTrue, At: x.Done, Request: x.ID, Detail: fmt.Sprintf("it was answered %d and ran %d times", x.Reply.Status, runs)})
	}
}

// checkTime checks that a calm entry answers in time.
func (r *run) checkTime(x *exchange) {
	end := x.Done
	if end.IsZero() {
		end = time.Now()
	}
	took := end.Sub(x.At)
	if x.Left.IsZero() && took > x.Timeout+lateBound && r.record.calm(x.At, x.At.Add(x.Timeout+lateBound), Host{Entry, x.Entry}, Host{Kind: Clients}) {
		r.record.report(Violation{Promise: promiseTime, At: x.At, Request: x.ID, Detail: fmt.Sprintf("entry-%d took %v of %v", x.Entry, took, x.Timeout)})
	}
}

// checkStop checks that a planned stop of the entry cut nothing off.
func (r *run) checkStop(x *exchange) {
	if x.Reply.Err == nil || x.Done.IsZero() || !x.Left.IsZero() {
		return
	}
	stops := r.record.stopping[x.Entry]
	if !slices.ContainsFunc(stops, func(s span) bool { return s.overlaps(x.At, x.Done) && x.At.Before(s.from.Add(3*time.Second)) }) {
		return
	}
	passedOn := len(r.record.arrivals[x.ID]) > 0
	if !passedOn && x.Done.Sub(x.At) < readSlack {
		return // It crossed the end of the connection.
	}
	if !r.record.unstruck(x.At, x.Done, r.allHosts()...) {
		return
	}
	r.record.report(Violation{
		Promise: promiseStop, At: x.Done, Request: x.ID,
		Detail: fmt.Sprintf("%s at entry-%d ended without an answer after %v: %v; passed on: %v", x.Kind, x.Entry, x.Done.Sub(x.At), x.Reply.Err, passedOn),
	})
}

// checkArrivals checks what reached back ends.
func (r *run) checkArrivals() {
	for request, list := range r.record.arrivals {
		for _, a := range list {
			if want := r.site.Service(a.Path); want != "" && a.Service != want {
				r.record.report(Violation{Promise: promiseService, At: a.At, Request: request, Detail: fmt.Sprintf("%s of service %s got %s", a.Endpoint, a.Service, a.Path)})
			}
			since, ok := r.record.leaving[a.Endpoint]
			if !ok || a.At.Before(since.Add(drainBound)) {
				continue
			}
			if r.record.calm(since, a.At, Host{Entry, a.entry}, Host{Kind: Platform}) {
				r.record.report(Violation{Promise: promiseDrain, At: a.At, Request: request, Detail: fmt.Sprintf("%s got it from entry-%d %v after it said that it leaves", a.Endpoint, a.entry, a.At.Sub(since))})
			}
		}
	}
}

// checkConfig checks by which generations requests were handled.
func (r *run) checkConfig() {
	type seen struct {
		generation int
		at         time.Time
	}
	newest := make(map[string]seen) // by incarnation of an entry
	for _, x := range r.record.exchanges {
		for _, a := range r.record.arrivals[x.ID] {
			g, ok := r.site.Generation(a.Team)
			if !ok {
				continue
			}
			if required := r.required(x, a.entry); g < required {
				r.record.report(Violation{Promise: promiseConfig, At: x.At, Request: x.ID, Detail: fmt.Sprintf("entry-%d handled it by generation %d, %d was accepted", a.entry, g, required)})
			}
			of := fmt.Sprintf("%d/%d", a.entry, r.incarnation(a.entry, x.At))
			slack := rollbackSlack
			if !r.record.calm(x.At, a.At, Host{Entry, a.entry}) {
				slack = slowSlack
			}
			if n := newest[of]; g < n.generation && x.At.After(n.at.Add(slack)) {
				r.record.report(Violation{Promise: promiseNoReturn, At: x.At, Request: x.ID, Detail: fmt.Sprintf("entry-%d handled it by generation %d after %d", a.entry, g, n.generation)})
			} else if g > n.generation {
				newest[of] = seen{g, a.At}
			}
		}
	}
}

// required returns the generation by which an entry must handle a request, zero
// if the entry is not bound to any.
func (r *run) required(x *exchange, entry int) int {
	required := 0
	for _, a := range r.record.acks {
		bound := configBound
		if !r.record.unstruck(a.sent, x.At, Host{Kind: RejectedEntries}) {
			bound += configOuter
		}
		if a.at.Add(bound).Before(x.At) && r.record.calm(a.sent, x.At, Host{Entry, entry}, Host{Kind: Platform}) {
			required = max(required, a.generation)
		}
	}
	return required
}

// incarnation numbers the starts of an entry's process.
func (r *run) incarnation(entry int, at time.Time) int {
	n := 0
	for _, s := range r.record.started[entry] {
		if s.Before(at) {
			n++
		}
	}
	return n
}

// checkBudget checks the further tries of each service in all windows.
func (r *run) checkBudget() {
	requests, extra := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, x := range r.record.exchanges {
		service := string(r.site.Service(r.site.Path(x.Request)))
		requests[service] = append(requests[service], x.At)
		for i, a := range r.record.arrivals[x.ID] {
			if i > 0 {
				extra[service] = append(extra[service], a.At)
			}
		}
	}
	for service, times := range extra {
		slices.SortFunc(times, time.Time.Compare)
		for i, from := range times {
			n := 0
			for _, t := range times[i:] {
				if t.Sub(from) < retryWindow {
					n++
				}
			}
			owed := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				owed = max(owed, within(requests[service], from.Add(-back), retryWindow))
			}
			if float64(n) > RetryBudgetRatio*float64(owed)+RetryBudgetExtra {
				r.record.report(Violation{Promise: promiseBudget, At: from, Detail: fmt.Sprintf("service %s got %d further tries of %d requests within %v", service, n, owed, retryWindow)})
				return
			}
		}
	}
}

func within(times []time.Time, from time.Time, length time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(length)) {
			n++
		}
	}
	return n
}
