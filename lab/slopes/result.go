package slopes

// Mode is how configuration reaches the entries.
type Mode string

const (
	// ModeZoneReader is the production mode: one watch per zone, push to peers, and
	// recovery from peers before the platform.
	ModeZoneReader Mode = "zone-reader"
	// ModePlatformRecovery is ModeZoneReader with recovery only from the platform.
	ModePlatformRecovery Mode = "zone-reader, recovery from platform"
	// ModeDirectPush is ModeZoneReader with a direct push from the reader to all hosts.
	ModeDirectPush Mode = "zone-reader, direct push"
	// ModeWatchEach is the baseline: each entry watches the platform.
	ModeWatchEach Mode = "watch of each entry"
)

// Millis is a duration in milliseconds.
type Millis float64

// Propagation is the cost and latency of configuration changes.
type Propagation struct {
	Mode  Mode    `json:"mode"`
	Nodes int     `json:"nodes"`
	Zones int     `json:"zones"`
	Loss  float64 `json:"loss"`
	// IdleCallsPerSecond counts platform calls of all entries while nothing changes.
	IdleCallsPerSecond float64 `json:"idle_platform_calls_per_second"`
	// CallsPerChange counts platform calls of all entries, without the idle ones.
	CallsPerChange float64 `json:"platform_calls_per_change"`
	// InForceMedian and InForceMax are the time until a change is in force everywhere.
	InForceMedian Millis `json:"in_force_everywhere_median_ms"`
	InForceMax    Millis `json:"in_force_everywhere_max_ms"`
	// InForceReaderDead is the time until a change is in force on all surviving
	// entries if a zone's reader dies just before it. It is zero without readers.
	InForceReaderDead Millis `json:"dead_reader_in_force_ms"`
	// Missed counts changes that were not in force everywhere within inForceBound.
	Missed int `json:"changes_not_in_force_within_19s"`
	// MaxSentPerChange is the maximum over entries and changes, in bytes.
	MaxSentPerChange float64 `json:"max_bytes_sent_by_an_entry_per_change"`
}

// MembershipCost is the cost per entry of failure detection and digests, without changes.
type MembershipCost struct {
	Nodes int     `json:"nodes"`
	Zones int     `json:"zones"`
	Loss  float64 `json:"loss"`
	// SentMean, SentMax and ReceivedMean are payload bytes per node and second.
	SentMean     float64 `json:"sent_bytes_per_second_mean"`
	SentMax      float64 `json:"sent_bytes_per_second_max"`
	ReceivedMean float64 `json:"received_bytes_per_second_mean"`
	// CallsMean is the mean number of calls per entry and second.
	CallsMean float64 `json:"calls_per_second_mean"`
	// CorePercent is CPU time per node, in percent of a core. It includes the
	// simulated network.
	CorePercent float64 `json:"core_percent"`
	// HeapBytes is the live heap per node, including the simulated network.
	HeapBytes float64 `json:"heap_bytes"`
}

// Detection is how fast and how accurately a zone detects a fault of one entry.
type Detection struct {
	Fault  string `json:"fault"`
	Nodes  int    `json:"nodes"`
	Rounds int    `json:"rounds"`
	// SuspectFirst and SuspectAll are the maximum times until the first and until
	// all peers gave the host no new work, as they suspected it. Zero means never.
	SuspectFirst Millis `json:"first_without_new_work_max_ms"`
	SuspectAll   Millis `json:"all_without_new_work_max_ms"`
	// DeadAll is the maximum time until all peers declared the host dead.
	DeadAll Millis `json:"all_dead_max_ms"`
	// FalseSuspicions counts healthy hosts that were suspected, FalseDeaths running
	// or briefly paused hosts that were declared dead, each at most once per round.
	FalseSuspicions int `json:"false_suspicions"`
	FalseDeaths     int `json:"false_deaths"`
	// ObservedHostSeconds is the observation time, summed over hosts and rounds.
	ObservedHostSeconds float64 `json:"observed_host_seconds"`
}

// Outage is the platform load and recovery time of a platform outage.
type Outage struct {
	Mode    Mode    `json:"mode"`
	Nodes   int     `json:"nodes"`
	Zones   int     `json:"zones"`
	Seconds float64 `json:"outage_seconds"`
	// CallsDuring counts calls in the outage, CallsFirst10s those in the ten seconds
	// after it, and PeakCalls the most in any of these seconds.
	CallsDuring   int `json:"calls_in_outage"`
	CallsFirst10s int `json:"calls_in_first_10s"`
	PeakCalls     int `json:"peak_calls_in_a_second"`
	// InForce is the time from the end of the outage until a change made during it
	// is in force everywhere.
	InForce Millis `json:"in_force_everywhere_ms"`
}

// HeapCost is the heap use per object of a kind.
type HeapCost struct {
	Object string  `json:"object"`
	Count  int     `json:"count"`
	Bytes  float64 `json:"bytes_each"`
}

// MessageSize is the encoded size of a message.
type MessageSize struct {
	Message string `json:"message"`
	Bytes   int    `json:"bytes"`
}

// ApplyCost is the cost of applying and transferring a configuration at one entry.
type ApplyCost struct {
	Kind    string `json:"kind"`
	Objects int    `json:"objects"`
	// ValueBytes is the size in the platform, DeflatedBytes that sent between entries.
	ValueBytes    int `json:"value_bytes"`
	DeflatedBytes int `json:"deflated_bytes"`
	// ApplyCPU is the CPU time of decoding and indexing.
	ApplyCPU          Millis `json:"apply_cpu_ms"`
	DeflateInflateCPU Millis `json:"deflate_and_inflate_cpu_ms"`
}

// WireCost is the traffic and CPU time of messages over QUIC.
type WireCost struct {
	Operation string `json:"what"`
	Count     int    `json:"count"`
	// Packets, Bytes and CPU are per operation and cover both directions and both
	// ends. Bytes include IP and UDP headers.
	Packets float64 `json:"packets_each"`
	Bytes   float64 `json:"bytes_each"`
	CPU     Millis  `json:"cpu_ms_each"`
}

// Result holds all measurements.
type Result struct {
	Seed        uint64           `json:"seed"`
	Processors  int              `json:"processors"`
	Propagation []Propagation    `json:"spread"`
	Membership  []MembershipCost `json:"membership"`
	Detection   []Detection      `json:"notice"`
	Outage      []Outage         `json:"outage"`
	Memory      []HeapCost       `json:"memory"`
	Sizes       []MessageSize    `json:"sizes"`
	Apply       []ApplyCost      `json:"apply"`
	Wire        []WireCost       `json:"wire"`
}
