package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/entry/settings"
)

// TestStopCutsNoRequestThatItTook guards against a request that a stopping VM takes although its time
// limit ends after the grace period, so that it is cut without an answer.
func TestStopCutsNoRequestThatItTook(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.configure = func(set *settings.Settings) { set.Stop.Grace = document.Duration(20 * time.Second) }
		w.startVM(w.ctx, 2)
		time.Sleep(settleTime)
		w.stops[vmName(2)]()
		time.AfterFunc(20*time.Second, func() { w.network.Kill(vmIP(2)) }) // the process ends
		time.Sleep(14 * time.Second)
		request, err := http.NewRequest(http.MethodPost, "http://"+vmIP(2)+":80/photos", &slowBody{chunks: 10, pause: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		request.Host = bookingHost
		request.Header.Set("Primroseloom-Credential", examples.Credential(portal))
		request.Header.Set("Request-Id", "u1")
		request.Header.Set("Primroseloom-Timeout-Ms", "30000")
		response, err := w.client.Do(request)
		if err != nil {
			t.Errorf("a request that began 14 s after the begin of the stop ended without an answer: %v", err)
		} else {
			_ = response.Body.Close()
		}
		<-w.done[vmName(2)]
		delete(w.stops, vmName(2))
	})
}
