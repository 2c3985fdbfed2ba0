package main

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

const (
	// photoBytes is the size of a photo that is uploaded, previewBytes that of the answer to it.
	photoBytes, previewBytes = 4 << 20, 3 << 19
	// earlyBytes is how much of a photo an upstream has read when it begins to answer early.
	earlyBytes = 5 << 18
	// earlyShare is the part of its answers that an upstream begins early, earlyTime how long it does;
	// one upstream of earlyUpstreams does.
	earlyShare, earlyTime, earlyUpstreams = 0.02, 5 * time.Second, 3
	// earlyUploaders send photos, earlyReaders look-ups that take earlyWork, one after the other.
	earlyUploaders, earlyReaders, earlyWork = 3, 8, 20 * time.Millisecond
)

// photos is the behaviour of an upstream that answers an upload with a preview of it. The answers
// have a length and a seal.
type photos struct {
	// mayBeEarly is true while the upstream begins some answers before it has read the whole body,
	// keeps the connection and reads on.
	mayBeEarly atomic.Bool

	mu sync.Mutex
	// answers counts those since mayBeEarly was set, early the early ones of them.
	answers, early int
}

// count counts an answer.
func (p *photos) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mayBeEarly.Load() {
		p.answers++
	}
}

// beginsEarly reports whether the next answer is begun early, which keeps their share to earlyShare.
func (p *photos) beginsEarly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.mayBeEarly.Load() || float64(p.early+1) > earlyShare*float64(p.answers) {
		return false
	}
	p.early++
	return true
}

// serve runs one upload that has a slot, and records the body that came. One that breaks off has no
// answer and counts as no run.
func (p *photos) serve(u *upstream, w http.ResponseWriter, r *http.Request, attempt platform.StandInRequest, load dialect.Load) {
	one := run{
		at: time.Now(), id: attempt.AttemptID, upstream: u.id, service: u.service, fromIP: ipOf(r.RemoteAddr),
		method: r.Method, target: r.RequestURI,
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	hash := sha256.New()
	first, err := io.CopyN(hash, r.Body, earlyBytes)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rest, isRead := int64(0), false
	if !p.beginsEarly() {
		if rest, err = io.Copy(hash, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		isRead = true
	}
	preview := newContent(previewBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(preview)))
	u.respond(w, dialect.ResponseMetadata{AttemptID: attempt.AttemptID, Signed: true, Load: &load}, http.StatusOK)
	const last = 1000
	_, _ = w.Write(preview[:len(preview)-last])
	_ = http.NewResponseController(w).Flush()
	if !isRead {
		if rest, err = io.Copy(hash, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	one.bodyBytes, one.bodyHash = first+rest, hex.EncodeToString(hash.Sum(nil))
	u.book.add(one)
	p.count()
	_, _ = w.Write(preview[len(preview)-last:])
}

// playEarly: an upstream begins some of its answers before it has read the whole body, and reads on.
func playEarly(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a"}, earlyUpstreams); err != nil {
		return cantRun, err
	}
	for _, u := range d.upstreams {
		u.work = earlyWork
		u.photos.Store(&photos{})
	}
	some := d.upstreams[0]
	if trouble {
		d.record.note("upstream %s begins up to %.0f in 100 of its answers early for %v", some.id, 100*earlyShare, earlyTime)
		some.photos.Load().mayBeEarly.Store(true)
	}
	var mu sync.Mutex
	var uploads []sent
	var wait sync.WaitGroup
	until := time.Now().Add(earlyTime)
	for i := range earlyUploaders + earlyReaders {
		wait.Go(func() {
			client := newKeptClient(d.record, d.fronts[i%len(d.fronts)].at(d.ports.front))
			defer client.transport.CloseIdleConnections()
			client.send("GET", "/visits/17", 3*time.Second, nil, nil)
			for time.Now().Before(until) {
				if i >= earlyUploaders {
					client.send("GET", "/visits/17", 3*time.Second, nil, nil)
					continue
				}
				photo := newContent(photoBytes)
				s := client.send("POST", "/forms/photo", uploadTimeout, photo, &pacedBody{rest: photo})
				mu.Lock()
				uploads = append(uploads, s)
				mu.Unlock()
			}
		})
	}
	time.AfterFunc(time.Until(until), func() { some.photos.Load().mayBeEarly.Store(false) })
	wait.Wait()
	p := some.photos.Load()
	p.mu.Lock()
	d.record.note("%d uploads were sent; upstream %s began %d of %d answers early", len(uploads), some.id, p.early, p.answers)
	p.mu.Unlock()
	return d.judgeBodies(uploads), nil
}
