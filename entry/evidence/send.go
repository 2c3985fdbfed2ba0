package evidence

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// batchDelay returns the delay between a change and its datagram. It grows with
// the number of receivers, so that the packet rate of a VM stays bounded.
func (x *Exchange) batchDelay() time.Duration {
	primaries := 0
	for _, peer := range x.options.Peers() {
		if peer.IsPrimary {
			primaries++
		}
	}
	return max(minBatchDelay, time.Duration(primaries)*batchDelayPerPeer)
}

// farDelay returns the least time between two datagrams to other zones that are not urgent.
func (x *Exchange) farDelay() time.Duration {
	return min(max(x.options.MeanRunTime()/runTimesPerFarDatagram, minBatchDelay), heartbeatInterval)
}

// farFailureDelay returns the least time between two datagrams that take outcomes which count
// against their targets to other zones.
func (x *Exchange) farFailureDelay() time.Duration { return min(x.farDelay(), maxFarFailureDelay) }

// includesFar reports whether the next datagram goes to other zones, too, and records it.
func (x *Exchange) includesFar(isHeartbeat bool) bool {
	delay, failureDelay, now := x.farDelay(), x.farFailureDelay(), x.options.Uptime()
	x.mu.Lock()
	defer x.mu.Unlock()
	isFull := len(x.pending) >= maxOutcomesPerDatagram
	isDue := now-x.farSentAt >= delay || x.failurePending && now-x.farFailureSentAt >= failureDelay
	if !isHeartbeat && !x.urgent && !isFull && !isDue {
		return false
	}
	if x.failurePending {
		x.farFailureSentAt = now
	}
	x.urgent, x.failurePending, x.farSentAt = false, false, now
	return true
}

// send sends one datagram to the VMs that serve callers, those of other zones only when that
// is due; a heartbeat goes to all peers if this VM serves callers.
func (x *Exchange) send(isHeartbeat bool) {
	isPrimary, far := x.options.IsPrimary(), x.includesFar(isHeartbeat)
	content := x.nextDatagram(isPrimary, isHeartbeat, far)
	if content == nil {
		return
	}
	for _, peer := range x.options.Peers() {
		if !peer.SameZone && !far || !peer.IsPrimary && !(isHeartbeat && isPrimary) {
			continue
		}
		if _, err := x.options.Conn.WriteTo(content, net.UDPAddrFromAddrPort(peer.Address)); err != nil {
			x.options.Scope.Counter("datagrams_failed").Inc(1)
			events.EvidenceSendFailed.Log(x.options.Logger, "peer", peer.VM, "address", peer.Address, "cause", err)
			continue
		}
		x.options.Scope.Counter("datagrams_sent").Inc(1)
		x.countBytes(peer, len(content))
	}
}

// countBytes counts the bytes sent, by whether they leave the zone.
func (x *Exchange) countBytes(peer Peer, bytes int) {
	zone := "other"
	if peer.SameZone {
		zone = "own"
	}
	x.options.Scope.Tagged(map[string]string{"zone": zone}).Counter("bytes_sent").Inc(int64(bytes))
}

// nextDatagram returns the next datagram, or nil when this VM serves no callers
// and has nothing to report.
func (x *Exchange) nextDatagram(isPrimary, isHeartbeat, far bool) []byte {
	// These callbacks run before the lock is taken, since the components behind
	// them call the exchange while they hold their own locks.
	uses := x.options.AttemptsInProgress()
	ready, announced, rate := x.options.Ready(), x.options.Announcement(), x.options.Rate()
	cutOff, inDoubt := x.options.CutOffServices(), x.options.PathInDoubt()
	keysNotCurrent := x.keysNotCurrent()
	requests := RequestsToWire(x.options.Requests(isHeartbeat), x.options.Uptime())
	digest := uint64(0)
	if isHeartbeat && isPrimary { // one that sends no further heartbeats would leave an old digest
		digest = x.options.RequestsDigest()
	}
	notices := noticesToWire(x.options.Notices(isHeartbeat), x.options.Uptime())
	admissions := x.nextAdmissions(isHeartbeat, far)
	x.mu.Lock()
	defer x.mu.Unlock()
	if !isPrimary && !x.sendRequested && len(x.pending) == 0 && len(uses) == 0 && len(requests) == 0 && len(admissions) == 0 {
		return nil
	}
	x.sendRequested = false
	x.sequence++
	message := &primroseloomv1.EvidenceDatagram{
		Fleet:         x.options.Fleet,
		Vm:            x.options.VM,
		Instance:      x.options.Instance,
		Sequence:      x.sequence,
		Ready:         ready,
		Requests:      requests,
		Notices:       notices,
		Revision:      announced.Position.Revision,
		StoreEra:      announced.Position.Era,
		StoreAgeMs:    uint32(announced.StoreAge.Milliseconds()),
		RoutesVersion: announced.RoutesVersion,
		Rate:          uint32(rate + 0.5),

		CutOffServices:     withinBytes(cutOff, maxServicesBytes),
		PathInDoubt:        inDoubt,
		RequestsDigest:     digest,
		KeysNotCurrent:     keysNotCurrent,
		CustomerAdmissions: admissions,
	}
	message.Uses = usesToWire(uses, min(maxUsesBytes, maxContentBytes-proto.Size(message)))
	x.options.Scope.Counter("uses_left_out").Inc(int64(len(uses) - len(message.Uses)))
	x.appendOutcomes(message, far)
	content, err := proto.Marshal(message)
	if err != nil {
		x.options.Scope.Counter("datagrams_unwritable").Inc(1)
		return nil
	}
	return content
}

// usesToWire returns the attempts in progress by target, up to a limit in bytes. Beyond it, those with the
// fewest attempts are left out, so that they seem free to others.
func usesToWire(uses map[string]int, limit int) []*primroseloomv1.TargetUse {
	most := slices.SortedFunc(maps.Keys(uses), func(a, b string) int { return cmp.Or(cmp.Compare(uses[b], uses[a]), cmp.Compare(a, b)) })
	messages := make([]*primroseloomv1.TargetUse, 0, len(uses))
	for _, target := range withinBytes(most, limit) {
		messages = append(messages, &primroseloomv1.TargetUse{Target: target, InProgress: uint32(uses[target])})
	}
	return messages
}

// withinBytes returns as many of the first names as fit into an amount of bytes of a message.
func withinBytes(names []string, limit int) []string {
	for i, name := range names {
		if limit -= len(name) + nameOverhead; limit < 0 {
			return names[:i]
		}
	}
	return names
}

// appendOutcomes adds pending outcomes to a datagram and drops those without
// sends left; the lock is held.
func (x *Exchange) appendOutcomes(message *primroseloomv1.EvidenceDatagram, far bool) {
	size := 0
	kept := x.pending[:0]
	for i := range x.pending {
		entry := &x.pending[i]
		isDue := entry.nearLeft > 0 || far && entry.farLeft > 0
		if isDue && len(message.Outcomes) < maxOutcomesPerDatagram && size < maxOutcomeBytes {
			size += proto.Size(entry.message)
			message.Outcomes = append(message.Outcomes, entry.message)
			entry.nearLeft = max(entry.nearLeft-1, 0)
			if far {
				entry.farLeft = max(entry.farLeft-1, 0)
			}
		}
		if entry.nearLeft > 0 || entry.farLeft > 0 {
			kept = append(kept, *entry)
		}
	}
	x.pending = kept
}
