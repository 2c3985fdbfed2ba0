package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Request holds the parts of a request by which it is known when it is sent again.
type Request struct {
	// Caller names the sender: a customer or, for callers without credentials, an address.
	Caller string
	// Resource names what is asked for, such as the method, the host and the path.
	Resource []string
	// Query is the query of the URI.
	Query string
	// Body is the body, or its beginning when it is long.
	Body []byte
}

// Part is a hash of one part of a request.
type Part uint32

const (
	// PartIncluded is the part of a crash that the crash's fingerprint includes.
	PartIncluded Part = iota
	// PartAmbiguous is the part of a crash of which reports name different requests.
	PartAmbiguous
	// firstPart is the lowest hash of a part.
	firstPart
)

// String returns the hash in hexadecimal, as logs show it.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Identity is the hashed parts of a request.
type Identity struct {
	Caller, Query Part
	// Resource covers the resource and the body.
	Resource uint64
}

// IsKnown reports whether the identity is that of a request.
func (i Identity) IsKnown() bool { return i != Identity{} }

// Identify returns the identity of a request.
func Identify(request Request) Identity {
	resource := xxhash.New()
	for _, name := range request.Resource {
		_, _ = resource.WriteString(name)
		_, _ = resource.WriteString("\x00")
	}
	_, _ = resource.Write(request.Body)
	return Identity{Caller: hashPart(request.Caller), Query: hashPart(request.Query), Resource: resource.Sum64()}
}

func hashPart(part string) Part { return max(Part(xxhash.Sum64String(part)), firstPart) }

// LeftOut holds the parts of a request that a fingerprint does not include; PartIncluded
// stands for one that it includes.
type LeftOut struct{ Caller, Query Part }

// IsExact reports whether the fingerprint includes all parts.
func (l LeftOut) IsExact() bool { return l == LeftOut{} }

// AnyCaller reports whether the fingerprint stands for requests of several callers.
func (l LeftOut) AnyCaller() bool { return l.Caller != PartIncluded }

// AnyQuery reports whether the fingerprint stands for requests with several queries.
func (l LeftOut) AnyQuery() bool { return l.Query != PartIncluded }

// mergedWith returns what two reports of one crash agree on.
func (l LeftOut) mergedWith(other LeftOut) LeftOut {
	return LeftOut{Caller: mergeParts(l.Caller, other.Caller), Query: mergeParts(l.Query, other.Query)}
}

func mergeParts(a, b Part) Part {
	if a != b {
		return PartAmbiguous
	}
	return a
}

// form is one way to know a request again: by all its parts or with some left out.
type form struct {
	fingerprint Fingerprint
	leftOut     LeftOut
}

// formsPerRequest is the number of forms of a request.
const formsPerRequest = 4

// forms returns the forms of a request, the exact one first.
func (i Identity) forms() [formsPerRequest]form {
	return [formsPerRequest]form{
		i.formWithout(LeftOut{}),
		i.formWithout(LeftOut{Query: i.Query}),
		i.formWithout(LeftOut{Caller: i.Caller}),
		i.formWithout(LeftOut{Caller: i.Caller, Query: i.Query}),
	}
}

// formWithout returns the form that leaves some parts out.
func (i Identity) formWithout(leftOut LeftOut) form {
	hashed := binary.LittleEndian.AppendUint64(nil, i.Resource)
	hashed = binary.LittleEndian.AppendUint32(hashed, uint32(i.Caller-leftOut.Caller))
	hashed = binary.LittleEndian.AppendUint32(hashed, uint32(i.Query-leftOut.Query))
	return form{fingerprint: Fingerprint(xxhash.Sum64(hashed)), leftOut: leftOut}
}

// Exact returns the fingerprint that includes all parts.
func (i Identity) Exact() Fingerprint { return i.formWithout(LeftOut{}).fingerprint }

// ResourceText returns the hash of the resource and the body in hexadecimal, as logs show it.
func (i Identity) ResourceText() string { return strconv.FormatUint(i.Resource, 16) }
