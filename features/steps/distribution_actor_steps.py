"""Steps about the configuration actor, the peer server and its clients."""

import queue
import threading
from collections import Counter
from types import SimpleNamespace

import grpc
import pykka
from behave import given, then, when

from cornelgap.cfg.publishing import publish
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg
from cornelgap.core.stamps import Stamp
from cornelgap.decisions.membership import Membership
from cornelgap.entry import asking, peer_server
from cornelgap.entry.cfg_actor import (
    CfgActor,
    FetchEnded,
    ReadBundle,
    RootSeen,
)
from cornelgap.entry.distribution import Distribution
from cornelgap.entry.packets import AdoptCfg, ReadState
from cornelgap.entry.peer_clients import PeerClients
from cornelgap.kernel.loops import LoopThread
from cornelgap.wire import peer_pb2
from cornelgap.wire.peer_pb2_grpc import PeerStub
from standins.memory import MemoryStore

WAIT_S = 20
BOOT = 5


class FakePacket(pykka.ThreadingActor):
    """Notes what it adopts and lets its state be read."""

    def __init__(self, members, changed, adopted):
        super().__init__()
        self.state = SimpleNamespace(
            cfg=Cfg(), membership=members, counters=Counter()
        )
        self.changed = changed
        self.adopted = adopted

    def on_receive(self, message):
        if isinstance(message, AdoptCfg):
            with self.changed:
                self.state.cfg = message.cfg
                self.adopted.append(message.cfg.stamp)
                self.changed.notify_all()
        elif isinstance(message, ReadState):
            return message.read(self.state, 0)
        return None


class WatchedCfgActor(CfgActor):
    """A configuration actor that tells of ended fetches and seen roots."""

    fetch_ended = threading.Event()
    roots = queue.SimpleQueue()

    def on_receive(self, message):
        answer = super().on_receive(message)
        if isinstance(message, FetchEnded):
            self.fetch_ended.set()
        elif isinstance(message, RootSeen):
            self.roots.put(message.stamp)
        return answer


def make_cfg(revision):
    target = TargetCfg('search-1', f'127.0.0.1:{revision}', 'z1')
    service = ServiceCfg('search', targets={target.name: target})
    return Cfg(
        revision=revision,
        services={service.name: service},
        keys={1: KeyCfg(1, b'k' * 32)},
    )


def get_loops(context):
    if not hasattr(context, 'control_loops'):
        context.control_loops = LoopThread.start_new('control-test')
        context.cleanups.append(context.control_loops.stop)
        context.control_clients = PeerClients('tester')
        context.cleanups.append(
            lambda: run(context, context.control_clients.close())
        )
        context.packets = {}
        context.adopted = {}
        context.apis = {}
        context.changed = threading.Condition()
    return context.control_loops


def run(context, coro):
    return context.control_loops.submit(coro).result(WAIT_S)


def start_server(context, ask_cfg, take_handover):
    loops = get_loops(context)
    service = peer_server.PeerService(BOOT, ask_cfg, take_handover)
    server, port = run(
        context, peer_server.start_peer_server(service, '127.0.0.1:0')
    )
    context.cleanups.append(lambda: loops.submit(server.stop(0)).result(WAIT_S))
    return f'127.0.0.1:{port}'


def start_actor(context, name, store, seeds=()):
    loops = get_loops(context)
    members = Membership.from_settings(name, 'z1', context.rng)
    adopted = context.adopted.setdefault(name, [])
    packet = FakePacket.start(members, context.changed, adopted)
    context.cleanups.append(packet.stop)
    dist = Distribution.from_settings(name, 'z1', context.rng, seeds)
    ref = WatchedCfgActor.start(
        name, dist, store, packet, loops, context.control_clients
    )
    context.cleanups.append(ref.stop)
    context.packets[name] = packet
    context.apis[name] = start_server(
        context,
        lambda known, stamp: ref.ask(ReadBundle(known, stamp), block=False),
        None,
    )


@given('a platform for the configuration actors')
def make_platform(context):
    context.store = MemoryStore()


@given('a configuration actor "{name}"')
def start_plain(context, name):
    start_actor(context, name, context.store)


@given('a configuration actor "{name}" that is not told by the platform')
def start_deaf(context, name):
    start_actor(context, name, MemoryStore())


@when('a configuration actor "{name}" starts that knows "{peer}"')
def start_seeded(context, name, peer):
    start_actor(context, name, context.store, [context.apis[peer]])


@given('a peer server that gives a damaged bundle')
def start_damaged(context):
    def ask_cfg(known, stamp):
        fut = pykka.ThreadingFuture()
        fut.set((Stamp(1, 9), b'\x0a\x03abc'))
        return fut

    context.damaged = start_server(context, ask_cfg, None)


@when('a configuration actor "{name}" starts that knows the damaged peer')
def start_misled(context, name):
    WatchedCfgActor.fetch_ended.clear()
    start_actor(context, name, MemoryStore(), [context.damaged])


@when('revision {revision:d} is published for the configuration actors')
def publish_revision(context, revision):
    result = publish(
        context.store, make_cfg(revision), 'op', 'why', f'w{revision}'
    )
    assert result.accepted and result.revision == revision, result


@when('the platform of the configuration actors loses and reissues it')
def reissue(context):
    context.store.state.restore({})
    result = publish(context.store, make_cfg(2), 'op', 'why', 'again')
    assert result.accepted and result.stamp == Stamp(2, 1), result


@when('the platform of the configuration actors goes down')
def stop_platform(context):
    context.store.state.faults.down = True


@when('the packet actor of "{name}" hears that "{peer}" has revision {rev:d}')
def hear_peer(context, name, peer, rev):
    hear_era(context, name, peer, rev, 1)


@when(
    'the packet actor of "{name}" hears that "{peer}" has revision {rev:d} '
    'of era {era:d}'
)
def hear_era(context, name, peer, rev, era):
    def hear(state, now):
        state.membership.record_datagram(
            0, peer, BOOT, Stamp(era, rev), False, context.apis[peer]
        )

    context.packets[name].ask(ReadState(hear))


@then('the packet actor of "{name}" adopts revision {revision:d}')
def check_adopted(context, name, revision):
    check_era(context, name, revision, 1)


@then(
    'the packet actor of "{name}" adopts revision {revision:d} of era {era:d}'
)
def check_era(context, name, revision, era):
    adopted = context.adopted[name]
    stamp = Stamp(era, revision)
    with context.changed:
        assert context.changed.wait_for(lambda: stamp in adopted, WAIT_S)


@then('a watch shows revision {revision:d} of era {era:d}')
def check_watch(context, revision, era):
    stamp = Stamp(era, revision)
    while WatchedCfgActor.roots.get(timeout=WAIT_S) != stamp:
        continue


@then(
    'the configuration actor "{name}" gives nothing to a peer that has '
    'revision {revision:d} of era {era:d}'
)
def check_no_bundle(context, name, revision, era):
    call = context.control_clients.fetch_cfg(
        context.apis[name], Stamp(era, revision), []
    )
    assert not run(context, call).document


@then(
    'the packet actor of "{name}" goes on with revision {revision:d} '
    'of era {era:d}'
)
def check_goes_on(context, name, revision, era):
    def read(state, now):
        return state.cfg.stamp, state.membership.list_newer_peers(
            state.cfg.stamp
        )

    found = context.packets[name].ask(ReadState(read))
    assert found == (Stamp(era, revision), []), found


@then('the configuration actor "{name}" hears that the fetch gave nothing')
def check_fetch_failed(context, name):
    assert WatchedCfgActor.fetch_ended.wait(WAIT_S)


@then('the packet actor of "{name}" has adopted nothing')
def check_nothing(context, name):
    assert context.adopted[name] == []


@given('a peer server whose packet actor takes handovers')
def start_taking(context):
    def take_handover(records):
        fut = pykka.ThreadingFuture()
        fut.set(len(records))
        return fut

    context.successor = start_server(context, None, take_handover)


@given('a peer server whose packet actor hangs')
def start_hanging(context):
    def take_handover(records):
        return pykka.ThreadingFuture()

    bound = asking.ANSWER_S
    asking.ANSWER_S = 0.05
    context.cleanups.append(lambda: setattr(asking, 'ANSWER_S', bound))
    context.successor = start_server(context, None, take_handover)


@when('{count:d} flow records are handed over to the peer server')
def hand_over(context, count):
    records = [peer_pb2.FlowRecord(top=i + 1) for i in range(count)]
    context.reply = run(
        context,
        context.control_clients.hand_over(context.successor, BOOT, records),
    )


@then("the peer server's answer is that {count:d} were taken")
def check_taken(context, count):
    assert context.reply.taken == count
    assert context.reply.boot == BOOT


@when('a patient peer hands {count:d} flow records over to the peer server')
def hand_over_patiently(context, count):
    req = peer_pb2.HandoverRequest(
        flows=[peer_pb2.FlowRecord(top=i + 1) for i in range(count)]
    )
    with grpc.insecure_channel(context.successor) as channel:
        try:
            PeerStub(channel).Handover(req, timeout=WAIT_S)
        except grpc.RpcError as exc:
            context.answer = (exc.code(), exc.details())


@then('the peer server says to the patient peer that it is busy')
def check_busy(context):
    assert context.answer == (grpc.StatusCode.DEADLINE_EXCEEDED, 'busy')
