"""One entry instance's process in the small world: engine, links, faults.

A paused process keeps what arrives in its socket buffers and sees all of
it at once when it wakes, later than it thinks.  Its clock has an origin of
its own, as a monotonic clock has.
"""

import random

from cornelgap.core import calls
from cornelgap.core.errors import Code
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry import call_ends
from cornelgap.entry.engine import Engine
from cornelgap.entry.handover import HandedOver, HandOver
from features.proofs import fabric as fab
from features.proofs import fake_platform
from features.proofs import records as rec
from features.proofs.steps import name_step

TICK_S = 0.05
LINK_S = 0.001
CONNECT_S = 1.0
GRPC_S = 0.002


class EntryNode:
    """One process; a restart makes another one at the same address."""

    def __init__(self, world, name, zone):
        """Start a process without a configuration."""
        self.world = world
        self.name = name
        self.zone = zone
        self.boot = world.rng.getrandbits(60) + 1
        self.offset = world.rng.uniform(-900, 5000)
        self.address = f'{name}:1'
        self.alive = True
        self.paused = False
        self.leaving = False
        self.finished = False
        self.broken = ''
        self._backlog = []
        self._serving = {}
        rng = random.Random(world.rng.getrandbits(64))
        self.engine = Engine.from_settings(
            name, zone, self.boot, rng, self.address
        )
        world.loop.at(0, fake_platform.poll_platform, world, self)
        world.loop.at(TICK_S * world.rng.random(), self._tick)

    def now(self):
        """Read this process's own clock."""
        return self.world.loop.now + self.offset

    def is_running(self):
        """Say whether the process runs and is not paused."""
        return self.alive and not self.paused

    # Faults.

    def kill(self):
        """End the process at once; its sockets and calls are gone."""
        self.alive = False
        self._backlog.clear()
        for serving in self._serving.values():
            if serving.target is not None:
                serving.target.stop(serving.at_target)
        self._serving.clear()

    def pause(self, length_s):
        """Stop the process and let it go on after a time."""
        if self.paused or not self.alive:
            return
        self.paused = True
        self.world.loop.at(length_s, self._wake)

    def _wake(self):
        self.paused = False
        backlog, self._backlog = self._backlog, []
        for func, args in backlog:
            self.enter(func, *args)

    def leave(self):
        """Begin a planned stop."""
        self.leaving = True
        self.enter(self._start_leaving)

    def _start_leaving(self):
        self.engine.start_leaving(self.now())
        return []

    # Turns of the process.

    def enter(self, func, *args):
        """Run a function in the process now, or once it is awake."""
        if not self.alive:
            return
        if self.paused:
            self._backlog.append((func, args))
            return
        for effect in func(*args):
            self._carry_out(effect)

    def _tick(self):
        if not self.alive:
            return
        if not self.paused:
            self.enter(self._do_tick)
            if self.engine.is_finished(self.now()):
                self.finished = True
                self.kill()
                return
        self.world.loop.at(TICK_S, self._tick)

    def _do_tick(self):
        return self.engine.tick(self.now())

    def receive_caller(self, data, address):
        """Take a datagram from the public socket."""
        self.enter(self._do_caller, data, address)

    def _do_caller(self, data, address):
        return self.engine.handle_caller(self.now(), data, address)

    def receive_peer(self, data, source):
        """Take a datagram from the private socket."""
        self.enter(self._do_peer, data, source)

    def _do_peer(self, data, source):
        return self.engine.handle_peer(self.now(), data, source)

    def receive_events(self, events):
        """Take what links report."""
        self.enter(self._do_events, events)

    def _do_events(self, events):
        for event in events:
            if isinstance(event, calls.CallEnded):
                self._serving.pop(event.call_id, None)
        return self.engine.handle_events(self.now(), events)

    def adopt(self, cfg):
        """Take a configuration, new or old, from wherever it came."""
        self.enter(self._do_adopt, cfg)

    def _do_adopt(self, cfg):
        effects = self.engine.adopt_cfg(self.now(), cfg)
        revision = self.engine.state.cfg.revision
        self.world.tape.note(rec.Adopted(self.name, self.boot, revision))
        return effects

    def note_instances(self, entries, leaving_targets):
        """Take the platform's list."""
        self.enter(self._do_instances, entries, leaving_targets)

    def _do_instances(self, entries, leaving_targets):
        self.engine.note_instances(self.now(), entries, leaving_targets)
        return []

    # Effects.

    def _carry_out(self, effect):
        if isinstance(effect, calls.SendCaller):
            self._send_caller(effect)
        elif isinstance(effect, calls.SendPeer):
            self._send_peer(effect)
        elif isinstance(effect, HandOver):
            self._hand_over(effect)
        elif isinstance(effect, calls.GrantPieces):
            self._grant(effect)
        elif isinstance(effect, calls.StopCall):
            self._stop(effect)
        else:
            self._serving[effect.call_id] = _Link(effect)
            self.world.loop.at(LINK_S, self.enter, self._connect, effect)

    def _send_caller(self, effect):
        caller = self.world.callers.get(effect.address)
        if caller is not None:
            self.world.fabric.send(
                name_step(effect.datagram),
                self.zone,
                fab.OUTSIDE,
                fab.CALLER_S,
                caller.receive,
                effect.datagram,
            )

    def _send_peer(self, effect):
        address = self.engine.state.membership.find_address(effect.peer)
        peer = self.world.find_node(address)
        if peer is not None:
            self.world.fabric.send(
                'relay',
                self.zone,
                peer.zone,
                fab.ZONE_S,
                self.world.deliver_peer,
                address,
                effect.datagram,
                self.address,
            )

    def _hand_over(self, effect):
        fault = self.world.fabric.ask_hooks('handover', (self, effect))
        peer = self.world.nodes.get(effect.peer)
        if peer is None or not peer.alive or fault == 'lost':
            self._report_batch(effect, taken=False)
            return
        if self.world.fabric.is_cut(self.zone, peer.zone):
            return
        delay = GRPC_S + (fab.LATE_S if fault == 'late' else 0)
        records = [_copy(record) for record in effect.records]
        times = 2 if fault == 'doubled' else 1
        for _ in range(times):
            self.world.loop.at(
                delay,
                self._deliver_records,
                peer.name,
                effect,
                records,
                fault == 'answer lost',
            )

    def _deliver_records(self, name, effect, records, answer_lost):
        peer = self.world.nodes.get(name)
        if peer is not None and peer.alive:
            peer.enter(peer.take_records, self, effect, records, answer_lost)

    def take_records(self, sender, effect, records, answer_lost):
        """Take flows over from a peer that leaves."""
        taken, effects = self.engine.take_handover(self.now(), records)
        if not answer_lost:
            sender._report_batch(effect, taken=taken == len(records))
        return effects

    def _report_batch(self, effect, taken):
        event = HandedOver(effect.batch_id, taken)
        self.world.loop.at(GRPC_S, self.receive_events, [event])

    # Links to targets.

    def _connect(self, effect):
        link = self._serving.get(effect.call_id)
        if link is None:
            return []
        target = self.world.addresses.get(effect.address)
        step = _name_call(effect, self)
        fault = self.world.fabric.ask_hooks(step, (self, effect, target))
        if link.stopped:
            self._end_unsent(effect, CallEnd.CANCELLED, Code.REQ_CANCELLED)
        elif target is None or not target.alive or fault == 'lost':
            self._end_unsent(effect, CallEnd.FAILED, Code.REQ_TARGET_LOST)
        elif self.world.fabric.is_cut(self.zone, target.zone):
            self.world.loop.at(
                CONNECT_S,
                self._end_unsent,
                effect,
                CallEnd.FAILED,
                Code.REQ_TARGET_LOST,
            )
        else:
            delay = fab.LATE_S if fault == 'late' else 0
            self.world.loop.at(delay, self.enter, self._send_call, effect)
        return []

    def _send_call(self, effect):
        link = self._serving.get(effect.call_id)
        target = self.world.addresses.get(effect.address)
        if link is None:
            return []
        deadline = float('inf')
        if isinstance(effect, calls.StartRun):
            left = effect.deadline - self.now()
            deadline = self.world.loop.now + left
            if left <= 0:
                self._end_unsent(effect, CallEnd.TIMEOUT, Code.REQ_DEADLINE)
                return []
            self.world.loop.at(left, self._time_out, effect)
        link.sent = True
        self.world.loop.at(
            fab.ZONE_S, self._arrive, effect, link, target, deadline
        )
        return []

    def _arrive(self, effect, link, target, deadline):
        if self.world.addresses.get(effect.address) is not target:
            target = self.world.addresses.get(effect.address)
        if not target.alive or link.stopped:
            self._end_doubtful(effect, CallEnd.FAILED, Code.REQ_TARGET_LOST)
            return
        link.target = target

        def report(step, event):
            self._hear_target(target, step, event)

        link.at_target = target.start(effect, deadline, report)

    def _hear_target(self, target, step, event):
        fault = self.world.fabric.ask_hooks(step, (self, target, event))
        delay = fab.ZONE_S + (fab.LATE_S if fault == 'late' else 0)
        if self.world.fabric.is_cut(self.zone, target.zone):
            # TCP repeats; a cut that lasts is noticed by the deadline.
            self.world.loop.at(0.2, self._hear_target, target, step, event)
            return
        if fault == 'lost':
            link = self._serving.get(event.call_id)
            if link is not None and link.at_target is not None:
                target.stop(link.at_target)
                self._end_doubtful(
                    link.effect, CallEnd.FAILED, Code.REQ_TARGET_LOST
                )
            return
        link = self._serving.get(event.call_id)
        if link is not None:
            # One connection keeps its order, however late.
            when = max(link.clear_at, self.world.loop.now + delay)
            link.clear_at = when
            self.world.loop.at(
                when - self.world.loop.now, self._pass_on, link, event
            )

    def _pass_on(self, link, event):
        if self._serving.get(event.call_id) is link:
            self.receive_events([event])

    def _time_out(self, effect):
        link = self._serving.get(effect.call_id)
        if link is None or link.over:
            return
        if link.at_target is not None:
            link.target.stop(link.at_target)
        self._end_doubtful(effect, CallEnd.TIMEOUT, Code.REQ_DEADLINE)

    def _end_unsent(self, effect, ended, code):
        self._end(call_ends.end_unsent(effect.call_id, ended, code))

    def _end_doubtful(self, effect, ended, code):
        self._end(call_ends.end_doubtful(effect.call_id, ended, code))

    def _end(self, event):
        link = self._serving.get(event.call_id)
        if link is not None and not link.over:
            link.over = True
            self.world.loop.at(LINK_S, self.receive_events, [event])

    def _grant(self, effect):
        link = self._serving.get(effect.call_id)
        if link is not None and link.at_target is not None:
            link.target.grant(link.at_target, effect.pieces)
        elif link is not None:
            link.effect.pieces += effect.pieces

    def _stop(self, effect):
        link = self._serving.get(effect.call_id)
        if link is None:
            return
        link.stopped = True
        if link.at_target is not None:
            link.target.stop(link.at_target)
        if link.sent:
            self._end_doubtful(
                link.effect, CallEnd.CANCELLED, Code.REQ_CANCELLED
            )


class _Link:
    """One call as the entry instance's side of a connection sees it."""

    def __init__(self, effect):
        self.effect = effect
        self.target = None
        self.at_target = None
        self.sent = False
        self.stopped = False
        self.over = False
        self.clear_at = 0


def _copy(record):
    copied = type(record)()
    copied.CopyFrom(record)
    return copied


def _name_call(effect, node):
    if isinstance(effect, calls.StartRun):
        return 'send to target'
    flow = node.engine.state.calls.get(effect.call_id)
    moved = flow and node.engine.state.counters['feeds_moved']
    return 're-pin' if moved else 'follow'
