package evidence

import (
	"math"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/identity"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// RequestsToWire converts the evidence about requests that may crash targets, with
// uptimes as ages.
func RequestsToWire(all []quarantine.Evidence, now time.Duration) []*primroseloomv1.RequestEvidence {
	messages := make([]*primroseloomv1.RequestEvidence, 0, len(all))
	for _, evidence := range all {
		message := &primroseloomv1.RequestEvidence{
			Fingerprint: uint64(evidence.Fingerprint), Identity: identity.ToWire(evidence.Request),
			Answered: evidence.Answered, Lifted: evidence.Lifted,
		}
		if evidence.Lifted {
			message.LiftedAgeMs = ageMs(evidence.LiftedAt, now)
		}
		if evidence.Answered {
			message.AnsweredAgeMs = ageMs(evidence.AnsweredAt, now)
		}
		for _, crash := range evidence.Crashes {
			message.Crashes = append(message.Crashes, &primroseloomv1.TargetCrash{
				Target: crash.Target, Incarnation: crash.Incarnation, AgeMs: ageMs(crash.At, now), Presumed: crash.Presumed, Survived: crash.Survived,
			})
		}
		messages = append(messages, message)
	}
	return messages
}

// ageMs returns the time since an uptime in milliseconds.
func ageMs(at, now time.Duration) uint32 {
	return uint32(min(max(now-at, 0).Milliseconds(), math.MaxUint32))
}

// RequestFromWire converts evidence received now.
func RequestFromWire(message *primroseloomv1.RequestEvidence, now time.Duration) quarantine.Evidence {
	at := func(ageMs uint32) time.Duration { return now - time.Duration(ageMs)*time.Millisecond }
	evidence := quarantine.Evidence{
		Fingerprint: quarantine.Fingerprint(message.GetFingerprint()), Request: identity.FromWire(message.GetIdentity()),
		Answered: message.GetAnswered(), Lifted: message.GetLifted(),
	}
	if evidence.Lifted {
		evidence.LiftedAt = at(message.GetLiftedAgeMs())
	}
	if evidence.Answered {
		evidence.AnsweredAt = at(message.GetAnsweredAgeMs())
	}
	for _, crash := range message.GetCrashes() {
		evidence.Crashes = append(evidence.Crashes, quarantine.Crash{
			Target: crash.GetTarget(), Incarnation: crash.GetIncarnation(), At: at(crash.GetAgeMs()), Presumed: crash.GetPresumed(), Survived: crash.GetSurvived(),
		})
	}
	return evidence
}
