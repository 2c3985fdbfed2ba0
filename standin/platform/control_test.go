package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
)

func TestControlHandler(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
	}{
		{"faults", http.MethodPut, "/faults?replica=1", `{"lag":"3s","frozen":true}`, http.StatusNoContent},
		{"no such replica", http.MethodPut, "/faults?replica=2", `{}`, http.StatusBadRequest},
		{"unknown fault", http.MethodPut, "/faults", `{"slow":true}`, http.StatusBadRequest},
		{"duration without unit", http.MethodPut, "/faults", `{"delay":"3"}`, http.StatusBadRequest},
		{"VM list", http.MethodPut, "/vms", `{"entries":[{"name":"vm-1","address":"127.0.0.1:1","leaving":true}]}`, http.StatusNoContent},
		{"bad lag", http.MethodPut, "/vms?lag=soon", `{}`, http.StatusBadRequest},
		{"calls", http.MethodGet, "/calls", "", http.StatusOK},
	}
	store := NewReplicated(2)
	handler := store.ControlHandler()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			if response.Code != test.status {
				t.Errorf("status %d, want %d: %s", response.Code, test.status, response.Body)
			}
		})
	}
	if faults, _ := store.Replica(1).faultsAndHorizon(); !faults.Frozen || faults.Lag == 0 {
		t.Errorf("faults of replica 1: %+v", faults)
	}
	if !store.isStored(document.VMListKey) {
		t.Error("the VM list was not stored")
	}
}
