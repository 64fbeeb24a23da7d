package routing

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	defaultSubset    = 16
	defaultBlock     = 256
	defaultHints     = 1 << 16
	defaultHintLife  = 2 * time.Minute
	defaultSlowStart = 20 * time.Second
	defaultFailures  = 3
	defaultReopen    = 500 * time.Millisecond
	defaultLongOpen  = 15 * time.Second
	defaultGrace     = 2 * time.Second
	defaultReports   = 8
)

// initialize prepares the picker at its first use.
func (p *Picker) initialize() {
	if p.initialized {
		return
	}
	p.initialized = true
	p.applyDefaults()
	p.servers = make(map[string]*server)
	scope := p.Metrics
	if scope == nil {
		scope = tally.NoopScope
	}
	p.counters = counters{
		picked: scope.Counter("picked"),
		failed: scope.Counter("failed"),
		opened: scope.Counter("opened"),
		closed: scope.Counter("closed"),
		trials: scope.Counter("trials"),

		workTimes: scope.Counter("worktimes"),

		transfers:      scope.Counter("transfers"),
		transferTokens: scope.Counter("transfertokens"),
	}
}

// applyDefaults replaces settings that are zero by their defaults.
func (p *Picker) applyDefaults() {
	p.Subset = cmp.Or(p.Subset, defaultSubset)
	p.Block = cmp.Or(p.Block, defaultBlock)
	p.Hints = cmp.Or(p.Hints, defaultHints)
	p.HintLife = cmp.Or(p.HintLife, defaultHintLife)
	p.SlowStart = cmp.Or(p.SlowStart, defaultSlowStart)
	p.Failures = cmp.Or(p.Failures, defaultFailures)
	p.Reopen = cmp.Or(p.Reopen, defaultReopen)
	p.LongOpen = cmp.Or(p.LongOpen, defaultLongOpen)
	p.Grace = cmp.Or(p.Grace, defaultGrace)
	p.Home = cmp.Or(p.Home, defaultHome)
	p.Noise = cmp.Or(p.Noise, defaultNoise)
	p.Reports = cmp.Or(p.Reports, defaultReports)
}

func (p *Picker) now() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}

func (p *Picker) random() float64 {
	if p.Rand == nil {
		return rand.Float64()
	}
	return p.Rand()
}
