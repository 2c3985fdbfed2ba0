package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// endlessCallers ask at the same time for responses without end, over and over for endlessTime.
	// The targets have a slot for each of them and for others.
	endlessCallers, endlessTime, endlessSlots = 300, 6 * time.Second, 64
	// soundCallers ask for small responses meanwhile, each every soundPause.
	soundCallers, soundPause = 5, 20 * time.Millisecond
	// endlessHeadBytes is the part of a head without end that a target sends at once, a little less
	// than the bound on a head; then it sends a little each headPause.
	endlessHeadBytes, headPause = 60 << 10, 50 * time.Millisecond
	// bodyPause is the time between two parts of 4 KB of a body without end.
	bodyPause = 2 * time.Millisecond
	// endlessPath is the part of a path for which a target responds without end.
	endlessPath = "endless"
)

// shortFields returns fields with different names, as short as possible.
func shortFields(bytes int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < bytes; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// endlessAtOnce returns a behavior that writes a begin and then parts until the connection is closed,
// with a pause before each part.
func endlessAtOnce(begin, part string, gap time.Duration) behavior {
	return func(out http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(out).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte(strings.ReplaceAll(begin, "ID", r.Header.Get("Id"))))
		for err == nil {
			time.Sleep(gap)
			_, err = conn.Write([]byte(part))
		}
	}
}

// startEndlessTargets starts targets that respond without end on endlessPath, and with a small
// response on other paths.
func startEndlessTargets(t *testing.T, endless behavior) (addresses []string) {
	t.Helper()
	small := servesBytes(2000, true)
	return startRealTargets(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, endlessPath) {
			endless(w, r)
			return
		}
		small(w, r)
	})
}

// askWithoutReading sends requests for a response without end, one after the other, and leaves each
// response unread for as long as the connection is open, or patientTimeout.
func askWithoutReading(ctx context.Context, address string) {
	dialer := net.Dialer{}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nId: r1\r\nLeft: 4000\r\n\r\n", safePath, endlessPath, host)
		select {
		case <-ctx.Done():
		case <-time.After(patientTimeout):
		}
		_ = conn.Close()
	}
}

// askForSound sends requests for a small response until the context ends, and counts those that were
// answered and those that were not served.
func askForSound(ctx context.Context, t *testing.T, address string, asked, failed *atomic.Int64) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		length, err := get(ctx, client, address, safePath+strconv.Itoa(i))
		if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return
		}
		asked.Add(1)
		if (err != nil || length != 2000) && failed.Add(1) <= 5 {
			t.Logf("another caller got %d bytes: %v", length, err)
		}
		time.Sleep(soundPause)
	}
}

// TestHeadsWithoutEndStayWithinTheMemory guards against a VM whose memory is used up by the heads of
// many responses that go on without end: what is parsed of a head of short fields needs fifteen times
// its bytes. Requests of the same route that targets answer must be served meanwhile. It uses
// connections of the loopback interface.
func TestHeadsWithoutEndStayWithinTheMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: sealed\r\n"
	for _, c := range []struct {
		name    string
		endless behavior
	}{
		{"short fields", endlessAtOnce(head+shortFields(endlessHeadBytes), "y:\r\n", headPause)},
		{"one field", endlessAtOnce(head+"X: "+strings.Repeat("x", endlessHeadBytes), "x", headPause)},
		{"interim responses", endlessAtOnce(strings.Repeat("HTTP/1.1 103 \r\n"+shortFields(500)+"\r\n", endlessHeadBytes/520), "HTTP/1.1 103 \r\n\r\n", headPause)},
		{"no HTTP", endlessAtOnce(strings.Repeat("noise", endlessHeadBytes/5), "noise", headPause)},
		{"slow fields", endlessAtOnce(head, "y: z\r\n", time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) { checkEndless(t, c.endless) })
	}
}

// checkEndless lets many callers ask for responses without end and checks the memory of the VM's
// process and that all other requests are served.
func checkEndless(t *testing.T, endless behavior) {
	if raceDetector {
		t.Skip("measures a process's memory; scripts/test.sh runs it without the race detector")
	}
	t.Setenv(slotsVariable, strconv.Itoa(endlessSlots))
	vm := startVMProcess(t, startEndlessTargets(t, endless))
	ctx, stop := context.WithTimeout(t.Context(), endlessTime)
	defer stop()
	var callers sync.WaitGroup
	for range endlessCallers {
		callers.Go(func() { askWithoutReading(ctx, vm.address) })
	}
	var asked, failed atomic.Int64
	for range soundCallers {
		callers.Go(func() { askForSound(ctx, t, vm.address, &asked, &failed) })
	}
	callers.Wait()
	peak := vm.peakBytes()
	t.Logf("peak memory %d bytes; %d of %d other requests not served", peak, failed.Load(), asked.Load())
	if peak >= testMemoryMB*1e6 {
		t.Errorf("the VM's process had %d bytes", peak)
	}
	if failed.Load() > 0 || asked.Load() == 0 {
		t.Errorf("%d of %d other requests were not served", failed.Load(), asked.Load())
	}
}

// TestBodiesWithoutEndRefuseNoOthers guards against a faulty target that, together with callers that
// don't read, makes the VM refuse the other requests of the same route for lack of memory, or use up its
// memory. It uses connections of the loopback interface.
func TestBodiesWithoutEndRefuseNoOthers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: sealed\r\n"
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	for _, c := range []struct {
		name    string
		endless behavior
	}{
		{"chunked", endlessAtOnce(head+"Transfer-Encoding: chunked\r\n\r\n", chunk, bodyPause)},
		{"until the connection ends", endlessAtOnce(head+"\r\n", chunk, bodyPause)},
		{"length", endlessAtOnce(head+"Content-Length: 9000000000000000000\r\n\r\n", chunk, bodyPause)},
		{"slow", endlessAtOnce(head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", headPause)},
		{"behind a response", endlessAtOnce(head+"Content-Length: 1\r\n\r\n", chunk, bodyPause)},
	} {
		t.Run(c.name, func(t *testing.T) { checkEndless(t, c.endless) })
	}
}
