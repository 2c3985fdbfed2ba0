// Package examples holds the deployments of the first two users.
//
// The credential of each customer in the examples is "example-" followed by
// the customer's name, such as "example-portal". Replace every digest before
// use in production.
package examples

import (
	_ "embed" // The deployments are part of the binaries.
	"encoding/json"
	"fmt"

	"github.com/primroseloom/primroseloom/config/document"
)

var (
	//go:embed soojavee.json
	soojaVee []byte
	//go:embed lankaroad.json
	lankaroad []byte
)

// SoojaVee returns the deployment of Sooja Vee: booking and guest records.
func SoojaVee() document.Deployment { return decode("soojavee", soojaVee) }

// Lankaroad returns the deployment of Lankaroad: berth and manifest.
func Lankaroad() document.Deployment { return decode("lankaroad", lankaroad) }

// All returns the JSON text of each example by name.
func All() map[string][]byte {
	return map[string][]byte{"soojavee": soojaVee, "lankaroad": lankaroad}
}

// Credential returns the credential of an example's customer.
func Credential(customer string) string { return "example-" + customer }

func decode(name string, content []byte) document.Deployment {
	var deployment document.Deployment
	if err := json.Unmarshal(content, &deployment); err != nil {
		panic(fmt.Sprintf("example %s: %v", name, err))
	}
	return deployment
}
