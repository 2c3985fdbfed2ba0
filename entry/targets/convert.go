package targets

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// maxLeaseWait bounds how long the lessor queues a slot request of another VM.
const maxLeaseWait = time.Minute

func leaseToWire(now time.Time, message balance.LeaseMessage) *primroseloomv1.LeaseRequest {
	request := &primroseloomv1.LeaseRequest{
		Sequence: message.Sequence, Echo: message.Echo, Full: message.Full, Returns: message.Returns, Shed: message.Shed,
	}
	for _, a := range message.Requests {
		request.Asks = append(request.Asks, &primroseloomv1.LeaseAsk{
			Id: a.ID, Customer: a.Customer, Weight: a.Weight, Zone: a.Zone, Idempotent: a.Idempotent,
			Exclude: a.Exclude, WaitMs: uint32(max(0, a.Deadline.Sub(now).Milliseconds())),
		})
	}
	for _, h := range message.Held {
		request.Held = append(request.Held, &primroseloomv1.LeaseHeld{Id: h.ID, Target: h.Target})
	}
	return request
}

func leaseFromWire(now time.Time, request *primroseloomv1.LeaseRequest) balance.LeaseMessage {
	message := balance.LeaseMessage{
		Sequence: request.Sequence, Echo: request.Echo, Full: request.Full, Returns: request.Returns, Shed: request.Shed,
	}
	for _, a := range request.Asks {
		wait := min(time.Duration(a.WaitMs)*time.Millisecond, maxLeaseWait)
		message.Requests = append(message.Requests, balance.SlotRequest{
			ID: a.Id, Customer: a.Customer, Weight: a.Weight, Zone: a.Zone, Idempotent: a.Idempotent,
			Exclude: a.Exclude, Deadline: now.Add(wait),
		})
	}
	for _, h := range request.Held {
		message.Held = append(message.Held, balance.HeldLease{ID: h.Id, Target: h.Target})
	}
	return message
}

func replyToWire(reply balance.LeaseReply) *primroseloomv1.LeaseResponse {
	response := &primroseloomv1.LeaseResponse{
		Sequence: reply.Sequence, Token: reply.Token, Repeat: reply.Resync, Keeper: reply.IsLessor,
		Open: reply.Open, Busy: reply.BusyShare,
	}
	for _, g := range reply.Grants {
		response.Grants = append(response.Grants, &primroseloomv1.LeaseHeld{Id: g.ID, Target: g.Target})
	}
	return response
}

func replyFromWire(response *primroseloomv1.LeaseResponse) balance.LeaseReply {
	reply := balance.LeaseReply{
		Sequence: response.Sequence, Token: response.Token, Resync: response.Repeat, IsLessor: response.Keeper,
		Open: response.Open, BusyShare: response.Busy,
	}
	for _, g := range response.Grants {
		reply.Grants = append(reply.Grants, balance.LeaseGrant{ID: g.Id, Target: g.Target})
	}
	return reply
}
