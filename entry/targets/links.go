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
	// linkBuffer is the number of messages that wait for a stream; more are
	// dropped, and the lessee notices the silence.
	linkBuffer = 256
	// linkPause is the time before a failed stream is opened again.
	linkPause = 100 * time.Millisecond
	// linkIdle is how long a stream without messages stays open.
	linkIdle = time.Minute
)

// links holds the streams of leases to and from other VMs.
type links struct {
	fleet string
	// done is closed when the streams are to end.
	done chan struct{}
	stop sync.Once

	mu sync.Mutex
	// keepers holds the queues of the streams to keepers, by VM.
	keepers map[string]chan *primroseloomv1.LeaseRequest
	// lessees holds the queues of the streams of other VMs.
	lessees map[string]chan *primroseloomv1.LeaseResponse
}

// UseLeases shares slots with the other VMs of the fleet, from the services
// configured from now on. It is called before Run.
func (m *Manager) UseLeases(fleet string) {
	m.links = &links{
		fleet:   fleet,
		done:    make(chan struct{}),
		keepers: make(map[string]chan *primroseloomv1.LeaseRequest),
		lessees: make(map[string]chan *primroseloomv1.LeaseResponse),
	}
	for _, s := range m.snapshot() {
		s.useLeases(m.vm, m.postLease, m.replyLease)
	}
}

// StopLeases ends the streams of leases. The VM then chooses targets by itself
// for what is still in progress.
func (m *Manager) StopLeases() {
	if m.links != nil {
		m.links.stop.Do(func() { close(m.links.done) })
	}
}

// postLease queues a message to a keeper and opens a stream when there is none.
func (m *Manager) postLease(service, to string, message balance.LeaseMessage) {
	l := m.links
	request := leaseToWire(time.Now(), message)
	request.Fleet, request.FromVm, request.Service = l.fleet, m.vm, service
	l.mu.Lock()
	defer l.mu.Unlock()
	queue, ok := l.keepers[to]
	if !ok && l.ended() {
		return
	}
	if !ok {
		queue = make(chan *primroseloomv1.LeaseRequest, linkBuffer)
		l.keepers[to] = queue
		go m.runLink(to, queue)
	}
	select {
	case queue <- request:
	default:
	}
}

// replyLease queues a reply to a VM that has a stream open.
func (m *Manager) replyLease(service, to string, reply balance.LeaseReply) {
	response := replyToWire(reply)
	response.Service = service
	m.links.mu.Lock()
	defer m.links.mu.Unlock()
	select {
	case m.links.lessees[to] <- response:
	default:
	}
}

// runLink carries messages to one keeper until the stream fails or is idle.
func (m *Manager) runLink(to string, queue chan *primroseloomv1.LeaseRequest) {
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
	case <-m.links.done:
	case <-time.After(linkPause):
	}
	m.links.mu.Lock()
	defer m.links.mu.Unlock()
	delete(m.links.keepers, to)
}

func (m *Manager) sendMessages(ctx context.Context, stream *connect.BidiStreamForClient[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse], queue chan *primroseloomv1.LeaseRequest) {
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.links.done:
			return
		case <-idle.C:
			return
		case request := <-queue:
			if stream.Send(request) != nil {
				return
			}
			idle.Reset(linkIdle)
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
			s.receiveLease(now, from, replyFromWire(response))
			s.pump(now)
			s.flush(now)
		}
		s.mu.Unlock()
	}
}

var errForeignFleet = errors.New("lease message of another fleet")

// Lease serves one VM's stream as keeper of the services that it names.
func (m *Manager) Lease(ctx context.Context, stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse]) error {
	if m.links == nil {
		return connect.NewError(connect.CodeUnimplemented, errors.New("this instance leases no slots"))
	}
	queue := make(chan *primroseloomv1.LeaseResponse, linkBuffer)
	ended := make(chan error, 1)
	go func() { ended <- m.receiveMessages(stream, queue) }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.links.done:
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

// receiveMessages handles a VM's messages until its stream ends.
func (m *Manager) receiveMessages(stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse], queue chan *primroseloomv1.LeaseResponse) error {
	from := ""
	defer func() { m.links.forget(from, queue) }()
	for {
		request, err := stream.Receive()
		if err != nil {
			return nil
		}
		if request.Fleet != m.links.fleet {
			return connect.NewError(connect.CodePermissionDenied, errForeignFleet)
		}
		from = request.FromVm
		m.links.mu.Lock()
		m.links.lessees[from] = queue
		m.links.mu.Unlock()
		m.handleLease(request)
	}
}

func (l *links) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// forget drops the queue of a stream that has ended.
func (l *links) forget(vm string, queue chan *primroseloomv1.LeaseResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lessees[vm] == queue {
		delete(l.lessees, vm)
	}
}

func (m *Manager) handleLease(request *primroseloomv1.LeaseRequest) {
	s := m.service(request.Service)
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases != nil {
		s.handleLease(now, request.FromVm, leaseFromWire(now, request))
		s.flush(now)
	}
}
