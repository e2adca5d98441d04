"""A target as a stand-in: gRPC, slots, shedding, draining, lies by switch.

``python -m standins.target --name s1 --service search`` prints one JSON
line with its address.  :func:`start_target` runs one inside a process.
docs/TARGETS.md tells the contract that it keeps.
"""

import asyncio
import json
import secrets
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import cyclopts
import grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc

from cornelgap.wire import target_pb2 as pb
from cornelgap.wire import target_pb2_grpc
from standins.slots import QueueFull, Slots
from standins.works import (
    WorkError,
    compute_answer,
    make_event,
    parse_topic,
    parse_work,
)

NOT_RUN_KEY = 'cornelgap-not-run'
RETRY_AFTER_KEY = 'cornelgap-retry-after-ms'
PIECE_BYTES = 16 * 1024
DRAIN_POLL_S = 0.02
SERVER_OPTIONS = (
    ('grpc.so_reuseport', 0),
    # Entry instances ping while a call is open, see docs/TARGETS.md.  The
    # library's server takes that for abuse unless told otherwise, and cuts
    # quiet feeds.
    ('grpc.http2.min_ping_interval_without_data_ms', 5000),
)


@cyclopts.Parameter(name='*')
@dataclass
class TargetOptions:
    """How one target behaves.

    :param run_ms: how long each run keeps its slot at least.
    :param cold_s: how long after its start it is slow.
    :param cold_ms: what is added to each run until then.
    :param folder: where ``file`` reads.
    """

    name: str
    service: str
    listen: str = '127.0.0.1:0'
    slots: int = 2
    queue_limit: int = 4
    run_ms: float = 0
    cold_s: float = 0
    cold_ms: float = 200
    retry_after_ms: int = 100
    folder: str | None = None
    incarnation: int = 0


@dataclass
class Switches:
    """What a test can change while the target runs.

    :param health: ``true``, or ``serving`` / ``failing`` whatever is so.
    :param load: ``true``, or ``idle`` / ``busy`` whatever is so.
    :param fail: ``after`` fails each run after it has run, ``before``
        refuses it, ``none`` does neither.
    :param shed: sheds every run.
    :param gate: ``shut`` keeps each ``wait`` in its slot until ``open``.
    """

    health: str = 'true'
    load: str = 'true'
    fail: str = 'none'
    shed: str = 'no'
    draining: str = 'no'
    gate: str = 'open'


@dataclass
class TargetState:
    """Everything that a target remembers.

    :param runs: how often each request id ran, by (flow, epoch, number).
    :param payloads: payload by request id, for checkers.
    :param holds: how often each lesson slot was held.
    :param misrouted: calls that meant another identity.
    """

    runs: Counter = field(default_factory=Counter)
    payloads: dict = field(default_factory=dict)
    holds: Counter = field(default_factory=Counter)
    follows: int = 0
    feeds: int = 0
    shed: int = 0
    misrouted: int = 0


class TargetServicer(target_pb2_grpc.TargetServicer):
    """The gRPC service of one target.

    :param clock: wall clock in seconds, for deadlines.
    """

    def __init__(self, options, clock=time.time):
        """Start cold, with all slots free."""
        self.options = options
        self.incarnation = options.incarnation or secrets.randbits(63)
        self.switches = Switches()
        self.state = TargetState()
        self.slots = Slots(options.slots, options.queue_limit)
        self.health = health.aio.HealthServicer()
        self._clock = clock
        self._gate = asyncio.Event()
        self._gate.set()
        self._warm_at = time.monotonic() + options.cold_s

    async def Run(self, request, context):
        """Run one request, see docs/TARGETS.md."""
        await self._check_identity(request, context)
        work = await self._parse(parse_work, request.payload, context)
        if work.verb in {'dump', 'switch'}:
            answer = await self._run_control(work)
        else:
            answer = await self._run_in_slot(work, request, context)
        for piece in self._cut_pieces(answer):
            yield piece

    async def Follow(self, request, context):
        """Stream a feed, see docs/TARGETS.md."""
        await self._check_identity(request, context)
        topic = await self._parse(parse_topic, request.payload, context)
        if self.switches.draining == 'yes':
            await self._refuse(context, grpc.StatusCode.UNAVAILABLE, 'draining')
        self.state.follows += 1
        self.state.feeds += 1
        try:
            async for piece in self._stream_events(topic, request.position):
                yield piece
        finally:
            self.state.feeds -= 1

    async def set_switches(self, **changes):
        """Change switches and tell the health service."""
        for name, setting in changes.items():
            setattr(self.switches, name, setting)
        if self.switches.gate == 'open':
            self._gate.set()
        else:
            self._gate.clear()
        await self.announce_health()

    async def announce_health(self):
        """Tell the standard health service what to claim."""
        serving = self.switches.draining != 'yes'
        if self.switches.health != 'true':
            serving = self.switches.health == 'serving'
        status = health_pb2.HealthCheckResponse.NOT_SERVING
        if serving:
            status = health_pb2.HealthCheckResponse.SERVING
        for name in ('', self.options.service):
            await self.health.set(name, status)

    def is_busy(self):
        """Say whether anything still runs, waits or streams."""
        slots = self.slots
        return bool(slots.in_flight or slots.waiting or self.state.feeds)

    def build_report(self):
        """Build the record of what ran, as plain data for JSON."""
        return {
            'name': self.options.name,
            'service': self.options.service,
            'runs': [
                [flow.hex(), epoch, number, count, self._show(key)]
                for key, count in self.state.runs.items()
                for flow, epoch, number in (key,)
            ],
            'holds': dict(self.state.holds),
            'follows': self.state.follows,
            'feeds': self.state.feeds,
            'shed': self.state.shed,
            'misrouted': self.state.misrouted,
            'in_flight': self.slots.in_flight,
        }

    def _show(self, key):
        return self.state.payloads[key].decode(errors='replace')

    async def _check_identity(self, request, context):
        opts = self.options
        good = request.service == opts.service and request.target == opts.name
        # 0 is an entry that has not learnt the incarnation yet.
        known = request.incarnation in {0, self.incarnation}
        if good and known:
            return
        # An address that was given to another target would otherwise run a
        # search packet at the archive; the caller would get a wrong answer.
        self.state.misrouted += 1
        await self._refuse(
            context, grpc.StatusCode.FAILED_PRECONDITION, 'another identity'
        )

    async def _parse(self, parse, payload, context):
        try:
            return parse(payload)
        except WorkError as exc:
            await self._refuse(
                context, grpc.StatusCode.INVALID_ARGUMENT, str(exc)
            )

    async def _refuse(self, context, status, text, retry_after_ms=0):
        """Refuse a call that has not run and will not."""
        metadata = [(NOT_RUN_KEY, '1')]
        if retry_after_ms:
            metadata.append((RETRY_AFTER_KEY, str(retry_after_ms)))
        await context.abort(status, text, trailing_metadata=tuple(metadata))

    async def _run_control(self, work):
        if work.verb == 'switch':
            pairs = [pair.split('=') for pair in work.rest.split()]
            await self.set_switches(**dict(pairs))
        return json.dumps(self.build_report()).encode()

    async def _run_in_slot(self, work, request, context):
        await self._check_admission(context)
        try:
            await self.slots.take()
        except QueueFull:
            await self._shed(context)
        try:
            return await self._run_now(work, request, context)
        finally:
            self.slots.release()

    async def _check_admission(self, context):
        if self.switches.draining == 'yes':
            await self._refuse(context, grpc.StatusCode.UNAVAILABLE, 'draining')
        if self.switches.shed == 'yes':
            await self._shed(context)
        if self.switches.fail == 'before':
            await self._refuse(
                context, grpc.StatusCode.UNAVAILABLE, 'switched off'
            )

    async def _shed(self, context):
        self.state.shed += 1
        await self._refuse(
            context,
            grpc.StatusCode.RESOURCE_EXHAUSTED,
            'slots and queue are full',
            self.options.retry_after_ms,
        )

    async def _run_now(self, work, request, context):
        # Checked after the wait for a slot and right before the run: the
        # caller has given up by then, and a run would be for nothing.
        deadline_ms = request.deadline_unix_ms
        if deadline_ms and self._clock() * 1000 >= deadline_ms:
            await self._refuse(
                context, grpc.StatusCode.DEADLINE_EXCEEDED, 'too late to run'
            )
        self._record_run(work, request)
        await self._spend_time(work)
        if self.switches.fail == 'after':
            await context.abort(grpc.StatusCode.INTERNAL, 'failed after run')
        try:
            return compute_answer(work, self.options.folder)
        except WorkError as exc:
            await context.abort(grpc.StatusCode.NOT_FOUND, str(exc))

    def _record_run(self, work, request):
        key = (request.flow_id, request.epoch, request.number)
        self.state.runs[key] += 1
        self.state.payloads[key] = request.payload
        if work.verb == 'hold':
            self.state.holds[work.rest] += 1

    async def _spend_time(self, work):
        if work.verb == 'wait':
            await self._gate.wait()
        seconds = work.hold_s + self.options.run_ms / 1000
        if time.monotonic() < self._warm_at:
            seconds += self.options.cold_ms / 1000
        if seconds:
            await asyncio.sleep(seconds)

    def _cut_pieces(self, answer):
        for start in range(0, max(1, len(answer)), PIECE_BYTES):
            end = start + PIECE_BYTES
            yield self._build_piece(
                start, answer[start:end], start == 0, end >= len(answer)
            )

    def _build_piece(self, position, payload, first, last):
        piece = pb.Piece(position=position, payload=payload, last=last)
        if first:
            piece.service = self.options.service
            piece.target = self.options.name
            piece.incarnation = self.incarnation
            piece.load.CopyFrom(self.build_load())
        return piece

    def build_load(self):
        """Build the load that it states, true or not."""
        in_flight, waiting = self.slots.in_flight, self.slots.waiting
        if self.switches.load == 'idle':
            in_flight, waiting = 0, 0
        elif self.switches.load == 'busy':
            in_flight, waiting = self.slots.count, self.slots.queue_limit
        return pb.Load(
            in_flight=in_flight,
            waiting=waiting,
            slots=self.slots.count,
            draining=self.switches.draining == 'yes',
        )

    async def _stream_events(self, topic, position):
        first = True
        started = time.monotonic()
        began_at = position
        while not topic.count or position < topic.count:
            due = started + (position - began_at) / topic.rate
            wait = due - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            payload = make_event(topic.name, position)
            yield self._build_piece(position, payload, first, last=False)
            first = False
            position += 1


class RunningTarget:
    """A target that serves on the loop it was started on."""

    def __init__(self, servicer, server, address):
        """Keep what is needed to stop it."""
        self.servicer = servicer
        self.address = address
        self._server = server

    @classmethod
    async def start(cls, options):
        """Start to serve.

        :raises OSError: if the address cannot be bound.
        """
        servicer = TargetServicer(options)
        server = grpc.aio.server(options=SERVER_OPTIONS)
        target_pb2_grpc.add_TargetServicer_to_server(servicer, server)
        health_pb2_grpc.add_HealthServicer_to_server(servicer.health, server)
        port = server.add_insecure_port(options.listen)
        await servicer.announce_health()
        await server.start()
        host = options.listen.rpartition(':')[0]
        return cls(servicer, server, f'{host}:{port}')

    async def drain(self, grace_s):
        """Refuse new work, finish what runs, then stop.

        :param grace_s: how long feeds and runs may go on.
        """
        await self.servicer.set_switches(draining='yes')
        # Not the server's own stop with a grace: it would refuse new calls
        # without the word that they did not run.
        end = time.monotonic() + grace_s
        while self.servicer.is_busy() and time.monotonic() < end:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._server.stop(None)

    async def kill(self):
        """Stop at once, as a crash would."""
        await self._server.stop(None)


class TargetHandle:
    """A target inside this process, used from any thread."""

    def __init__(self, running, loop):
        """Keep the target and its loop."""
        self.name = running.servicer.options.name
        self.address = running.address
        self.incarnation = running.servicer.incarnation
        self.state = running.servicer.state
        self._running = running
        self._loop = loop

    def set_switches(self, **changes):
        """Change switches, see :class:`Switches`."""
        self._call(self._running.servicer.set_switches(**changes))

    def drain(self, grace_s=2):
        """Drain and stop."""
        self._call(self._running.drain(grace_s))

    def kill(self):
        """Stop at once."""
        self._call(self._running.kill())

    def _call(self, coro):
        asyncio.run_coroutine_threadsafe(coro, self._loop).result(20)


_loops = []
"""The one loop of all targets inside a process: gRPC's poller for asyncio
serves one loop well and several with noise in the log."""


def _get_loop():
    if not _loops:
        loop = asyncio.new_event_loop()
        threading.Thread(target=loop.run_forever, daemon=True).start()
        _loops.append(loop)
    return _loops[0]


def start_target(name, service, **options):
    """Start a target inside this process.

    :param options: fields of :class:`TargetOptions`.
    :returns: :class:`TargetHandle`.
    """
    loop = _get_loop()
    coro = RunningTarget.start(TargetOptions(name, service, **options))
    running = asyncio.run_coroutine_threadsafe(coro, loop).result(20)
    return TargetHandle(running, loop)


async def _serve(options, grace_s):
    running = await RunningTarget.start(options)
    print(
        json.dumps(
            {
                'name': options.name,
                'service': options.service,
                'address': running.address,
                'incarnation': running.servicer.incarnation,
            }
        ),
        flush=True,
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await stop.wait()
    await running.drain(grace_s)


app = cyclopts.App(name='target', help='A target as a stand-in.')


@app.default
def run_target(
    options: TargetOptions,
    grace_s: float = 5,
):
    """Serve until a signal comes."""
    asyncio.run(_serve(options, grace_s))


if __name__ == '__main__':
    app()
