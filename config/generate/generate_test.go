package generate

import (
	"reflect"
	"testing"

	"github.com/primroseloom/primroseloom/config/check"
)

func TestDesignSizePassesTheCheck(t *testing.T) {
	sizes := DesignSizes()
	deployment := Deployment(sizes, 1)
	if problems := check.Deployment(deployment); len(problems) > 0 {
		t.Fatalf("%d problems, first %v", len(problems), problems[0])
	}
	targets := 0
	for _, service := range deployment.Services {
		targets += len(service.Targets)
	}
	got := []int{len(deployment.Services), targets, len(deployment.Routes), len(deployment.Customers)}
	if want := []int{260, 9300, 3800, 38000}; !reflect.DeepEqual(got, want) {
		t.Fatalf("services, targets, routes, customers %v, want %v", got, want)
	}
}

func TestSeedDeterminesDeployment(t *testing.T) {
	sizes := DesignSizes()
	sizes.Customers = 500
	if !reflect.DeepEqual(Deployment(sizes, 3), Deployment(sizes, 3)) {
		t.Fatal("two deployments of one seed differ")
	}
	if reflect.DeepEqual(Deployment(sizes, 3), Deployment(sizes, 4)) {
		t.Fatal("two seeds give the same deployment")
	}
}
