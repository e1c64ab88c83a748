package permits

// SetLimits replaces the rate and the limits by those of opts; its other settings are ignored.
func (b *Budget) SetLimits(opts Options) {
	b.opts.LoadsPerSecond = opts.LoadsPerSecond
	b.opts.LoadsAtOnce = opts.LoadsAtOnce
	b.opts.MaxAdapterLoads = opts.MaxAdapterLoads
}
