package generation

import (
	"cmp"
	"slices"
)

// Statement is a member's report about its configuration.
type Statement struct {
	VM         string
	Generation uint64
	// Problem says why the member is behind; empty when it knows of no reason.
	Problem string
	// Suspect is true when the member has not responded to recent probes.
	Suspect bool
	Leaving bool
	// Rejected is the number of definitions that the member rejected.
	Rejected uint32
}

// Rollout says which members have the newest known generation in force.
type Rollout struct {
	Generation uint64         `json:"generation"`
	Members    int            `json:"members"`
	Current    int            `json:"current"`
	Behind     []MemberBehind `json:"behind"`
	// Rejecting lists the members that rejected some definitions.
	Rejecting []MemberRejecting `json:"rejecting"`
}

// MemberBehind is a member that is not on the newest generation, and why.
type MemberBehind struct {
	VM         string `json:"vm"`
	Generation uint64 `json:"generation"`
	Reason     string `json:"reason"`
}

// MemberRejecting is a member that rejected some definitions.
type MemberRejecting struct {
	VM       string `json:"vm"`
	Rejected uint32 `json:"rejected"`
}

// Reasons for members that state none themselves.
const (
	ReasonUnresponsive = "does not answer probes; the generation is the last one heard"
	ReasonNoConfig     = "has no configuration yet"
	ReasonLeaving      = "is leaving"
	ReasonNotFetched   = "has not reported the newest generation yet"
)

// SummarizeRollout summarizes the statements of all members.
func SummarizeRollout(statements []Statement) Rollout {
	result := Rollout{Members: len(statements), Behind: []MemberBehind{}, Rejecting: []MemberRejecting{}}
	for _, statement := range statements {
		result.Generation = max(result.Generation, statement.Generation)
	}
	for _, statement := range statements {
		if statement.Rejected > 0 {
			result.Rejecting = append(result.Rejecting, MemberRejecting{statement.VM, statement.Rejected})
		}
		if statement.Generation == result.Generation {
			result.Current++
			continue
		}
		behind := MemberBehind{VM: statement.VM, Generation: statement.Generation, Reason: reason(statement)}
		result.Behind = append(result.Behind, behind)
	}
	slices.SortFunc(result.Behind, func(a, b MemberBehind) int { return cmp.Compare(a.VM, b.VM) })
	slices.SortFunc(result.Rejecting, func(a, b MemberRejecting) int { return cmp.Compare(a.VM, b.VM) })
	return result
}

func reason(statement Statement) string {
	switch {
	case statement.Suspect:
		return ReasonUnresponsive
	case statement.Problem != "":
		return statement.Problem
	case statement.Leaving:
		return ReasonLeaving
	case statement.Generation == 0:
		return ReasonNoConfig
	}
	return ReasonNotFetched
}
