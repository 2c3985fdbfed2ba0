// Package admin serves the HTTP interface for operators and the metrics scraper.
package admin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// Status is what an instance knows about the fleet.
type Status struct {
	VM         string               `json:"vm"`
	Generation uint64               `json:"generation"`
	Rejections []snapshot.Rejection `json:"rejections"`
	Members    []MemberStatus       `json:"members"`
}

// MemberStatus is one instance as seen by the instance that was queried.
type MemberStatus struct {
	VM             string `json:"vm"`
	Instance       uint64 `json:"instance"`
	Region         string `json:"region"`
	Zone           string `json:"zone"`
	Status         string `json:"status"`
	CallersAddress string `json:"callers_address"`
	PeersAddress   string `json:"peers_address"`
	Generation     uint64 `json:"generation"`
	ConfigProblem  string `json:"config_problem,omitempty"`
	RejectedCount  uint32 `json:"rejected_count"`
	UptimeMs       uint64 `json:"uptime_ms"`
}

// Quarantine is one request fingerprint that is refused or suspect.
type Quarantine struct {
	// Fingerprint is in hexadecimal, as the path of a DELETE request names it.
	Fingerprint string   `json:"fingerprint"`
	Service     string   `json:"service"`
	Targets     []string `json:"crashed_targets"`
	// Refused is false for a suspect, which runs one attempt at a time.
	Refused bool `json:"refused"`
	// EndsInMs is the time until the entry is dropped.
	EndsInMs int64 `json:"ends_in_ms"`
}

// Quarantines lists and lifts quarantined requests.
type Quarantines interface {
	// QuarantineList returns the quarantined and the suspect fingerprints.
	QuarantineList() []quarantine.Entry
	// QuarantineLift removes a fingerprint on all VMs; false when it has no entry.
	QuarantineLift(fingerprint quarantine.Fingerprint) bool
}

// Options configures an Admin.
type Options struct {
	Members       contract.Members
	Configuration contract.Configuration
	Explainers    []contract.Explainer
	Quarantines   Quarantines
	// Now is the clock on which quarantine entries expire.
	Now func() time.Duration
	// Metrics handles the scraper's requests.
	Metrics http.Handler
}

// Admin serves the admin listener.
type Admin struct {
	options Options
}

// New returns an admin handler.
func New(options Options) *Admin { return &Admin{options: options} }

// Mount adds the admin paths to an engine.
func (a *Admin) Mount(engine gin.IRoutes) {
	engine.GET("/metrics", gin.WrapH(a.options.Metrics))
	engine.GET("/v1/status", a.status)
	engine.GET("/v1/explain", a.explain)
	engine.GET("/v1/quarantines", a.quarantines)
	engine.DELETE("/v1/quarantines/:fingerprint", a.lift)
}

func (a *Admin) quarantines(c *gin.Context) {
	now := a.options.Now()
	rows := []Quarantine{}
	for _, entry := range a.options.Quarantines.QuarantineList() {
		rows = append(rows, Quarantine{
			Fingerprint: strconv.FormatUint(uint64(entry.Fingerprint), 16),
			Service:     entry.Service,
			Targets:     entry.Targets,
			Refused:     entry.Quarantined,
			EndsInMs:    max(0, (entry.ExpiresAt - now).Milliseconds()),
		})
	}
	c.JSON(http.StatusOK, rows)
}

func (a *Admin) lift(c *gin.Context) {
	fingerprint, err := strconv.ParseUint(c.Param("fingerprint"), 16, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": "fingerprint: want up to 16 hexadecimal digits"})
		return
	}
	if !a.options.Quarantines.QuarantineLift(quarantine.Fingerprint(fingerprint)) {
		c.JSON(http.StatusNotFound, gin.H{"error": "fingerprint is not held"})
		return
	}
	c.Status(http.StatusNoContent)
}

func (a *Admin) status(c *gin.Context) {
	status := Status{VM: a.options.Members.Self().Vm}
	if snap := a.options.Configuration.Current(); snap != nil {
		status.Generation = snap.Generation
		status.Rejections = snap.Rejections()
	}
	for _, member := range a.options.Members.Members() {
		status.Members = append(status.Members, MemberStatus{
			VM:             member.Vm,
			Instance:       member.Instance,
			Region:         member.Region,
			Zone:           member.Zone,
			Status:         member.Status.String(),
			CallersAddress: member.CallersAddress,
			PeersAddress:   member.PeersAddress,
			Generation:     member.Generation,
			ConfigProblem:  member.ConfigProblem,
			RejectedCount:  member.RejectedCount,
			UptimeMs:       member.UptimeMs,
		})
	}
	c.JSON(http.StatusOK, status)
}

func (a *Admin) explain(c *gin.Context) {
	findings := []contract.Finding{}
	for _, explainer := range a.options.Explainers {
		findings = append(findings, explainer.Explain(c.Query("subject"))...)
	}
	c.JSON(http.StatusOK, findings)
}
