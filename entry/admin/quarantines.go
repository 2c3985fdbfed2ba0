package admin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// Quarantine is one request fingerprint that is refused or suspect.
type Quarantine struct {
	// Fingerprint is in hexadecimal, as the path of a DELETE request names it.
	Fingerprint string   `json:"fingerprint"`
	Service     string   `json:"service"`
	Targets     []string `json:"crashed_targets"`
	// AnyCaller and AnyQuery are true when the fingerprint stands for requests that differ
	// in the caller or in the query.
	AnyCaller bool `json:"any_caller"`
	AnyQuery  bool `json:"any_query"`
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

// quarantinePages serves the list of quarantines and lifts them.
type quarantinePages struct {
	quarantines Quarantines
	now         func() time.Duration
}

// MountQuarantines adds the paths for quarantines to an engine; now is the clock on
// which the entries expire.
func MountQuarantines(engine gin.IRoutes, quarantines Quarantines, now func() time.Duration) {
	pages := quarantinePages{quarantines: quarantines, now: now}
	engine.GET("/v1/quarantines", pages.list)
	engine.DELETE("/v1/quarantines/:fingerprint", pages.lift)
}

func (p quarantinePages) list(c *gin.Context) {
	now := p.now()
	rows := []Quarantine{}
	for _, entry := range p.quarantines.QuarantineList() {
		rows = append(rows, Quarantine{
			Fingerprint: entry.Fingerprint.String(),
			Service:     entry.Service,
			Targets:     targetsOf(entry.Crashes),
			AnyCaller:   entry.LeftOut().AnyCaller(),
			AnyQuery:    entry.LeftOut().AnyQuery(),
			Refused:     entry.Quarantined,
			EndsInMs:    max(0, (entry.ExpiresAt - now).Milliseconds()),
		})
	}
	c.JSON(http.StatusOK, rows)
}

// targetsOf returns the targets that crashed, one for each crash.
func targetsOf(crashes []quarantine.Crash) []string {
	targets := make([]string, 0, len(crashes))
	for _, crash := range crashes {
		targets = append(targets, crash.Target)
	}
	return targets
}

func (p quarantinePages) lift(c *gin.Context) {
	fingerprint, err := strconv.ParseUint(c.Param("fingerprint"), 16, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": "fingerprint: want up to 16 hexadecimal digits"})
		return
	}
	if !p.quarantines.QuarantineLift(quarantine.Fingerprint(fingerprint)) {
		c.JSON(http.StatusNotFound, gin.H{"error": "fingerprint is not held"})
		return
	}
	c.Status(http.StatusNoContent)
}
