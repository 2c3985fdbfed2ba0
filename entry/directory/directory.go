// Package directory tells callers which VMs to use.
//
// A response lists VMs in order of preference, with the prefix of the
// Idempotency-Keys for each VM, and says how long the response may be used. Any
// VM responds for any service and customer, so a caller that has lost all its
// VMs can query any address it knows.
package directory

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/assign"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/subset"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const directoryPath = "/v1/directory"

// Settings are the parameters of the directory.
type Settings struct {
	// KeepFor is how long a caller may use a response.
	KeepFor time.Duration
	// WindowLength is the length of a dispatch window.
	WindowLength time.Duration
	// VMsPerCustomer is the number of VMs in a response.
	VMsPerCustomer int
}

// DefaultSettings returns the default parameters.
func DefaultSettings() Settings {
	return Settings{KeepFor: 10 * time.Second, WindowLength: time.Minute, VMsPerCustomer: 3}
}

// Readiness reports whether the instance's view of the fleet is reliable.
type Readiness interface {
	// Revalidating reports true from a pause of this process until another
	// instance has responded.
	Revalidating() bool
}

// Response tells a caller which VMs serve a customer of a service.
type Response struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	// Generation is the configuration generation used for the response.
	Generation uint64 `json:"generation"`
	// KeepForMs is how long the response may be used.
	KeepForMs int64 `json:"keep_for_ms"`
	// WindowMs is the length of a dispatch window. A key is accepted in the
	// window in its prefix and in the next one.
	WindowMs int64 `json:"window_ms"`
	// VMs are in order of preference.
	VMs []VM `json:"vms"`
	// AnsweredBy is the VM that sent the response.
	AnsweredBy string `json:"answered_by"`
}

// VM is a VM that the caller may use.
type VM struct {
	Name    string `json:"vm"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// KeyPrefix is how an Idempotency-Key must begin for this VM to dispatch it.
	KeyPrefix string `json:"key_prefix"`
}

// Directory serves directory queries.
type Directory struct {
	settings      Settings
	members       contract.Members
	configuration contract.Configuration
	readiness     Readiness
	logger        *log.Logger
	scope         tally.Scope

	mu    sync.Mutex
	cache setCache
}

// setCache holds the services' sets for one membership view and one snapshot.
type setCache struct {
	members  []*primroseloomv1.Member
	snapshot *snapshot.Snapshot
	// candidatesHash is the hash of the member fields that the sets depend on.
	candidatesHash uint64
	byService      map[string]subset.Set
	byName         map[string]*primroseloomv1.Member
}

// New returns a directory over the live members.
func New(settings Settings, members contract.Members, configuration contract.Configuration, readiness Readiness, logger *log.Logger, scope tally.Scope) *Directory {
	return &Directory{settings: settings, members: members, configuration: configuration,
		readiness: readiness, logger: logger, scope: scope.SubScope("directory")}
}

// Mount adds the directory's path to an engine.
func (d *Directory) Mount(engine gin.IRoutes) {
	engine.GET(directoryPath, d.handleQuery)
}

func (d *Directory) handleQuery(c *gin.Context) {
	response, refusal := d.Lookup(c.Query("service"), c.Query("customer"))
	if refusal != nil {
		d.refuse(c, refusal)
		return
	}
	d.scope.Counter("answers").Inc(1)
	c.Header("Cache-Control", "no-store")
	c.JSON(http.StatusOK, response)
}

// Lookup returns the VMs that serve a customer of a service.
func (d *Directory) Lookup(service, customer string) (*Response, *Refusal) {
	snap := d.configuration.Current()
	if refusal := d.checkQuery(snap, service, customer); refusal != nil {
		return nil, refusal
	}
	response := &Response{
		Service: service, Customer: customer, Generation: snap.Generation,
		KeepForMs: d.settings.KeepFor.Milliseconds(), WindowMs: d.settings.WindowLength.Milliseconds(),
		AnsweredBy: d.members.Self().Vm,
	}
	for _, member := range d.chooseMembers(snap, service, customer) {
		response.VMs = append(response.VMs, VM{
			Name: member.Vm, Zone: member.Zone, Address: member.CallersAddress, KeyPrefix: d.keyPrefix(member),
		})
	}
	if len(response.VMs) == 0 {
		return nil, refuseNoVM(service)
	}
	return response, nil
}

// checkQuery returns a refusal if the query cannot be served.
func (d *Directory) checkQuery(snap *snapshot.Snapshot, service, customer string) *Refusal {
	if service == "" || customer == "" {
		return refuseBadRequest()
	}
	if snap == nil {
		return refuseNoConfiguration()
	}
	if d.readiness.Revalidating() {
		return refusePaused()
	}
	if _, ok := snap.Service(service); !ok {
		return refuseUnknownService(service)
	}
	known, ok := snap.Customer(customer)
	if !ok {
		return refuseUnknownCustomer(customer)
	}
	if !known.Services[service] {
		return refuseServiceNotAllowed(service, customer)
	}
	return nil
}

func (d *Directory) keyPrefix(member *primroseloomv1.Member) string {
	window := time.Duration(member.UptimeMs) * time.Millisecond / d.settings.WindowLength
	return fmt.Sprintf("%s.%x.%d.", member.Vm, member.Instance, window)
}

// chooseMembers returns the customer's VMs of a service, in order of preference.
func (d *Directory) chooseMembers(snap *snapshot.Snapshot, service, customer string) []*primroseloomv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(snap)
	set, ok := d.cache.byService[service]
	if !ok {
		definition, _ := snap.Service(service)
		set = d.buildSet(definition)
		d.cache.byService[service] = set
	}
	var chosen []*primroseloomv1.Member
	for _, vm := range set.Choose(customer, d.settings.VMsPerCustomer) {
		chosen = append(chosen, d.cache.byName[vm.Name])
	}
	return chosen
}

// refresh updates the cached members, and drops the cached sets when the
// candidates or the configuration have changed. Members returns a new slice
// whenever something in it has changed.
func (d *Directory) refresh(snap *snapshot.Snapshot) {
	members := d.members.Members()
	if d.cache.snapshot == snap && slices.Equal(d.cache.members, members) {
		return
	}
	candidatesHash := hashCandidates(members)
	if d.cache.snapshot != snap || d.cache.candidatesHash != candidatesHash {
		d.cache = setCache{snapshot: snap, candidatesHash: candidatesHash, byService: make(map[string]subset.Set)}
	}
	d.cache.members = members
	d.cache.byName = make(map[string]*primroseloomv1.Member, len(members))
	for _, member := range members {
		d.cache.byName[member.Vm] = member
	}
}

// hashCandidates hashes the fields of the members that the sets depend on.
func hashCandidates(members []*primroseloomv1.Member) uint64 {
	digest := xxhash.New()
	for _, member := range members {
		for _, field := range []string{member.Vm, member.Zone, member.Region} {
			_, _ = digest.WriteString(field)
			_, _ = digest.Write([]byte{0})
		}
		_, _ = digest.Write([]byte{byte(member.Status)})
	}
	return digest.Sum64()
}

// buildSet chooses a service's set in this instance's region, or in the first
// region that has a member to advertise.
func (d *Directory) buildSet(service *document.Service) subset.Set {
	own := d.members.Self().Region
	set := assign.RegionSet(service, d.cache.members, own, assign.Advertised)
	for _, region := range assign.Regions(d.cache.members) {
		if len(set.VMs()) > 0 {
			break
		}
		set = assign.RegionSet(service, d.cache.members, region, assign.Advertised)
	}
	return set
}
