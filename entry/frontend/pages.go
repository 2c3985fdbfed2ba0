package frontend

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

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
		question := pages.ReadQuestion(c.Request.URL.Query())
		addresses := advertised(question.Zone)
		if len(addresses) == 0 {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		body, err := pages.RenderAnswer(addresses, keep())
		if err != nil {
			c.Status(http.StatusInternalServerError)
			return
		}
		c.Data(http.StatusOK, "application/json", body)
	})
	return engine
}

func newEngine() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	return engine
}
