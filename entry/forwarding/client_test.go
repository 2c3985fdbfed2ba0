package forwarding

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// TestNotSentMeansThatNothingWasLookedAt guards against a request that is told as not run
// although another VM may have run it, and against one that is given up although no VM has
// seen it: the VM is gone, or of a build that serves no forwarded requests.
func TestNotSentMeansThatNothingWasLookedAt(t *testing.T) {
	older := http.NewServeMux()
	older.Handle(primroseloomv1connect.NewPeerServiceHandler(primroseloomv1connect.UnimplementedPeerServiceHandler{}))
	broken := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(io.LimitReader(r.Body, 1))
		panic(http.ErrAbortHandler)
	})
	for name, c := range map[string]struct {
		handler http.Handler
		gone    bool
		want    bool
	}{"gone": {older, true, true}, "older build": {older, false, true}, "ends meanwhile": {broken, false, false}} {
		server := httptest.NewUnstartedServer(c.handler)
		server.Config.Protocols = new(http.Protocols)
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		server.Start()
		if c.gone {
			server.Close()
		}
		if got := NotSent(exchange(t, server.URL)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		server.Close()
	}
}

// exchange forwards a request to the VM at a URL and returns the error.
func exchange(t *testing.T, url string) error {
	t.Helper()
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := primroseloomv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, url)
	x, err := Start(context.Background(), client, &primroseloomv1.ForwardHead{Method: []byte(http.MethodGet)}, io.NopCloser(strings.NewReader("")))
	if err != nil {
		return err
	}
	defer x.Close()
	_, _, err = x.Response()
	if err == nil {
		t.Fatal("no error")
	}
	return err
}
