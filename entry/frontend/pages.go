package frontend

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/entry/dialect"
)

// readinessEngine serves the platform's check whether this VM accepts callers.
func readinessEngine(pages dialect.Directory, ready func() bool) http.Handler {
	engine := newEngine()
	engine.GET(pages.ReadinessPath(), func(c *gin.Context) {
		if !ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return engine
}

// directoryEngine serves callers' queries for the VMs to use.
func directoryEngine(pages dialect.Directory, advertised func(zone string) []string, keep func() time.Duration) http.Handler {
	engine := newEngine()
	engine.GET(pages.DirectoryPath(), func(c *gin.Context) {
		query := pages.ReadDirectoryQuery(c.Request.URL.Query())
		addresses := advertised(query.Zone)
		if len(addresses) == 0 {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		body, err := pages.RenderDirectoryResponse(addresses, keep())
		if err != nil {
			c.Status(http.StatusInternalServerError)
			return
		}
		c.Data(http.StatusOK, "application/json", body)
	})
	return engine
}

// adminEngine serves operators and the metrics scraper.
func adminEngine(scrape http.Handler, quarantines admin.Quarantines, now func() time.Duration) http.Handler {
	engine := newEngine()
	engine.GET("/metrics", gin.WrapH(scrape))
	admin.MountQuarantines(engine, quarantines, now)
	return engine
}

func newEngine() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	return engine
}
