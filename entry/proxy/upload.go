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

	"github.com/cespare/xxhash/v2"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// prefixBytes is the part of a body that is read before a request is
// dispatched and kept for another attempt.
const prefixBytes = 64 << 10

var (
	errUploadTooLarge = errors.New("the body is larger than allowed")
	errUploadStopped  = errors.New("the upload was stopped")
	errUploadBroken   = errors.New("the upload broke off")
)

// upload is a request's body. Its beginning is kept; the rest streams through
// once, no faster than the target takes it.
type upload struct {
	body     io.Reader
	prefix   []byte
	whole    bool
	limit    int64
	progress time.Duration
	deadline time.Time
	setRead  func(time.Time) error
	digest   hash.Hash

	mu       sync.Mutex
	stopped  bool
	consumed bool
	ended    bool
	total    int64
	failure  error
}

// newUpload wraps a request's body. The digest of the whole body is computed
// only for a keyed request.
func newUpload(r *http.Request, limits Limits, deadline time.Time, keyed bool) *upload {
	u := &upload{body: r.Body, limit: limits.MaxBodyBytes, progress: limits.StallTimeout, deadline: deadline}
	if keyed {
		u.digest = sha256.New()
	}
	u.setRead = func(time.Time) error { return nil }
	return u
}

// attach gives the upload control over reads from the caller's connection.
func (u *upload) attach(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	u.setRead = controller.SetReadDeadline
}

// fill reads the beginning of the body.
func (u *upload) fill() error {
	if u.body == nil || u.body == http.NoBody {
		u.whole, u.ended = true, true
		return nil
	}
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, rest{u}, prefixBytes)
	u.prefix = buffer.Bytes()
	u.consumed = false
	if errors.Is(err, io.EOF) {
		u.whole = true
		return nil
	}
	return err
}

// replayable reports whether the whole body can be sent again.
func (u *upload) replayable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.whole || !u.consumed
}

// open returns a reader of the whole body for one attempt.
func (u *upload) open() io.ReadCloser {
	if u.whole && len(u.prefix) == 0 {
		return http.NoBody
	}
	if u.whole {
		return io.NopCloser(bytes.NewReader(u.prefix))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(u.prefix), rest{u}))
}

// stop ends the upload: no read from the caller starts or goes on afterwards.
func (u *upload) stop() {
	if !u.mu.TryLock() {
		_ = u.setRead(time.Unix(1, 0))
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	u.stopped = true
	u.consumed = u.consumed || !u.whole
	if u.ended {
		_ = u.setRead(time.Time{})
	}
}

// stopAfter ends the upload and waits until its reader has finished.
func (u *upload) stopAfter(finished <-chan struct{}) {
	select {
	case <-finished:
	default:
		u.stop()
		<-finished
	}
}

// drain reads what is left of the body, so that its digest is complete.
func (u *upload) drain() error {
	if u.whole {
		return nil
	}
	_, err := io.Copy(io.Discard, rest{u})
	return err
}

// failed returns the error with which the caller's body broke off, if it did.
func (u *upload) failed() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failure
}

// sum returns the digest of the whole body, and whether it is complete.
func (u *upload) sum() (dispatch.Digest, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended || u.digest == nil {
		return dispatch.Digest{}, false
	}
	return dispatch.Digest(u.digest.Sum(nil)[:16]), true
}

// rest reads from the caller what has not been read yet.
type rest struct{ u *upload }

// Read waits at most the progress bound for the next bytes.
func (r rest) Read(p []byte) (int, error) {
	u := r.u
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return 0, errUploadStopped
	}
	if u.failure != nil {
		return 0, u.failure
	}
	if u.ended {
		return 0, io.EOF
	}
	u.consumed = true
	_ = u.setRead(earlier(time.Now().Add(u.progress), u.deadline))
	n, err := u.body.Read(p)
	u.total += int64(n)
	if u.digest != nil {
		_, _ = u.digest.Write(p[:n])
	}
	return n, u.note(err)
}

// note records how a read ended; the lock is held.
func (u *upload) note(err error) error {
	if u.limit > 0 && u.total > u.limit {
		err = errUploadTooLarge
	}
	if errors.Is(err, io.EOF) {
		u.ended = true
		_ = u.setRead(time.Time{})
		return io.EOF
	}
	if err != nil {
		u.failure = fmt.Errorf("read body after %d bytes: %w", u.total, err)
		return u.failure
	}
	return nil
}

// timedBody notes when the last byte of a body was taken, so that the time of
// an upload is not counted as the target's.
type timedBody struct {
	io.ReadCloser
	last atomic.Int64
}

// forRequest returns the body, or the library's mark for none.
func (b *timedBody) forRequest() io.ReadCloser {
	if b.ReadCloser == http.NoBody {
		return http.NoBody
	}
	return b
}

// Read passes on the body.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.last.Store(time.Now().UnixNano())
	return n, err
}

// lastRead returns the time of the last read, or the start when it is later.
func (b *timedBody) lastRead(start time.Time) time.Time {
	last := time.Unix(0, b.last.Load())
	if last.Before(start) {
		return start
	}
	return last
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// uploadRefusal explains a body that could not be read before dispatch.
func uploadRefusal(err error, peer string) error {
	reason := outcome.ReasonBadRequest
	if errors.Is(err, errUploadTooLarge) {
		reason = outcome.ReasonBodyTooLarge
	}
	return contract.Refuse(outcome.NotRun, reason, outcome.StepParse, peer, err)
}

// requestDigest identifies a request by method, path and beginning of its body.
func (c *call) requestDigest() dispatch.Digest {
	sum := sha256.New()
	writeParts(sum, c.request.Method, c.request.Host, c.request.RequestURI, c.request.Header.Get("Content-Type"), c.length())
	_, _ = sum.Write(c.upload.prefix)
	return dispatch.Digest(sum.Sum(nil)[:16])
}

// print computes the fingerprint under which a crash is remembered.
func (c *call) print() quarantine.Fingerprint {
	sum := xxhash.New()
	writeParts(sum, c.customer, c.service.Name, c.request.Method, c.request.RequestURI, c.length())
	_, _ = sum.Write(c.upload.prefix)
	return quarantine.Fingerprint(sum.Sum64())
}

// length tells bodies with the same beginning apart.
func (c *call) length() string {
	if c.upload.whole {
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
