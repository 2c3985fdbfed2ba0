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

// Bounds on the sharing of news.
const (
	// maxBatchItems is the number of items in one message.
	maxBatchItems = 64
	// batchSpacing is the time between two ordinary batches of an instance, on average.
	batchSpacing     = 100 * time.Millisecond
	minBatchInterval = 500 * time.Millisecond
	maxBatchInterval = 8 * time.Second
	newsTimeout      = time.Second
	// maxNewsAttempts is how often an urgent item is sent.
	maxNewsAttempts = 3
	// maxOrigins bounds the instances whose sequence numbers are remembered.
	maxOrigins = 4096
	// sequencesKept is the number of sequence numbers remembered for each origin.
	sequencesKept = 128
	// maxNameBytes bounds the VM names that are remembered.
	maxNameBytes = 63
	// urgentStrength ranks items without a score of their own.
	urgentStrength = 10
)

// newsroom holds the items that wait for each peer and knows those received.
type newsroom struct {
	sent, failed, dropped, received, repeated tally.Counter

	mu          sync.Mutex
	sequence    uint64
	subscribers []func(*primroseloomv1.NewsItem)
	outboxes    map[string]*outbox
	origins     map[origin]*sequences
	serving     map[string][]string
	servingFor  *view
	servingSnap *snapshot.Snapshot
}

type outbox struct {
	queue   *news.Queue[*primroseloomv1.NewsItem]
	next    time.Duration
	sending bool
}

type origin struct {
	vm       string
	instance uint64
}

// sequences is a ring of the last sequence numbers of one origin.
type sequences struct {
	last [sequencesKept]uint64
	next int
}

func newNewsroom(scope tally.Scope) *newsroom {
	return &newsroom{
		sent: scope.Counter("news_items_sent"), failed: scope.Counter("news_batches_failed"),
		dropped: scope.Counter("news_items_dropped"), received: scope.Counter("news_items_received"),
		repeated: scope.Counter("news_items_repeated"),
		outboxes: make(map[string]*outbox), origins: make(map[origin]*sequences),
		serving: make(map[string][]string),
	}
}

// Publish sends an item to the instances that serve its service, or to all when
// it names none. An urgent one goes at once and ahead of others.
func (m *Manager) Publish(item *primroseloomv1.NewsItem, urgent bool) {
	v := m.current()
	self := v.members[0]
	r := m.news
	now := m.settings.Clock()
	r.mu.Lock()
	r.sequence++
	item.OriginVm, item.OriginInstance, item.Sequence = self.Vm, self.Instance, r.sequence
	entry := news.Entry[*primroseloomv1.NewsItem]{Item: item, Urgent: urgent, InitialWeight: strength(item), CreatedAt: now}
	for _, vm := range r.audience(v, m.snap.Load(), item.Service) {
		if vm != self.Vm {
			r.dropped.Inc(int64(r.box(vm).queue.Push(now, entry)))
		}
	}
	r.mu.Unlock()
	if urgent {
		m.prompt()
	}
}

// Subscribe calls back with each item of another instance.
func (m *Manager) Subscribe(onItem func(*primroseloomv1.NewsItem)) {
	m.news.mu.Lock()
	defer m.news.mu.Unlock()
	m.news.subscribers = append(m.news.subscribers, onItem)
}

// strength ranks an item among those that are not urgent, by the evidence in it.
func strength(item *primroseloomv1.NewsItem) float64 {
	var nats []float64
	switch body := item.GetBody().(type) {
	case *primroseloomv1.NewsItem_Evidence:
		nats = append(nats, body.Evidence.GetScore())
	case *primroseloomv1.NewsItem_Health:
		for _, evidence := range body.Health.GetEvidence() {
			nats = append(nats, evidence.GetIncrements()...)
		}
	default:
		return urgentStrength
	}
	most := 1.0
	for _, score := range nats {
		if size := math.Abs(score); size < math.MaxFloat32 {
			most = max(most, 1+size)
		}
	}
	return most
}

// audience returns the VMs that an item concerns. The lock is held.
func (r *newsroom) audience(v *view, snap *snapshot.Snapshot, service string) []string {
	if r.servingFor != v || r.servingSnap != snap {
		changed := r.servingSnap != snap || r.servingFor == nil || r.servingFor.version != v.version
		r.servingFor, r.servingSnap = v, snap
		if changed {
			r.serving = make(map[string][]string)
		}
	}
	if names, ok := r.serving[service]; ok {
		return names
	}
	var names []string
	if definition, ok := lookup(snap, service); ok {
		names = assign.ServingVMs(definition, v.members)
	} else if service == "" {
		for _, member := range v.members {
			names = append(names, member.Vm)
		}
	}
	r.serving[service] = names
	return names
}

func lookup(snap *snapshot.Snapshot, service string) (*document.Service, bool) {
	if snap == nil {
		return nil, false
	}
	return snap.Service(service)
}

func (r *newsroom) box(vm string) *outbox {
	box, ok := r.outboxes[vm]
	if !ok {
		box = &outbox{queue: news.NewQueue[*primroseloomv1.NewsItem](news.DefaultLimits())}
		r.outboxes[vm] = box
	}
	return box
}

// sendNews starts the batches that are due.
func (m *Manager) sendNews(ctx context.Context, now time.Duration) {
	r := m.news
	v := m.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := min(max(time.Duration(len(r.outboxes))*batchSpacing, minBatchInterval), maxBatchInterval)
	for vm, box := range r.outboxes {
		member, known := v.byVM[vm]
		if !known || box.queue.Len() == 0 {
			if !known || now > box.next+maxBatchInterval {
				delete(r.outboxes, vm)
			}
			continue
		}
		if box.sending || (now < box.next && !box.queue.HasUrgent()) {
			continue
		}
		box.sending = true
		box.next = now + interval
		batch := box.queue.Take(now, maxBatchItems)
		go m.deliver(ctx, member, box, batch)
	}
}

// deliver sends one batch. Urgent items of a batch that failed go back to wait;
// the others are superseded by newer ones soon enough.
func (m *Manager) deliver(ctx context.Context, to *primroseloomv1.Member, box *outbox, batch []news.Entry[*primroseloomv1.NewsItem]) {
	err := m.shareNews(ctx, to.PeersAddress, batch)
	r := m.news
	now := m.settings.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	box.sending = false
	if err == nil {
		r.sent.Inc(int64(len(batch)))
		return
	}
	r.failed.Inc(1)
	for _, entry := range batch {
		entry.Attempts++
		if !entry.Urgent || entry.Attempts >= maxNewsAttempts {
			r.dropped.Inc(1)
			continue
		}
		r.dropped.Inc(int64(box.queue.Push(now, entry)))
	}
}

// shareNews sends one batch, over a new connection when a reused one has failed.
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
	keep := func(bool) {}
	if retried {
		client, keep = m.pool.fresh(address)
	}
	_, err := client.ShareNews(ctx, connect.NewRequest(request))
	keep(err == nil)
	return err
}

// receive hands the items that are new to the subscribers.
func (r *newsroom) receive(self string, items []*primroseloomv1.NewsItem) {
	r.mu.Lock()
	subscribers := r.subscribers
	var fresh []*primroseloomv1.NewsItem
	for _, item := range items {
		if len(item.GetOriginVm()) > maxNameBytes {
			r.dropped.Inc(1)
			continue
		}
		if item.GetOriginVm() == self || !r.remember(item) {
			r.repeated.Inc(1)
			continue
		}
		fresh = append(fresh, item)
	}
	r.mu.Unlock()
	r.received.Inc(int64(len(fresh)))
	for _, item := range fresh {
		for _, onItem := range subscribers {
			onItem(item)
		}
	}
}

// remember notes an item and tells whether it was new.
func (r *newsroom) remember(item *primroseloomv1.NewsItem) bool {
	key := origin{vm: item.GetOriginVm(), instance: item.GetOriginInstance()}
	seen, ok := r.origins[key]
	if !ok {
		if len(r.origins) >= maxOrigins {
			clear(r.origins)
		}
		seen = &sequences{}
		r.origins[key] = seen
	}
	if slices.Contains(seen.last[:], item.GetSequence()) {
		return false
	}
	seen.last[seen.next] = item.GetSequence()
	seen.next = (seen.next + 1) % sequencesKept
	return true
}
