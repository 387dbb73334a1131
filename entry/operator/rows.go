package operator

import (
	"time"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/endpoints"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/rendezvous"
	"github.com/siskinford/siskinford/operate/lang"
	"github.com/siskinford/siskinford/operate/table"
)

// rows returns this process's rows of a kind, none for kinds that it has no data of.
func (s *Service) rows(k lang.Kind, now time.Time) *table.Table {
	t := lang.NewTable(k)
	switch k {
	case lang.Services:
		t.Rows = s.services()
	case lang.Teams:
		t.Rows = s.teams()
	case lang.Endpoints:
		t.Rows = s.endpoints(now)
	case lang.Replicas:
		t.Rows = s.replicas(now)
	case lang.Configurations:
		t.Rows = s.configurations()
	case lang.Requests:
		t.Rows = s.deps.Requests.rows(s.deps.Host, now)
	case lang.Hosts:
		t.Rows = s.hosts(now)
	case lang.Zones:
		t.Rows = s.zones()
	case lang.Duties:
		t.Rows = s.duties()
	}
	return t
}

func (s *Service) services() []table.Row {
	n := s.deps.Snapshot()
	var out []table.Row
	for _, x := range n.Services() {
		out = append(out, table.Row{
			table.Text(x.Name), table.Text(x.Type), table.Text(x.Model), millis(x.Deadline()), table.Bool(x.Idempotent),
			table.Text(x.Group), table.Number(len(n.EndpointsOf(x.Name))), table.Number(n.Version(config.KindServices)),
		})
	}
	return out
}

func (s *Service) teams() []table.Row {
	n := s.deps.Snapshot()
	var out []table.Row
	for _, x := range n.Teams() {
		weight := x.Weight
		if weight == 0 {
			weight = 1
		}
		out = append(out, table.Row{
			table.Text(x.Name), table.Number(weight), table.Number(x.TokensPerSecond), table.List(x.Services),
			table.Number(len(x.KeyHashes)), table.Number(n.Version(config.KindTeams)),
		})
	}
	return out
}

// statuses returns the routing table's status of each endpoint that this entry uses.
func (s *Service) statuses(now time.Time) map[id.Endpoint]route.Status {
	out := make(map[id.Endpoint]route.Status)
	for _, service := range s.deps.Snapshot().Services() {
		for _, status := range s.deps.Status(service.Name, now) {
			out[status.Endpoint] = status
		}
	}
	return out
}

func (s *Service) endpoints(now time.Time) []table.Row {
	n := s.deps.Snapshot()
	statuses := s.statuses(now)
	var out []table.Row
	for _, e := range n.Endpoints() {
		row := table.Row{
			table.Text(e.Name), table.Text(e.Service), table.Text(e.Zone), table.Text(e.Host), table.Text(e.Address),
			weightValue(e), table.Bool(e.Drain),
		}
		row = append(row, s.endpointState(e, statuses), table.Value{}, table.Value{}, table.Value{}, table.Value{}, table.Value{})
		if seen, ok := s.deps.LastReport(e.Name); ok {
			row = append(row[:8], reportValues(seen, now)...)
		}
		out = append(out, append(row, table.Number(n.Version(config.KindEndpoints))))
	}
	return out
}

func (s *Service) endpointState(e config.Endpoint, statuses map[id.Endpoint]route.Status) table.Value {
	if status, ok := statuses[e.Name]; ok {
		return table.Text(status.Reason)
	}
	return table.Value{}
}

// reportValues returns queued, running, slots, step time and age of a report.
func reportValues(seen endpoints.ReceivedReport, now time.Time) table.Row {
	r := seen.Report
	step := time.Duration(r.StepTimeMicros) * time.Microsecond
	return table.Row{
		table.Number(r.Queued), table.Number(r.Running), table.Number(r.Slots), millis(step), millis(now.Sub(seen.At)),
	}
}

func weightValue(e config.Endpoint) table.Value {
	if e.Weight == nil {
		return table.Number(1.0)
	}
	return table.Number(*e.Weight)
}

// millis returns a duration in milliseconds, rounded to microseconds. Negative ages,
// of data recorded after now was read, become zero.
func millis(d time.Duration) table.Value {
	return table.Number(float64(max(d, 0).Microseconds()) / 1000)
}

func (s *Service) replicas(now time.Time) []table.Row {
	var out []table.Row
	for _, service := range s.deps.Snapshot().Services() {
		for _, x := range s.deps.Status(service.Name, now) {
			age := table.Value{}
			if x.Incarnation != "" {
				age = millis(x.ReportAge)
			}
			out = append(out, table.Row{
				table.Text(x.Endpoint), table.Text(s.deps.Host), table.Text(service.Name), table.Text(x.Zone), table.Text(x.Incarnation),
				table.Text(x.Reason), millis(x.Wait), millis(x.PredictionError), age, table.Number(x.OpenRequests), table.Number(x.OpenTokens),
			})
		}
	}
	return out
}

func (s *Service) configurations() []table.Row {
	n := s.deps.Snapshot()
	var out []table.Row
	for _, kind := range config.Kinds() {
		row := table.Row{table.Text(kind), table.Text(s.deps.Host), table.Number(n.Version(kind)), {}, {}}
		if envelope, err := config.DecodeEnvelope(n.Value(kind)); err == nil {
			row[3], row[4] = table.Text(envelope.Writer), table.Text(envelope.WrittenAt.UTC().Format(time.RFC3339Nano))
		}
		out = append(out, row)
	}
	return out
}

// maxReportAge is the age of the last report above which a host is shown as silent.
const maxReportAge = 3 * time.Second

func (s *Service) hosts(now time.Time) []table.Row {
	var out []table.Row
	by := table.Text(s.deps.Host)
	for _, p := range s.deps.Members.Members() {
		out = append(out, table.Row{
			table.Text(p.Host), table.Text(s.deps.Zone), table.Text("entry"), table.Text(p.Address), table.Text(p.State.String()), by,
		})
	}
	for _, e := range s.deps.Snapshot().Endpoints() {
		state := table.Value{}
		if seen, ok := s.deps.LastReport(e.Name); ok {
			state = table.Text(member.Alive.String())
			if now.Sub(seen.At) > maxReportAge {
				state = table.Text("silent")
			}
		}
		out = append(out, table.Row{table.Text(e.Host), table.Text(e.Zone), table.Text("agent"), table.Text(e.Address), state, by})
	}
	return out
}

func (s *Service) zones() []table.Row {
	by := table.Text(s.deps.Host)
	out := []table.Row{{
		table.Text(s.deps.Zone), by, table.Bool(true), table.Number(len(s.deps.Members.Live())), table.Number(0),
	}}
	for _, z := range s.deps.Members.Zones() {
		age := table.Value{}
		if z.Age > 0 {
			age = millis(z.Age)
		}
		out = append(out, table.Row{table.Text(z.Name), by, table.Bool(z.Reachable), table.Number(z.Alive), age})
	}
	return out
}

// duties returns the live entry of the zone that holds each duty, as computed here.
func (s *Service) duties() []table.Row {
	var live []id.Host
	for _, p := range s.deps.Members.Live() {
		live = append(live, p.Host)
	}
	var out []table.Row
	for _, key := range s.deps.Duties {
		holder, _ := rendezvous.First(key, live)
		out = append(out, table.Row{table.Text(key), table.Text(s.deps.Zone), table.Text(holder), table.Text(s.deps.Host)})
	}
	return out
}
