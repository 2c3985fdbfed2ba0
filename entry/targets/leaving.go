package targets

import "time"

const (
	// leavingTTL is how long a report that a target is leaving stays valid unless
	// repeated.
	leavingTTL = 30 * time.Second
	// minLeavingTime is how long such a report stays valid although the health
	// endpoint, which may lag behind, reports no drain.
	minLeavingTime = 10 * time.Second
)

// leaving records whether a target is draining and takes no new work. The
// sources are the configuration, the target's responses and health endpoint, the
// platform's VM list and the other VMs.
type leaving struct {
	byConfiguration bool
	byVMList        bool
	reportedUntil   time.Time
	since           time.Time
}

// setByConfiguration records whether the configuration marks the target as
// leaving.
func (l *leaving) setByConfiguration(now time.Time, leaving bool) {
	l.updateSince(now, leaving)
	l.byConfiguration = leaving
}

// setByVMList records whether the VM list marks the target as leaving.
func (l *leaving) setByVMList(now time.Time, leaving bool) {
	l.updateSince(now, leaving)
	l.byVMList = leaving
}

// markReported records that the target or another VM reported that the target is
// leaving.
func (l *leaving) markReported(now time.Time) {
	l.updateSince(now, true)
	l.reportedUntil = now.Add(leavingTTL)
}

// clearReported records that the target's health endpoint reports no drain.
func (l *leaving) clearReported(now time.Time) {
	if now.Before(l.reportedUntil.Add(minLeavingTime - leavingTTL)) {
		return
	}
	l.reportedUntil = time.Time{}
}

// isLeaving reports whether the target is leaving.
func (l *leaving) isLeaving(now time.Time) bool {
	return l.byConfiguration || l.byVMList || now.Before(l.reportedUntil)
}

// updateSince sets since if the target was not leaving before.
func (l *leaving) updateSince(now time.Time, leaving bool) {
	if leaving && !l.isLeaving(now) {
		l.since = now
	}
}
