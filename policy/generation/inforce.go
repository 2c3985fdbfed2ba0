package generation

import (
	"cmp"
	"slices"
)

// Statement is what a member says about its configuration.
type Statement struct {
	VM         string
	Generation uint64
	// Problem tells why the member is behind; empty when it knows of none.
	Problem string
	// Suspect is true when the member has not answered probes lately.
	Suspect bool
	Leaving bool
	// Rejected is the number of definitions that the member did not take over.
	Rejected uint32
}

// InForce tells how far the newest known generation has come.
type InForce struct {
	Generation uint64   `json:"generation"`
	Members    int      `json:"members"`
	Current    int      `json:"current"`
	Behind     []Behind `json:"behind"`
	// Rejecting lists members that did not take over some definitions.
	Rejecting []Rejecting `json:"rejecting"`
}

// Behind is a member that is not on the newest generation, and why.
type Behind struct {
	VM         string `json:"vm"`
	Generation uint64 `json:"generation"`
	Reason     string `json:"reason"`
}

// Rejecting is a member that did not take over some definitions.
type Rejecting struct {
	VM       string `json:"vm"`
	Rejected uint32 `json:"rejected"`
}

// Reasons for members that give none themselves.
const (
	ReasonNotHeard   = "does not answer probes; the generation is the last one heard"
	ReasonNoConfig   = "has no configuration yet"
	ReasonLeaving    = "is leaving"
	ReasonNotFetched = "has not reported the newest generation yet"
)

// Track sums up the statements of all members.
func Track(statements []Statement) InForce {
	result := InForce{Members: len(statements), Behind: []Behind{}, Rejecting: []Rejecting{}}
	for _, statement := range statements {
		result.Generation = max(result.Generation, statement.Generation)
	}
	for _, statement := range statements {
		if statement.Rejected > 0 {
			result.Rejecting = append(result.Rejecting, Rejecting{statement.VM, statement.Rejected})
		}
		if statement.Generation == result.Generation {
			result.Current++
			continue
		}
		behind := Behind{VM: statement.VM, Generation: statement.Generation, Reason: reason(statement)}
		result.Behind = append(result.Behind, behind)
	}
	slices.SortFunc(result.Behind, func(a, b Behind) int { return cmp.Compare(a.VM, b.VM) })
	slices.SortFunc(result.Rejecting, func(a, b Rejecting) int { return cmp.Compare(a.VM, b.VM) })
	return result
}

func reason(statement Statement) string {
	switch {
	case statement.Suspect:
		return ReasonNotHeard
	case statement.Problem != "":
		return statement.Problem
	case statement.Leaving:
		return ReasonLeaving
	case statement.Generation == 0:
		return ReasonNoConfig
	}
	return ReasonNotFetched
}
