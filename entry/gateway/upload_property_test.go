package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// TestNoTargetTakesAnotherBodyForWhole guards against uploads that run with a part of their body
// missing, doubled or changed, however attempts and other VMs end: early responses, refusals and
// resets after a part of the body, cut connections to another VM, callers that leave and time limits.
func TestNoTargetTakesAnotherBodyForWhole(t *testing.T) {
	const seeds, uploads = 40, 4
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		var behaviors []uploadBehavior
		for range 3 {
			behaviors = append(behaviors, randomBehavior(random))
		}
		withUploads(t, behaviors, func(h *uploadHarness) {
			h.gateway.options.Carriers = h.randomFleet(random)
			for range uploads {
				u := randomUpload(random)
				name := fmt.Sprintf("seed %d, %d bytes, chunked: %v", seed, len(u.content), u.isChunked)
				if random.IntN(4) == 0 {
					time.AfterFunc(time.Duration(random.IntN(100))*time.Millisecond, func() { h.network.ResetConnections(ownIP, otherIP) })
				}
				_, _, _ = h.sendUpload(u) // what the caller gets is checked by other tests
				time.Sleep(2 * patientTimeout)
				h.check(name, u.content)
			}
		})
	}
}

// randomBehavior returns how a target handles uploads.
func randomBehavior(random *rand.Rand) uploadBehavior {
	after, length := random.IntN(2<<20), []int{0, 1000, 300_000, 3 << 19}[random.IntN(4)]
	switch random.IntN(6) {
	case 0:
		return refusesAfter(after)
	case 1:
		return resetsAfter(after)
	case 2:
		return answersAcross(after, http.StatusOK, length, length/10)
	case 3:
		return answersAfter(after, http.StatusInternalServerError, length)
	case 4:
		return answersAfter(after, http.StatusOK, length)
	}
	return answersAfter(-1, http.StatusOK, length)
}

// randomFleet returns another VM, which serves, refuses after a part of the body, or isn't asked.
func (h *uploadHarness) randomFleet(random *rand.Rand) otherVM {
	isAsked := random.IntN(4) > 0
	if random.IntN(2) == 0 {
		return otherVM{client: h.startOther(h.newOtherGateway().Forward), isPrimary: isAsked, isCarrier: true}
	}
	reason := []outcome.Reason{outcome.ReasonCutOff, outcome.ReasonNoMemory, outcome.ReasonTargetShed}[random.IntN(3)]
	return otherVM{client: h.startOther(refusesForwarded(random.Int64N(3<<20), reason)), isPrimary: isAsked, isCarrier: true}
}

// randomUpload returns an upload of 1 byte to 4 MB.
func randomUpload(random *rand.Rand) upload {
	const maxExponent = 22
	u := upload{
		path: []string{patientPath, safePath, oncePath}[random.IntN(3)] + "1", isChunked: random.IntN(2) == 0,
		pause:   time.Duration(random.IntN(3)) * time.Millisecond,
		content: pattern(int(math.Exp2(maxExponent * (1 - random.Float64()*random.Float64())))),
	}
	if random.IntN(6) == 0 {
		u.breaksOff, u.stallAfter = true, 1+random.IntN(len(u.content))
	}
	if random.IntN(6) == 0 {
		u.limit = time.Duration(1+random.IntN(50)) * time.Millisecond
	}
	return u
}
