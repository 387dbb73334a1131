package slopes

// Mode tells how configuration reaches the entries.
type Mode string

const (
	// ModeZoneReader is the product's way: one watch for each zone, push, and
	// recovery from peers first.
	ModeZoneReader Mode = "zone-reader"
	// ModePlatformRecovery is ModeZoneReader with recovery from the platform only.
	ModePlatformRecovery Mode = "zone-reader, recovery from platform"
	// ModeDirectPush is ModeZoneReader with a push from the reader to all hosts.
	ModeDirectPush Mode = "zone-reader, direct push"
	// ModeWatchEach is the baseline: each entry watches the platform.
	ModeWatchEach Mode = "watch of each entry"
)

// Millis is a time in milliseconds.
type Millis float64

// Propagation is the cost and delay of configuration changes.
type Propagation struct {
	Mode  Mode    `json:"mode"`
	Nodes int     `json:"nodes"`
	Zones int     `json:"zones"`
	Loss  float64 `json:"loss"`
	// IdleCallsPerSecond are calls to the platform without changes, of all entries.
	IdleCallsPerSecond float64 `json:"idle_platform_calls_per_second"`
	// CallsPerChange are calls to the platform for one change, of all entries.
	CallsPerChange float64 `json:"platform_calls_per_change"`
	// InForceMedian and Max are the time until a change is in force at all entries.
	InForceMedian Millis `json:"in_force_everywhere_median_ms"`
	InForceMax    Millis `json:"in_force_everywhere_max_ms"`
	// InForceReaderDead is the time until a change is in force at all others when the
	// reader of a zone dies just before it. It is zero without readers.
	InForceReaderDead Millis `json:"dead_reader_in_force_ms"`
	// Missed are changes that were not in force everywhere within the bound.
	Missed int `json:"changes_not_in_force_within_19s"`
	// MaxSentPerChange is the most that one entry sent for a change. Unit: bytes.
	MaxSentPerChange float64 `json:"max_bytes_sent_by_an_entry_per_change"`
}

// MembershipCost is the cost of liveness and digests for one entry, without changes.
type MembershipCost struct {
	Nodes int     `json:"nodes"`
	Zones int     `json:"zones"`
	Loss  float64 `json:"loss"`
	// SentMean, SentMax and ReceivedMean are payload bytes of a node and second.
	SentMean     float64 `json:"sent_bytes_per_second_mean"`
	SentMax      float64 `json:"sent_bytes_per_second_max"`
	ReceivedMean float64 `json:"received_bytes_per_second_mean"`
	// CallsMean are calls that an entry makes in a second, on average.
	CallsMean float64 `json:"calls_per_second_mean"`
	// CorePercent is processor time of a node, network of the bench included.
	// Unit: percent of a core.
	CorePercent float64 `json:"core_percent"`
	// HeapBytes is the heap in use for a node, network of the bench included. Unit: bytes.
	HeapBytes float64 `json:"heap_bytes"`
}

// Detection is how a fault of one entry is noticed by the others of its zone.
type Detection struct {
	Fault  string `json:"fault"`
	Nodes  int    `json:"nodes"`
	Rounds int    `json:"rounds"`
	// SuspectFirst and SuspectAll are the largest times until the first and
	// until all others gave the host no new work. Zero means never.
	SuspectFirst Millis `json:"first_without_new_work_max_ms"`
	SuspectAll   Millis `json:"all_without_new_work_max_ms"`
	// DeadAll is the largest time until all others declared the host dead.
	DeadAll Millis `json:"all_dead_max_ms"`
	// FalseSuspicions counts hosts suspected although they were not at fault,
	// and FalseDeaths hosts declared dead although they ran or were paused for
	// less than the bound, each counted once a round.
	FalseSuspicions int `json:"false_suspicions"`
	FalseDeaths     int `json:"false_deaths"`
	// ObservedHostSeconds is the time over which they were counted. Unit: host seconds.
	ObservedHostSeconds float64 `json:"observed_host_seconds"`
}

// Outage is the behaviour around an outage of the platform.
type Outage struct {
	Mode    Mode    `json:"mode"`
	Nodes   int     `json:"nodes"`
	Zones   int     `json:"zones"`
	Seconds float64 `json:"outage_seconds"`
	// CallsDuring are calls in the outage, First those in the ten seconds after the
	// return, and Peak the most in one of these seconds.
	CallsDuring   int `json:"calls_in_outage"`
	CallsFirst10s int `json:"calls_in_first_10s"`
	PeakCalls     int `json:"peak_calls_in_a_second"`
	// InForce is the time from the return until a change made in the outage is
	// in force everywhere.
	InForce Millis `json:"in_force_everywhere_ms"`
}

// HeapCost is the heap that one object costs.
type HeapCost struct {
	Object string `json:"object"`
	Count  int    `json:"count"`
	// Bytes is the heap for one object.
	Bytes float64 `json:"bytes_each"`
}

// MessageSize is the encoded size of a message.
type MessageSize struct {
	Message string `json:"message"`
	Bytes   int    `json:"bytes"`
}

// ApplyCost is the cost of bringing a configuration into force at one entry.
type ApplyCost struct {
	Kind    string `json:"kind"`
	Objects int    `json:"objects"`
	// ValueBytes and DeflatedBytes are the sizes in the platform and between entries.
	ValueBytes    int `json:"value_bytes"`
	DeflatedBytes int `json:"deflated_bytes"`
	// ApplyCPU is processor time for decoding and indexing, Pass for packing and unpacking.
	ApplyCPU          Millis `json:"apply_cpu_ms"`
	DeflateInflateCPU Millis `json:"deflate_and_inflate_cpu_ms"`
}

// WireCost is what messages cost as UDP packets over QUIC, headers of IP and UDP included.
type WireCost struct {
	Operation string `json:"what"`
	Count     int    `json:"count"`
	// Packets and Bytes are for one message or second, in both directions together.
	Packets float64 `json:"packets_each"`
	Bytes   float64 `json:"bytes_each"`
	// CPU is processor time of both ends for one message or second.
	CPU Millis `json:"cpu_ms_each"`
}

// Result holds all measured slopes.
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
