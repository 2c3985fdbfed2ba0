package main

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

const (
	// photoBytes is the size of a photo that is uploaded, previewBytes that of the answer to it.
	photoBytes, previewBytes = 4 << 20, 3 << 19
	// earlyBytes is how much of a photo an upstream has read when it begins to answer early.
	earlyBytes = 5 << 18
	// earlyUploads is how many photos are uploaded.
	earlyUploads = 8
)

// photos is the behaviour of upstreams that answer an upload with a preview of it. Their answers
// have a length and a seal.
type photos struct {
	// answersEarly is true when an upstream answers before it has read the whole body, keeps the
	// connection and reads on.
	answersEarly bool
}

// serve runs one upload that has a slot, and records the body that came.
func (p photos) serve(u *upstream, w http.ResponseWriter, r *http.Request, attempt platform.StandInRequest, load dialect.Load) {
	one := run{
		at: time.Now(), id: attempt.AttemptID, upstream: u.id, service: u.service, fromIP: ipOf(r.RemoteAddr),
		method: r.Method, target: r.RequestURI,
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	hash := sha256.New()
	if p.answersEarly {
		one.bodyBytes, _ = io.CopyN(hash, r.Body, earlyBytes)
	} else {
		one.bodyBytes, _ = io.Copy(hash, r.Body)
	}
	preview := newContent(previewBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(preview)))
	u.respond(w, dialect.ResponseMetadata{AttemptID: attempt.AttemptID, Signed: true, Load: &load}, http.StatusOK)
	const last = 1000
	_, _ = w.Write(preview[:len(preview)-last])
	_ = http.NewResponseController(w).Flush()
	rest, err := io.Copy(hash, r.Body)
	one.bodyBytes += rest
	one.bodyHash, one.bodyErr = hex.EncodeToString(hash.Sum(nil)), err
	u.book.add(one)
	_, _ = w.Write(preview[len(preview)-last:])
}

// playEarly: upstreams answer uploads before they have read the whole body, and read on.
func playEarly(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a"}, 3); err != nil {
		return cantRun, err
	}
	for _, u := range d.upstreams {
		u.setPhotos(&photos{answersEarly: trouble})
	}
	var uploads []sent
	for i := range earlyUploads {
		client := newKeptClient(d.record, d.fronts[i%len(d.fronts)].at(d.ports.front))
		client.send("GET", "/visits/17", 3*time.Second, nil, nil)
		photo := newContent(photoBytes)
		uploads = append(uploads, client.send("POST", "/forms/photo", uploadTimeout, photo, &pacedBody{rest: photo}))
		client.transport.CloseIdleConnections()
	}
	return d.judgeBodies(uploads), nil
}
