package targets

import "time"

const (
	// leavingFor is how long a target's word that it leaves holds unless repeated.
	leavingFor = 30 * time.Second
	// leavingAtLeast is how long the word holds against a health endpoint that
	// lags and still says otherwise.
	leavingAtLeast = 10 * time.Second
)

// leaving tells whether a target drains and takes no new work. The sources are
// the configuration, the target's answers and health endpoint, the platform's
// VM list and the other VMs.
type leaving struct {
	byConfiguration bool
	byVMList        bool
	until           time.Time
	since           time.Time
}

// configured takes over the configuration's word.
func (l *leaving) configured(now time.Time, is bool) {
	l.mark(now, is)
	l.byConfiguration = is
}

// listed takes over the VM list's word.
func (l *leaving) listed(now time.Time, is bool) {
	l.mark(now, is)
	l.byVMList = is
}

// told records that the target or another VM said so.
func (l *leaving) told(now time.Time) {
	l.mark(now, true)
	l.until = now.Add(leavingFor)
}

// stayed records that the target's health endpoint knows of no drain.
func (l *leaving) stayed(now time.Time) {
	if now.Before(l.until.Add(leavingAtLeast - leavingFor)) {
		return
	}
	l.until = time.Time{}
}

// now reports whether the target leaves.
func (l *leaving) now(now time.Time) bool {
	return l.byConfiguration || l.byVMList || now.Before(l.until)
}

func (l *leaving) mark(now time.Time, is bool) {
	if is && !l.now(now) {
		l.since = now
	}
}
