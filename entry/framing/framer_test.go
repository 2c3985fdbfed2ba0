package framing

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// requestEnds returns the places in a byte stream at which net/http finds the ends of requests, up to
// the first that is not whole or closes the connection.
func requestEnds(stream []byte) (ends []int) {
	source := bytes.NewReader(stream)
	reader := bufio.NewReader(source)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || request.ProtoMajor != 1 {
			return ends
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return ends
		}
		ends = append(ends, len(stream)-source.Len()-reader.Buffered())
		if request.Close {
			return ends
		}
	}
}

// randomRequest returns a valid request.
func randomRequest(random *rand.Rand) string {
	pick := func(of ...string) string { return of[random.IntN(len(of))] }
	bodies := []string{"slot", "\r\n\r\n", lookup, booking("x"), "0\r\n\r\n" + lookup, strings.Repeat("x", random.IntN(9000))}
	end := pick("\r\n", "\r\n", "\r\n", "\n")
	head := pick("GET", "PUT", "DELETE") + " /" + strings.Repeat("p", random.IntN(5)*random.IntN(400)) + " HTTP/1.1" + end + "Host: a.example" + end
	for range random.IntN(4) {
		head += pick("Cookie: "+strings.Repeat("c", random.IntN(2000)), "Accept: a,\r\n b", "X-Content-Length: 7", "Expect: 100-continue", "Connection: keep-alive") + end
	}
	switch body := pick(bodies...); random.IntN(3) {
	case 0:
		return head + end
	case 1:
		return head + fmt.Sprintf("%s:%s%d%s%s", pick("Content-Length", "content-length"), pick("", " ", "\t ", "\r\n ", "\n\t"), len(body), end+end, body)
	default:
		text := head + "Transfer-Encoding:" + pick(" ", "\r\n ") + pick("chunked", "CHUNKED ") + end + end
		for len(body) > 0 {
			n := 1 + random.IntN(len(body))
			text += fmt.Sprintf(pick("%x", "%X", "0%x", "%x;a", "%x; a=\"b\"")+"\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		return text + pick("0", "000", "0;a") + "\r\n" + pick("", "", "Sum: 1\r\n", "Sum: 1\r\nNext: GET /look HTTP/1.1\r\n") + "\r\n"
	}
}

// TestFramerAgreesWithNetHTTP guards against a stop that drops a whole request, or waits for one that
// has not arrived, since the framer and net/http find different ends of requests.
func TestFramerAgreesWithNetHTTP(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 0))
		var stream strings.Builder
		for range 1 + random.IntN(6) {
			stream.WriteString(randomRequest(random))
		}
		checkFramer(t, []byte(stream.String()), random, true)
	}
}

// checkFramer feeds a stream to a framer in random parts and compares it with net/http after each. Of a
// stream that is not valid, the framer may count fewer requests than net/http, and more only if net/http
// refuses the last one.
func checkFramer(t *testing.T, stream []byte, random *rand.Rand, isValid bool) {
	t.Helper()
	ends := requestEnds(stream)
	if isValid && (len(ends) == 0 || ends[len(ends)-1] != len(stream)) {
		t.Fatalf("net/http refuses the stream %q", stream)
	}
	whole := &framer{}
	whole.add(stream)
	split := &framer{}
	for at := 0; at < len(stream); {
		n := min(1+random.IntN(1+random.IntN(1500)), len(stream)-at)
		split.add(stream[at : at+n])
		at += n
		next, _ := slices.BinarySearch(ends, at+1)
		if isValid && split.whole != next || next < len(ends) && split.whole > next {
			t.Fatalf("%d bytes of %q: %d requests, want %d", at, stream, split.whole, next)
		}
	}
	if split.whole != whole.whole || split.state != whole.state || split.left != whole.left {
		t.Errorf("%q: %d requests at once, %d in parts", stream, whole.whole, split.whole)
	}
	if cap(split.line.content) > maxLine {
		t.Errorf("%d bytes of a line are kept", cap(split.line.content))
	}
}

// FuzzFramer guards against a stop that is held up, or ended, by bytes that are no valid requests.
func FuzzFramer(f *testing.F) {
	f.Add([]byte(lookup+booking("slot")+chunked("4;a\r\nslot\r\n0\r\nSum: 1\r\n\r\n")+lookup), uint64(0))
	f.Add([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"+lookup), uint64(1))
	f.Add([]byte("PUT / HTTP/1.0\nContent-Length: 4\nTransfer-Encoding: chunked\n\n0\r\n\r\n"), uint64(2))
	f.Fuzz(func(t *testing.T, stream []byte, seed uint64) {
		checkFramer(t, stream, rand.New(rand.NewPCG(seed, 0)), false)
	})
}
