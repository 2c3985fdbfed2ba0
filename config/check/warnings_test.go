package check

import (
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
)

// TestWarningsNameServicesWithoutRoute guards against services that are published and never
// used without notice.
func TestWarningsNameServicesWithoutRoute(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*document.Deployment)
		want   int
	}{
		{"all services have routes", func(*document.Deployment) {}, 0},
		{"one has none", func(d *document.Deployment) {
			d.Services = append(d.Services, document.Service{Name: "spare"})
		}, 1},
		{"no routes", func(d *document.Deployment) { d.Routes = nil }, len(examples.SoojaVee().Services)},
	} {
		t.Run(test.name, func(t *testing.T) {
			deployment := examples.SoojaVee()
			test.change(&deployment)
			if got := Warnings(deployment); len(got) != test.want {
				t.Errorf("warnings %v, want %d", got, test.want)
			}
		})
	}
}
