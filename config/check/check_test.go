package check

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
)

func TestExamplesPass(t *testing.T) {
	for name, content := range examples.All() {
		deployment, problems := Parse(content)
		if len(problems) > 0 {
			t.Errorf("%s: %v", name, problems)
		}
		for _, customer := range deployment.Customers {
			digest := document.Digest([]byte(examples.Credential(customer.Name)))
			if !slices.Contains(customer.CredentialDigests, digest) {
				t.Errorf("%s: customer %s does not have the credential of the examples", name, customer.Name)
			}
		}
	}
}

func TestExampleSizes(t *testing.T) {
	cases := []struct {
		deployment                         document.Deployment
		service                            string
		targets, slots, connections, zones int
	}{
		{examples.SoojaVee(), "booking", 20, 3, 330, 3},
		{examples.SoojaVee(), "records", 6, 3, 330, 3},
		{examples.Lankaroad(), "berth", 23, 2, 330, 3},
		{examples.Lankaroad(), "manifest", 6, 2, 330, 3},
	}
	for _, test := range cases {
		at := slices.IndexFunc(test.deployment.Services, func(s document.Service) bool { return s.Name == test.service })
		service := test.deployment.Services[at]
		zones := make(map[string]bool)
		for _, target := range service.Targets {
			zones[target.Zone] = true
		}
		got := []int{len(service.Targets), service.Slots, service.MaxConnections, len(zones)}
		if want := []int{test.targets, test.slots, test.connections, test.zones}; !slices.Equal(got, want) {
			t.Errorf("%s: targets, slots, connections, zones %v, want %v", test.service, got, want)
		}
	}
}

// TestProblems edits a valid deployment and expects problems at exactly the
// given paths.
func TestProblems(t *testing.T) {
	cases := []struct {
		name  string
		edit  func(*document.Deployment)
		paths []string
	}{
		{"floor over capacity", func(d *document.Deployment) { d.Services[0].FloorSlots = 61 }, []string{"services[0].floor_slots"}},
		{"leaving targets do not count towards the floor", func(d *document.Deployment) {
			for i := range 7 {
				d.Services[0].Targets[i].Leaving = true
			}
		}, []string{"services[0].floor_slots"}},
		{"slots over connections", func(d *document.Deployment) { d.Services[0].Slots = 331 }, []string{"services[0].max_connections"}},
		{"address without port and name", func(d *document.Deployment) {
			d.Services[0].Targets[2].Address = "10.0.0.1"
			d.Services[1].Targets[0].Address = "spa.example:80"
		}, []string{"services[0].targets[2].address", "services[1].targets[0].address"}},
		{"address used twice", func(d *document.Deployment) {
			d.Services[1].Targets[0].Address = d.Services[0].Targets[0].Address
		}, []string{"services[1].targets[0].address"}},
		{"route host is an address", func(d *document.Deployment) { d.Routes[0].Host = "10.0.0.1" }, []string{"routes[0].host"}},
		{"route host carries a port", func(d *document.Deployment) { d.Routes[0].Host = "a.example:80" }, []string{"routes[0].host"}},
		{"ambiguous routes", func(d *document.Deployment) { d.Routes[1] = d.Routes[0] }, []string{"routes[1]"}},
		{"unknown references", func(d *document.Deployment) {
			d.Routes[0].Service = "none"
			d.Templates[0].Services = []string{"booking", "none"}
			d.Customers[0].Template = "none"
		}, []string{"routes[0].service", "templates[0].services[1]", "customers[0].template"}},
		{"limit over slots", func(d *document.Deployment) {
			d.Templates[0].Limits.Concurrency = json.RawMessage("79")
		}, []string{"customers[0].limits.concurrency"}},
		{"parameter out of range, of a wrong type and undeclared", func(d *document.Deployment) {
			d.Customers[1].Parameters = map[string]json.RawMessage{
				"rate": json.RawMessage("51"), "speed": json.RawMessage("1"), "upload_time": json.RawMessage("3"),
			}
		}, []string{"customers[1].parameters.rate", "customers[1].parameters.speed", "customers[1].parameters.upload_time"}},
		{"template with a bad default and reference", func(d *document.Deployment) {
			d.Templates[1].Parameters[0].Default = json.RawMessage("1000")
			d.Templates[2].Limits.Weight = json.RawMessage(`"${none}"`)
			d.Customers = d.Customers[:1]
		}, []string{"templates[1].parameters[0].default", "templates[2].limits.weight"}},
		{"literal limit of a wrong type", func(d *document.Deployment) {
			d.Templates[0].Limits.Queue = json.RawMessage("1.5")
			d.Customers = d.Customers[1:]
		}, []string{"templates[0].limits.queue"}},
		{"missing limit", func(d *document.Deployment) { d.Templates[0].Limits.Rate = nil }, []string{"templates[0].limits.rate"}},
		{"credential digests", func(d *document.Deployment) {
			d.Customers[2].CredentialDigests = []string{"secret"}
			d.Customers[3].CredentialDigests = nil
		}, []string{"customers[2].credential_digests[0]", "customers[3].credential_digests"}},
		{"credential of another customer", func(d *document.Deployment) {
			d.Customers[2].CredentialDigests = d.Customers[0].CredentialDigests
		}, []string{"customers[2].credential_digests[0]"}},
		{"value over a megabyte", func(d *document.Deployment) {
			for i := range 20000 {
				target := document.Target{Name: fmt.Sprintf("t%d", i), Zone: "ee-a"}
				target.Address = fmt.Sprintf("10.99.%d.%d:%d", i/250%250, i%250, 1+i/62500)
				d.Services[0].Targets = append(d.Services[0].Targets, target)
			}
		}, []string{"services shard 47"}},
	}
	for _, test := range cases {
		deployment := examples.SoojaVee()
		test.edit(&deployment)
		var paths []string
		for _, problem := range Deployment(deployment) {
			paths = append(paths, problem.Path)
		}
		if !slices.Equal(paths, test.paths) {
			t.Errorf("%s: problems at %v, want %v", test.name, paths, test.paths)
		}
	}
}

func TestParseReportsEveryUnknownFieldAndWrongType(t *testing.T) {
	text := string(examples.All()["lankaroad"])
	text = strings.Replace(text, `"slots": 2`, `"slot": 2`, 1)
	text = strings.Replace(text, `"deadline": "20s"`, `"deadline": 20`, 1)
	text = strings.Replace(text, `"host": "berth`, `"hosts": "berth`, 1)
	_, problems := Parse([]byte(text))
	var paths []string
	for _, problem := range problems {
		if problem.Allowed == "" || problem.Value == "" {
			t.Errorf("%s: Value or Allowed is empty", problem.Path)
		}
		paths = append(paths, problem.Path)
	}
	slices.Sort(paths)
	if want := []string{"routes[0].hosts", "services[0].slot", "services[1].deadline"}; !slices.Equal(paths, want) {
		t.Fatalf("problems at %v, want %v", paths, want)
	}
}

// smallDeployment is valid and contains every kind of definition.
const smallDeployment = `{"services":[{"name":"s","slots":2,"max_connections":3,"floor_slots":1,"deadline":"4s",
"idempotent":[{"method":"GET","path_prefix":"/"}],"shed":{"status":503,"header":"S"},"drain":{"status":503,"header":"D"},
"detection":{"false_ejections_per_target_month":1},"targets":[{"name":"t","address":"10.0.0.1:80","zone":"a"}]}],
"routes":[{"host":"h","path_prefix":"/","service":"s"}],
"templates":[{"name":"t","parameters":[{"name":"rate","type":"number","default":5,"minimum":1}],"services":["s"],
"limits":{"rate":"${rate}","burst":1,"concurrency":1,"queue":0,"deadline":"1s","retry_ratio":0,"weight":1}}],
"customers":[{"name":"c","template":"t","parameters":{"rate":2},
"credential_digests":["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}]}`

func TestSmallDeploymentPasses(t *testing.T) {
	if _, problems := Parse([]byte(smallDeployment)); len(problems) > 0 {
		t.Fatal(problems)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallDeployment))
	f.Fuzz(func(t *testing.T, content []byte) {
		deployment, problems := Parse(content)
		if len(problems) > 0 {
			return
		}
		text, err := json.Marshal(deployment)
		if err != nil {
			t.Fatal(err)
		}
		if _, again := Parse(text); len(again) > 0 {
			t.Fatalf("a valid deployment is invalid after a round trip: %v", again)
		}
	})
}
