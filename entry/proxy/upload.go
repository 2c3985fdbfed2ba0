package proxy

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// maxPrefixBytes bounds the part of a body that is read before the request is
// dispatched, and kept for a retry.
const maxPrefixBytes = 64 << 10

var (
	errUploadTooLarge = errors.New("the body is larger than allowed")
	errUploadStopped  = errors.New("the upload was stopped")
)

// upload is a request's body. Its beginning is kept in memory; the rest is
// streamed once, no faster than the target reads it.
type upload struct {
	body   io.Reader
	prefix []byte
	// expected is how long the prefix may become, in bytes.
	expected int
	// fullyBuffered is true when prefix holds the complete body.
	fullyBuffered   bool
	maxBytes        int64
	stallTimeout    time.Duration
	deadline        time.Time
	setReadDeadline func(time.Time) error
	digest          hash.Hash

	mu      sync.Mutex
	stopped bool
	// consumed is true once bytes past the prefix may have been read.
	consumed bool
	// ended is true once the end of the body has been read.
	ended     bool
	readBytes int64
	readErr   error
}

// newUpload wraps a request's body. The digest of the complete body is computed
// only for a keyed request.
func newUpload(r *http.Request, limits Limits, deadline time.Time, keyed bool) *upload {
	u := &upload{body: r.Body, expected: expectedPrefix(r), maxBytes: limits.MaxBodyBytes, stallTimeout: limits.StallTimeout, deadline: deadline}
	if keyed {
		u.digest = sha256.New()
	}
	u.setReadDeadline = func(time.Time) error { return nil }
	return u
}

// expectedPrefix returns how long the beginning of a body may become that is kept, in bytes.
func expectedPrefix(r *http.Request) int {
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		return 0
	case r.ContentLength >= 0:
		return int(min(r.ContentLength, maxPrefixBytes))
	}
	return maxPrefixBytes
}

// attach makes the upload set the read deadlines of the caller's connection.
func (u *upload) attach(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	u.setReadDeadline = controller.SetReadDeadline
}

// readPrefix reads the beginning of the body.
func (u *upload) readPrefix() error {
	if u.body == nil || u.body == http.NoBody {
		u.fullyBuffered, u.ended = true, true
		return nil
	}
	var buffer bytes.Buffer
	buffer.Grow(u.expected + bytes.MinRead)
	_, err := io.CopyN(&buffer, remainingBody{u}, maxPrefixBytes)
	u.prefix = buffer.Bytes()
	u.consumed = false
	if errors.Is(err, io.EOF) {
		u.fullyBuffered = true
		return nil
	}
	return err
}

// replayable reports whether the complete body can be sent again.
func (u *upload) replayable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fullyBuffered || !u.consumed
}

// open returns a reader of the complete body for one attempt.
func (u *upload) open() io.ReadCloser {
	if u.fullyBuffered && len(u.prefix) == 0 {
		return http.NoBody
	}
	if u.fullyBuffered {
		return io.NopCloser(bytes.NewReader(u.prefix))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(u.prefix), remainingBody{u}))
}

// stop ends the upload: it interrupts a read from the caller in progress, and
// later reads fail.
func (u *upload) stop() {
	if !u.mu.TryLock() {
		_ = u.setReadDeadline(time.Unix(1, 0))
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	u.stopped = true
	u.consumed = u.consumed || !u.fullyBuffered
	if u.ended {
		_ = u.setReadDeadline(time.Time{})
	}
}

// stopAndWait stops the upload, unless its reader has finished, and waits for the
// reader.
func (u *upload) stopAndWait(finished <-chan struct{}) {
	select {
	case <-finished:
	default:
		u.stop()
		<-finished
	}
}

// readRemaining reads and discards the rest of the body, so that its digest is
// complete.
func (u *upload) readRemaining() error {
	if u.fullyBuffered {
		return nil
	}
	_, err := io.Copy(io.Discard, remainingBody{u})
	return err
}

// readError returns the error that truncated the caller's body, if any.
func (u *upload) readError() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.readErr
}

// bodyDigest returns the digest of the complete body; false when the body was
// not read to its end or no digest is computed.
func (u *upload) bodyDigest() (dispatch.Digest, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended || u.digest == nil {
		return dispatch.Digest{}, false
	}
	return dispatch.Digest(u.digest.Sum(nil)[:16]), true
}

// remainingBody reads the part of the body that has not been read yet.
type remainingBody struct{ u *upload }

// Read waits for the next bytes no longer than the stall timeout.
func (r remainingBody) Read(p []byte) (int, error) {
	u := r.u
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return 0, errUploadStopped
	}
	if u.readErr != nil {
		return 0, u.readErr
	}
	if u.ended {
		return 0, io.EOF
	}
	u.consumed = true
	_ = u.setReadDeadline(earlier(time.Now().Add(u.stallTimeout), u.deadline))
	n, err := u.body.Read(p)
	u.readBytes += int64(n)
	if u.digest != nil {
		_, _ = u.digest.Write(p[:n])
	}
	return n, u.recordRead(err)
}

// recordRead records the error of a read, if any; u.mu must be held.
func (u *upload) recordRead(err error) error {
	if u.maxBytes > 0 && u.readBytes > u.maxBytes {
		err = errUploadTooLarge
	}
	if errors.Is(err, io.EOF) {
		u.ended = true
		_ = u.setReadDeadline(time.Time{})
		return io.EOF
	}
	if err != nil {
		u.readErr = fmt.Errorf("read body after %d bytes: %w", u.readBytes, err)
		return u.readErr
	}
	return nil
}

// timedBody records the time of the last read of a body, so that the time of an
// upload does not count as the target's response time.
type timedBody struct {
	io.ReadCloser
	// last is when the body was last read, with the monotonic clock's reading.
	last atomic.Pointer[time.Time]
}

// asRequestBody returns the body, or http.NoBody when there is none.
func (b *timedBody) asRequestBody() io.ReadCloser {
	if b.ReadCloser == http.NoBody {
		return http.NoBody
	}
	return b
}

// Read reads from the body and records the time.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	now := time.Now()
	b.last.Store(&now)
	return n, err
}

// lastRead returns the time of the last read, or the start when it is later.
func (b *timedBody) lastRead(start time.Time) time.Time {
	if last := b.last.Load(); last != nil && last.After(start) {
		return *last
	}
	return start
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// uploadRefusal returns the refusal of a request whose body could not be read
// before dispatch.
func uploadRefusal(err error, peer string) error {
	reason := outcome.ReasonBadRequest
	if errors.Is(err, errUploadTooLarge) {
		reason = outcome.ReasonBodyTooLarge
	}
	return contract.NewRefusal(outcome.NotRun, reason, outcome.StepParse, peer, err)
}

// requestDigest identifies a request by its method, host, URI, content type, the
// length and the beginning of its body.
func (c *call) requestDigest() dispatch.Digest {
	sum := sha256.New()
	writeParts(sum, c.request.Method, c.request.Host, c.request.RequestURI, c.request.Header.Get("Content-Type"), c.lengthText())
	_, _ = sum.Write(c.upload.prefix)
	return dispatch.Digest(sum.Sum(nil)[:16])
}

// identify returns the identity by which the request is known when it is sent again. The
// length of the body is not part of it: a body may also be sent in chunks.
func (c *call) identify() quarantine.Identity {
	return quarantine.Identify(quarantine.Request{
		Caller: c.customer, Resource: []string{c.service.Name, c.request.Method, c.request.URL.Path}, Query: c.request.URL.RawQuery, Body: c.upload.prefix,
	})
}

// lengthText returns the body's length, which distinguishes bodies with the same
// beginning.
func (c *call) lengthText() string {
	if c.upload.fullyBuffered {
		return strconv.Itoa(len(c.upload.prefix))
	}
	return strconv.FormatInt(c.request.ContentLength, 10)
}

func writeParts(w io.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = io.WriteString(w, part)
		_, _ = w.Write([]byte{0})
	}
}
