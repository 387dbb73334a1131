package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/siskinford/siskinford/lab/faultproxy"
	"github.com/siskinford/siskinford/lab/faults"
)

// injector begins a fault and returns the function that ends it, nil if it ends by itself.
type injector func(r *run, f Fault) (end func())

// injectors are the injectors by name of the fault.
var injectors = map[string]injector{
	"an entry is killed":                                        killEntry,
	"the entry that last wrote is killed":                       func(r *run, f Fault) func() { f.Host = r.lastWriter(f); return killEntry(r, f) },
	"all entries are killed":                                    killAll,
	"an entry freezes":                                          freezeEntry,
	"the entry that last wrote freezes":                         func(r *run, f Fault) func() { f.Host = r.lastWriter(f); return freezeEntry(r, f) },
	"an entry is stopped":                                       stopEntry,
	"entries are stopped in turn":                               stopConsecutively,
	"an entry is told that settings changed":                    reloadEntry,
	"a relay is killed":                                         killRelay,
	"a relay freezes":                                           freezeRelay,
	"a rank is lost":                                            loseRank,
	"orders are carried out late":                               lateOrders,
	"other experts are in demand":                               shiftDemand,
	"the platform is silent":                                    platform(faults.PlatformFaults{Silent: true}),
	"the platform is busy":                                      platform(faults.PlatformFaults{Busy: true}),
	"the platform resets connections":                           platform(faults.PlatformFaults{Reset: true}),
	"the platform is slow":                                      platform(faults.PlatformFaults{Delay: 250 * time.Millisecond}),
	"the platform loses answers":                                platform(faults.PlatformFaults{LateWrites: 0.4, LateWriteDelay: 1500 * time.Millisecond}),
	"the platform turns some entries away":                      rejectSome(faults.PlatformFaults{Silent: true}),
	"the platform refuses some entries":                         rejectSome(faults.PlatformFaults{Busy: true}),
	"the platform forgets its history":                          compactHistory,
	faultReturn:                                                 restorePlatform,
	"a zone is cut off":                                         cutZone(faultproxy.Faults{CutToTarget: true, CutToClient: true}),
	"a zone is cut off one way":                                 cutZone(faultproxy.Faults{CutToTarget: true}),
	"a zone's connections are refused":                          cutZone(faultproxy.Faults{Refuse: true, Loss: 1}),
	"an entry is cut off from the others":                       cutPeers,
	"an entry loses packets to the others":                      losePackets,
	"an endpoint goes dark":                                     isolateEndpoint,
	"an endpoint's connections are reset":                       resetEndpoint,
	"an endpoint's connections fall silent":                     blackholeEndpoint,
	"all connections between entries and back ends fall silent": blackholeAll,
	"clients' connections are reset":                            resetClients,
	"links are slow":                                            slowLinks,
	"plain endpoints lose answers":                              misbehave(Plain, faults.LoseAnswer),
	"plain endpoints fail":                                      misbehave(Plain, faults.Fail),
	"plain endpoints hang":                                      misbehave(Plain, faults.Hang),
	"plain endpoints tear answers":                              misbehave(Plain, faults.Truncate),
	"plain endpoints answer twice":                              misbehave(Plain, faults.DuplicateAnswer),
	"plain endpoints confuse answers":                           misbehave(Plain, faults.WrongRequestID),
	"plain endpoints leave out signatures":                      misbehave(Plain, faults.Unsigned),
	"plain endpoints refuse":                                    misbehave(Plain, faults.Refuse),
	"streams are torn":                                          misbehave(Model, faults.Truncate),
	"streams have no length and are torn":                       misbehave(Model, faults.CloseDelimited),
	"plain endpoints answer without a length":                   misbehave(Plain, faults.CloseDelimited),
	"streams hang":                                              misbehave(Model, faults.Hang),
	"a plain endpoint is replaced":                              replacePlain,
	"a plain endpoint is replaced unseen":                       replaceUnseen,
	"the configuration changes":                                 changeConfig,
	"configurations come in quick succession":                   configStorm,
	"many clients come at once":                                 surge,
}

// faultReturn is planned by a random source of its own, so that the plans of earlier seeds stay as
// they were.
const faultReturn = "the platform returns from an older copy"

func faultNames() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(injectors)), func(name string) bool { return name == faultReturn })
}

// plannedWork are the planned operations, which also run while there are no faults, so
// that their promises can be checked.
var plannedWork = []string{
	"a plain endpoint is replaced", "an entry is stopped", "the configuration changes", "configurations come in quick succession",
	"an entry is told that settings changed",
}

// lastWriter returns the entry that last wrote to the platform, or the fault's own if none did.
func (r *run) lastWriter(f Fault) int {
	if w := r.site.LastWriter(); w >= 0 {
		return w
	}
	return f.Host
}

func (r *run) entry(n int) Host { return Host{Entry, n % r.plan.Shape.Entries} }
func (r *run) rank(n int) Host  { return Host{Model, n % r.plan.Shape.Ranks} }
func (r *run) plain(n int) Host { return Host{Plain, n % r.plan.Shape.Plains} }

func killEntry(r *run, f Fault) func() { return r.kill(r.entry(f.Host)) }

// kill kills a host's process, which is restarted when the fault ends.
func (r *run) kill(h Host) func() {
	endFault := r.record.markFaulty(h)
	r.reserve(h) // another fault that holds the reservation finds the process ended
	p := r.site.Process(h)
	r.markEnded(p)
	p.Kill()
	return func() { r.restart(h); r.awaitReady(h); endFault() }
}

func killAll(r *run, _ Fault) func() {
	var ends []func()
	for i := range r.plan.Shape.Entries {
		ends = append(ends, r.kill(r.entry(i)))
	}
	return func() {
		for _, end := range ends {
			r.background.Go(end)
		}
	}
}

func freezeEntry(r *run, f Fault) func() { return r.freeze(r.entry(f.Host)) }

func (r *run) freeze(h Host) func() {
	endFault := r.record.markFaulty(h)
	p := r.site.Process(h)
	p.Suspend()
	return func() { p.Resume(); endFault() }
}

func killRelay(r *run, f Fault) func()   { return r.kill(r.rank(f.Host)) }
func freezeRelay(r *run, f Fault) func() { return r.freeze(r.rank(f.Host)) }

// stopEntry stops an entry gracefully and restarts it once it has exited.
func stopEntry(r *run, f Fault) func() {
	r.background.Go(func() { r.stop(r.entry(f.Host)) })
	return nil
}

func stopConsecutively(r *run, f Fault) func() {
	r.background.Go(func() {
		for i := range 2 {
			r.stop(r.entry(f.Host + i))
		}
	})
	return nil
}

// stop is a planned operation: in the absence of faults it must not lose a request.
func (r *run) stop(h Host) {
	if !r.reserve(h) {
		return
	}
	p := r.site.Process(h)
	r.markEnded(p)
	done := r.record.markStopping(h.Index)
	p.Signal(stopSignal)
	r.background.Go(func() { r.checkListening(h, time.Now()) })
	ctx, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	began := time.Now()
	if _, err := p.Wait(ctx); err != nil {
		if r.record.faultFreeLocking(began, time.Now(), h) {
			r.record.addViolation(Violation{Promise: promiseEnd, Detail: fmt.Sprintf("%v: %v", h, err)})
		}
		p.Kill()
	}
	done()
	endFault := r.record.markFaulty(h) // the restart counts as a fault until the entry is ready
	r.restart(h)
	r.awaitReady(h)
	endFault()
}

// listenInterval is the time between connection attempts to a leaving entry.
const listenInterval = 100 * time.Millisecond

// checkListening checks that a leaving entry accepts connections until the platform can
// have detected that it is leaving.
func (r *run) checkListening(h Host, since time.Time) {
	for time.Since(since) < readinessLag {
		if !r.site.Listens(h.Index) {
			if r.record.faultFreeLocking(since, time.Now(), h) {
				r.record.addViolation(Violation{Promise: promiseListen, Detail: fmt.Sprintf("%v refused a connection %v after it was asked to end", h, time.Since(since))})
			}
			return
		}
		r.sleep(listenInterval)
	}
}

func reloadEntry(r *run, f Fault) func() {
	r.site.Process(r.entry(f.Host)).Signal(reloadSignal)
	return nil
}

// loseRank takes down a rank and the relay beside it.
func loseRank(r *run, f Fault) func() {
	h := r.rank(f.Host)
	back := r.kill(h)
	r.lostMu.Lock()
	r.lostRanks[h.Index]++
	r.lostMu.Unlock()
	r.site.Group().FailRank(h.Index)
	return func() {
		r.lostMu.Lock()
		r.lostRanks[h.Index]--
		if r.lostRanks[h.Index] == 0 {
			r.site.Group().RestoreRank(h.Index)
		}
		r.lostMu.Unlock()
		back()
	}
}

func lateOrders(r *run, f Fault) func() {
	r.site.Group().DelayOrders(0.1+0.5*f.Intensity, time.Duration(float64(2*time.Second)*f.Intensity))
	return func() { r.site.Group().DelayOrders(0, 0) }
}

func shiftDemand(r *run, _ Fault) func() { r.site.Group().ShiftPopularity(); return nil }

func platform(t faults.PlatformFaults) injector {
	return func(r *run, _ Fault) func() {
		endFault := r.record.markFaulty(Host{Kind: Platform})
		end := r.platformFaults.add(func(int) faults.PlatformFaults { return t })
		return func() { end(); endFault() }
	}
}

// rejectDuration is the time for which the platform rejects entries. It is longer than
// those may take to get a configuration from other entries.
const rejectDuration = configBound + configRejectedExtra + 2*time.Second

// rejectSome makes the platform reject every other entry while it serves the rest.
func rejectSome(t faults.PlatformFaults) injector {
	return func(r *run, f Fault) func() {
		endFault := r.record.markFaulty(Host{Kind: RejectedEntries})
		end := r.platformFaults.add(func(entry int) faults.PlatformFaults {
			if (entry+f.Host)%2 == 0 {
				return t
			}
			return faults.PlatformFaults{}
		})
		r.background.Go(func() {
			r.sleep(rejectDuration / 4)
			r.configure()
			r.sleep(rejectDuration * 3 / 4)
			end()
			endFault()
		})
		return nil
	}
}

func compactHistory(r *run, _ Fault) func() {
	endFault := r.record.markFaulty(Host{Kind: Platform})
	r.site.CompactPlatform()
	return endFault
}

const (
	// maxCopyAge is the greatest age of the copy to which the platform returns.
	maxCopyAge = 5 * time.Second
	// maxRewritePause is the time within which the operator and the back ends write theirs again:
	// three heartbeats of 1.2 s.
	maxRewritePause = 3600 * time.Millisecond
	// secondReturnAfter is the time from a return to one during it.
	secondReturnAfter = 700 * time.Millisecond
)

// restorePlatform makes the platform go away for a moment and return from an older copy, in half
// of the cases twice.
func restorePlatform(r *run, f Fault) func() {
	endFault := r.record.markFaulty(Host{Kind: Platform})
	r.background.Go(func() {
		defer endFault()
		age := time.Duration(f.Intensity * float64(maxCopyAge))
		pause := maxRewritePause * time.Duration(1+f.Host%3) / 3
		for i := range 1 + f.Other%2 {
			if i > 0 {
				r.sleep(secondReturnAfter)
			}
			back := r.platformFaults.add(func(int) faults.PlatformFaults { return faults.PlatformFaults{Reset: true} })
			r.sleep(f.Duration / 4)
			r.site.RestorePlatform(age, pause)
			back()
		}
		r.sleep(pause)
	})
	return nil
}

// injectLinkFaults adds faults to links until the returned function is called.
func (r *run) injectLinkFaults(hosts []Host, of func(from, to Host) faultproxy.Faults) func() {
	endFault := r.record.markFaulty(hosts...)
	end := r.links.add(of)
	return func() { end(); endFault() }
}

func cutZone(x faultproxy.Faults) injector {
	return func(r *run, f Fault) func() {
		zone := f.Host % r.plan.Shape.Zones
		hosts := append(r.allHosts(), Host{Kind: Platform})
		return r.injectLinkFaults(hosts, func(from, to Host) faultproxy.Faults {
			if from.Kind == Clients || (r.site.Zone(from) == zone) == (r.site.Zone(to) == zone) {
				return faultproxy.Faults{}
			}
			return x
		})
	}
}

// entries returns all entries. A fault of a link between two of them may affect any.
func (r *run) entries() []Host {
	var out []Host
	for i := range r.plan.Shape.Entries {
		out = append(out, r.entry(i))
	}
	return out
}

// allHosts returns the hosts of all entries, ranks and plain endpoints.
func (r *run) allHosts() []Host {
	out := r.entries()
	for i := range r.plan.Shape.Ranks {
		out = append(out, r.rank(i))
	}
	for i := range r.plan.Shape.Plains {
		out = append(out, r.plain(i))
	}
	return out
}

func cutPeers(r *run, f Fault) func() {
	h := r.entry(f.Host)
	return r.injectLinkFaults(r.entries(), func(from, to Host) faultproxy.Faults {
		cut := from.Kind == Entry && to.Kind == Entry && (from == h || to == h)
		return faultproxy.Faults{CutToTarget: cut, CutToClient: cut && f.Intensity < 0.5}
	})
}

func losePackets(r *run, f Fault) func() {
	h := r.entry(f.Host)
	return r.injectLinkFaults(r.entries(), func(from, to Host) faultproxy.Faults {
		if to != h || from.Kind != Entry {
			return faultproxy.Faults{}
		}
		return faultproxy.Faults{Loss: f.Intensity / 2, Duplicate: f.Intensity / 4, Reorder: f.Intensity / 4}
	})
}

// endpoint selects a rank or a plain endpoint.
func (r *run) endpoint(f Fault) Host {
	if f.Other%2 == 0 {
		return r.rank(f.Host)
	}
	return r.plain(f.Host)
}

func isolateEndpoint(r *run, f Fault) func() {
	h := r.endpoint(f)
	return r.injectLinkFaults([]Host{h}, func(_, to Host) faultproxy.Faults {
		return faultproxy.Faults{CutToTarget: to == h, CutToClient: to == h}
	})
}

func resetEndpoint(r *run, f Fault) func() {
	h := r.endpoint(f)
	endFault := r.record.markFaulty(h)
	r.site.ResetLinks(func(_, to Host) bool { return to == h })
	return endFault
}

func blackholeEndpoint(r *run, f Fault) func() {
	h := r.endpoint(f)
	endFault := r.record.markFaulty(h)
	r.site.BlackholeLinks(func(_, to Host) bool { return to == h })
	return endFault
}

func blackholeAll(r *run, _ Fault) func() {
	endFault := r.record.markFaulty(r.allHosts()...)
	r.site.BlackholeLinks(func(from, _ Host) bool { return from.Kind == Entry })
	return endFault
}

func resetClients(r *run, f Fault) func() {
	h := r.entry(f.Host)
	endFault := r.record.markFaulty(h, Host{Kind: Clients})
	r.site.ResetLinks(func(from, to Host) bool { return from.Kind == Clients && to == h })
	return endFault
}

func slowLinks(r *run, f Fault) func() {
	delay := time.Duration(f.Intensity * float64(60*time.Millisecond))
	return r.injectLinkFaults(r.allHosts(), func(from, _ Host) faultproxy.Faults { return faultproxy.Faults{Delay: delay} })
}

// misbehave makes some back ends of a kind mishandle a share of their requests.
func misbehave(kind HostKind, b faults.Behavior) injector {
	return func(r *run, f Fault) func() {
		var hosts []Host
		for _, h := range r.allHosts() {
			if h.Kind == kind && (f.Host>>(h.Index%16))&1 == 1 {
				hosts = append(hosts, h)
			}
		}
		endFault := r.record.markFaulty(hosts...)
		end := r.behaviors.add(func(h Host) faults.Behavior {
			if !slices.Contains(hosts, h) || r.chance() > f.Intensity {
				return faults.Normal
			}
			return b
		})
		return func() { end(); endFault() }
	}
}

// replacePause is the time for which a drained endpoint still serves before the next step.
const replacePause = 600 * time.Millisecond

// replacePlain drains a plain endpoint and starts another one at its address, in half of
// the cases after one of another service.
func replacePlain(r *run, f Fault) func() {
	h := r.plain(f.Host)
	if !r.reserve(h) {
		return nil
	}
	r.background.Go(func() {
		defer r.release(h)
		name, err := r.site.MarkLeaving(h.Index)
		if err != nil {
			r.addError(err)
			return
		}
		r.record.markLeaving(name)
		r.sleep(drainBound + replacePause)
		r.site.Remove(h.Index)
		for _, other := range []bool{f.Intensity < 0.5, false} {
			r.sleep(replacePause)
			if err := r.site.Replace(h.Index, other); err != nil {
				r.addError(err)
			}
			if !other {
				return
			}
			r.sleep(replacePause)
			r.site.Remove(h.Index)
		}
	})
	return nil
}

// replaceUnseen replaces a crashed plain endpoint by another service at its address while
// the platform is unreachable, so that no entry can detect it.
func replaceUnseen(r *run, f Fault) func() {
	h := r.plain(f.Host)
	if !r.reserve(h) {
		return nil
	}
	endFault := r.record.markFaulty(h, Host{Kind: Platform})
	end := r.platformFaults.add(func(int) faults.PlatformFaults { return faults.PlatformFaults{Silent: true} })
	r.background.Go(func() {
		defer r.release(h)
		r.site.ResetLinks(func(_, to Host) bool { return to == h })
		r.site.Remove(h.Index)
		if err := r.site.Replace(h.Index, true); err != nil {
			r.addError(err)
		}
		r.sleep(f.Duration)
		end()
		r.site.Remove(h.Index)
		if err := r.site.Replace(h.Index, false); err != nil {
			r.addError(err)
		}
		endFault()
	})
	return nil
}

func changeConfig(r *run, _ Fault) func() { r.configure(); return nil }

func configStorm(r *run, f Fault) func() {
	r.background.Go(func() {
		for range 3 + f.Host%5 {
			r.configure()
			r.sleep(time.Duration(f.Intensity * float64(300*time.Millisecond)))
		}
	})
	return nil
}

func surge(r *run, f Fault) func() {
	r.load.setSurge(1 + int(2*f.Intensity))
	return func() { r.load.setSurge(0) }
}
