package targets

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// streamBuffer is the number of messages that may wait to be sent on a
	// stream. Further ones are dropped; the lessee notices when no reply arrives.
	streamBuffer = 256
	// streamRetryDelay is the time before a failed stream is reopened.
	streamRetryDelay = 100 * time.Millisecond
	// streamIdleTimeout is how long a stream to a lessor stays open without a
	// message to send.
	streamIdleTimeout = time.Minute
)

// leaseStreams holds the lease streams to lessors and from lessees.
type leaseStreams struct {
	fleet string
	// done is closed when all streams must end.
	done     chan struct{}
	stopOnce sync.Once

	mu sync.Mutex
	// lessors holds the send queues of the streams to lessors, by VM.
	lessors map[string]chan *primroseloomv1.LeaseRequest
	// lessees holds the send queues of the streams from lessees, by VM.
	lessees map[string]chan *primroseloomv1.LeaseResponse
}

// UseLeases makes the services share slots with the other VMs of the fleet. It
// must be called before Run.
func (m *Manager) UseLeases(fleet string) {
	m.leaseStreams = &leaseStreams{
		fleet:   fleet,
		done:    make(chan struct{}),
		lessors: make(map[string]chan *primroseloomv1.LeaseRequest),
		lessees: make(map[string]chan *primroseloomv1.LeaseResponse),
	}
	for _, s := range m.snapshot() {
		s.useLeases(m.vm, m.postLease, m.replyLease)
	}
}

// StopLeases ends the lease streams. For the requests still in progress, the VM
// then chooses targets locally.
func (m *Manager) StopLeases() {
	if m.leaseStreams != nil {
		m.leaseStreams.stopOnce.Do(func() { close(m.leaseStreams.done) })
	}
}

// postLease queues a message to a lessor and opens a stream if there is none.
func (m *Manager) postLease(service, to string, message balance.LeaseMessage) {
	l := m.leaseStreams
	request := leaseToWire(time.Now(), message)
	request.Fleet, request.FromVm, request.Service = l.fleet, m.vm, service
	l.mu.Lock()
	defer l.mu.Unlock()
	queue, ok := l.lessors[to]
	if !ok && l.stopped() {
		return
	}
	if !ok {
		queue = make(chan *primroseloomv1.LeaseRequest, streamBuffer)
		l.lessors[to] = queue
		go m.runStream(to, queue)
	}
	select {
	case queue <- request:
	default:
	}
}

// replyLease queues a reply to a lessee that has an open stream.
func (m *Manager) replyLease(service, to string, reply balance.LeaseReply) {
	response := replyToWire(reply)
	response.Service = service
	m.leaseStreams.mu.Lock()
	defer m.leaseStreams.mu.Unlock()
	select {
	case m.leaseStreams.lessees[to] <- response:
	default:
	}
}

// runStream carries the messages to one lessor until the stream fails or is idle
// for streamIdleTimeout.
func (m *Manager) runStream(to string, queue chan *primroseloomv1.LeaseRequest) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if client, ok := m.members.Client(to); ok {
		stream := client.Lease(ctx)
		go func() {
			defer cancel()
			m.receiveReplies(to, stream)
		}()
		m.sendMessages(ctx, stream, queue)
	}
	select {
	case <-m.leaseStreams.done:
	case <-time.After(streamRetryDelay):
	}
	m.leaseStreams.mu.Lock()
	defer m.leaseStreams.mu.Unlock()
	delete(m.leaseStreams.lessors, to)
}

func (m *Manager) sendMessages(ctx context.Context, stream *connect.BidiStreamForClient[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse], queue chan *primroseloomv1.LeaseRequest) {
	idle := time.NewTimer(streamIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.leaseStreams.done:
			return
		case <-idle.C:
			return
		case request := <-queue:
			if stream.Send(request) != nil {
				return
			}
			idle.Reset(streamIdleTimeout)
		}
	}
}

func (m *Manager) receiveReplies(from string, stream *connect.BidiStreamForClient[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse]) {
	for {
		response, err := stream.Receive()
		if err != nil {
			return
		}
		s := m.service(response.Service)
		if s == nil {
			continue
		}
		now := time.Now()
		s.mu.Lock()
		if s.leases != nil {
			s.receiveLeaseReply(now, from, replyFromWire(response))
			s.serveQueue(now)
			s.sendLeaseMessages(now)
		}
		s.mu.Unlock()
	}
}

var errForeignFleet = errors.New("lease message from another fleet")

// Lease serves a lessee's stream for the services named in its messages.
func (m *Manager) Lease(ctx context.Context, stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse]) error {
	if m.leaseStreams == nil {
		return connect.NewError(connect.CodeUnimplemented, errors.New("this instance does not lease slots"))
	}
	queue := make(chan *primroseloomv1.LeaseResponse, streamBuffer)
	ended := make(chan error, 1)
	go func() { ended <- m.receiveMessages(stream, queue) }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.leaseStreams.done:
			return nil
		case err := <-ended:
			return err
		case response := <-queue:
			if err := stream.Send(response); err != nil {
				return fmt.Errorf("send lease reply: %w", err)
			}
		}
	}
}

// receiveMessages handles a lessee's messages until its stream ends.
func (m *Manager) receiveMessages(stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse], queue chan *primroseloomv1.LeaseResponse) error {
	from := ""
	defer func() { m.leaseStreams.removeLessee(from, queue) }()
	for {
		request, err := stream.Receive()
		if err != nil {
			return nil
		}
		if request.Fleet != m.leaseStreams.fleet {
			return connect.NewError(connect.CodePermissionDenied, errForeignFleet)
		}
		from = request.FromVm
		m.leaseStreams.mu.Lock()
		m.leaseStreams.lessees[from] = queue
		m.leaseStreams.mu.Unlock()
		m.handleLeaseRequest(request)
	}
}

func (l *leaseStreams) stopped() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// removeLessee drops the queue of a lessee's stream that has ended, unless a
// newer stream has replaced it.
func (l *leaseStreams) removeLessee(vm string, queue chan *primroseloomv1.LeaseResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lessees[vm] == queue {
		delete(l.lessees, vm)
	}
}

func (m *Manager) handleLeaseRequest(request *primroseloomv1.LeaseRequest) {
	s := m.service(request.Service)
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases != nil {
		s.handleLeaseMessage(now, request.FromVm, leaseFromWire(now, request))
		s.sendLeaseMessages(now)
	}
}
