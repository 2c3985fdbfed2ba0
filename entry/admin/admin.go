// Package admin answers operators and the metrics scraper.
package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
)

// Status is what an instance knows of the fleet.
type Status struct {
	VM         string               `json:"vm"`
	Generation uint64               `json:"generation"`
	Rejections []snapshot.Rejection `json:"rejections"`
	Members    []MemberStatus       `json:"members"`
}

// MemberStatus is one instance as seen by the one asked.
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

// Admin serves the admin listener.
type Admin struct {
	members       contract.Members
	configuration contract.Configuration
	explainers    []contract.Explainer
	metrics       http.Handler
}

// New returns an admin handler; metrics serves the scraper.
func New(members contract.Members, configuration contract.Configuration, explainers []contract.Explainer, metrics http.Handler) *Admin {
	return &Admin{members: members, configuration: configuration, explainers: explainers, metrics: metrics}
}

// Mount adds the admin paths to an engine.
func (a *Admin) Mount(engine gin.IRoutes) {
	engine.GET("/metrics", gin.WrapH(a.metrics))
	engine.GET("/v1/status", a.status)
	engine.GET("/v1/explain", a.explain)
}

func (a *Admin) status(c *gin.Context) {
	status := Status{VM: a.members.Self().Vm}
	if snap := a.configuration.Current(); snap != nil {
		status.Generation = snap.Generation
		status.Rejections = snap.Rejections()
	}
	for _, member := range a.members.Members() {
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
	for _, explainer := range a.explainers {
		findings = append(findings, explainer.Explain(c.Query("subject"))...)
	}
	c.JSON(http.StatusOK, findings)
}
