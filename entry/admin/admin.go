// Package admin serves the HTTP interface for operators and the metrics scraper.
package admin

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
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
	MountQuarantines(engine, a.options.Quarantines, a.options.Now)
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
