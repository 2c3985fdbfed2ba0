package peer

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/assign"
	"github.com/primroseloom/primroseloom/policy/news"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Limits of the news exchange.
const (
	// maxBatchItems is the maximum number of items in one message.
	maxBatchItems = 64
	// batchSpacing is the mean time between two batches that an instance sends,
	// apart from batches with urgent items.
	batchSpacing     = 100 * time.Millisecond
	minBatchInterval = 500 * time.Millisecond
	maxBatchInterval = 8 * time.Second
	newsTimeout      = time.Second
	// maxNewsAttempts is the maximum number of times that an urgent item is sent to a peer.
	maxNewsAttempts = 3
	// maxOrigins is the maximum number of instances whose sequence numbers are kept.
	maxOrigins = 4096
	// sequencesPerOrigin is the number of sequence numbers kept for each origin.
	sequencesPerOrigin = 128
	// maxVMNameBytes is the maximum length of the VM name of an origin.
	maxVMNameBytes = 63
	// defaultWeight is the initial weight of items without evidence.
	defaultWeight = 10
)

// newsExchange holds the items waiting for each peer and the sequence numbers of
// the received items.
type newsExchange struct {
	sent, failedBatches, dropped, received, duplicates tally.Counter

	mu          sync.Mutex
	sequence    uint64
	subscribers []func(*primroseloomv1.NewsItem)
	outboxes    map[string]*outbox
	origins     map[origin]*sequenceRing
	// recipients holds the VMs that serve a service, by its name. It is valid for
	// recipientsView and recipientsSnapshot.
	recipients         map[string][]string
	recipientsView     *view
	recipientsSnapshot *snapshot.Snapshot
}

// outbox holds the items waiting for one peer.
type outbox struct {
	queue *news.Queue[*primroseloomv1.NewsItem]
	// nextBatch is the earliest time of the next batch without urgent items.
	nextBatch time.Duration
	sending   bool
}

// origin is the instance that published an item.
type origin struct {
	vm       string
	instance uint64
}

// sequenceRing is a ring buffer of the last sequence numbers of one origin.
type sequenceRing struct {
	numbers [sequencesPerOrigin]uint64
	next    int
}

func newNewsExchange(scope tally.Scope) *newsExchange {
	return &newsExchange{
		sent: scope.Counter("news_items_sent"), failedBatches: scope.Counter("news_batches_failed"),
		dropped: scope.Counter("news_items_dropped"), received: scope.Counter("news_items_received"),
		duplicates: scope.Counter("news_items_repeated"),
		outboxes:   make(map[string]*outbox), origins: make(map[origin]*sequenceRing),
		recipients: make(map[string][]string),
	}
}

// Publish sends an item to the instances that serve its service, or to all if it
// names no service. An urgent item is sent at once and ahead of others.
func (m *Manager) Publish(item *primroseloomv1.NewsItem, urgent bool) {
	v := m.currentView()
	self := v.members[0]
	n := m.news
	now := m.settings.Clock()
	n.mu.Lock()
	n.sequence++
	item.OriginVm, item.OriginInstance, item.Sequence = self.Vm, self.Instance, n.sequence
	entry := news.Entry[*primroseloomv1.NewsItem]{Item: item, Urgent: urgent, InitialWeight: initialWeight(item), CreatedAt: now}
	for _, vm := range n.recipientsOf(v, m.snap.Load(), item.Service) {
		if vm != self.Vm {
			n.dropped.Inc(int64(n.outboxFor(vm).queue.Push(now, entry)))
		}
	}
	n.mu.Unlock()
	if urgent {
		m.wakeLoop()
	}
}

// Subscribe registers a callback for each item received from another instance.
func (m *Manager) Subscribe(onItem func(*primroseloomv1.NewsItem)) {
	m.news.mu.Lock()
	defer m.news.mu.Unlock()
	m.news.subscribers = append(m.news.subscribers, onItem)
}

// initialWeight returns the weight by which an item is ranked among those that are
// not urgent. It grows with the strongest evidence in the item.
func initialWeight(item *primroseloomv1.NewsItem) float64 {
	var nats []float64
	switch body := item.GetBody().(type) {
	case *primroseloomv1.NewsItem_Evidence:
		nats = append(nats, body.Evidence.GetScore())
	case *primroseloomv1.NewsItem_Health:
		for _, evidence := range body.Health.GetEvidence() {
			nats = append(nats, evidence.GetIncrements()...)
		}
	default:
		return defaultWeight
	}
	weight := 1.0
	for _, score := range nats {
		if size := math.Abs(score); size < math.MaxFloat32 {
			weight = max(weight, 1+size)
		}
	}
	return weight
}

// recipientsOf returns the VMs to which items of a service are sent. The caller
// holds the lock.
func (n *newsExchange) recipientsOf(v *view, snap *snapshot.Snapshot, service string) []string {
	if n.recipientsView != v || n.recipientsSnapshot != snap {
		changed := n.recipientsSnapshot != snap || n.recipientsView == nil || n.recipientsView.version != v.version
		n.recipientsView, n.recipientsSnapshot = v, snap
		if changed {
			n.recipients = make(map[string][]string)
		}
	}
	if names, ok := n.recipients[service]; ok {
		return names
	}
	var names []string
	if definition, ok := lookupService(snap, service); ok {
		names = assign.ServingVMs(definition, v.members)
	} else if service == "" {
		for _, member := range v.members {
			names = append(names, member.Vm)
		}
	}
	n.recipients[service] = names
	return names
}

func lookupService(snap *snapshot.Snapshot, service string) (*document.Service, bool) {
	if snap == nil {
		return nil, false
	}
	return snap.Service(service)
}

func (n *newsExchange) outboxFor(vm string) *outbox {
	peerOutbox, ok := n.outboxes[vm]
	if !ok {
		peerOutbox = &outbox{queue: news.NewQueue[*primroseloomv1.NewsItem](news.DefaultLimits())}
		n.outboxes[vm] = peerOutbox
	}
	return peerOutbox
}

// sendNews starts sending the batches that are due.
func (m *Manager) sendNews(ctx context.Context, now time.Duration) {
	n := m.news
	v := m.view.Load()
	n.mu.Lock()
	defer n.mu.Unlock()
	interval := min(max(time.Duration(len(n.outboxes))*batchSpacing, minBatchInterval), maxBatchInterval)
	for vm, peerOutbox := range n.outboxes {
		member, known := v.byVM[vm]
		if !known || peerOutbox.queue.Len() == 0 {
			if !known || now > peerOutbox.nextBatch+maxBatchInterval {
				delete(n.outboxes, vm)
			}
			continue
		}
		if peerOutbox.sending || (now < peerOutbox.nextBatch && !peerOutbox.queue.HasUrgent()) {
			continue
		}
		peerOutbox.sending = true
		peerOutbox.nextBatch = now + interval
		batch := peerOutbox.queue.Take(now, maxBatchItems)
		go m.sendBatch(ctx, member, peerOutbox, batch)
	}
}

// sendBatch sends one batch. Urgent items of a failed batch are queued again; the
// others are dropped, because newer items soon supersede them.
func (m *Manager) sendBatch(ctx context.Context, to *primroseloomv1.Member, peerOutbox *outbox, batch []news.Entry[*primroseloomv1.NewsItem]) {
	err := m.shareNews(ctx, to.PeersAddress, batch)
	n := m.news
	now := m.settings.Clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	peerOutbox.sending = false
	if err == nil {
		n.sent.Inc(int64(len(batch)))
		return
	}
	n.failedBatches.Inc(1)
	for _, entry := range batch {
		entry.Attempts++
		if !entry.Urgent || entry.Attempts >= maxNewsAttempts {
			n.dropped.Inc(1)
			continue
		}
		n.dropped.Inc(int64(peerOutbox.queue.Push(now, entry)))
	}
}

// shareNews sends one batch to an address. It opens a new connection if the batch
// contains an item whose previous attempt failed.
func (m *Manager) shareNews(ctx context.Context, address string, batch []news.Entry[*primroseloomv1.NewsItem]) error {
	request := &primroseloomv1.ShareNewsRequest{Fleet: m.settings.Fleet, FromVm: m.settings.VM}
	retried := false
	for _, entry := range batch {
		request.Items = append(request.Items, entry.Item)
		retried = retried || entry.Attempts > 0
	}
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	client := m.pool.client(address)
	done := func(bool) {}
	if retried {
		client, done = m.pool.clientOnNewConnection(address)
	}
	_, err := client.ShareNews(ctx, connect.NewRequest(request))
	done(err == nil)
	return err
}

// receive passes the items not received before to the subscribers.
func (n *newsExchange) receive(self string, items []*primroseloomv1.NewsItem) {
	n.mu.Lock()
	subscribers := n.subscribers
	var newItems []*primroseloomv1.NewsItem
	for _, item := range items {
		if len(item.GetOriginVm()) > maxVMNameBytes {
			n.dropped.Inc(1)
			continue
		}
		if item.GetOriginVm() == self || !n.markReceived(item) {
			n.duplicates.Inc(1)
			continue
		}
		newItems = append(newItems, item)
	}
	n.mu.Unlock()
	n.received.Inc(int64(len(newItems)))
	for _, item := range newItems {
		for _, onItem := range subscribers {
			onItem(item)
		}
	}
}

// markReceived records the sequence number of an item and reports whether the item
// is new.
func (n *newsExchange) markReceived(item *primroseloomv1.NewsItem) bool {
	key := origin{vm: item.GetOriginVm(), instance: item.GetOriginInstance()}
	seen, ok := n.origins[key]
	if !ok {
		if len(n.origins) >= maxOrigins {
			clear(n.origins)
		}
		seen = &sequenceRing{}
		n.origins[key] = seen
	}
	if slices.Contains(seen.numbers[:], item.GetSequence()) {
		return false
	}
	seen.numbers[seen.next] = item.GetSequence()
	seen.next = (seen.next + 1) % sequencesPerOrigin
	return true
}
