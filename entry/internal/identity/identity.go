// Package identity converts the identities of requests to and from messages between
// instances.
package identity

import (
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// ToWire returns the message for an identity; nil for one that is not known.
func ToWire(request quarantine.Identity) *primroseloomv1.RequestIdentity {
	if !request.IsKnown() {
		return nil
	}
	return &primroseloomv1.RequestIdentity{Resource: request.Resource, Caller: uint32(request.Caller), Query: uint32(request.Query)}
}

// FromWire returns the identity of a message; one that is not known for nil.
func FromWire(message *primroseloomv1.RequestIdentity) quarantine.Identity {
	return quarantine.Identity{
		Resource: message.GetResource(), Caller: quarantine.Part(message.GetCaller()), Query: quarantine.Part(message.GetQuery()),
	}
}
