package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// TestBodyWithoutRoomIsRefused guards against bodies that are held beyond the budget, and
// against bodies that are changed by being held.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	for _, stated := range []bool{true, false} {
		withMemory(t, nil, func(h *harness) {
			content := pattern(300_000)
			read := func() (body, *outcome.Refusal) {
				b := body{hold: h.gateway.memory.newHold()}
				defer b.hold.release()
				r := h.request(http.MethodPost, oncePath+"1", string(content))
				if !stated {
					r.ContentLength = -1
				}
				refusal := b.read(httptest.NewRecorder(), r, 0, time.Now().Add(time.Second))
				return b, refusal
			}
			if b, refusal := read(); refusal != nil || !bytes.Equal(b.buffered, content) || b.rest != nil {
				t.Errorf("stated: %v: refusal %v, %d bytes", stated, refusal, len(b.buffered))
			}
			h.leaveRoom(200_000)
			if _, refusal := read(); refusal == nil || refusal.Reason != outcome.ReasonNoMemory || refusal.Outcome != outcome.NotRun {
				t.Errorf("stated: %v: refusal %v without room", stated, refusal)
			}
		})
	}
}

// TestLongBodyIsStreamedBehindItsHeldPart guards against a long body of which a part is
// lost.
func TestLongBodyIsStreamedBehindItsHeldPart(t *testing.T) {
	withMemory(t, nil, func(h *harness) {
		content := pattern(maxBufferedBodyBytes + 5000)
		b := body{hold: h.gateway.memory.newHold()}
		r := h.request(http.MethodPost, oncePath+"1", string(content))
		if refusal := b.read(httptest.NewRecorder(), r, 0, time.Now().Add(time.Second)); refusal != nil {
			t.Fatal(refusal)
		}
		if got, err := io.ReadAll(b.open()); err != nil || !bytes.Equal(got, content) || b.length != int64(len(content)) {
			t.Errorf("%d bytes of %d, %v", len(got), b.length, err)
		}
	})
}
