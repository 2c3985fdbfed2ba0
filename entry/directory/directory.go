// Package directory tells callers which VMs to use.
package directory

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/subset"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	keepFor       = 5 * time.Second
	vmsPerAnswer  = 3
	windowLength  = 60 * time.Second
	directoryPath = "/v1/directory"
)

// Answer tells a caller which VMs serve a customer of a service.
type Answer struct {
	Service    string `json:"service"`
	Customer   string `json:"customer"`
	Generation uint64 `json:"generation"`
	// KeepForMs is how long the answer may be used.
	KeepForMs int64 `json:"keep_for_ms"`
	VMs       []VM  `json:"vms"`
}

// VM is one address to use.
type VM struct {
	Name    string `json:"vm"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// KeyPrefix starts an Idempotency-Key that this VM will dispatch.
	KeyPrefix string `json:"key_prefix"`
}

// Directory answers directory queries.
type Directory struct {
	members       contract.Members
	configuration contract.Configuration
}

// New returns a directory over the live members.
func New(members contract.Members, configuration contract.Configuration) *Directory {
	return &Directory{members: members, configuration: configuration}
}

// Mount adds the directory's path to an engine.
func (d *Directory) Mount(engine gin.IRoutes) {
	engine.GET(directoryPath, d.answer)
}

func (d *Directory) answer(c *gin.Context) {
	snap := d.configuration.Current()
	if snap == nil {
		c.JSON(http.StatusServiceUnavailable, gin.H{"reason": "no_configuration"})
		return
	}
	service, customer := c.Query("service"), c.Query("customer")
	if _, ok := snap.Service(service); !ok {
		c.JSON(http.StatusNotFound, gin.H{"reason": "unknown_service", "service": service})
		return
	}
	answer := Answer{Service: service, Customer: customer, Generation: snap.Generation, KeepForMs: keepFor.Milliseconds()}
	for _, member := range d.choose(service + "/" + customer) {
		answer.VMs = append(answer.VMs, VM{
			Name:      member.Vm,
			Zone:      member.Zone,
			Address:   member.CallersAddress,
			KeyPrefix: keyPrefix(member),
		})
	}
	c.JSON(http.StatusOK, answer)
}

func keyPrefix(member *primroseloomv1.Member) string {
	window := time.Duration(member.UptimeMs) * time.Millisecond / windowLength
	return fmt.Sprintf("%s.%x.%d.", member.Vm, member.Instance, window)
}

func (d *Directory) choose(key string) []*primroseloomv1.Member {
	byName := make(map[string]*primroseloomv1.Member)
	var candidates []subset.VM
	for _, member := range d.members.Members() {
		if member.Status != primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE {
			continue
		}
		byName[member.Vm] = member
		candidates = append(candidates, subset.VM{Name: member.Vm, Zone: member.Zone, Region: member.Region})
	}
	var chosen []*primroseloomv1.Member
	for _, vm := range subset.Choose(key, candidates, vmsPerAnswer) {
		chosen = append(chosen, byName[vm.Name])
	}
	return chosen
}
