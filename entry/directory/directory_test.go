package directory

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// fakes implements the dependencies of a Directory.
type fakes struct {
	members      []*primroseloomv1.Member
	snap         *snapshot.Snapshot
	revalidating bool
}

func (f *fakes) Self() *primroseloomv1.Member                { return f.members[0] }
func (f *fakes) Members() []*primroseloomv1.Member           { return f.members }
func (f *fakes) Current() *snapshot.Snapshot                 { return f.snap }
func (f *fakes) Subscribe(onChange func(*snapshot.Snapshot)) { onChange(f.snap) }
func (f *fakes) Revalidating() bool                          { return f.revalidating }
func (f *fakes) Client(string) (primroseloomv1connect.PeerServiceClient, bool) {
	return nil, false
}

func newFakes(count int) *fakes {
	deployment := examples.SoojaVee()
	f := &fakes{snap: snapshot.Build(7, []document.Shard{{Services: deployment.Services},
		{Templates: deployment.Templates}, {Customers: deployment.Customers}}, nil)}
	for i := range count {
		f.members = append(f.members, &primroseloomv1.Member{
			Vm: fmt.Sprintf("vm-%02d", i), Instance: uint64(0xab00 + i), Zone: fmt.Sprintf("zone%d", i%3), Region: "region",
			CallersAddress: fmt.Sprintf("10.0.0.%d:8000", i), UptimeMs: 125_000,
			Status: primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE,
		})
	}
	return f
}

func newDirectory(f *fakes, scope tally.Scope) *Directory {
	return New(DefaultSettings(), f, f, f, log.New(io.Discard), scope)
}

func get(d *Directory, service, customer string) *httptest.ResponseRecorder {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	d.Mount(engine)
	recorder := httptest.NewRecorder()
	url := fmt.Sprintf("http://10.0.0.1:8000%s?service=%s&customer=%s", directoryPath, service, customer)
	engine.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, url, nil))
	return recorder
}

func vmNames(response Response) []string {
	var list []string
	for _, vm := range response.VMs {
		list = append(list, vm.Name)
	}
	return list
}

func TestResponseSpreadsOverZonesAndHasKeyPrefixes(t *testing.T) {
	d := newDirectory(newFakes(36), tally.NoopScope)
	var response Response
	if err := json.Unmarshal(get(d, "booking", "portal").Body.Bytes(), &response); err != nil {
		t.Fatal(err)
	}
	zones := make(map[string]bool)
	for _, vm := range response.VMs {
		zones[vm.Zone] = true
		var index int
		_, _ = fmt.Sscanf(vm.Name, "vm-%d", &index)
		if want := fmt.Sprintf("%s.%x.2.", vm.Name, 0xab00+index); vm.KeyPrefix != want {
			t.Errorf("key prefix %q, want %q", vm.KeyPrefix, want)
		}
	}
	if len(response.VMs) != 3 || len(zones) != 3 || response.Generation != 7 || response.KeepForMs <= 0 {
		t.Errorf("response %+v: want 3 VMs in 3 zones of generation 7 with a positive keep time", response)
	}
}

func TestSuspectedAndLeavingVMsAreNotInTheResponse(t *testing.T) {
	f := newFakes(36)
	d := newDirectory(f, tally.NoopScope)
	before, _ := d.Lookup("booking", "portal")
	gone := map[string]primroseloomv1.MemberStatus{
		before.VMs[0].Name: primroseloomv1.MemberStatus_MEMBER_STATUS_SUSPECT,
		before.VMs[1].Name: primroseloomv1.MemberStatus_MEMBER_STATUS_LEAVING,
	}
	f.members = slices.Clone(f.members)
	for i, member := range f.members {
		if status, ok := gone[member.Vm]; ok {
			f.members[i] = &primroseloomv1.Member{Vm: member.Vm, Zone: member.Zone, Region: member.Region, Status: status}
		}
	}
	after, refusal := d.Lookup("booking", "portal")
	if refusal != nil {
		t.Fatal(refusal.Detail)
	}
	for _, name := range vmNames(*after) {
		if _, ok := gone[name]; ok {
			t.Errorf("response %v still includes %s", vmNames(*after), name)
		}
	}
	if !slices.Contains(vmNames(*after), before.VMs[2].Name) {
		t.Errorf("response changed from %v to %v; the third VM should have stayed", vmNames(*before), vmNames(*after))
	}
}

func TestRestartedVMChangesItsKeyPrefix(t *testing.T) {
	f := newFakes(3)
	d := newDirectory(f, tally.NoopScope)
	f.members = slices.Clone(f.members)
	f.members[1] = &primroseloomv1.Member{Vm: "vm-01", Instance: 0xff, Zone: "zone1", Region: "region",
		Status: primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE}
	response, _ := d.Lookup("booking", "portal")
	for _, vm := range response.VMs {
		if vm.Name == "vm-01" && vm.KeyPrefix != "vm-01.ff.0." {
			t.Errorf("key prefix %q is of the old process", vm.KeyPrefix)
		}
	}
}

func TestRefusalsAreProblemDocumentsAndCounted(t *testing.T) {
	ready := newFakes(3)
	paused := newFakes(3)
	paused.revalidating = true
	empty := newFakes(3)
	empty.snap = nil
	cases := []struct {
		fakes             *fakes
		service, customer string
		status            int
		reason            string
	}{
		{ready, "", "portal", http.StatusBadRequest, "bad_request"},
		{ready, "sauna", "portal", http.StatusNotFound, "unknown_service"},
		{ready, "booking", "nobody", http.StatusNotFound, "unknown_customer"},
		{ready, "booking", "volunteers-tallinn", http.StatusForbidden, "route_not_allowed"},
		{paused, "booking", "portal", http.StatusServiceUnavailable, "paused"},
		{empty, "booking", "portal", http.StatusServiceUnavailable, "no_configuration"},
	}
	for _, c := range cases {
		scope := tally.NewTestScope("", nil)
		response := get(newDirectory(c.fakes, scope), c.service, c.customer)
		var problem Refusal
		if err := json.Unmarshal(response.Body.Bytes(), &problem); err != nil {
			t.Fatal(err)
		}
		if response.Code != c.status || string(problem.Reason) != c.reason || problem.Outcome != "not_run" || problem.Peer != "vm-00" {
			t.Errorf("%s/%s: %d %+v, want %d %s", c.service, c.customer, response.Code, problem, c.status, c.reason)
		}
		if got := response.Header().Get("Content-Type"); got != "application/problem+json" {
			t.Errorf("content type %q", got)
		}
		if _, ok := scope.Snapshot().Counters()["directory.refusals+reason="+c.reason]; !ok {
			t.Errorf("refusal %s is not counted", c.reason)
		}
	}
}

// BenchmarkLookup measures one query at the design fleet size, with an unchanged
// membership view and with one in which only the members' uptimes were renewed.
func BenchmarkLookup(b *testing.B) {
	for _, renewed := range []bool{false, true} {
		b.Run(fmt.Sprintf("renewed=%t", renewed), func(b *testing.B) { benchmarkLookup(b, renewed) })
	}
}

func benchmarkLookup(b *testing.B, renewed bool) {
	f := newFakes(840)
	d := newDirectory(f, tally.NoopScope)
	for b.Loop() {
		if renewed {
			f.members = slices.Clone(f.members)
			f.members[0] = proto.CloneOf(f.members[0])
		}
		if _, refusal := d.Lookup("booking", "portal"); refusal != nil {
			b.Fatal(refusal.Detail)
		}
	}
}
