package breaker

import (
	"slices"
	"strings"
	"time"
)

// Loss is an attempt of this VM that ended without a response, or is late.
type Loss struct {
	Target string
	// At is the uptime at which the loss was observed, BegunAt that at which the attempt began.
	At, BegunAt time.Duration
	// Ended is false when the attempt has only not responded for long, or until its time limit.
	Ended bool
}

// Finding is what the losses show of the path.
type Finding int

// The findings.
const (
	// NoFinding means that the losses are too few.
	NoFinding Finding = iota
	// PathSilent means that enough attempts are lost, but too few of them have ended: the path may
	// be at fault, or the late requests take long. A check of the path decides.
	PathSilent
	// PathLost means that enough attempts ended without a response.
	PathLost
)

// Lost records that a target lost a request of this VM. A late attempt that began before the
// latest response is ignored: the path has worked since, and a VM that begins few requests has
// only its long ones left in progress, which say nothing about the path.
func (b *Breaker) Lost(loss Loss) {
	if !loss.Ended && loss.BegunAt < b.answeredAt {
		return
	}
	if loss.BegunAt >= b.changedAt { // an earlier attempt is no trial
		b.endTrial(loss.At)
	}
	if loss.Ended {
		b.lossesInRow++
	}
	if b.lost == nil {
		b.lost = make(map[string]Loss)
	}
	if known, ok := b.lost[loss.Target]; !ok || loss.At-known.At >= failureLifetime || loss.Ended && !known.Ended {
		b.lost[loss.Target] = loss
	}
}

// Losses returns the losses without a response in between that still count, by target.
func (b *Breaker) Losses(now time.Duration) []Loss {
	var losses []Loss
	for _, loss := range b.lost {
		if now-loss.At < failureLifetime {
			losses = append(losses, loss)
		}
	}
	slices.SortFunc(losses, func(x, y Loss) int { return strings.Compare(x.Target, y.Target) })
	return losses
}

// Examine returns what the losses since the latest response show of a closed breaker's path, and
// the uptime of the first of them. It assumes that other VMs are answered, which the caller has to
// check. One loss suffices for a breaker that closed without a response.
func (b *Breaker) Examine(now time.Duration) (finding Finding, since time.Duration) {
	needed := lossesToOpen
	switch {
	case b.unproven:
		needed = 1
	case b.lossesInRow >= lossesInRowToOpen:
		needed = lossesToDoubt
	}
	losses := b.Losses(now)
	if b.state != Closed || len(losses) < needed {
		return NoFinding, 0
	}
	since, ended := now, 0
	for _, loss := range losses {
		since = min(since, loss.At)
		if loss.Ended {
			ended++
		}
	}
	if ended < needed {
		return PathSilent, since
	}
	return PathLost, since
}

// LostAt returns the uptime of a target's loss without a response in between, if it counts.
func (b *Breaker) LostAt(target string, now time.Duration) (at time.Duration, ok bool) {
	loss, ok := b.lost[target]
	return loss.At, ok && now-loss.At < failureLifetime
}
