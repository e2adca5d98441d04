"""The flow engine: all that an entry instance decides about datagrams.

It has no socket, clock or thread.  Its owner passes in what arrived and
when, and carries out the effects that come back, in order.  So the same
code runs in the packet actor and, with small fakes around it, in tests.
"""

from cornelgap.core.calls import PieceArrived
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.membership import Membership
from cornelgap.entry import (
    balance,
    feeds,
    handover,
    peering,
    repin,
    requests,
    routing,
)
from cornelgap.entry.lookups import is_quiet
from cornelgap.entry.state import (
    EntryState,
    adopt_cfg,
    count_event,
    update_leaving,
)

ROUND_S = 0.1
"""Seconds between two rounds of pings."""

SWEEP_EVERY_S = 0.5
"""Least time between two sweeps over all flows; expiry and rebalancing are
matters of seconds."""

SWEEP_FLOWS = 2000
"""Flows looked at for expiry in one tick: 300,000 flows take 150 ticks,
and one tick stays below about a millisecond of work for it."""


class Engine:
    """One entry instance's flow engine; owned by exactly one task."""

    def __init__(self, state):
        """Keep the state."""
        self.state = state

    @classmethod
    def from_settings(cls, name, zone, boot, rng, api=''):
        """Build an engine that has no configuration yet.

        :param name: name of this entry instance.
        :param boot: nonce of this process.
        :param rng: seeded in tests.
        :param api: address of its gRPC server for peers.
        """
        membership = Membership.from_settings(name, zone)
        return cls(EntryState(name, zone, boot, rng, membership, api))

    def handle_caller(self, now, data, address):
        """Take a caller's datagram.

        :returns: effects.
        """
        routing.handle_caller(self.state, now, data, address)
        return self.state.take_effects()

    def handle_peer(self, now, data, source=''):
        """Take a datagram of another entry instance.

        :param source: ``host:port`` that it came from.
        :returns: effects.
        """
        state = self.state
        peer = peering.open_peer_datagram(state, now, data, source)
        if peer is not None:
            address = (peer.caller_host, peer.caller_port)
            routing.handle_caller(state, now, peer.payload, address, peer.hops)
        return state.take_effects()

    def handle_events(self, now, events):
        """Take what happened to calls and batches.

        :returns: effects.
        """
        for event in events:
            if isinstance(event, handover.HandedOver):
                handover.finish_batch(self.state, now, event)
            else:
                self._handle_call_event(now, event)
        return self.state.take_effects()

    def _handle_call_event(self, now, event):
        state = self.state
        call = state.calls.get(event.call_id)
        if call is None:
            return
        flow = state.flows.get(call.key)
        if isinstance(event, PieceArrived):
            _note_piece(state, now, flow, call, event)
        else:
            state.calls.pop(event.call_id)
            _note_end(state, now, flow, call, event)

    def adopt_cfg(self, now, cfg):
        """Put a later configuration in force.

        :returns: effects.
        """
        if adopt_cfg(self.state, now, cfg):
            self.state.membership.record_adoption(now, cfg.stamp)
        return self.state.take_effects()

    def note_instances(self, now, entries, leaving_targets):
        """Take the platform's instance list, which is a hint.

        :param entries: live entry instances as membership takes them.
        :param leaving_targets: names of targets said to be leaving.
        """
        self.state.membership.update_from_list(now, entries)
        self.state.listed_leaving = frozenset(leaving_targets)
        update_leaving(self.state)

    def note_hints(self, now, peers):
        """Take names of entry instances from a peer; hints as well."""
        self.state.membership.add_peer_hints(now, peers)

    def take_handover(self, now, records):
        """Become home of flows handed over.

        :returns: (number of flows owned here now, effects).
        """
        taken = handover.take_records(self.state, now, records)
        return taken, self.state.take_effects()

    def note_backlog(self, now, delay_s):
        """Take in how long the datagrams that come next have waited."""
        self.state.shedder.note_backlog(now, delay_s)
        self.state.waited_s = delay_s

    def start_leaving(self, now):
        """Begin a planned stop."""
        handover.start_leaving(self.state, now)

    def is_finished(self, now):
        """Say whether a planned stop is complete."""
        return handover.is_finished(self.state, now)

    def tick(self, now):
        """Do what time asks for; called some twenty times a second.

        :returns: effects.
        """
        state = self.state
        requests.sweep_waiting(state, now)
        repin.move_waiting(state, now)
        repin.tend_feeds(state, now)
        requests.drop_old_kept(state, now)
        balance.forget_opens(state, now)
        balance.plan_moves(state, now)
        _sweep_flows(state, now)
        if now >= state.next_round_at:
            state.next_round_at = now + ROUND_S
            peering.send_pings(state, now)
        handover.hand_over_flows(state, now)
        handover.tell_again(state, now)
        return state.take_effects()


def _note_piece(state, now, flow, call, event):
    if event.incarnation:
        state.incarnations[call.target] = event.incarnation
    if flow is None:
        return
    if event.load is not None:
        _note_load(state, now, flow, call, event.load)
    if call.feed:
        feed = (flow.feeds or {}).get(call.number)
        if feed is not None:
            feeds.handle_event(state, now, flow, feed, event)
        return
    kept = (flow.kept or {}).get(call.number)
    if kept is not None and kept.call_id == event.call_id and not kept.verdict:
        requests.handle_piece(state, now, flow, kept, event)


def _note_load(state, now, flow, call, load):
    placement = state.placements.get(flow.service)
    if placement is not None:
        placement.note_report(
            call.target,
            now,
            load.in_flight,
            load.waiting,
            load.slots,
            load.draining,
        )
    admission = state.admissions.get(flow.service)
    if admission is not None:
        admission.note_report(now, call.target, load.in_flight, load.waiting)


def _note_end(state, now, flow, call, event):
    if event.ended is CallEnd.FAILED:
        # The process behind the name may be another one next time.
        state.incarnations.pop(call.target, None)
    if flow is None:
        return
    if call.feed:
        feed = (flow.feeds or {}).get(call.number)
        if feed is not None:
            feeds.handle_feed_ended(state, now, flow, feed, event)
        return
    kept = (flow.kept or {}).get(call.number)
    placement = state.placements.get(flow.service)
    if placement is not None:
        # The wait at home counts: a target whose queue is long is slow for
        # callers, however fast it serves what has got through.
        since = kept.arrived if kept else call.started
        placement.note_end(call.target, now, event.ended, now - since)
    if kept is not None:
        requests.handle_ended(state, now, flow, kept, event, call)


def _sweep_flows(state, now):
    """Forget flows whose newest token has expired, some at a time.

    Forgetting one earlier would let an old copy of a request meet an empty
    window and run again; the caller would see a doubled refinement.
    """
    if not state.sweep_keys:
        if now < state.next_sweep_at:
            return
        state.next_sweep_at = now + SWEEP_EVERY_S
        state.sweep_keys = list(state.flows)
    batch = state.sweep_keys[-SWEEP_FLOWS:]
    del state.sweep_keys[-SWEEP_FLOWS:]
    for key in batch:
        flow = state.flows.get(key)
        if flow is None:
            continue
        if flow.expiry < now and not flow.feeds and is_quiet(flow):
            _forget_flow(state, flow)
        else:
            balance.move_if_wanted(state, now, flow)


def _forget_flow(state, flow):
    state.flows.pop(flow.key)
    count_event(state, 'flows_expired')
    placement = state.placements.get(flow.service)
    if placement is not None:
        placement.note_flow(flow.target, -1)
