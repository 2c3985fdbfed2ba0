package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// TestUploadRefusedByAPrimaryAfterItsBeginIsNotSentAgain guards against an upload that runs without
// the part of its body that a primary VM had got before it refused the request.
func TestUploadRefusedByAPrimaryAfterItsBeginIsNotSentAgain(t *testing.T) {
	for _, isChunked := range []bool{true, false} {
		for _, reason := range []outcome.Reason{outcome.ReasonCutOff, outcome.ReasonNoMemory} {
			whole := answersAfter(-1, http.StatusOK, 100)
			withUploads(t, []uploadBehavior{whole, whole}, func(h *uploadHarness) {
				client := h.startOther(refusesForwarded(maxBufferedBodyBytes+200_000, reason))
				h.gateway.options.Carriers = otherVM{client: client, isPrimary: true}
				u := upload{path: patientPath + "1", content: pattern(3 << 20), isChunked: isChunked}
				status, _, err := h.sendUpload(u)
				if err != nil || status != http.StatusServiceUnavailable {
					t.Errorf("chunked: %v, %s: status %d, %v; want it refused", isChunked, reason, status, err)
				}
				time.Sleep(time.Second)
				if h.total() > 0 {
					t.Errorf("chunked: %v, %s: %d attempts were begun", isChunked, reason, h.total())
				}
				h.check(string(reason), u.content)
			})
		}
	}
}

// TestUploadRefusedByAPrimaryBeforeItsRestIsServed guards against uploads that are refused although
// their body can still be sent from its first byte.
func TestUploadRefusedByAPrimaryBeforeItsRestIsServed(t *testing.T) {
	withUploads(t, []uploadBehavior{answersAfter(-1, http.StatusOK, 100)}, func(h *uploadHarness) {
		h.gateway.options.Carriers = otherVM{client: h.startOther(refusesForwarded(0, outcome.ReasonCutOff)), isPrimary: true}
		u := upload{path: patientPath + "1", content: pattern(900_000), isChunked: true}
		if status, _, err := h.sendUpload(u); err != nil || status != http.StatusOK {
			t.Errorf("a body that is held: status %d, %v", status, err)
		}
		h.network.Refuse(ownIP, otherIP, true)
		h.gateway.options.Carriers = otherVM{client: h.gateway.options.Carriers.(otherVM).client, isPrimary: true}
		h.network.ResetConnections(ownIP, otherIP)
		u.content = pattern(3 << 20)
		if status, _, err := h.sendUpload(u); err != nil || status != http.StatusOK {
			t.Errorf("a body that no VM has got: status %d, %v", status, err)
		}
	})
}
