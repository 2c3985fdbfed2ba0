package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/assign"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/membership"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Run drives the membership and sends news until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	if m.settings.TLS.Off {
		events.PeerTLSOff.Log(m.logger, "fleet", m.settings.Fleet)
	}
	go m.keys.watch(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer m.pool.close()
	for {
		m.tick(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// tick advances the membership. What arrives between two ticks is passed on by
// the next one, which bounds the messages of an instance when many members
// change at once.
func (m *Manager) tick(ctx context.Context) {
	m.mu.Lock()
	now := m.now()
	m.lastTick = now
	actions := m.state.Tick(now)
	changes := m.state.Events()
	m.publish(now)
	m.mu.Unlock()
	for _, change := range changes {
		m.report(change)
	}
	for _, action := range actions {
		m.start(ctx, action)
	}
	m.sendNews(ctx, now)
	m.gauge()
	m.traffic.report()
	m.pool.prune(now)
}

// gauge reports the size of the view.
func (m *Manager) gauge() {
	members := m.view.Load().members
	offered := 0
	for _, member := range members {
		if assign.Advertised(member) {
			offered++
		}
	}
	m.scope.Gauge("members").Update(float64(len(members)))
	m.scope.Gauge("members_offered").Update(float64(offered))
}

// now reads the clock and notices a pause of the process. The lock is held.
func (m *Manager) now() time.Duration {
	now := m.settings.Clock()
	gap := now - m.lastTick
	if m.lastTick == 0 || gap < pauseThreshold {
		return now
	}
	m.lastTick = now
	m.state.HandlePause(now, gap)
	m.scope.Counter("pauses").Inc(1)
	events.ProcessPaused.Log(m.logger, "length_ms", gap.Milliseconds())
	for _, notice := range m.onPause {
		go notice(gap)
	}
	return now
}

// start carries out an action in the background. When too many are in
// progress, a probe counts as unanswered.
func (m *Manager) start(ctx context.Context, action membership.Action) {
	select {
	case m.running <- struct{}{}:
	default:
		m.scope.Counter("actions_dropped").Inc(1)
		m.finished(membership.Result{Probe: action.Probe})
		return
	}
	go func() {
		defer func() { <-m.running }()
		ctx, cancel := context.WithTimeout(ctx, action.Timeout)
		defer cancel()
		switch action.Kind {
		case membership.ActionPing:
			m.finished(m.ping(ctx, action))
		case membership.ActionPingIndirect:
			m.finished(m.pingIndirect(ctx, action))
		case membership.ActionJoin:
			m.join(ctx, action)
		}
	}()
}

func (m *Manager) finished(result membership.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.HandlePingResult(m.now(), result)
}

// ping carries out one direct ping.
func (m *Manager) ping(ctx context.Context, action membership.Action) membership.Result {
	answer, err := m.exchange(ctx, action.To, action.Message, action.NewConnection)
	if err != nil {
		m.scope.Counter("pings_failed").Inc(1)
		return membership.Result{Probe: action.Probe}
	}
	m.scope.Counter("pings_answered").Inc(1)
	return membership.Result{Probe: action.Probe, Reached: true, AnyResponse: true, Response: answer}
}

// exchange pings a member and returns its answer.
func (m *Manager) exchange(ctx context.Context, to membership.Member, message membership.Message, fresh bool) (*membership.Message, error) {
	request := &primroseloomv1.PingRequest{
		Fleet: m.settings.Fleet, From: toWire(message.From), ToVm: to.VM,
		Updates: listToWire(message.Updates), ViewDigest: message.Digest,
	}
	client := m.pool.client(to.PeersAddress)
	var keep func(bool)
	if fresh {
		client, keep = m.pool.fresh(to.PeersAddress)
	}
	response, err := client.Ping(ctx, connect.NewRequest(request))
	if fresh {
		keep(err == nil)
	}
	if err != nil {
		return nil, err
	}
	return &membership.Message{From: fromWire(response.Msg.GetFrom()), Digest: response.Msg.GetViewDigest(),
		Updates: listFromWire(response.Msg.GetUpdates())}, nil
}

func (m *Manager) pingIndirect(ctx context.Context, action membership.Action) membership.Result {
	result := membership.Result{Probe: action.Probe}
	// The relay needs its own time to find out that the target does not answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*action.Timeout)
	defer cancel()
	request := &primroseloomv1.PingIndirectRequest{
		Fleet: m.settings.Fleet, From: toWire(action.Message.From), Target: toWire(action.Target),
		TimeoutMs: uint32(action.Timeout.Milliseconds()),
	}
	response, err := m.pool.client(action.To.PeersAddress).PingIndirect(ctx, connect.NewRequest(request))
	if err != nil {
		m.scope.Counter("relays_failed").Inc(1)
		return result
	}
	result.AnyResponse = true
	result.Reached = response.Msg.GetReached()
	return result
}

func (m *Manager) join(ctx context.Context, action membership.Action) {
	m.mu.Lock()
	list := m.state.Statements(m.now())
	m.mu.Unlock()
	request := &primroseloomv1.JoinRequest{Fleet: m.settings.Fleet, From: toWire(list[0]), Members: listToWire(list[1:])}
	client, keep := m.pool.fresh(action.Address)
	response, err := client.Join(ctx, connect.NewRequest(request))
	keep(err == nil)
	if err != nil {
		m.scope.Counter("joins_failed").Inc(1)
		m.logSeldom(events.JoinFailed, "peer", action.Address, "error", err)
		return
	}
	m.scope.Counter("joins_answered").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.HandleJoinResponse(m.now(), response.Msg.GetFromVm(), listFromWire(response.Msg.GetMembers()))
}

// report logs and counts a change of the view.
func (m *Manager) report(change membership.Event) {
	m.scope.Tagged(map[string]string{"change": string(change.Kind)}).Counter("membership_changes").Inc(1)
	switch change.Kind {
	case membership.EventJoined, membership.EventRestarted:
		events.MemberJoined.Log(m.logger, "peer", change.VM, "change", string(change.Kind))
	case membership.EventSuspected:
		events.MemberSuspected.Log(m.logger, "peer", change.VM, "raised_here", change.RaisedHere)
	case membership.EventRefuted:
		events.MemberRefuted.Log(m.logger, "peer", change.VM)
	case membership.EventUnreachable:
		events.MemberUnreachable.Log(m.logger, "peer", change.VM)
	case membership.EventLeaving:
		events.MemberLeaving.Log(m.logger, "peer", change.VM)
	case membership.EventDead:
		events.MemberLost.Log(m.logger, "peer", change.VM)
	case membership.EventHeldDown:
		events.MemberHeldDown.Log(m.logger, "peer", change.VM)
	case membership.EventSelfRefuted:
		events.SelfRefuted.Log(m.logger, "vm", change.VM)
	case membership.EventSuperseded:
		events.SelfSuperseded.Log(m.logger, "vm", change.VM)
	case membership.EventTableFull:
		m.logSeldom(events.MemberRefused, "peer", change.VM)
	}
}
