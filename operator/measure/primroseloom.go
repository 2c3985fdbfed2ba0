package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/policy/health"
)

// PrimroseloomPolicy returns the policy of this project: health evidence is
// pooled by health.Tracker, and slots are leased from a lessor.
func PrimroseloomPolicy() Policy {
	policy := SlotPolicy(SharingLeases)
	policy.Name = "primroseloom"
	return policy
}

// evidenceBytes is the approximate size of one target's evidence on the wire.
const evidenceBytes = 40

// frameBytes is the approximate size of a message's frame.
const frameBytes = 60

// timeCountBytes is the approximate size of one service-time bucket's count on the wire.
const timeCountBytes = 4

// trackerHealth implements Health with a health.Tracker.
type trackerHealth struct {
	tracker  *health.Tracker
	attempts map[uint64]*health.Attempt
}

// NewTrackerHealth builds the health evaluation that the daemon uses.
func NewTrackerHealth(config *DeciderConfig) Health {
	var zones []string
	for zone := range config.Zones {
		zones = append(zones, zoneName(zone))
	}
	tracker := health.New(health.Config{
		VM: fmt.Sprintf("vm%02d", config.VM), Zone: zoneName(config.VMZone(config.VM)), Zones: zones, VMs: config.VMs,
		FloorSlots:          FloorSlots(config.Scenario),
		FalsePerTargetMonth: config.Scenario.size.FalseEjectionsPerTargetMonth,
		Random:              rand.New(rand.NewPCG(config.Random.Uint64(), config.Random.Uint64())),
	})
	targets := make([]health.Target, 0, config.Targets)
	for i := range config.Targets {
		targets = append(targets, health.Target{Name: fmt.Sprintf("t%03d", i), Slots: config.Slots})
	}
	tracker.Configure(0, targets)
	return &trackerHealth{tracker: tracker, attempts: make(map[uint64]*health.Attempt)}
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// Started implements Health.
func (h *trackerHealth) Started(now time.Duration, attempt Attempt) {
	h.attempts[attempt.ID] = h.tracker.StartAttempt(now, attempt.Target)
}

// Ended implements Health.
func (h *trackerHealth) Ended(now time.Duration, attempt Attempt, kind health.Kind, elapsed time.Duration) {
	h.tracker.EndAttempt(now, h.attempts[attempt.ID], kind, elapsed)
	delete(h.attempts, attempt.ID)
}

// Probed implements Health.
func (h *trackerHealth) Probed(now time.Duration, target int, healthy bool) {
	h.tracker.RecordProbe(now, target, healthy)
}

// Tick implements Health.
func (h *trackerHealth) Tick(now time.Duration) { h.tracker.Tick(now) }

// Weights implements Health.
func (h *trackerHealth) Weights(idempotent bool) []float64 { return h.tracker.Weights(idempotent) }

// NextTrial implements Health.
func (h *trackerHealth) NextTrial(now time.Duration) (int, bool) { return h.tracker.NextTrial(now) }

// State implements Health.
func (h *trackerHealth) State(target int) health.State { return h.tracker.State(target) }

// Outbox implements Messenger.
func (h *trackerHealth) Outbox(now time.Duration) []Message {
	news, ok := h.tracker.TakeNews(now)
	if !ok {
		return nil
	}
	bytes := frameBytes + evidenceBytes*len(news.Evidence) + timeCountBytes*len(news.Times)
	return []Message{{To: AllVMs, Body: &news, Bytes: bytes}}
}

// ReceiveMessage implements Messenger.
func (h *trackerHealth) ReceiveMessage(now time.Duration, _ int, body any) {
	if news, ok := body.(*health.News); ok {
		h.tracker.ReceiveNews(now, news)
	}
}
