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

// strike begins a fault and returns what ends it. Nil ends by itself.
type strike func(r *run, f Fault) (end func())

// kinds are all faults by name.
var kinds = map[string]strike{
	"an entry is killed":                                        killEntry,
	"the entry that last wrote is killed":                       func(r *run, f Fault) func() { f.Host = r.writer(f); return killEntry(r, f) },
	"all entries are killed":                                    killAll,
	"an entry freezes":                                          freezeEntry,
	"the entry that last wrote freezes":                         func(r *run, f Fault) func() { f.Host = r.writer(f); return freezeEntry(r, f) },
	"an entry is stopped":                                       stopEntry,
	"entries are stopped in turn":                               stopInTurn,
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
	"the platform turns some entries away":                      turnAway(faults.PlatformFaults{Silent: true}),
	"the platform refuses some entries":                         turnAway(faults.PlatformFaults{Busy: true}),
	"the platform forgets its history":                          compact,
	"a zone is cut off":                                         cutZone(faultproxy.Faults{CutToTarget: true, CutToClient: true}),
	"a zone is cut off one way":                                 cutZone(faultproxy.Faults{CutToTarget: true}),
	"a zone's connections are refused":                          cutZone(faultproxy.Faults{Refuse: true, Loss: 1}),
	"an entry is cut off from the others":                       cutPeers,
	"an entry loses packets to the others":                      losePackets,
	"an endpoint goes dark":                                     darkEndpoint,
	"an endpoint's connections are reset":                       resetEndpoint,
	"an endpoint's connections fall silent":                     silenceEndpoint,
	"all connections between entries and back ends fall silent": silenceAll,
	"clients' connections are reset":                            resetClients,
	"links are slow":                                            slowLinks,
	"plain endpoints lose answers":                              behave(Plain, faults.LoseAnswer),
	"plain endpoints fail":                                      behave(Plain, faults.Fail),
	"plain endpoints hang":                                      behave(Plain, faults.Hang),
	"plain endpoints tear answers":                              behave(Plain, faults.Truncate),
	"plain endpoints answer twice":                              behave(Plain, faults.DuplicateAnswer),
	"plain endpoints confuse answers":                           behave(Plain, faults.WrongRequestID),
	"plain endpoints leave out signatures":                      behave(Plain, faults.Unsigned),
	"plain endpoints refuse":                                    behave(Plain, faults.Refuse),
	"streams are torn":                                          behave(Model, faults.Truncate),
	"streams have no length and are torn":                       behave(Model, faults.CloseDelimited),
	"plain endpoints answer without a length":                   behave(Plain, faults.CloseDelimited),
	"streams hang":                                              behave(Model, faults.Hang),
	"a plain endpoint is replaced":                              replacePlain,
	"a plain endpoint is replaced unseen":                       replaceUnseen,
	"the configuration changes":                                 changeConfig,
	"configurations come in quick succession":                   configStorm,
	"many clients come at once":                                 burst,
}

func faultNames() []string { return slices.Sorted(maps.Keys(kinds)) }

// planned are the kinds of planned work, which also come while nothing else is
// wrong: what they promise is judged then.
var planned = []string{
	"a plain endpoint is replaced", "an entry is stopped", "the configuration changes", "configurations come in quick succession",
	"an entry is told that settings changed",
}

// writer returns the entry that last wrote to the platform, or the fault's own.
func (r *run) writer(f Fault) int {
	if w := r.site.LastWriter(); w >= 0 {
		return w
	}
	return f.Host
}

func (r *run) entry(n int) Host { return Host{Entry, n % r.plan.Shape.Entries} }
func (r *run) rank(n int) Host  { return Host{Model, n % r.plan.Shape.Ranks} }
func (r *run) plain(n int) Host { return Host{Plain, n % r.plan.Shape.Plains} }

func killEntry(r *run, f Fault) func() { return r.kill(r.entry(f.Host)) }

// kill ends a host's process at once. The end of the fault starts it again.
func (r *run) kill(h Host) func() {
	calm := r.record.trouble(h)
	r.down(h) // Whoever else keeps it down finds it ended.
	p := r.site.Process(h)
	r.expect(p)
	p.Kill()
	return func() { r.up(h); r.awaitReady(h); calm() }
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
	calm := r.record.trouble(h)
	p := r.site.Process(h)
	p.Suspend()
	return func() { p.Resume(); calm() }
}

func killRelay(r *run, f Fault) func()   { return r.kill(r.rank(f.Host)) }
func freezeRelay(r *run, f Fault) func() { return r.freeze(r.rank(f.Host)) }

// stopEntry asks an entry to end and starts it again once it has.
func stopEntry(r *run, f Fault) func() {
	r.background.Go(func() { r.stop(r.entry(f.Host)) })
	return nil
}

func stopInTurn(r *run, f Fault) func() {
	r.background.Go(func() {
		for i := range 2 {
			r.stop(r.entry(f.Host + i))
		}
	})
	return nil
}

// stop is planned work: while nothing else happens, no request may be lost by it.
func (r *run) stop(h Host) {
	if !r.down(h) {
		return
	}
	p := r.site.Process(h)
	r.expect(p)
	done := r.record.stop(h.Index)
	p.Signal(stopSignal)
	r.background.Go(func() { r.checkListening(h, time.Now()) })
	ctx, cancel := context.WithTimeout(context.Background(), graceBound)
	defer cancel()
	began := time.Now()
	if _, err := p.Wait(ctx); err != nil {
		if r.record.undisturbed(began, time.Now(), h) {
			r.record.violate(Violation{Promise: promiseEnd, Detail: fmt.Sprintf("%v: %v", h, err)})
		}
		p.Kill()
	}
	done()
	calm := r.record.trouble(h) // It starts anew, which it has to cope with.
	r.up(h)
	r.awaitReady(h)
	calm()
}

// listenInterval is the time between looks whether a leaving entry listens.
const listenInterval = 100 * time.Millisecond

// checkListening checks that a leaving entry accepts connections until the platform
// can have noticed that it leaves.
func (r *run) checkListening(h Host, since time.Time) {
	for time.Since(since) < noticeBound {
		if !r.site.Listens(h.Index) {
			if r.record.undisturbed(since, time.Now(), h) {
				r.record.violate(Violation{Promise: promiseListen, Detail: fmt.Sprintf("%v refused a connection %v after it was asked to end", h, time.Since(since))})
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

// loseRank takes a rank with the relay beside it away.
func loseRank(r *run, f Fault) func() {
	h := r.rank(f.Host)
	back := r.kill(h)
	r.loss.Lock()
	r.lost[h.Index]++
	r.loss.Unlock()
	r.site.Group().Lose(h.Index)
	return func() {
		r.loss.Lock()
		r.lost[h.Index]--
		if r.lost[h.Index] == 0 {
			r.site.Group().Return(h.Index)
		}
		r.loss.Unlock()
		back()
	}
}

func lateOrders(r *run, f Fault) func() {
	r.site.Group().ApplyLate(0.1+0.5*f.Intensity, time.Duration(float64(2*time.Second)*f.Intensity))
	return func() { r.site.Group().ApplyLate(0, 0) }
}

func shiftDemand(r *run, _ Fault) func() { r.site.Group().Shift(); return nil }

func platform(t faults.PlatformFaults) strike {
	return func(r *run, _ Fault) func() {
		calm := r.record.trouble(Host{Kind: Platform})
		end := r.troubles.add(func(int) faults.PlatformFaults { return t })
		return func() { end(); calm() }
	}
}

// turnedFor is the time for which the platform turns entries away, longer than
// those may take to learn of a configuration from others.
const turnedFor = configBound + configOuter + 2*time.Second

// turnAway makes the platform turn every other entry away while it serves the rest.
func turnAway(t faults.PlatformFaults) strike {
	return func(r *run, f Fault) func() {
		calm := r.record.trouble(Host{Kind: RejectedEntries})
		end := r.troubles.add(func(entry int) faults.PlatformFaults {
			if (entry+f.Host)%2 == 0 {
				return t
			}
			return faults.PlatformFaults{}
		})
		r.background.Go(func() {
			r.sleep(turnedFor / 4)
			r.configure()
			r.sleep(turnedFor * 3 / 4)
			end()
			calm()
		})
		return nil
	}
}

func compact(r *run, _ Fault) func() {
	calm := r.record.trouble(Host{Kind: Platform})
	r.site.CompactPlatform()
	return calm
}

// links strikes links until the returned function is called.
func (r *run) strikeLinks(hosts []Host, of func(from, to Host) faultproxy.Faults) func() {
	calm := r.record.trouble(hosts...)
	end := r.links.add(of)
	return func() { end(); calm() }
}

func cutZone(x faultproxy.Faults) strike {
	return func(r *run, f Fault) func() {
		zone := f.Host % r.plan.Shape.Zones
		hosts := append(r.allHosts(), Host{Kind: Platform})
		return r.strikeLinks(hosts, func(from, to Host) faultproxy.Faults {
			if from.Kind == Clients || (r.site.Zone(from) == zone) == (r.site.Zone(to) == zone) {
				return faultproxy.Faults{}
			}
			return x
		})
	}
}

// entries returns all entries, which a fault of a link between two of them concerns.
func (r *run) entries() []Host {
	var out []Host
	for i := range r.plan.Shape.Entries {
		out = append(out, r.entry(i))
	}
	return out
}

// allHosts returns every host with a process or a back end.
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
	return r.strikeLinks(r.entries(), func(from, to Host) faultproxy.Faults {
		cut := from.Kind == Entry && to.Kind == Entry && (from == h || to == h)
		return faultproxy.Faults{CutToTarget: cut, CutToClient: cut && f.Intensity < 0.5}
	})
}

func losePackets(r *run, f Fault) func() {
	h := r.entry(f.Host)
	return r.strikeLinks(r.entries(), func(from, to Host) faultproxy.Faults {
		if to != h || from.Kind != Entry {
			return faultproxy.Faults{}
		}
		return faultproxy.Faults{Loss: f.Intensity / 2, Duplicate: f.Intensity / 4, Reorder: f.Intensity / 4}
	})
}

// endpoint picks a rank or a plain endpoint.
func (r *run) endpoint(f Fault) Host {
	if f.Other%2 == 0 {
		return r.rank(f.Host)
	}
	return r.plain(f.Host)
}

func darkEndpoint(r *run, f Fault) func() {
	h := r.endpoint(f)
	return r.strikeLinks([]Host{h}, func(_, to Host) faultproxy.Faults {
		return faultproxy.Faults{CutToTarget: to == h, CutToClient: to == h}
	})
}

func resetEndpoint(r *run, f Fault) func() {
	h := r.endpoint(f)
	calm := r.record.trouble(h)
	r.site.ResetLinks(func(_, to Host) bool { return to == h })
	return calm
}

func silenceEndpoint(r *run, f Fault) func() {
	h := r.endpoint(f)
	calm := r.record.trouble(h)
	r.site.BlackholeLinks(func(_, to Host) bool { return to == h })
	return calm
}

func silenceAll(r *run, _ Fault) func() {
	calm := r.record.trouble(r.allHosts()...)
	r.site.BlackholeLinks(func(from, _ Host) bool { return from.Kind == Entry })
	return calm
}

func resetClients(r *run, f Fault) func() {
	h := r.entry(f.Host)
	calm := r.record.trouble(h, Host{Kind: Clients})
	r.site.ResetLinks(func(from, to Host) bool { return from.Kind == Clients && to == h })
	return calm
}

func slowLinks(r *run, f Fault) func() {
	delay := time.Duration(f.Intensity * float64(60*time.Millisecond))
	return r.strikeLinks(r.allHosts(), func(from, _ Host) faultproxy.Faults { return faultproxy.Faults{Delay: delay} })
}

// behave makes some back ends of a kind treat some requests badly.
func behave(kind HostKind, b faults.Behavior) strike {
	return func(r *run, f Fault) func() {
		var hosts []Host
		for _, h := range r.allHosts() {
			if h.Kind == kind && (f.Host>>(h.Index%16))&1 == 1 {
				hosts = append(hosts, h)
			}
		}
		calm := r.record.trouble(hosts...)
		end := r.behaviors.add(func(h Host) faults.Behavior {
			if !slices.Contains(hosts, h) || r.chance() > f.Intensity {
				return faults.Normal
			}
			return b
		})
		return func() { end(); calm() }
	}
}

// lingering is the time for which an endpoint that left still serves.
const lingering = 600 * time.Millisecond

// replacePlain lets a plain endpoint leave and puts another one at its address,
// half of the time of another service first.
func replacePlain(r *run, f Fault) func() {
	h := r.plain(f.Host)
	if !r.down(h) {
		return nil
	}
	r.background.Go(func() {
		defer r.free(h)
		name, err := r.site.MarkLeaving(h.Index)
		if err != nil {
			r.fail(err)
			return
		}
		r.record.leave(name)
		r.sleep(drainBound + lingering)
		r.site.Remove(h.Index)
		for _, other := range []bool{f.Intensity < 0.5, false} {
			r.sleep(lingering)
			if err := r.site.Replace(h.Index, other); err != nil {
				r.fail(err)
			}
			if !other {
				return
			}
			r.sleep(lingering)
			r.site.Remove(h.Index)
		}
	})
	return nil
}

// replaceUnseen lets a plain endpoint crash and another service take its address,
// while no entry can hear of that.
func replaceUnseen(r *run, f Fault) func() {
	h := r.plain(f.Host)
	if !r.down(h) {
		return nil
	}
	calm := r.record.trouble(h, Host{Kind: Platform})
	end := r.troubles.add(func(int) faults.PlatformFaults { return faults.PlatformFaults{Silent: true} })
	r.background.Go(func() {
		defer r.free(h)
		r.site.ResetLinks(func(_, to Host) bool { return to == h })
		r.site.Remove(h.Index)
		if err := r.site.Replace(h.Index, true); err != nil {
			r.fail(err)
		}
		r.sleep(f.Duration)
		end()
		r.site.Remove(h.Index)
		if err := r.site.Replace(h.Index, false); err != nil {
			r.fail(err)
		}
		calm()
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

func burst(r *run, f Fault) func() {
	r.load.crowd(1 + int(2*f.Intensity))
	return func() { r.load.crowd(0) }
}
