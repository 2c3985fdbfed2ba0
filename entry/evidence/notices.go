package evidence

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// noticesToWire converts reports of what targets say, with uptimes as ages.
func noticesToWire(reports []notice.Report, now time.Duration) []*primroseloomv1.TargetNotice {
	messages := make([]*primroseloomv1.TargetNotice, 0, len(reports))
	for _, report := range reports {
		message := &primroseloomv1.TargetNotice{
			Target: report.Process.Target, Incarnation: report.Process.Incarnation, HasLimitWord: report.HasLimitWord,
			Limited: report.IsLimited, RateLimit: report.RateLimit, Leaving: report.IsLeaving,
		}
		if report.HasLimitWord {
			message.LimitAgeMs = ageMs(report.LimitAt, now)
		}
		if report.IsLeaving {
			message.LeavingAgeMs = ageMs(report.LeavingAt, now)
		}
		messages = append(messages, message)
	}
	return messages
}

// noticeFromWire converts a report received now. A rate limit that is none makes the
// target unlimited.
func noticeFromWire(message *primroseloomv1.TargetNotice, now time.Duration) notice.Report {
	at := func(ageMs uint32) time.Duration { return now - time.Duration(ageMs)*time.Millisecond }
	return notice.Report{
		Process:      notice.Process{Target: message.GetTarget(), Incarnation: message.GetIncarnation()},
		HasLimitWord: message.GetHasLimitWord(),
		IsLimited:    message.GetLimited() && notice.ValidRateLimit(message.GetRateLimit()),
		RateLimit:    message.GetRateLimit(),
		LimitAt:      at(message.GetLimitAgeMs()),
		IsLeaving:    message.GetLeaving(),
		LeavingAt:    at(message.GetLeavingAgeMs()),
	}
}
