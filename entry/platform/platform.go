// Package platform reads and watches the published values over HTTP.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
)

// VersionHeader carries a value's version.
const VersionHeader = "Primroseloom-Version"

// readTimeout bounds one read, on top of a watch's wait.
const readTimeout = 2 * time.Second

// ErrNotFound tells that the platform has no value under a key.
var ErrNotFound = errors.New("no such value")

// Client implements contract.Platform over a list of replicas.
type Client struct {
	addresses []string
	http      *http.Client
}

// New returns a client of the replicas at the given "IP:port" addresses.
func New(addresses []string, network contract.Network) *Client {
	return &Client{addresses: addresses, http: &http.Client{Transport: &http.Transport{DialContext: network.DialContext}}}
}

// Read returns a value from the first replica that answers.
func (c *Client) Read(ctx context.Context, key string) (contract.Value, error) {
	return c.first(ctx, "/v1/values/"+key, readTimeout)
}

// Watch waits until a value's version differs from the given one.
func (c *Client) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (contract.Value, error) {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return c.first(ctx, "/v1/watch/"+key+"?"+query.Encode(), wait+readTimeout)
}

func (c *Client) first(ctx context.Context, path string, timeout time.Duration) (contract.Value, error) {
	var failures []error
	for _, address := range c.addresses {
		value, err := c.get(ctx, address, path, timeout)
		if err == nil {
			return value, nil
		}
		failures = append(failures, fmt.Errorf("read %s from platform %s: %w", path, address, err))
	}
	return contract.Value{}, errors.Join(failures...)
}

func (c *Client) get(ctx context.Context, address, path string, timeout time.Duration) (contract.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return contract.Value{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return contract.Value{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return contract.Value{}, ErrNotFound
	}
	if response.StatusCode != http.StatusOK {
		return contract.Value{}, fmt.Errorf("status %d", response.StatusCode)
	}
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return contract.Value{}, fmt.Errorf("version header: %w", err)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, document.MaxValueBytes+1))
	if err != nil {
		return contract.Value{}, err
	}
	if len(content) > document.MaxValueBytes {
		return contract.Value{}, fmt.Errorf("value exceeds %d bytes", document.MaxValueBytes)
	}
	return contract.Value{Version: version, Content: content}, nil
}
