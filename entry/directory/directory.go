// Package directory tells callers which VMs to use.
//
// The answer lists VMs in order of preference, how long it may be kept, and
// the prefix with which an Idempotency-Key for each VM begins. Any VM answers
// for any service and customer, so a caller whose VMs are all gone can ask any
// address it knows.
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
	// KeepFor is how long a caller may use an answer.
	KeepFor time.Duration
	// WindowLength is the length of a dispatch window.
	WindowLength time.Duration
	// VMsPerCustomer is the number of VMs in an answer.
	VMsPerCustomer int
}

// DefaultSettings returns the parameters that are in use.
func DefaultSettings() Settings {
	return Settings{KeepFor: 10 * time.Second, WindowLength: time.Minute, VMsPerCustomer: 3}
}

// Readiness tells whether the instance's view of the fleet can be relied on.
type Readiness interface {
	// Revalidating is true after a pause, until another instance has answered.
	Revalidating() bool
}

// Response tells a caller which VMs serve a customer of a service.
type Response struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	// Generation is the configuration that the answer rests on.
	Generation uint64 `json:"generation"`
	// KeepForMs is how long the answer may be used.
	KeepForMs int64 `json:"keep_for_ms"`
	// WindowMs is the length of a dispatch window. A key is accepted in the
	// window that it names and in the next one.
	WindowMs int64 `json:"window_ms"`
	// VMs are in order of preference.
	VMs []VM `json:"vms"`
	// AnsweredBy is the VM that answered.
	AnsweredBy string `json:"answered_by"`
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
	settings      Settings
	members       contract.Members
	configuration contract.Configuration
	readiness     Readiness
	logger        *log.Logger
	scope         tally.Scope

	mu   sync.Mutex
	sets sets
}

// sets caches the services' sets for one view and one snapshot.
type sets struct {
	members  []*primroseloomv1.Member
	snapshot *snapshot.Snapshot
	// candidates sums up what the sets depend on.
	candidates uint64
	byService  map[string]subset.Set
	byName     map[string]*primroseloomv1.Member
}

// New returns a directory over the live members.
func New(settings Settings, members contract.Members, configuration contract.Configuration, readiness Readiness, logger *log.Logger, scope tally.Scope) *Directory {
	return &Directory{settings: settings, members: members, configuration: configuration,
		readiness: readiness, logger: logger, scope: scope.SubScope("directory")}
}

// Mount adds the directory's path to an engine.
func (d *Directory) Mount(engine gin.IRoutes) {
	engine.GET(directoryPath, d.handle)
}

func (d *Directory) handle(c *gin.Context) {
	answer, refusal := d.Lookup(c.Query("service"), c.Query("customer"))
	if refusal != nil {
		d.refuse(c, refusal)
		return
	}
	d.scope.Counter("answers").Inc(1)
	c.Header("Cache-Control", "no-store")
	c.JSON(http.StatusOK, answer)
}

// Lookup returns the VMs that serve a customer of a service.
func (d *Directory) Lookup(service, customer string) (*Response, *Refusal) {
	snap := d.configuration.Current()
	if refusal := d.check(snap, service, customer); refusal != nil {
		return nil, refusal
	}
	answer := &Response{
		Service: service, Customer: customer, Generation: snap.Generation,
		KeepForMs: d.settings.KeepFor.Milliseconds(), WindowMs: d.settings.WindowLength.Milliseconds(),
		AnsweredBy: d.members.Self().Vm,
	}
	for _, member := range d.choose(snap, service, customer) {
		answer.VMs = append(answer.VMs, VM{
			Name: member.Vm, Zone: member.Zone, Address: member.CallersAddress, KeyPrefix: d.keyPrefix(member),
		})
	}
	if len(answer.VMs) == 0 {
		return nil, refuseNoVM(service)
	}
	return answer, nil
}

// check refuses what cannot be answered.
func (d *Directory) check(snap *snapshot.Snapshot, service, customer string) *Refusal {
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

// choose returns the customer's VMs.
func (d *Directory) choose(snap *snapshot.Snapshot, service, customer string) []*primroseloomv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(snap)
	set, ok := d.sets.byService[service]
	if !ok {
		definition, _ := snap.Service(service)
		set = d.build(definition)
		d.sets.byService[service] = set
	}
	var chosen []*primroseloomv1.Member
	for _, vm := range set.Choose(customer, d.settings.VMsPerCustomer) {
		chosen = append(chosen, d.sets.byName[vm.Name])
	}
	return chosen
}

// refresh takes over the members as they stand, and empties the cache when the
// candidates or the configuration have changed. The members' slice is replaced
// as a whole whenever something in it changes.
func (d *Directory) refresh(snap *snapshot.Snapshot) {
	members := d.members.Members()
	if d.sets.snapshot == snap && slices.Equal(d.sets.members, members) {
		return
	}
	candidates := sumCandidates(members)
	if d.sets.snapshot != snap || d.sets.candidates != candidates {
		d.sets = sets{snapshot: snap, candidates: candidates, byService: make(map[string]subset.Set)}
	}
	d.sets.members = members
	d.sets.byName = make(map[string]*primroseloomv1.Member, len(members))
	for _, member := range members {
		d.sets.byName[member.Vm] = member
	}
}

// sumCandidates hashes the fields of the members that the sets depend on.
func sumCandidates(members []*primroseloomv1.Member) uint64 {
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

// build chooses a service's set in this instance's region, or in the first
// region that has any member to offer.
func (d *Directory) build(service *document.Service) subset.Set {
	own := d.members.Self().Region
	set := assign.RegionSet(service, d.sets.members, own, assign.Advertised)
	for _, region := range assign.Regions(d.sets.members) {
		if len(set.VMs()) > 0 {
			break
		}
		set = assign.RegionSet(service, d.sets.members, region, assign.Advertised)
	}
	return set
}
