package replicas

import "balsamsail/internal/wire/wirepb"

// settle decides the slots of a declared model version: it gives up slots that must not stay, adds those that are
// missing as far as the maximum allows, and takes back those that have been replaced or are not needed any more.
func (r *run) settle(spec *ModelSpec, d *draft) {
	r.releaseLeaving(d)
	home, most := r.policy.bounds(*spec)
	if r.releaseExcess(d, most) {
		return
	}
	grow := r.growth(spec, d)
	good := d.count(healthGood, healthFailing)
	need := max(home, good+grow) - good
	room := most - len(d.slots)
	if need > 0 && room > 0 {
		reason := grantReason(d, good, home)
		if r.place(spec, d, min(need, room), reason) > 0 {
			return
		}
	}
	if need > 0 {
		r.makeRoom(spec, d, good, grow > 0)
		return
	}
	if r.releaseReplaced(d) {
		return
	}
	r.shrink(spec, d, home)
}

// grantReason names the cause of new slots.
func grantReason(d *draft, good, home int) Reason {
	switch {
	case good >= home:
		return ReasonDemand
	case d.count(healthSilent) > 0:
		return ReasonSilent
	case d.count(healthMisplaced, healthLeaving, healthReleasing) > 0:
		return ReasonReplace
	default:
		return ReasonHome
	}
}

// releaseLeaving takes back the slots of leaving and drained engines: they get no new work, so nothing is gained by
// waiting for a replacement.
func (r *run) releaseLeaving(d *draft) {
	for _, s := range d.slots {
		if s.health == healthLeaving {
			d.release(s, s.reason)
		}
	}
}

// releaseExcess takes back slots above the maximum, which an operator may have lowered.
func (r *run) releaseExcess(d *draft, most int) bool {
	excess := len(d.slots) - d.count(healthReleasing) - most
	for range excess {
		d.release(victim(d), ReasonOverMaximum)
	}
	return excess > 0
}

// victim returns the slot that is missed least: one that does not serve, that holds nothing, that shares its failure
// domain, the latest.
func victim(d *draft) *slotDraft {
	var worst *slotDraft
	domains := domainCounts(d)
	for _, s := range d.slots {
		if s.health == healthReleasing {
			continue
		}
		if worst == nil || !lessMissed(worst, s, domains) {
			worst = s
		}
	}
	return worst
}

// lessMissed reports whether a is missed less than b, which comes after it in the row.
func lessMissed(a, b *slotDraft, domains map[string]int) bool {
	if a.health != b.health {
		return a.health > b.health
	}
	if a.loaded != b.loaded {
		return b.loaded
	}
	return domains[a.slot.FailureDomain] > domains[b.slot.FailureDomain]
}

// growth returns how many slots are to be added on demand. Wishes that are older than the row, or hardly younger, do not
// count: what was changed last may already answer them.
//
// A wish that counts makes the decision differ once it does not any more. On a fleet that falls silent then nothing else
// would bring another decision, and slots that nobody needs would stay granted.
func (r *run) growth(spec *ModelSpec, d *draft) int {
	answered := d.since.Add(r.policy.GrowInterval)
	waiting, wanted := 0, false
	for _, w := range r.snapshot.Demand[spec.Model].Wants {
		if helps(w.Reason) && r.fresh(w) && !w.Last.Before(answered) {
			wanted = true
			waiting += w.Waiting
			r.again(w.Last.Add(r.policy.WantLife))
		}
	}
	if !wanted {
		return 0
	}
	if spec.Concurrency <= 0 {
		return 1
	}
	slots := (waiting + spec.Concurrency - 1) / spec.Concurrency
	return min(max(slots, 1), max(1, len(d.slots)))
}

// helps reports whether another slot would serve the requests that were refused for a reason.
func helps(reason wirepb.RefusalReason) bool {
	switch reason {
	case wirepb.RefusalReason_STORE_BUSY, wirepb.RefusalReason_LEAVING, wirepb.RefusalReason_CANCELLED,
		wirepb.RefusalReason_UNKNOWN_TARGET:
		return false
	default:
		return true
	}
}

// makeRoom takes back one slot that is not usable, when the model version needs another one and the maximum leaves no
// room for it. One at a time, so that as many as possible go on serving; a release that cannot be confirmed soon does not
// hold up the next.
func (r *run) makeRoom(spec *ModelSpec, d *draft, good int, wanted bool) {
	if r.releasesPending(d) {
		return
	}
	for _, s := range d.slots {
		if s.health == healthMisplaced && (good == 0 || r.replaced(d, s)) {
			d.release(s, s.reason)
			return
		}
	}
	if !wanted || !r.hasAlternative(spec, d) {
		return
	}
	for _, s := range d.slots {
		if s.health == healthFailing {
			d.release(s, s.reason)
			return
		}
	}
}

// releasesPending reports whether a slot is RELEASING whose engine answers.
func (r *run) releasesPending(d *draft) bool {
	for _, s := range d.slots {
		if s.health == healthReleasing && !s.quiet {
			return true
		}
	}
	return false
}

// hasAlternative reports whether an engine could take a slot that has not failed lately.
func (r *run) hasAlternative(spec *ModelSpec, d *draft) bool {
	for _, c := range r.candidates(spec, d) {
		if !c.avoid {
			return true
		}
	}
	return false
}

// releaseReplaced takes back misplaced slots once there are enough others.
func (r *run) releaseReplaced(d *draft) bool {
	released := false
	for _, s := range d.slots {
		if s.health == healthMisplaced && r.replaced(d, s) {
			d.release(s, s.reason)
			released = true
		}
	}
	return released
}

// replaced reports whether a misplaced slot can go without callers waiting for a load: it holds nothing, or another slot
// is loaded, or there was time enough for that.
func (r *run) replaced(d *draft, misplaced *slotDraft) bool {
	if !misplaced.loaded {
		return true
	}
	for _, s := range d.slots {
		if s.health == healthGood && s.loaded {
			return true
		}
	}
	if !r.now.Before(d.since.Add(r.policy.MoveTimeout)) {
		return true
	}
	r.again(r.now.Add(recheckInterval))
	return false
}

// shrink takes back slots above the home slots whose demand has been gone for long: a part of them at a time, so that a
// wrong guess costs little.
func (r *run) shrink(spec *ModelSpec, d *draft, home int) {
	granted := len(d.slots) - d.count(healthReleasing)
	if granted <= home {
		return
	}
	good := d.count(healthGood, healthFailing)
	keep := max(home, r.neededNow(spec, d))
	if good <= keep {
		return
	}
	if r.now.Before(d.since.Add(r.policy.ExtraHold)) {
		r.again(d.since.Add(r.policy.ExtraHold))
		return
	}
	const part = 4
	n := min(good-keep, max(1, (good-home)/part))
	for range n {
		d.release(victim(d), ReasonUnneeded)
	}
}

// neededNow returns how many slots the use within the last ExtraHold called for.
func (r *run) neededNow(spec *ModelSpec, d *draft) int {
	demand := r.snapshot.Demand[spec.Model]
	granted := len(d.slots) - d.count(healthReleasing)
	for _, w := range demand.Wants {
		if r.now.Sub(w.Last) < r.policy.ExtraHold {
			r.again(w.Last.Add(r.policy.ExtraHold))
			return granted
		}
	}
	if !demand.Usage.Known {
		r.again(r.now.Add(r.policy.ExtraHold / 2))
		return granted
	}
	if demand.Usage.Peak == 0 {
		return 0
	}
	r.again(r.now.Add(r.policy.ExtraHold / 2))
	if spec.Concurrency <= 0 {
		return granted
	}
	each := float64(spec.Concurrency) * r.policy.LowWater
	return int(float64(demand.Usage.Peak)/each) + 1
}
