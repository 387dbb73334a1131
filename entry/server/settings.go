package server

import "github.com/siskinford/siskinford/core/settings"

// Register registers the settings of an entry, with the values of c as defaults.
func (c *Config) Register(s *settings.Set) {
	settings.Text(s, &c.Host, "host", "Name of this machine", settings.Required())
	settings.Text(s, &c.Zone, "zone", "Availability zone of this machine", settings.Required())
	settings.Text(s, &c.Region, "region", "Region of the availability zone")
	s.Address(&c.CallerListen, "caller-listen", "TCP address for callers")
	s.Address(&c.OperatorListen, "operator-listen", "TCP address for operators")
	s.Address(&c.PeerListen, "peer-listen", "UDP address for other entries")
	s.Address(&c.PeerAddress, "peer-address", "UDP address under which other entries reach this one; empty means peer-listen")
	settings.Text(s, &c.Policy, "policy", "Routing policy: predicted-time, round-robin or least-connections")
	s.Duration(&c.ReadyDelay, "ready-delay", "Time between failing /readyz and refusing connections at shutdown")
	s.Bool(&c.Admission, "admission", "Refuse requests that cannot meet their deadline, and share capacity between teams")
	s.Duration(&c.KeyRetention, "key-retention", "Age at which an idempotency key made by a caller expires")
	s.String(&c.Operator.KeyHashes, "operator-key-hash", "Operators as NAME=SHA256 of the operator's key, separated by commas; empty refuses all")
	s.Int(&c.Operator.Rate, "operator-rate", "questions per second", "Questions that operators may ask")
	s.Int(&c.Events, "events", "events", "Events that the time line keeps")
	s.Int(&c.Caller.MaxTokens, "max-tokens", "tokens", "Largest answer that a caller may ask for")
	s.Int(&c.Caller.MaxHeaderBytes, "max-header-bytes", "bytes", "Largest header of a caller's request")
	s.Duration(&c.Dispatch.RecoveryTimeout, "recovery-timeout", "Time in which a started answer must be found again after a lost connection")
	s.Int(&c.Endpoints.MaxEndpoints, "max-endpoints", "endpoints", "Endpoints that the entry uses at most")
	s.Int(&c.Endpoints.ReportBudget, "report-budget", "bytes/s", "Bound of the load reports of all endpoints together")
	s.Int(&c.Endpoints.RemoteEndpoints, "remote-endpoints", "endpoints", "Endpoints of each service used in each other zone")
	s.Duration(&c.Endpoints.ReportInterval, "report-interval", "Time between load reports of endpoints in the own zone")
	s.Duration(&c.Limits.Interval, "limit-interval", "Time between exchanges of the teams' limits; 2s above 16 entries of a zone")
	s.Int(&c.Limits.Zones, "limit-zones", "zones", "Greatest number of zones that run at a time, for the floors of limits")
	s.Int(&c.Limits.EntriesPerZone, "limit-entries-per-zone", "entries", "Greatest number of entries of a zone that run at a time, for the floors of limits")
	s.Duration(&c.Link.SilenceTimeout, "silence-timeout", "Time without any message after which a connection is abandoned")
	s.Duration(&c.Link.ProbeInterval, "probe-interval", "Time between probes of a connection")
	c.Groups.Register(s)
}
