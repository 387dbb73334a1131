package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Time bounds and budgets of the promises, which follow from the site's settings.
const (
	// settleTime is the time after a fault during which time-bound promises are not checked.
	settleTime = 3 * time.Second
	// configBound is the time from the acknowledgement of a configuration until it must be
	// in force. configRejectedExtra is added while the platform rejects some entries.
	configBound         = 2 * time.Second
	configRejectedExtra = 5 * time.Second
	// rollbackTolerance is the time for which an older version may still be seen after a
	// newer one. faultyRollbackTolerance applies to entries with a recent fault.
	rollbackTolerance       = 250 * time.Millisecond
	faultyRollbackTolerance = 2 * time.Second
	// drainBound is the time after which a leaving endpoint must get no new requests.
	drainBound = 2 * time.Second
	// pauseReaction is the time after an answer that asks for a pause in which requests may still
	// arrive, and maxInPause the number of requests that may arrive in the rest of the pause.
	pauseReaction = 500 * time.Millisecond
	maxInPause    = 2
	// answerTolerance is the time past a request's timeout by which the client must have an answer.
	answerTolerance = 500 * time.Millisecond
	// readTolerance is the time after which an entry is assumed to have read a request.
	readTolerance = 200 * time.Millisecond
	// RetryBudgetRatio and RetryBudgetExtra define the budget of retries within retryWindow.
	RetryBudgetRatio = 0.05
	RetryBudgetExtra = 10
	retryWindow      = 10 * time.Second
	// readinessLag is the time in which the platform detects that an entry is not ready:
	// it probes each second and needs two failures.
	readinessLag = 2 * time.Second
	// recoverBound is the time after the last fault in which all requests must be served again.
	recoverBound = 12 * time.Second
	// listenTime is the time after a stop signal by which an entry has closed its listener.
	listenTime = 3 * time.Second
	// stopBound is the time within which a process must exit after a stop signal.
	stopBound = 8 * time.Second
)

// The promises, by their names in reports.
const (
	promiseOnce       = "an action runs once at most"
	promiseTrue       = "what is said not to have run has not"
	promiseOwn        = "a caller gets the whole answer to its own request"
	promiseOrder      = "the events of a stream come in order, without gap or repetition"
	promiseService    = "a request is run by the service of its route"
	promiseMap        = "no pass begins with two maps"
	promiseDrain      = "an endpoint that leaves gets no new work"
	promisePause      = "an endpoint that asked for a pause gets no work in it"
	promiseConfig     = "an accepted configuration is in force everywhere"
	promiseNoRollback = "a configuration never goes back"
	promiseAllowed    = "what every configuration allows is not turned away"
	promiseStop       = "a graceful stop cuts off no request"
	promiseListen     = "an entry that leaves accepts connections until that is noticed"
	promiseEnd        = "a process that is asked to stop ends within its grace"
	promiseTime       = "a caller has a final answer when its time is over"
	promiseBudget     = "further tries stay within the budget"
	promiseRecover    = "all is served again after the faults"
	promiseAlive      = "no process ends by itself"
	promiseHeld       = "a group is not held for longer than a change takes"
)

// checkReply checks a reply against the request's runs and the expected content.
func (r *run) checkReply(x *exchange) {
	runs := r.site.Executions().Count(x.ID)
	fail := func(promise, format string, args ...any) {
		r.record.addViolation(Violation{
			Promise: promise, At: x.End, Request: x.ID,
			Detail: fmt.Sprintf("%s at entry-%d: status %d, %v: ", x.Kind, x.Entry, x.Reply.Status, x.Reply.Err) + fmt.Sprintf(format, args...),
		})
	}
	switch {
	case impliesNotRun(x.Reply.Status) && runs > 0:
		fail(promiseTrue, "it ran %d times", runs)
	case x.Reply.Status >= 300 && x.Reply.Status < 500 && !impliesNotRun(x.Reply.Status) && x.Key == r.site.StableKey():
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

func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkAll checks all records so far. It may be called at any time.
func (r *run) checkAll() {
	for _, v := range r.site.Group().Status().Violations {
		r.record.addViolation(Violation{Promise: promiseMap, Detail: v})
	}
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for _, x := range r.record.exchanges {
		r.checkRuns(x)
		r.checkTime(x)
		r.checkStop(x)
	}
	r.checkArrivals()
	r.checkSignals()
	r.checkConfig()
	r.checkBudget()
}

// checkRuns checks how often a request ran, including runs after its answer.
func (r *run) checkRuns(x *exchange) {
	runs := r.site.Executions().Count(x.ID)
	if x.Kind == Issue && runs > 1 {
		r.record.addViolationLocked(Violation{Promise: promiseOnce, At: x.Start, Request: x.ID, Detail: fmt.Sprintf("it ran %d times", runs)})
	}
	if !x.End.IsZero() && impliesNotRun(x.Reply.Status) && runs > 0 {
		r.record.addViolationLocked(Violation{Promise: promiseTrue, At: x.End, Request: x.ID, Detail: fmt.Sprintf("it was answered %d and ran %d times", x.Reply.Status, runs)})
	}
}

// checkTime checks that an undisturbed entry answers within the request's timeout.
func (r *run) checkTime(x *exchange) {
	end := x.End
	if end.IsZero() {
		end = time.Now()
	}
	took := end.Sub(x.Start)
	if x.AbortedAt.IsZero() && took > x.Timeout+answerTolerance && r.record.undisturbed(x.Start, x.Start.Add(x.Timeout+answerTolerance), Host{Entry, x.Entry}, Host{Kind: Clients}) {
		r.record.addViolationLocked(Violation{Promise: promiseTime, At: x.Start, Request: x.ID, Detail: fmt.Sprintf("entry-%d took %v of %v", x.Entry, took, x.Timeout)})
	}
}

// checkStop checks that a graceful stop of the entry cut off no request.
func (r *run) checkStop(x *exchange) {
	if x.Reply.Err == nil || x.End.IsZero() || !x.AbortedAt.IsZero() {
		return
	}
	stops := r.record.stopping[x.Entry]
	if !overlap(stops, x.Start, x.End) {
		return
	}
	passedOn := len(r.record.arrivals[x.ID]) > 0
	if !passedOn && x.End.Sub(x.Start) < readTolerance {
		return // sent while the connection was being closed
	}
	if !passedOn && !slices.ContainsFunc(stops, func(s span) bool { return s.overlaps(x.Start, x.End) && x.Start.Before(s.from.Add(listenTime)) }) {
		return // sent to a proxy whose entry no longer listens
	}
	if !r.record.faultFree(x.Start, x.End, r.allHosts()...) {
		return
	}
	r.record.addViolationLocked(Violation{
		Promise: promiseStop, At: x.End, Request: x.ID,
		Detail: fmt.Sprintf("%s at entry-%d ended without an answer after %v: %v; passed on: %v", x.Kind, x.Entry, x.End.Sub(x.Start), x.Reply.Err, passedOn),
	})
}

// checkArrivals checks that requests reached endpoints of the right service that are not draining.
func (r *run) checkArrivals() {
	for request, list := range r.record.arrivals {
		for _, a := range list {
			if want := r.site.Service(a.Path); want != "" && a.Service != want {
				r.record.addViolationLocked(Violation{Promise: promiseService, At: a.At, Request: request, Detail: fmt.Sprintf("%s of service %s got %s", a.Endpoint, a.Service, a.Path)})
			}
			since, ok := r.record.leaving[a.Endpoint]
			if !ok || a.At.Before(since.Add(drainBound)) {
				continue
			}
			if r.record.undisturbed(since, a.At, Host{Entry, a.entry}, Host{Kind: Platform}) {
				r.record.addViolationLocked(Violation{Promise: promiseDrain, At: a.At, Request: request, Detail: fmt.Sprintf("%s got it from entry-%d %v after it said that it leaves", a.Endpoint, a.entry, a.At.Sub(since))})
			}
		}
	}
}

// checkSignals checks that entries act on what endpoints say about themselves in answers,
// whether or not the platform is in touch.
func (r *run) checkSignals() {
	type pair struct {
		endpoint id.Endpoint
		entry    int
	}
	byPair := make(map[pair][]arrival)
	for _, list := range r.record.arrivals {
		for _, a := range list {
			byPair[pair{a.Endpoint, a.entry}] = append(byPair[pair{a.Endpoint, a.entry}], a)
		}
	}
	for p, list := range byPair {
		slices.SortFunc(list, func(a, b arrival) int { return a.At.Compare(b.At) })
		for i, a := range list {
			if a.Pause > 0 {
				r.checkPause(p.entry, a, list[i+1:])
			}
		}
		if i := slices.IndexFunc(list, func(a arrival) bool { return a.Leaving }); i >= 0 {
			r.checkLeft(p.entry, list[i], list[i+1:])
		}
	}
}

// checkPause checks the requests that reached an endpoint from an entry after an answer that
// asked for a pause.
func (r *run) checkPause(entry int, asked arrival, later []arrival) {
	n := 0
	for _, a := range later {
		if a.At.Before(asked.At.Add(pauseReaction)) || a.At.After(asked.At.Add(asked.Pause)) {
			continue
		}
		if n++; n > maxInPause && r.record.undisturbed(asked.At, a.At, Host{Entry, entry}) {
			r.record.addViolationLocked(Violation{
				Promise: promisePause, At: a.At, Request: a.Request,
				Detail: fmt.Sprintf("request %d at %s from entry-%d, %v after it asked for %v", n, a.Endpoint, entry, a.At.Sub(asked.At), asked.Pause),
			})
			return
		}
	}
}

// checkLeft checks the requests that reached an endpoint from an entry after the first answer
// that said that it is leaving.
func (r *run) checkLeft(entry int, first arrival, later []arrival) {
	for _, a := range later {
		x := r.record.byID[a.Request]
		if x != nil && x.Start.After(first.At.Add(drainBound)) && r.record.undisturbed(first.At, a.At, Host{Entry, entry}) {
			r.record.addViolationLocked(Violation{
				Promise: promiseDrain, At: a.At, Request: a.Request,
				Detail: fmt.Sprintf("%s got it from entry-%d %v after an answer that said that it leaves", a.Endpoint, entry, a.At.Sub(first.At)),
			})
			return
		}
	}
}

// checkConfig checks that entries apply accepted generations in time and never roll back.
func (r *run) checkConfig() {
	type seen struct {
		generation int
		at         time.Time
	}
	newest := make(map[string]seen) // by entry and incarnation
	for _, x := range r.record.exchanges {
		for _, a := range r.record.arrivals[x.ID] {
			g, ok := r.site.Generation(a.Team)
			if !ok {
				continue
			}
			if required := r.requiredGeneration(x, a.entry); g < required {
				r.record.addViolationLocked(Violation{Promise: promiseConfig, At: x.Start, Request: x.ID, Detail: fmt.Sprintf("entry-%d handled it by generation %d, %d was accepted", a.entry, g, required)})
			}
			of := fmt.Sprintf("%d/%d", a.entry, r.incarnation(a.entry, x.Start))
			slack := rollbackTolerance
			if !r.record.undisturbed(x.Start, a.At, Host{Entry, a.entry}) {
				slack = faultyRollbackTolerance
			}
			if n := newest[of]; g < n.generation && x.Start.After(n.at.Add(slack)) {
				r.record.addViolationLocked(Violation{Promise: promiseNoRollback, At: x.Start, Request: x.ID, Detail: fmt.Sprintf("entry-%d handled it by generation %d after %d", a.entry, g, n.generation)})
			} else if g > n.generation {
				newest[of] = seen{g, a.At}
			}
		}
	}
}

// requiredGeneration returns the oldest generation that an entry may apply to a request,
// or zero if any will do.
func (r *run) requiredGeneration(x *exchange, entry int) int {
	required := 0
	for _, a := range r.record.acks {
		bound := configBound
		if !r.record.faultFree(a.sent, x.Start, Host{Kind: RejectedEntries}) {
			bound += configRejectedExtra
		}
		if a.at.Add(bound).Before(x.Start) && r.record.undisturbed(a.sent, x.Start, Host{Entry, entry}, Host{Kind: Platform}) {
			required = max(required, a.generation)
		}
	}
	return required
}

// incarnation returns how often an entry's process was started before a time.
func (r *run) incarnation(entry int, at time.Time) int {
	n := 0
	for _, s := range r.record.starts[entry] {
		if s.Before(at) {
			n++
		}
	}
	return n
}

// checkBudget checks the retries of each service against the budget in every window.
func (r *run) checkBudget() {
	requests, extra := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, x := range r.record.exchanges {
		service := string(r.site.Service(r.site.Path(x.Request)))
		requests[service] = append(requests[service], x.Start)
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
			budgeted := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				budgeted = max(budgeted, countWithin(requests[service], from.Add(-back), retryWindow))
			}
			if float64(n) > RetryBudgetRatio*float64(budgeted)+RetryBudgetExtra {
				r.record.addViolationLocked(Violation{Promise: promiseBudget, At: from, Detail: fmt.Sprintf("service %s got %d further tries of %d requests within %v", service, n, budgeted, retryWindow)})
				return
			}
		}
	}
}

func countWithin(times []time.Time, from time.Time, length time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(length)) {
			n++
		}
	}
	return n
}
