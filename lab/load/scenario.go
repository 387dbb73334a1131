package load

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/lab/procs"
)

// Variant is one configuration of the product under a scenario's load.
type Variant struct {
	Name                 string
	EntryArgs, AgentArgs []string
}

// Scenario is a load with the variants that are compared under it.
type Scenario struct {
	Name        string
	Description string
	Workload    Workload
	Variants    []Variant
	// Models is the number of model endpoints, Slots the slots of each.
	Models, Slots int
	// EngineArgs are added to the command lines of the engines.
	EngineArgs []string
	// Fault strikes at FaultAt. It may be nil.
	Fault   func(c *procs.Cluster)
	FaultAt time.Duration
}

// deadline is the service's deadline to the first token in the scenarios.
const deadline = time.Second

var zones = []id.Zone{"lima-a", "lima-b", "lima-c"}

// routing compares the routing policies.
func routing() []Variant {
	return []Variant{
		{Name: "predicted-time"},
		{Name: "least-connections", EntryArgs: []string{"--policy=least-connections"}},
		{Name: "round-robin", EntryArgs: []string{"--policy=round-robin"}},
	}
}

// base is the load that the scenarios vary. With 8 endpoints of 8 slots, 20 ms a
// step and 20 tokens an answer, capacity is 160 requests a second.
func base() Scenario {
	return Scenario{
		Workload: Workload{Duration: 12 * time.Second, Rate: 80, ShortTokens: 20, Teams: 1},
		Models:   8, Slots: 8,
		EngineArgs: []string{"--step-time=20ms", "--load-lag=250ms"},
		Variants:   routing(),
	}
}

// Scenarios returns all scenarios by name.
func Scenarios() []Scenario {
	steady := base()
	steady.Name, steady.Description = "steady", "steady load at half of capacity"

	swing := base()
	swing.Name, swing.Description = "swing", "load rises by a factor of 4 within 2 s, to 1.5 times capacity"
	swing.Workload.Rate, swing.Workload.SwingFactor = 60, 4
	swing.Workload.SwingStart, swing.Workload.SwingDuration, swing.Workload.SwingRamp = 3*time.Second, 8*time.Second, 2*time.Second
	swing.Workload.Duration = 14 * time.Second
	swing.Variants = append(admission(), routing()[1:]...)

	overload := base()
	overload.Name, overload.Description = "overload", "twice the capacity"
	overload.Workload.Rate = 320
	overload.Variants = admission()

	heavy := base()
	heavy.Name, heavy.Description = "heavy", "3 in 100 requests are 50 times longer"
	heavy.Workload.Rate, heavy.Workload.LongShare, heavy.Workload.LongFactor = 50, 0.03, 50
	heavy.Workload.Duration = 30 * time.Second
	heavy.Variants = []Variant{
		{Name: "short-first"},
		{Name: "fifo", AgentArgs: []string{"--queue-policy=fifo"}},
	}

	prefix := base()
	prefix.Name, prefix.Description = "prefix", "prompts share prefixes, prefill costs time"
	prefix.Workload.Prefixes, prefix.Workload.PrefixWords = 40, 320
	prefix.EngineArgs = append(prefix.EngineArgs, "--prefill-time=100us")

	slow := base()
	slow.Name, slow.Description = "slow", "one endpoint becomes slower by a factor of 5"
	slow.Fault, slow.FaultAt = slowDown, 4*time.Second

	zone := base()
	zone.Name, zone.Description = "zone", "a zone is lost at the crest of a swing"
	zone.Workload = swing.Workload
	zone.Fault, zone.FaultAt = loseZone, 6*time.Second

	greedy := base()
	greedy.Name, greedy.Description = "greedy", "one of four teams sends ten times as much, at 1.5 times capacity"
	greedy.Workload.Teams, greedy.Workload.GreedyFactor, greedy.Workload.Rate = 4, 10, 240
	greedy.Variants = admission()

	return []Scenario{steady, swing, overload, heavy, prefix, slow, zone, greedy}
}

// admission compares admission control with an unbounded queue.
func admission() []Variant {
	return []Variant{
		{Name: "admission"},
		{Name: "unbounded", EntryArgs: []string{"--admission=false"}, AgentArgs: []string{"--max-queue=100000"}},
	}
}
