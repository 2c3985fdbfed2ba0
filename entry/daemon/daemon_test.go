package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/standin/target"
)

func TestRequestIsAnsweredThroughTheDirectory(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		listing := w.queryDirectory(1)
		if len(listing.VMs) != 3 {
			t.Fatalf("directory names %d VMs, want 3", len(listing.VMs))
		}
		response := w.send(1, http.MethodGet, "/availability", "r1", "", nil)
		var got target.Response
		if response.status != http.StatusOK || response.outcome != "answered" || json.Unmarshal(response.body, &got) != nil || got.RequestID != "r1" {
			t.Errorf("got %d %s %s", response.status, response.outcome, response.body)
		}
	})
}

func TestKeyedBookingRunsOnceWhicheverVMGetsTheRetry(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		key := w.queryDirectory(0).VMs[0].KeyPrefix + "b1"
		for i := range 3 {
			got := w.send(i, http.MethodPost, "/bookings", "b1", key, strings.NewReader("{}"))
			if got.status != http.StatusOK || got.outcome != "answered" {
				t.Errorf("%s responded %d %s %s", vmName(i), got.status, got.outcome, got.body)
			}
		}
		if got := w.runs("b1"); got != 1 {
			t.Errorf("the booking ran %d times", got)
		}
	})
}

func TestPlannedStopFinishesAnUpload(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		const chunks = 40
		results := make(chan result, 1)
		go func() {
			body := &slowBody{chunks: chunks, pause: 50 * time.Millisecond}
			results <- w.send(1, http.MethodPost, "/photos", "u1", "", body)
		}()
		time.Sleep(200 * time.Millisecond)
		w.stopVM(vmName(1))
		got := <-results
		var decoded target.Response
		if got.status != http.StatusOK || json.Unmarshal(got.body, &decoded) != nil || decoded.BodyBytes != chunks*1024 {
			t.Errorf("got %d %s %s", got.status, got.outcome, got.body)
		}
	})
}

func TestStoppingVMLeavesTheDirectory(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.stops[vmName(2)]()
		time.Sleep(3 * time.Second)
		for _, vm := range w.queryDirectory(0).VMs {
			if vm.Name == vmName(2) {
				t.Error("the directory response still names the stopping VM")
			}
		}
		got := w.send(2, http.MethodGet, "/availability", "r1", "", nil)
		if got.outcome != "answered" {
			t.Errorf("a caller with an old directory response got %d %s", got.status, got.body)
		}
	})
}

func TestPublishedChangeReachesEveryVM(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.deployment.Customers[0].Parameters = map[string]json.RawMessage{"rate": json.RawMessage("600")}
		w.publish()
		time.Sleep(4 * time.Second)
		for i := range 3 {
			if status := w.status(i); status.Generation != w.generation {
				t.Errorf("%s has generation %d, want %d", vmName(i), status.Generation, w.generation)
			}
		}
	})
}

func TestStatusShowsTheFleetFromAnyVM(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		for i := range 3 {
			status := w.status(i)
			if len(status.Members) != 3 {
				t.Errorf("%s shows %d members", vmName(i), len(status.Members))
			}
			for _, member := range status.Members {
				if member.Generation != w.generation {
					t.Errorf("%s shows %s on generation %d", vmName(i), member.VM, member.Generation)
				}
			}
		}
	})
}

func TestVMListTakesATargetOutOfServiceOnEveryVM(t *testing.T) {
	const vms = 9 // two of three VMs a zone are readers
	inWorld(t, vms, func(w *world) {
		service := w.deployment.Services[0]
		leaving := service.Targets[0]
		host, _, _ := strings.Cut(leaving.Address, ":")
		list := document.VMList{Entries: []document.VMEntry{{Name: "target-vm", Address: host, Leaving: true}}}
		if err := w.platform.PublishVMs(list, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		before := len(w.targets[leaving.Name].Runs())
		for i := range 40 * vms {
			w.send(i%vms, http.MethodGet, "/availability", fmt.Sprint("r", i), "", nil)
		}
		if after := len(w.targets[leaving.Name].Runs()); after != before {
			t.Errorf("the leaving target ran %d requests", after-before)
		}
	})
}

func (w *world) status(i int) admin.Status {
	w.t.Helper()
	response, err := w.client.Get("http://" + vmIP(i) + ":82/v1/status")
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var status admin.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		w.t.Fatal(err)
	}
	return status
}
