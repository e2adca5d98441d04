"""Stories of the traps that one part alone must avoid."""

import asyncio
import random
from types import SimpleNamespace

import grpc
from grpc import aio

from cornelgap.call import events as ev
from cornelgap.call.flow import CallerFlow
from cornelgap.cfg import publishing
from cornelgap.core import calls
from cornelgap.core import messages as msg
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import ServiceCfg, TargetCfg
from cornelgap.core.stamps import Stamp
from cornelgap.core.verdicts import RunState
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.placement import Placement
from cornelgap.entry import call_ends
from cornelgap.entry.distribution import Distribution
from cornelgap.entry.target_call import TargetCall
from cornelgap.wire import target_pb2
from cornelgap.wire.caller_codec import encode_message
from features.proofs.hand import Desk, make_cfg, pick
from standins.memory import MemoryStore

CALL = calls.StartRun(
    call_id=1,
    service='booking',
    target='b1',
    address='b1:9',
    incarnation=0,
    flow_id=b'f' * 16,
    epoch=7,
    number=1,
    idempotent=False,
    deadline=10.0,
    payload=b'hold/1',
    pieces=4,
)


class _Stub:
    """A target's stub that keeps what is sent and gives pieces back."""

    def __init__(self, *pieces):
        self.sent = []
        self._pieces = [*pieces, aio.EOF]

    def Run(self, req, timeout):
        """Take a request."""
        self.sent.append(req)
        return self

    def add_done_callback(self, callback):
        """Never done before its end."""

    async def read(self):
        """Give the next piece."""
        return self._pieces.pop(0)

    async def code(self):
        """End well."""
        return grpc.StatusCode.OK

    def cancel(self):
        """Be cancelled."""


def _make_call(stub, now):
    async def await_ready():
        return True

    link = SimpleNamespace(stub=stub, await_ready=await_ready)
    emitted = []
    call = TargetCall(
        CALL, link, emitted.append, now=lambda: now, wall=lambda: 1000.0
    )
    return call, emitted


def play_woken_late():
    """The process wakes after the deadline, right before sending."""
    stub = _Stub()
    call, _ = _make_call(stub, now=12.0)
    end = asyncio.run(call.run())
    lines = ['a hold was sent past its deadline'] if stub.sent else []
    if not stub.sent and end.ran is not RunState.NOT_RUN:
        lines.append('what was never sent must be not run')
    return lines


def play_reused_address():
    """A briefing target answers at the address of a booking target."""
    piece = target_pb2.Piece(
        service='briefing', target='p1', payload=b'pack', last=True
    )
    stub = _Stub(piece)
    call, emitted = _make_call(stub, now=1.0)
    end = asyncio.run(call.run())
    lines = []
    if emitted or end.ran is RunState.DONE:
        lines.append('an answer of another service was passed on')
    if (stub.sent[0].service, stub.sent[0].target) != ('booking', 'b1'):
        lines.append('the request does not name whom it means')
    return lines


def play_cold_start():
    """The platform is down; the first peer to answer is behind."""
    part = Distribution.from_settings(
        'e9', 'z1', random.Random(1), seeds=('e1', 'e2')
    )
    part.decide(0)
    part.note_read(0, None)
    part.note_fetched(0.01, 'e1', Stamp(1, 5), 'old')
    first = part.take_ripe(0.02)
    part.note_fetched(0.05, 'e2', Stamp(1, 8), 'new')
    second = part.take_ripe(0.06)
    lines = []
    if first is not None:
        lines.append('an old revision was put in force at a cold start')
    if second != 'new':
        lines.append(f'{second} in place of the newest of the peers')
    return lines


def play_no_cfg():
    """An entry without any configuration is asked to open a flow."""
    desk = Desk()
    desk.start_entry('e1', make_cfg(0))
    replies = desk.send('e1', msg.Open('booking', 5))
    refused = pick(replies, msg.Refused)
    if refused and refused[0].verdict.retry_after_ms:
        return []
    return ['an entry without a configuration did not say when to come back']


class _LossyStore(MemoryStore):
    """A store that loses the answer to the next write of the root."""

    lossy = False

    def put(self, name, *args):
        """Write; lose one answer if asked to."""
        result = super().put(name, *args)
        if name == publishing.ROOT_NAME and self.lossy:
            self.lossy = False
            raise CodedError(Code.PLT_ANSWER_LOST, 'lost', name)
        return result


def _publish(store, cfg, write_id, base=None):
    return publishing.publish(
        store,
        cfg,
        'ops',
        'why',
        write_id,
        base=base,
        now_ms=1,
        pause=lambda wait: None,
    )


def play_lost_write_answer():
    """A write takes effect and its answer is lost; another one races."""
    store = _LossyStore()
    _publish(store, make_cfg(), 'one')
    store.lossy = True
    won = _publish(store, make_cfg(targets=('b1',)), 'two', base=Stamp(1, 1))
    raced = _publish(
        store, make_cfg(targets=('b2',)), 'three', base=Stamp(1, 1)
    )
    _, root = publishing.read_root(store)
    lines = []
    if not won.accepted or root.revision != 2:
        lines.append(f'the change in force was called {won.code}')
    if raced.accepted or not raced.meanwhile:
        lines.append('the second of two racing operators was not told')
    return lines


def _make_placement(zones, zone='z1', seed=3):
    targets = {
        f'b{number}': TargetCfg(f'b{number}', f'b{number}:9', place, 3)
        for number, place in enumerate(zones, 1)
    }
    service = ServiceCfg('booking', targets=targets)
    return Placement.from_cfg(service, zone, random.Random(seed))


def play_fast_failure():
    """One of four targets fails each request at once and looks idle."""
    placement = _make_placement(('z1',) * 4)
    picked = []
    running = []
    now = 0.0
    for _ in range(200):
        now += 0.02
        while running and running[0][0] <= now:
            _, name = running.pop(0)
            placement.note_end(name, now, CallEnd.OK, 0.5)
            placement.note_flow(name, -1)
        name = placement.choose_target(now)
        picked.append(name)
        placement.note_start(name, now)
        if name == 'b1':
            placement.note_end(name, now, CallEnd.FAILED, 0.001)
        else:
            placement.note_flow(name, 1)
            running.append((now + 0.5, name))
    share = picked.count('b1') / len(picked)
    return [f'{share:.0%} went to a target that fails'] * (share > 0.15)


def play_herd():
    """Six entries hear at once that one target of three is idle."""
    picked = []
    for seed in range(6):
        placement = _make_placement(('z1',) * 3, seed=seed)
        for _ in range(6):
            placement.note_flow(placement.choose_target(0), 1)
        for name, busy in (('b1', 0), ('b2', 3), ('b3', 3)):
            placement.note_report(name, 1, busy, 0, 3, False)
        for _ in range(10):
            name = placement.choose_target(1)
            placement.note_flow(name, 1)
            picked.append(name)
    share = picked.count('b1') / len(picked)
    return [f'{share:.0%} of all flows went to one target'] * (share > 0.6)


def play_dark_zone():
    """The zones are cut off: all targets of the other one fail."""
    placement = _make_placement(('z1', 'z1', 'z2', 'z2', 'z2'))
    for name in ('b3', 'b4', 'b5'):
        for _ in range(4):
            placement.note_start(name, 1)
            placement.note_end(name, 1, CallEnd.TIMEOUT, 1)
    picked = []
    for _ in range(50):
        name = placement.choose_target(1.1)
        placement.note_flow(name, 1)
        picked.append(name)
    lost = sum(name in {'b3', 'b4', 'b5'} for name in picked)
    return [f'{lost} of 50 flows went into the cut'] * bool(lost)


def play_late_chunk():
    """A chunk of the old id space comes after the flow has moved."""
    flow = CallerFlow('booking', random.Random(1), 0.0)
    flow.tick(0.0)
    opened = msg.Opened('booking', flow.nonce, b't1', b'f' * 16, 7)
    flow.handle_datagram(0.01, encode_message(opened))
    flow.start_request(0.02, b'question', 5.0, idempotent=True)
    flow.tick(0.02)
    moved = msg.Moved('booking', b'f' * 16, 7, 8, b't2')
    flow.handle_datagram(0.1, encode_message(moved))
    flow.tick(0.11)
    found = []
    for epoch, position, payload, last in (
        (7, 0, b'old', True),
        (8, 1, b'new1', True),
        (8, 0, b'new0', False),
    ):
        chunk = msg.Chunk(b'f' * 16, epoch, 1, position, payload, last)
        output = flow.handle_datagram(0.2, encode_message(chunk))
        found += output.events
    answers = [one.answer for one in found if isinstance(one, ev.RequestEnded)]
    if answers == [b'new0new1']:
        return []
    return [f'the caller was given {answers}']


def play_full_queue():
    """Two hundred callers want one entry's few slots in one moment."""
    desk = Desk()
    desk.start_entry('e1')
    limit = make_cfg().services['booking'].queue_limit
    told = []
    for number in range(200):
        address = (f'10.0.{number // 250}.{number % 250}', 5000)
        opened = desk.open('e1')
        token = opened.token
        request = msg.Request('booking', token, 1, b'hold', deadline_ms=20000)
        told += desk.send('e1', request, address)
    admission = desk.engines['e1'].state.admissions['booking']
    refused = pick(told, msg.VerdictReport)
    lines = []
    if admission.waiting > limit:
        lines.append(f'{admission.waiting} requests wait, {limit} may')
    if len(refused) + admission.waiting + admission.running != 200:
        lines.append('some request was neither served nor refused')
    if any(one.verdict.ran is not RunState.NOT_RUN for one in refused):
        lines.append('a request refused by the queue is in doubt')
    return lines


def play_unproven_shed():
    """The library itself says that a resource is exhausted."""
    end = call_ends.read_status(
        1, grpc.StatusCode.RESOURCE_EXHAUSTED, (), answered=False
    )
    if end.ran is RunState.NOT_RUN:
        return ['a status without the proof of the contract was believed']
    return []
