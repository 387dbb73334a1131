package quarantine

import "time"

// Config holds the settings of a Table. Zero values select the defaults.
type Config struct {
	// CollectTime is the time for which the losses at an endpoint that ended are collected
	// before parts are blamed. Default: 30 ms.
	CollectTime time.Duration
	// SettleTime is the time that entries have to vouch for a part before requests with it
	// are refused or tried. Default: 400 ms, some exchanges between entries.
	SettleTime time.Duration
	// ClaimTime is the time that other entries have to object to the claim of a trial.
	// Default: 250 ms.
	ClaimTime time.Duration
	// TrialTimeout is the time after which the claim of a trial without a result ends.
	// Default: 5 s.
	TrialTimeout time.Duration
	// Pause is the time from a block to the first trial, and between the trials of all blocked
	// parts. It grows by PauseGrowth with each trial of a part. Defaults: 1 min and 4.
	Pause       time.Duration
	PauseGrowth int
	// MaxTrials bounds the trials of a blocked part. Default: 3.
	MaxTrials int
	// RepeatAnswers is the number of answers since the last end blamed on a part with which an
	// entry vouches for it once more. For the first end, one suffices. Default: 8.
	RepeatAnswers int
	// ForgetAfter is the time without requests after which a record is dropped. Default: 1 h.
	ForgetAfter time.Duration
	// MaxRecords bounds the records, MaxAnswered the parts whose answers are remembered. Defaults: 4096, more than a
	// request head of 16 KB has parts, and 8192.
	MaxRecords, MaxAnswered int
	// MaxShared bounds the records that other entries are sent whole. The rest is sent as hashes. Default: 64.
	MaxShared int
}

func (c Config) withDefaults() Config {
	setDefault(&c.CollectTime, 30*time.Millisecond)
	setDefault(&c.SettleTime, 400*time.Millisecond)
	setDefault(&c.ClaimTime, 250*time.Millisecond)
	setDefault(&c.TrialTimeout, 5*time.Second)
	setDefault(&c.Pause, time.Minute)
	setDefault(&c.PauseGrowth, 4)
	setDefault(&c.MaxTrials, 3)
	setDefault(&c.RepeatAnswers, 8)
	setDefault(&c.ForgetAfter, time.Hour)
	setDefault(&c.MaxRecords, 4096)
	setDefault(&c.MaxAnswered, 8192)
	setDefault(&c.MaxShared, 64)
	return c
}

func setDefault[T int | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}
