package replicas

// movingShare is the share of the model versions that may have a slot on its way out before a slot is moved only for the
// sake of balance.
const movingShare = 10

// rebalance moves one idle slot for the sake of balance.
func (r *run) rebalance() {
	if r.moving > len(r.specs)/movingShare || len(r.decision.Changes) > 0 {
		return
	}
}
