package idle

// Default weights if an operator has declared neither: one second of waiting for a cold start costs as much as 15 idle
// accelerator seconds.
const (
	DefaultColdStartWeight = 15
	DefaultIdleWeight      = 1
)

// SetWeights replaces the operator's two weights; both zero mean the defaults. The observed gaps are kept.
func (p *Policy) SetWeights(coldStart, idle float64) {
	if coldStart <= 0 && idle <= 0 {
		coldStart, idle = DefaultColdStartWeight, DefaultIdleWeight
	}
	p.opts.ColdStartWeight = coldStart
	p.opts.IdleWeight = idle
}
