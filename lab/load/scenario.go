package load

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/lab/procs"
)

// Variant is a configuration of entries and agents to compare.
type Variant struct {
	Name                 string
	EntryArgs, AgentArgs []string
}

// Scenario is a workload and the variants to compare under it.
type Scenario struct {
	Name        string
	Description string
	Workload    Workload
	Variants    []Variant
	// Models is the number of model endpoints, each with Slots slots.
	Models, Slots int
	// EngineArgs are appended to each engine's command line.
	EngineArgs []string
	// Fault injects a fault at FaultAt. It may be nil.
	Fault   func(c *procs.Cluster)
	FaultAt time.Duration
}

// deadline is the service's deadline for the first token.
const deadline = time.Second

var zones = []id.Zone{"lima-a", "lima-b", "lima-c"}

// routingVariants returns one variant for each routing policy.
func routingVariants() []Variant {
	return []Variant{
		{Name: "predicted-time"},
		{Name: "least-connections", EntryArgs: []string{"--policy=least-connections"}},
		{Name: "round-robin", EntryArgs: []string{"--policy=round-robin"}},
	}
}

// baseScenario is the template of all scenarios. 8 endpoints of 8 slots, with 20 ms
// per step and 20 tokens per response, serve 160 requests per second.
func baseScenario() Scenario {
	return Scenario{
		Workload: Workload{Duration: 12 * time.Second, Rate: 80, ShortTokens: 20, Teams: 1},
		Models:   8, Slots: 8,
		EngineArgs: []string{"--step-time=20ms", "--load-lag=250ms"},
		Variants:   routingVariants(),
	}
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	steady := baseScenario()
	steady.Name, steady.Description = "steady", "steady load at half of capacity"

	swing := baseScenario()
	swing.Name, swing.Description = "swing", "load rises by a factor of 4 within 2 s, to 1.5 times capacity"
	swing.Workload.Rate, swing.Workload.SwingFactor = 60, 4
	swing.Workload.SwingStart, swing.Workload.SwingDuration, swing.Workload.SwingRamp = 3*time.Second, 8*time.Second, 2*time.Second
	swing.Workload.Duration = 14 * time.Second
	swing.Variants = append(admissionVariants(), routingVariants()[1:]...)

	overload := baseScenario()
	overload.Name, overload.Description = "overload", "twice the capacity"
	overload.Workload.Rate = 320
	overload.Variants = admissionVariants()

	heavy := baseScenario()
	heavy.Name, heavy.Description = "heavy", "3 in 100 requests are 50 times longer"
	heavy.Workload.Rate, heavy.Workload.LongShare, heavy.Workload.LongFactor = 50, 0.03, 50
	heavy.Workload.Duration = 30 * time.Second
	heavy.Variants = []Variant{
		{Name: "short-first"},
		{Name: "fifo", AgentArgs: []string{"--queue-policy=fifo"}},
	}

	prefix := baseScenario()
	prefix.Name, prefix.Description = "prefix", "prompts share prefixes, prefill costs time"
	prefix.Workload.Prefixes, prefix.Workload.PrefixWords = 40, 320
	prefix.EngineArgs = append(prefix.EngineArgs, "--prefill-time=100us")

	slow := baseScenario()
	slow.Name, slow.Description = "slow", "one endpoint becomes slower by a factor of 5"
	slow.Fault, slow.FaultAt = slowFirstEngine, 4*time.Second

	zone := baseScenario()
	zone.Name, zone.Description = "zone", "a zone is lost at the crest of a swing"
	zone.Workload = swing.Workload
	zone.Fault, zone.FaultAt = killLastZone, 6*time.Second

	greedy := baseScenario()
	greedy.Name, greedy.Description = "greedy", "one of four teams sends ten times as much, at 1.5 times capacity"
	greedy.Workload.Teams, greedy.Workload.GreedyFactor, greedy.Workload.Rate = 4, 10, 240
	greedy.Variants = admissionVariants()

	return []Scenario{steady, swing, overload, heavy, prefix, slow, zone, greedy}
}

// admissionVariants returns admission control and an unbounded queue as its baseline.
func admissionVariants() []Variant {
	return []Variant{
		{Name: "admission"},
		{Name: "unbounded", EntryArgs: []string{"--admission=false"}, AgentArgs: []string{"--max-queue=100000"}},
	}
}
