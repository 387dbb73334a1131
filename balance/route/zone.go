package route

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// ZoneSummary is the load of one zone for one service, as entries exchange it.
type ZoneSummary struct {
	Service id.Service
	Zone    id.Zone
	// Ready counts the endpoints that may receive requests.
	Ready int
	// Wait is the average predicted time until a request starts.
	Wait time.Duration
	// Age is the time since the summary was computed, transit included.
	Age time.Duration
}

// SummarizeZone returns the load of a zone from the reports of its endpoints.
func (t *Table) SummarizeZone(service id.Service, zone id.Zone) (ZoneSummary, bool) {
	out := ZoneSummary{Service: service, Zone: zone}
	s := t.view.Load().services[service]
	if s == nil {
		return out, false
	}
	z := s.zone(zone)
	if z == nil {
		return out, false
	}
	out.Ready = len(z.ready)
	if n := z.load.ready.Load(); n > 0 {
		out.Wait = time.Duration(z.load.waitNanos.Load() / n)
	}
	return out, true
}

// SetZoneSummary records another zone's summary. While it is fresh it replaces the
// average of this entry's reports from the zone, so that an entry needs the reports
// of only a few endpoints of that zone.
func (t *Table) SetZoneSummary(r ZoneSummary, now time.Time) {
	s := t.view.Load().services[r.Service]
	if s == nil {
		return
	}
	z := s.zone(r.Zone)
	if z == nil {
		return
	}
	z.load.summary.Store(&zoneSummary{wait: r.Wait, computed: t.clock(now) - r.Age})
}
