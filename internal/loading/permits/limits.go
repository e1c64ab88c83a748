package permits

// SetLimits replaces the rate and the bounds by those of opts; its other settings stay as they are.
func (b *Budget) SetLimits(opts Options) {
	b.opts.LoadsPerSecond = opts.LoadsPerSecond
	b.opts.LoadsAtOnce = opts.LoadsAtOnce
	b.opts.AdaptersInTransit = opts.AdaptersInTransit
}
