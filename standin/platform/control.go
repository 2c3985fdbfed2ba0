package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/config/document"
)

// faultsRequest is the body of PUT /faults.
type faultsRequest struct {
	Delay  document.Duration `json:"delay"`
	Lag    document.Duration `json:"lag"`
	Frozen bool              `json:"frozen"`
	Down   bool              `json:"down"`
	OneWay bool              `json:"one_way"`
}

// callsResponse is the body of the response to GET /calls.
type callsResponse struct {
	Calls   int64 `json:"calls"`
	Peak    int64 `json:"peak_per_second"`
	Refused int64 `json:"refused"`
}

// ControlHandler returns a handler of the control paths: PUT /faults with the query
// parameter "replica", GET /calls, and PUT /vms with the query parameter "lag".
func (p *Platform) ControlHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.PUT("/faults", p.putFaults)
	engine.PUT("/vms", p.putVMs)
	engine.GET("/calls", func(c *gin.Context) {
		c.JSON(http.StatusOK, callsResponse{Calls: p.Calls(), Peak: p.PeakCallsPerSecond(), Refused: p.RefusedCalls()})
	})
	return engine
}

func (p *Platform) putFaults(c *gin.Context) {
	var faults faultsRequest
	index, err := strconv.Atoi(c.DefaultQuery("replica", "0"))
	if err == nil && (index < 0 || index >= len(p.replicas)) {
		err = fmt.Errorf("replica: value %d is not allowed: want 0 to %d", index, len(p.replicas)-1)
	}
	if err == nil {
		err = decodeStrictly(c.Request, &faults)
	}
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	p.Replica(index).SetFaults(Faults{
		Delay: faults.Delay.Std(), Lag: faults.Lag.Std(),
		Frozen: faults.Frozen, Down: faults.Down, OneWay: faults.OneWay,
	})
	c.Status(http.StatusNoContent)
}

func (p *Platform) putVMs(c *gin.Context) {
	var list document.VMList
	lag, err := time.ParseDuration(c.DefaultQuery("lag", "0s"))
	if err == nil {
		err = decodeStrictly(c.Request, &list)
	}
	if err == nil {
		err = p.PublishVMs(list, lag)
	}
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	c.Status(http.StatusNoContent)
}

func decodeStrictly(request *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, request.Body, document.MaxValueBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
