package quota

import (
	"container/list"
	"time"
)

const (
	// maxAccounts bounds the memory; an account takes about 300 bytes and 40 for each VM
	// that reports the customer.
	maxAccounts = 16384
	// idleTime is the time without requests and reports after which an account is removed.
	idleTime = time.Minute
	// maxRemovalsPerInsert bounds the accounts that are checked when one is created.
	maxRemovalsPerInsert = 2
	// startTime is the time after the process began in which new accounts begin with an even
	// share of the burst, since others may have used the burst just before.
	startTime = 2 * time.Second
	// calmTime is the time without a refusal after which the next refusal is the beginning
	// of another period in which the customer is limited.
	calmTime = 10 * time.Second
)

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which the caller may try again.
	RetryAfter time.Duration
	// Begins is true when the customer begins to be limited.
	Begins bool
	// ReportNow is true when other VMs should hear of this VM's requests at once.
	ReportNow bool
}

// Table holds the accounts of one VM. Times are uptimes.
type Table struct {
	settings  Settings
	startedAt time.Duration
	accounts  map[Customer]*list.Element
	// recent holds the accounts, the most recently used first.
	recent *list.List
	peers  map[string]*peer
	// lastPeer is the latest identifier of a process of another VM.
	lastPeer uint32
	// serving is the number of VMs that serve callers, with this one; silent is the number
	// of them that are silent.
	serving, silent int
	// reporting holds the accounts whose use is reported, nextReport the place from which
	// the next datagram takes them.
	reporting  []*account
	nextReport int
}

// NewTable returns a table without accounts.
func NewTable(now time.Duration, settings Settings) *Table {
	return &Table{
		settings: settings, startedAt: now, accounts: make(map[Customer]*list.Element), recent: list.New(),
		peers: make(map[string]*peer), serving: 1,
	}
}

// SetSettings replaces the settings.
func (t *Table) SetSettings(settings Settings) {
	if t.settings == settings {
		return
	}
	t.settings = settings
	for element := t.recent.Front(); element != nil; element = element.Next() {
		a := element.Value.(*account)
		a.aim = Limit{} // computed anew by setLimit
	}
}

// Len returns the number of accounts.
func (t *Table) Len() int { return len(t.accounts) }

// Admit decides whether a request of a customer that has arrived at this VM may run, and
// charges it.
func (t *Table) Admit(now time.Duration, name string, limit Limit) Decision {
	a := t.touch(now, HashOf(name), limit)
	a.name = name
	a.advance(now, t.silent, t.serving)
	if !a.mayAdmit(t.serving) {
		return t.refuse(a, now)
	}
	a.admit()
	a.use.Admitted++
	t.countOwn(a, now)
	return Decision{Admitted: true, ReportNow: a.needsReport(t.serving)}
}

// refuse records a refusal.
func (t *Table) refuse(a *account, now time.Duration) Decision {
	begins := !a.wasRefused || now-a.refusedAt >= calmTime
	a.refusedAt, a.wasRefused = now, true
	a.use.Refused++
	return Decision{RetryAfter: a.wait(), Begins: begins}
}

// touch returns a customer's account, created if necessary, as the most recently used.
func (t *Table) touch(now time.Duration, customer Customer, limit Limit) *account {
	element, ok := t.accounts[customer]
	if ok {
		t.recent.MoveToFront(element)
		a := element.Value.(*account)
		a.usedAt = now
		a.setLimit(t.settings, limit)
		return a
	}
	element = t.newElement(now)
	t.accounts[customer] = element
	a := element.Value.(*account)
	*a = account{customer: customer, updatedAt: now, usedAt: now, peers: a.peers[:0]}
	a.setLimit(t.settings, limit)
	a.tokens = a.aim.Burst
	if now-t.startedAt < startTime {
		a.tokens /= float64(t.serving)
	}
	a.before, a.beforeAt = [2]float64{a.tokens, a.tokens}, now
	return a
}

// newElement returns an element for a new account. It removes idle accounts, and the one
// that was used least recently when there are too many.
func (t *Table) newElement(now time.Duration) *list.Element {
	for range maxRemovalsPerInsert {
		oldest := t.recent.Back()
		if oldest == nil || now-oldest.Value.(*account).usedAt < idleTime {
			break
		}
		t.forget(oldest.Value.(*account))
		t.recent.Remove(oldest)
	}
	if len(t.accounts) < maxAccounts {
		return t.recent.PushFront(&account{})
	}
	oldest := t.recent.Back()
	t.forget(oldest.Value.(*account))
	t.recent.MoveToFront(oldest)
	return oldest
}

// forget removes an account, whose memory may be used again.
func (t *Table) forget(a *account) {
	delete(t.accounts, a.customer)
	if a.own.reporting {
		t.stopReporting(a.own.place)
	}
}
