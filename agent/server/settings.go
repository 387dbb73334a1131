package server

import "github.com/siskinford/siskinford/core/settings"

// Register registers the settings of an agent, with the values of c as defaults.
func (c *Config) Register(s *settings.Set) {
	settings.Text(s, &c.Endpoint, "endpoint", "Name of the endpoint as configured by the operators", settings.Required())
	settings.Text(s, &c.Host, "host", "Name of this machine", settings.Required())
	s.Address(&c.Listen, "listen", "UDP address for entries")
	s.Address(&c.OperatorListen, "operator-listen", "TCP address for operators")
	s.Int(&c.Slots, "slots", "attempts", "Attempts that run at the same time")
	s.Int(&c.MaxQueue, "max-queue", "attempts", "Attempts that may wait for a slot")
	settings.Text(s, &c.QueuePolicy, "queue-policy", "Order in which waiting attempts start: short-first or fifo")
	s.Duration(&c.TicketLifetime, "ticket-lifetime", "Time for which a ticket may be used")
	s.Duration(&c.ReportInterval, "report-interval", "Shortest time between load reports to one entry")
	s.Duration(&c.EnginePoll, "engine-poll", "Time between readings of the engine's load")
	s.Duration(&c.Ledger.ActionRetention, "action-retention", "Time for which a settled action is remembered")
	s.Duration(&c.Ledger.AttemptRetention, "attempt-retention", "Time for which a settled attempt without an action is remembered")
	s.Int(&c.Ledger.MaxActions, "max-actions", "actions", "Actions that the ledger remembers")
	s.Int(&c.Ledger.MaxAnswerBytes, "max-answer-bytes", "bytes", "Memory for kept answers")
}
