package quota

import (
	"cmp"
	"slices"
)

// use counts a customer's requests at this VM since the latest TakeUse.
type use struct{ Admitted, Refused uint64 }

// Use is the number of requests of one customer at this VM; of all others when the name is
// empty.
type Use struct {
	Name string
	use
}

// total returns all requests.
func (u use) total() uint64 { return u.Admitted + u.Refused }

// TakeUse returns the requests of each customer since the call before, the customers with
// the most requests first.
func (t *Table) TakeUse() []Use {
	var all []Use
	for element := t.recent.Front(); element != nil; element = element.Next() {
		a := element.Value.(*account)
		if a.use.total() == 0 {
			continue
		}
		all = append(all, Use{Name: a.name, use: a.use})
		a.use = use{}
	}
	slices.SortFunc(all, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Name, b.Name))
	})
	return all
}
