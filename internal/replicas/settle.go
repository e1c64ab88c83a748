package replicas

import "balsamsail/internal/wire/wirepb"

// adjustSlots decides the slots of a declared model version. It releases slots that must not stay, grants missing ones
// as far as the maximum allows, and releases those that have been replaced or are no longer needed.
func (r *decisionRun) adjustSlots(spec *ModelSpec, d *draft) {
	r.releaseLeaving(d)
	baseline, maxSlots := r.policy.bounds(*spec)
	if r.releaseExcess(d, maxSlots) {
		return
	}
	grow := r.growth(spec, d)
	good := d.count(healthGood, healthFailing)
	need := max(baseline, good+grow) - good
	room := maxSlots - len(d.slots)
	if need > 0 && room > 0 {
		reason := grantReason(d, good, baseline)
		if r.place(spec, d, min(need, room), reason) > 0 {
			return
		}
	}
	if need > 0 {
		r.makeRoom(spec, d, good, grow > 0)
		return
	}
	if r.releaseMisplaced(d) {
		return
	}
	r.shrink(spec, d, baseline)
}

// grantReason returns the reason for new slots.
func grantReason(d *draft, good, baseline int) Reason {
	switch {
	case good >= baseline:
		return ReasonDemand
	case d.count(healthUnreachable) > 0:
		return ReasonUnreachable
	case d.count(healthMisplaced, healthLeaving, healthReleasing) > 0:
		return ReasonReplace
	default:
		return ReasonBaseline
	}
}

// releaseLeaving releases the slots of leaving and drained engines. These get no new work, so there is no point in
// waiting for a replacement.
func (r *decisionRun) releaseLeaving(d *draft) {
	for _, s := range d.slots {
		if s.health == healthLeaving {
			d.release(s, s.reason)
		}
	}
}

// releaseExcess releases slots above the maximum, which an operator may have lowered.
func (r *decisionRun) releaseExcess(d *draft, maxSlots int) bool {
	excess := len(d.slots) - d.count(healthReleasing) - maxSlots
	for range excess {
		d.release(victim(d), ReasonOverMaximum)
	}
	return excess > 0
}

// victim returns the slot to release first. It prefers, in this order, slots in worse health, slots that are not
// loaded, slots in the failure domain with the most slots, and the last in row order.
func victim(d *draft) *slotDraft {
	var worst *slotDraft
	domains := domainCounts(d)
	for _, s := range d.slots {
		if s.health == healthReleasing {
			continue
		}
		if worst == nil || !releaseFirst(worst, s, domains) {
			worst = s
		}
	}
	return worst
}

// releaseFirst reports whether a, which comes before b in the row, is to be released before b.
func releaseFirst(a, b *slotDraft, domains map[string]int) bool {
	if a.health != b.health {
		return a.health > b.health
	}
	if a.loaded != b.loaded {
		return b.loaded
	}
	return domains[a.slot.FailureDomain] > domains[b.slot.FailureDomain]
}

// growth returns how many slots to add on demand. Slot requests made before the row's last change or within
// GrowInterval after it are ignored: that change may already satisfy them.
//
// Each counted request schedules another decision for the time when it expires. If the fleet becomes idle, no other
// event would trigger one, and unneeded slots would stay granted.
func (r *decisionRun) growth(spec *ModelSpec, d *draft) int {
	countFrom := d.since.Add(r.policy.GrowInterval)
	waiting, requested := 0, false
	for _, req := range r.snapshot.Demand[spec.Model].SlotRequests {
		if servedByMoreSlots(req.Reason) && r.recent(req) && !req.Last.Before(countFrom) {
			requested = true
			waiting += req.Waiting
			r.recheckAt(req.Last.Add(r.policy.SlotRequestTTL))
		}
	}
	if !requested {
		return 0
	}
	if spec.Concurrency <= 0 {
		return 1
	}
	slots := (waiting + spec.Concurrency - 1) / spec.Concurrency
	return min(max(slots, 1), max(1, len(d.slots)))
}

// servedByMoreSlots reports whether another slot would serve the requests that were refused for a reason.
func servedByMoreSlots(reason wirepb.RefusalReason) bool {
	switch reason {
	case wirepb.RefusalReason_STORE_BUSY, wirepb.RefusalReason_LEAVING, wirepb.RefusalReason_CANCELLED,
		wirepb.RefusalReason_UNKNOWN_TARGET:
		return false
	default:
		return true
	}
}

// makeRoom releases one unusable slot if the model version needs another one and the maximum leaves no room for it. It
// releases one at a time to keep as many as possible serving; a pending release whose engine is unreachable does not
// delay the next one.
func (r *decisionRun) makeRoom(spec *ModelSpec, d *draft, good int, growing bool) {
	if r.releasesPending(d) {
		return
	}
	for _, s := range d.slots {
		if s.health == healthMisplaced && (good == 0 || r.canRelease(d, s)) {
			d.release(s, s.reason)
			return
		}
	}
	if !growing || !r.hasAlternative(spec, d) {
		return
	}
	for _, s := range d.slots {
		if s.health == healthFailing {
			d.release(s, s.reason)
			return
		}
	}
}

// releasesPending reports whether a slot is RELEASING whose engine is not considered unreachable.
func (r *decisionRun) releasesPending(d *draft) bool {
	for _, s := range d.slots {
		if s.health == healthReleasing && !s.unreachable {
			return true
		}
	}
	return false
}

// hasAlternative reports whether an engine that is not to be avoided could take a slot.
func (r *decisionRun) hasAlternative(spec *ModelSpec, d *draft) bool {
	for _, c := range r.candidates(spec, d) {
		if !c.avoid {
			return true
		}
	}
	return false
}

// releaseMisplaced releases the misplaced slots that canRelease allows. There are enough other slots at this point.
func (r *decisionRun) releaseMisplaced(d *draft) bool {
	released := false
	for _, s := range d.slots {
		if s.health == healthMisplaced && r.canRelease(d, s) {
			d.release(s, s.reason)
			released = true
		}
	}
	return released
}

// canRelease reports whether a misplaced slot can be released without callers having to wait for a load: it is not
// loaded, another slot is loaded, or MoveTimeout has passed since the last change of the row.
func (r *decisionRun) canRelease(d *draft, misplaced *slotDraft) bool {
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
	r.recheckAt(r.now.Add(recheckInterval))
	return false
}

// shrink releases slots above the baseline whose demand ended at least ExtraHold ago. It releases only a part of them
// at a time, to limit the cost if the demand returns.
func (r *decisionRun) shrink(spec *ModelSpec, d *draft, baseline int) {
	granted := len(d.slots) - d.count(healthReleasing)
	if granted <= baseline {
		return
	}
	good := d.count(healthGood, healthFailing)
	keep := max(baseline, r.slotsForUsage(spec, d))
	if good <= keep {
		return
	}
	if r.now.Before(d.since.Add(r.policy.ExtraHold)) {
		r.recheckAt(d.since.Add(r.policy.ExtraHold))
		return
	}
	const part = 4
	n := min(good-keep, max(1, (good-baseline)/part))
	for range n {
		d.release(victim(d), ReasonUnneeded)
	}
}

// slotsForUsage returns how many slots the usage within the last ExtraHold requires.
func (r *decisionRun) slotsForUsage(spec *ModelSpec, d *draft) int {
	demand := r.snapshot.Demand[spec.Model]
	granted := len(d.slots) - d.count(healthReleasing)
	for _, req := range demand.SlotRequests {
		if r.now.Sub(req.Last) < r.policy.ExtraHold {
			r.recheckAt(req.Last.Add(r.policy.ExtraHold))
			return granted
		}
	}
	if !demand.Usage.Known {
		r.recheckAt(r.now.Add(r.policy.ExtraHold / 2))
		return granted
	}
	if demand.Usage.Peak == 0 {
		return 0
	}
	r.recheckAt(r.now.Add(r.policy.ExtraHold / 2))
	if spec.Concurrency <= 0 {
		return granted
	}
	each := float64(spec.Concurrency) * r.policy.LowWater
	return int(float64(demand.Usage.Peak)/each) + 1
}
