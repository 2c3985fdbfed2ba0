// Package platform reads and watches the published values over HTTP.
//
// The platform has several replicas, any of which may lag, hang or be down. A
// value's version grows with each change and is the same on all replicas, until the
// platform is restored from a copy, after which versions are assigned again. A version
// says only whether a value has changed; which of two values is newer must follow from
// the values. Calls have a time limit and responses a size limit.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
)

// VersionHeader carries a value's version.
const VersionHeader = "Primroseloom-Version"

const (
	// readTimeout bounds one read; a watch may take its wait in addition.
	readTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
)

// Causes of failed calls.
var (
	// ErrNotFound means that the replica has no value under a key.
	ErrNotFound = errors.New("no such value")
	// ErrStale means that the replica returned an older value than one seen before.
	ErrStale = errors.New("replica is stale")
	// ErrTooLarge means that a value exceeds the platform's limit.
	ErrTooLarge = fmt.Errorf("value exceeds %d bytes", document.MaxValueBytes)
)

// StatusError is the error for a response with an unexpected status.
type StatusError struct {
	Status int
}

// Error returns the status as text.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// Client implements contract.Platform over a list of replicas.
type Client struct {
	addresses []string
	http      *http.Client
	// preferred is the index of the replica whose call succeeded last.
	preferred atomic.Int64
}

// New returns a client of the replicas at the given "IP:port" addresses.
func New(addresses []string, network contract.Network) *Client {
	transport := &http.Transport{
		DialContext:            network.DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    2,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{addresses: addresses, http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// Replicas returns the number of replicas.
func (c *Client) Replicas() int { return len(c.addresses) }

// Read returns a value from the first replica that has it, starting with the
// one whose call succeeded last.
func (c *Client) Read(ctx context.Context, key string) (contract.Value, error) {
	return c.tryReplicas(ctx, func(replica int) (contract.Value, error) {
		return c.ReadAt(ctx, replica, key)
	})
}

// Watch waits until a value's version differs from the given one or the wait
// has passed; the content is nil when the version is the given one. Stale
// replicas are skipped.
func (c *Client) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (contract.Value, error) {
	return c.tryReplicas(ctx, func(replica int) (contract.Value, error) {
		value, err := c.WatchAt(ctx, replica, key, version, wait)
		if err == nil && value.Version < version {
			err = fmt.Errorf("watch %s at platform %s: %w: version %d, seen %d", key, c.addresses[replica], ErrStale, value.Version, version)
		}
		return value, err
	})
}

// ReadAt reads a value from one replica.
func (c *Client) ReadAt(ctx context.Context, replica int, key string) (contract.Value, error) {
	value, err := c.get(ctx, replica, "/v1/values/"+key, readTimeout)
	if err != nil {
		return value, fmt.Errorf("read %s from platform %s: %w", key, c.addresses[replica], err)
	}
	return value, nil
}

// WatchAt watches a value at one replica; version 0 means that none is known. The
// version that the replica returns may be smaller than the given one.
func (c *Client) WatchAt(ctx context.Context, replica int, key string, version uint64, wait time.Duration) (contract.Value, error) {
	query := url.Values{
		"version": {strconv.FormatUint(version, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	value, err := c.get(ctx, replica, "/v1/watch/"+key+"?"+query.Encode(), wait+readTimeout)
	if err != nil {
		return value, fmt.Errorf("watch %s at platform %s: %w", key, c.addresses[replica], err)
	}
	return value, nil
}

// tryReplicas calls the replicas in turn until one call succeeds.
func (c *Client) tryReplicas(ctx context.Context, call func(replica int) (contract.Value, error)) (contract.Value, error) {
	var failures []error
	begin := int(c.preferred.Load())
	for i := range c.addresses {
		replica := (begin + i) % len(c.addresses)
		value, err := call(replica)
		if err == nil {
			c.preferred.Store(int64(replica))
			return value, nil
		}
		failures = append(failures, err)
		if ctx.Err() != nil {
			break
		}
	}
	return contract.Value{}, errors.Join(failures...)
}

func (c *Client) get(ctx context.Context, replica int, path string, timeout time.Duration) (contract.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addresses[replica]+path, nil)
	if err != nil {
		return contract.Value{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return contract.Value{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response)
}

func decodeResponse(response *http.Response) (contract.Value, error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotModified:
	case http.StatusNotFound:
		return contract.Value{}, ErrNotFound
	default:
		return contract.Value{}, &StatusError{Status: response.StatusCode}
	}
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return contract.Value{}, fmt.Errorf("header %s: %w", VersionHeader, err)
	}
	if response.StatusCode == http.StatusNotModified {
		return contract.Value{Version: version}, nil
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, document.MaxValueBytes+1))
	if err != nil {
		return contract.Value{}, err
	}
	if len(content) > document.MaxValueBytes {
		return contract.Value{}, ErrTooLarge
	}
	return contract.Value{Version: version, Content: content}, nil
}
