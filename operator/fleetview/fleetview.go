// Package fleetview queries the admin interface of an instance for operators.
package fleetview

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/generation"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// requestTimeout limits one request to an instance.
const requestTimeout = 5 * time.Second

// Status returns the fleet's status as one instance knows it; address is the
// "IP:port" of the instance's admin listener.
func Status(ctx context.Context, address string) (admin.Status, error) {
	var status admin.Status
	err := get(ctx, address, "/v1/status", &status)
	return status, err
}

// Explain returns an instance's findings about a subject.
func Explain(ctx context.Context, address, subject string) ([]contract.Finding, error) {
	var findings []contract.Finding
	err := get(ctx, address, "/v1/explain?subject="+url.QueryEscape(subject), &findings)
	return findings, err
}

// Rollout summarizes how far the newest generation has spread, as the queried
// instance knows it.
func Rollout(status admin.Status) generation.Rollout {
	statements := make([]generation.Statement, 0, len(status.Members))
	for _, member := range status.Members {
		statements = append(statements, generation.Statement{
			VM:         member.VM,
			Generation: member.Generation,
			Problem:    member.ConfigProblem,
			Suspect:    member.Status == primroseloomv1.MemberStatus_MEMBER_STATUS_SUSPECT.String(),
			Leaving:    member.Status == primroseloomv1.MemberStatus_MEMBER_STATUS_LEAVING.String(),
			Rejected:   member.RejectedCount,
		})
	}
	return generation.SummarizeRollout(statements)
}

// Quarantines returns the requests that an instance refuses or suspects.
func Quarantines(ctx context.Context, address string) ([]admin.Quarantine, error) {
	var rows []admin.Quarantine
	err := get(ctx, address, "/v1/quarantines", &rows)
	return rows, err
}

// LiftQuarantine lifts the quarantine of a fingerprint, in hexadecimal, on every
// instance.
func LiftQuarantine(ctx context.Context, address, fingerprint string) error {
	return send(ctx, http.MethodDelete, address, "/v1/quarantines/"+url.PathEscape(fingerprint), nil)
}

func get(ctx context.Context, address, path string, into any) error {
	return send(ctx, http.MethodGet, address, path, into)
}

// send sends a request to an admin listener and decodes the response body into
// the given value, unless that is nil.
func send(ctx context.Context, method, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("request to %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("request to %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("request to %s for %s: status %d", address, path, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("decode response of %s: %w", address, err)
	}
	return nil
}
