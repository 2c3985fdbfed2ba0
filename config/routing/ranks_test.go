package routing

import (
	"fmt"
	"maps"
	"testing"
)

// TestRankedServices guards against rules for ranks where requests have none.
func TestRankedServices(t *testing.T) {
	route := func(priority int, services ...string) Route {
		route := Route{Priority: priority, Host: "h", Prefix: "/", Kind: KindOnce}
		for _, service := range services {
			route.Split = append(route.Split, Share{Service: service, Weight: 1})
		}
		return route
	}
	customer := Customer{Name: "c", Keys: []KeyDigest{DigestKey("k")}}
	for _, c := range []struct {
		name      string
		routes    []Route
		customers []Customer
		ranked    map[string]bool
		any       bool
	}{
		{"one priority", []Route{route(1, "a"), route(1, "a", "b")}, nil, map[string]bool{}, false},
		{"two priorities of one service", []Route{route(1, "a"), route(0, "a", "b")}, nil, map[string]bool{"a": true}, true},
		{"a priority for each service", []Route{route(1, "a"), route(0, "b")}, nil, map[string]bool{}, true},
		{"customers", []Route{route(1, "a")}, []Customer{customer}, map[string]bool{"a": true, "b": true}, true},
	} {
		document := Document{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}}, Routes: c.routes, Customers: c.customers}
		for i := range document.Routes {
			document.Routes[i].Name = fmt.Sprint("r", i)
		}
		table, err := Compile(document)
		if err != nil {
			t.Fatal(err)
		}
		if got := table.RankedServices(); !maps.Equal(got, c.ranked) {
			t.Errorf("%s: ranked services %v, want %v", c.name, got, c.ranked)
		}
		if got := table.RanksRequests(); got != c.any {
			t.Errorf("%s: requests are ranked: %v", c.name, got)
		}
	}
}
