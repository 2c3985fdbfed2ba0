package targetset

import (
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/room"
)

// ReasonNoRoom means that the service is full and that more urgent requests, or other
// customers, go first.
const ReasonNoRoom placement.Reason = "no_room"

const (
	// minUsableSlots is the number of slots, suspects counted in part, below which nothing is
	// known of the load of a service.
	minUsableSlots = 0.5
	// roomRegainedTime is the time without a refusal after which a service has room again.
	roomRegainedTime = 5 * time.Second
)

// roomState is the admission of requests to one service.
type roomState struct {
	// isRanked is true when its requests differ in rank. Otherwise nothing is refused here.
	isRanked bool
	service  room.Service
	// level is the share of the arriving work that the latest decision admitted.
	level float64
	// isShort is true from the first refusal until roomRegainedTime after the last; refused
	// counts the refusals since.
	isShort       bool
	refused       int
	lastRefusedAt time.Duration
}

// updateRanks applies which services have requests of different ranks; the lock is held.
func (m *Manager) updateRanks() {
	m.rankedServices, m.remembersFull = m.table.RankedServices(), m.table.RanksRequests()
	for name, s := range m.services {
		if ranked := m.isRanked(name); ranked != s.room.isRanked {
			s.room = roomState{isRanked: ranked}
		}
	}
}

// isRanked reports whether the requests of a service differ in rank; the lock is held.
func (m *Manager) isRanked(name string) bool { return m.rankedServices[name] }

// queuePerSlot returns the requests that may wait at a target for each slot; zero for the usual
// number.
func (s *service) queuePerSlot() float64 {
	if s.room.isRanked {
		return room.QueuePerSlot
	}
	return 0
}

// admit returns why a request is not admitted while the service is short of room, or nil; the
// lock is held.
func (m *Manager) admit(s *service, wanted AttemptRequest, candidates []placement.Candidate, serviceTime, meanServiceTime, now time.Duration) *Refusal {
	if !s.room.isRanked {
		return nil
	}
	load := loadOf(candidates)
	if load.Slots < minUsableSlots {
		return nil
	}
	load.MeanRunTime = meanServiceTime
	decision := s.room.service.Decide(load, room.Request{
		Priority:  wanted.Priority,
		Customer:  wanted.Customer,
		RunTime:   serviceTime,
		Remaining: wanted.Remaining,
		Useful:    wanted.Useful,
		IsRetry:   len(wanted.Attempted) > 0 || wanted.SentAttempts > 0,
	}, now)
	s.room.level = decision.Level
	if decision.Admitted() {
		return nil
	}
	m.noRoom(s, wanted, load, decision, now)
	return &Refusal{Reason: ReasonNoRoom, RetryAfter: decision.RetryAfter}
}

// loadOf returns the use of the targets that this VM reaches. A suspect counts by the
// probability that it does not fail.
func loadOf(candidates []placement.Candidate) room.Load {
	load := room.Load{}
	for _, c := range candidates {
		if c.Blocked {
			continue
		}
		weight := 1 - c.Failing
		load.Slots += weight * float64(c.Slots)
		load.InProgress += weight * float64(c.InUse)
	}
	return load
}

// noRoom counts a refusal, and logs the first one; the lock is held.
func (m *Manager) noRoom(s *service, wanted AttemptRequest, load room.Load, decision room.Decision, now time.Duration) {
	m.options.Scope.Tagged(map[string]string{
		"service": wanted.Service, "cause": string(decision.Cause), "priority": strconv.Itoa(wanted.Priority),
	}).Counter("room_refused").Inc(1)
	s.room.refused++
	s.room.lastRefusedAt = now
	if s.room.isShort {
		return
	}
	s.room.isShort = true
	events.RoomShort.Log(m.options.Logger, "service", wanted.Service, "cause", decision.Cause, "priority", wanted.Priority, "customer", wanted.Customer,
		"in_progress", int(load.InProgress), "slots", int(load.Slots))
}

// updateRoom updates the metrics of a service's room and logs when it has room again; the lock
// is held.
func (m *Manager) updateRoom(name string, s *service, now time.Duration) {
	if m.remembersFull {
		m.updateFull(name, s, now)
	}
	if !s.room.isRanked {
		return
	}
	m.options.Scope.Tagged(map[string]string{"service": name}).Gauge("room_level").Update(s.room.level)
	if s.room.isShort && now-s.room.lastRefusedAt >= roomRegainedTime {
		events.RoomRegained.Log(m.options.Logger, "service", name, "refused", s.room.refused)
		s.room.isShort, s.room.refused = false, 0
	}
}

// updateFull updates the number of full targets; the lock is held.
func (m *Manager) updateFull(name string, s *service, now time.Duration) {
	full, serviceTime := 0, s.overall.MeanServiceTime(defaultAttemptDuration)
	for _, t := range s.targets {
		if t.held.IsFull(serviceTime, now) {
			full++
		}
	}
	m.options.Scope.Tagged(map[string]string{"service": name}).Gauge("full").Update(float64(full))
}

// markFull marks the candidates that have refused for lack of room and have none yet; the lock
// is held.
func (m *Manager) markFull(candidates []placement.Candidate, targets []*target, meanServiceTime, now time.Duration) {
	if !m.remembersFull {
		return
	}
	for i, t := range targets {
		candidates[i].Full = t.held.IsFull(meanServiceTime, now)
	}
}

// refusedFull records that the target has just refused for lack of room.
func (t *target) refusedFull(now time.Duration) {
	t.held = room.RefusedFull(t.load.Running+t.load.Waiting, t.info.Slots, now)
}

// endsOf returns the number of attempts that have ended at their target: none when it refused
// the attempt, or when the attempt ended without its response, since the target may run it on.
func endsOf(result Result) int {
	if result.RefusedFull || result.Err != nil {
		return 0
	}
	return 1
}

// countEnded counts the attempts of another VM that have ended between two of its reports; the
// lock is held.
func (m *Manager) countEnded(before, after map[string]int) {
	for id, count := range before {
		if t, ok := m.targets[id]; ok && count > after[id] {
			t.held.Ended(count - after[id])
		}
	}
}
