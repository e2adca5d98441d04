"""Steps about the links to targets, against small scripted targets."""

import socket
import struct
import threading
from concurrent import futures

import grpc
from behave import given, then, when

from cornelgap.core.calls import (
    CallEnded,
    GrantPieces,
    PieceArrived,
    StartFollow,
    StartRun,
    StopCall,
)
from cornelgap.entry.links import TargetLinks
from cornelgap.kernel.loops import LoopThread
from cornelgap.wire import target_pb2, target_pb2_grpc

WAIT_S = 20
SERVICE = 'search'
TARGET = 'search-1'
START = 1000.0
WALL = 1_700_000_000.0
DEADLINE = START + 60


class Script(target_pb2_grpc.TargetServicer):
    """A target that does what a scenario says and notes what it saw."""

    def __init__(self, answer):
        self.answer = answer
        self.seen = []
        self.sent = 0
        self.all_sent = threading.Event()
        self.cancelled = threading.Event()
        self.lock = threading.Lock()

    def Run(self, request, context):
        return self._serve(request, context)

    def Follow(self, request, context):
        return self._serve(request, context)

    def _serve(self, request, context):
        with self.lock:
            self.seen.append(request)
        context.add_callback(self.cancelled.set)
        yield from self.answer(self, request, context)


class Collector:
    """Keeps the events that the links report."""

    def __init__(self):
        self.events = []
        self.changed = threading.Condition()

    def report(self, events):
        with self.changed:
            self.events.extend(events)
            self.changed.notify_all()

    def find(self, kind, call_id):
        return [
            event
            for event in self.events
            if isinstance(event, kind) and event.call_id == call_id
        ]

    def await_count(self, kind, call_id, count):
        with self.changed:
            found = self.changed.wait_for(
                lambda: len(self.find(kind, call_id)) >= count, WAIT_S
            )
            assert found, self.events
            return self.find(kind, call_id)


class Clocks:
    """The two clocks that the links read; a scenario may move them."""

    def __init__(self):
        self.step = 0
        self.passed = 0
        self.offset = 0

    def now(self):
        self.passed += self.step
        return START + self.passed + self.offset

    def wall(self):
        self.passed += self.step
        return WALL + self.passed + self.offset


def send_pieces(payloads, last=True, service=SERVICE):
    def answer(script, request, context):
        for index, payload in enumerate(payloads):
            yield target_pb2.Piece(
                service=service if index == 0 else '',
                target=TARGET if index == 0 else '',
                incarnation=5 if index == 0 else 0,
                position=index,
                payload=payload,
                last=last and index == len(payloads) - 1,
            )
            script.sent += 1
        script.all_sent.set()

    return answer


def fail_with(status, trailers=(), first=()):
    def answer(script, request, context):
        yield from send_pieces(first, last=False)(script, request, context)
        context.set_trailing_metadata(trailers)
        context.abort(status, 'scripted')

    return answer


def start_links(context, address, options=()):
    context.collector = Collector()
    context.clocks = Clocks()
    context.loops = LoopThread.start_new('links-test')
    context.links = TargetLinks.from_settings(
        context.loops,
        context.collector.report,
        options=options,
        now=context.clocks.now,
        wall=context.clocks.wall,
    )
    context.link_address = address
    context.cleanups.append(context.loops.stop)
    context.cleanups.append(context.links.close)


def serve(context, answer):
    context.script = Script(answer)
    server = grpc.server(futures.ThreadPoolExecutor(8))
    target_pb2_grpc.add_TargetServicer_to_server(context.script, server)
    port = server.add_insecure_port('127.0.0.1:0')
    server.start()
    context.cleanups.append(lambda: server.stop(0).wait(WAIT_S))
    start_links(context, f'127.0.0.1:{port}')


def make_run(context, call_id=1, pieces=8):
    return StartRun(
        call_id=call_id,
        service=SERVICE,
        target=TARGET,
        address=context.link_address,
        incarnation=0,
        flow_id=b'f' * 16,
        epoch=3,
        number=call_id,
        idempotent=False,
        deadline=DEADLINE,
        payload=b'refine',
        pieces=pieces,
    )


def split(text):
    return [part.encode() for part in text.split(',')]


@given('links to a scripted target that answers "{text}"')
def serve_answer(context, text):
    serve(context, send_pieces(split(text)))


@given('links to a scripted target that answers "{text}" and then sheds')
def serve_contradiction(context, text):
    shed = (('cornelgap-not-run', '1'),)
    status = grpc.StatusCode.RESOURCE_EXHAUSTED
    serve(context, fail_with(status, shed, split(text)))


@given('links to a scripted target that answers "{text}" and then fails')
def serve_broken(context, text):
    status = grpc.StatusCode.UNAVAILABLE
    serve(context, fail_with(status, (), split(text)))


@given('links to a scripted target that answers "{text}" and then waits')
def serve_waiting(context, text):
    def answer(script, request, ctx):
        yield from send_pieces(split(text), last=False)(script, request, ctx)
        script.cancelled.wait(WAIT_S)

    serve(context, answer)


@given(
    'links to a scripted target that answers with {count:d} pieces of'
    ' {size:d} bytes'
)
def serve_large(context, count, size):
    large = send_pieces([b'x' * size] * count)
    small = send_pieces([b'small'])

    def answer(script, request, ctx):
        if request.number == 1:
            return large(script, request, ctx)
        return small(Script(None), request, ctx)

    serve(context, answer)


@given('links to a scripted target that fails with {status}')
def serve_failure(context, status):
    serve(context, fail_with(grpc.StatusCode[status]))


@given('links to a scripted target that sheds with {wait:d} ms to wait')
def serve_shedding(context, wait):
    trailers = (
        ('cornelgap-not-run', '1'),
        ('cornelgap-retry-after-ms', str(wait)),
    )
    serve(context, fail_with(grpc.StatusCode.RESOURCE_EXHAUSTED, trailers))


@given('links to a scripted target that refuses the identity')
def serve_identity(context):
    trailers = (('cornelgap-not-run', '1'),)
    serve(context, fail_with(grpc.StatusCode.FAILED_PRECONDITION, trailers))


@given('links to a scripted target of another service')
def serve_other(context):
    serve(context, send_pieces([b'secret'], service='archive'))


@given('links to a scripted target that leaves out the last piece')
def serve_part(context):
    serve(context, send_pieces([b'alpha', b'beta'], last=False))


@given('links to an address where nothing listens')
def serve_nothing(context):
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        start_links(context, f'127.0.0.1:{sock.getsockname()[1]}')


class BareServer:
    """Speaks just enough HTTP/2 to disown each stream at the transport.

    It reads a stream, then sends GOAWAY with last stream 0: "I have not
    seen it", which is what a library takes as leave to send it again.
    """

    HEAD = struct.Struct('>I')
    PREFACE = 24
    HEADERS = 1
    SETTINGS = 4
    GOAWAY = 7

    def __init__(self, disowns):
        self.disowns = disowns
        self.streams = 0
        self.seen = threading.Event()
        self.closed = threading.Event()
        self.sock = socket.create_server(('127.0.0.1', 0))
        self.sock.settimeout(WAIT_S)
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                break
            args = (conn,)
            threading.Thread(target=self.serve_conn, args=args).start()

    def serve_conn(self, conn):
        conn.settimeout(WAIT_S)
        with conn:
            conn.sendall(self.frame(self.SETTINGS, 0, 0, b''))
            self.read(conn, self.PREFACE)
            while self.serve_frame(conn):
                continue
        self.closed.set()

    def serve_frame(self, conn):
        head = self.read(conn, 9)
        if len(head) < 9:
            return False
        length = self.HEAD.unpack(b'\0' + head[:3])[0]
        kind, flags = head[3], head[4]
        self.read(conn, length)
        if kind == self.SETTINGS and not flags & 1:
            conn.sendall(self.frame(self.SETTINGS, 1, 0, b''))
        if kind == self.HEADERS:
            self.streams += 1
            self.seen.set()
        if kind == self.HEADERS and self.disowns:
            conn.sendall(self.frame(self.GOAWAY, 0, 0, bytes(8)))
        return True

    def frame(self, kind, flags, stream, body):
        length = self.HEAD.pack(len(body))[1:]
        return length + bytes([kind, flags]) + self.HEAD.pack(stream) + body

    @staticmethod
    def read(conn, count):
        data = b''
        while len(data) < count:
            part = conn.recv(count - len(data))
            if not part:
                break
            data += part
        return data


@given('links to a bare server that refuses each stream')
def serve_bare(context):
    start_bare(context, disowns=True)


@given('links with a fast heartbeat to a bare server that falls silent')
def serve_cut(context):
    beat = (
        ('grpc.keepalive_time_ms', 50),
        ('grpc.keepalive_timeout_ms', 50),
        ('grpc.http2.ping_timeout_ms', 50),
    )
    start_bare(context, disowns=False, options=beat)


@given('links to a bare server that never answers')
def serve_silent(context):
    start_bare(context, disowns=False)


def start_bare(context, disowns, options=()):
    context.bare = BareServer(disowns)
    context.cleanups.append(context.bare.sock.close)
    port = context.bare.sock.getsockname()[1]
    start_links(context, f'127.0.0.1:{port}', options)


@given("the links' clock jumps past the deadline while they connect")
def jump_clock(context):
    context.clocks.offset = DEADLINE - START + 1


@given("each reading of the links' clocks takes one second")
def slow_clocks(context):
    context.clocks.step = 1


@when('the links start a run with {pieces:d} granted pieces')
def start_run(context, pieces):
    context.links.put([make_run(context, pieces=pieces)])


@when('the links start and stop a run in one batch')
def start_and_stop(context):
    context.links.put([make_run(context), StopCall(1)])


@when('the links follow a feed from position {position:d}')
def start_follow(context, position):
    follow = StartFollow(
        call_id=1,
        service=SERVICE,
        target=TARGET,
        address=context.link_address,
        incarnation=0,
        flow_id=b'f' * 16,
        position=position,
        payload=b'topic',
        pieces=8,
    )
    context.links.put([follow])


@when('{count:d} other runs through the same links end')
def run_others(context, count):
    for call_id in range(2, count + 2):
        context.links.put([make_run(context, call_id)])
        context.collector.await_count(CallEnded, call_id, 1)


@when('the links grant {pieces:d} more pieces')
def grant_more(context, pieces):
    context.links.put([GrantPieces(1, pieces)])


@when('the links stop the call after its first piece')
def stop_run(context):
    context.collector.await_count(PieceArrived, 1, 1)
    context.links.put([StopCall(1)])


@when('the links stop the call once the bare server has seen it')
def stop_silent(context):
    assert context.bare.seen.wait(WAIT_S)
    context.links.put([StopCall(1)])


@when('the links are told to keep no address')
def keep_nothing(context):
    context.links.keep_addresses(())


@then('the links end the call as {ended}, {ran}, code "{code}"')
def check_end(context, ended, ran, code):
    (end,) = context.collector.await_count(CallEnded, 1, 1)
    found = (end.ended.value, end.ran.name, str(end.code))
    assert found == (ended, ran, code), end


@then('the links end the call as {ended}, {ran}, code ""')
def check_good_end(context, ended, ran):
    check_end(context, ended, ran, '')


@then("the caller's wait from the links is {wait:d} ms")
def check_wait(context, wait):
    (end,) = context.collector.find(CallEnded, 1)
    assert end.retry_after_ms == wait


@then('the links passed on the pieces "{text}"')
def check_pieces(context, text):
    pieces = context.collector.find(PieceArrived, 1)
    assert [piece.payload for piece in pieces] == split(text)
    assert pieces[-1].last
    assert pieces[0].incarnation == 5


@then('the links passed on {count:d} pieces of the first call')
def check_piece_count(context, count):
    pieces = context.collector.await_count(PieceArrived, 1, count)
    assert len(pieces) == count


@then('the links passed on no piece')
def check_no_piece(context):
    assert not context.collector.find(PieceArrived, 1)


@then("the scripted target saw the request's id once")
def check_seen(context):
    (request,) = context.script.seen
    found = (request.flow_id, request.epoch, request.number)
    assert found == (b'f' * 16, 3, 1)


@then('the scripted target saw no request')
def check_unseen(context):
    assert not context.script.seen


@then('the scripted target saw the position {position:d}')
def check_position(context, position):
    assert context.script.seen[0].position == position


@then('the scripted target saw the cancellation')
def check_cancelled(context):
    assert context.script.cancelled.wait(WAIT_S)


@then('the scripted target has not sent all pieces')
def check_backpressure(context):
    assert not context.script.all_sent.is_set(), context.script.sent


@then(
    "the deadline that the scripted target saw is not later than the caller's"
)
def check_deadline(context):
    seen_ms = context.script.seen[0].deadline_unix_ms
    assert seen_ms <= (WALL + DEADLINE - START) * 1000


@then('the bare server saw {count:d} stream')
def check_streams(context, count):
    assert context.bare.streams == count


@then('the bare server saw its connection close')
def check_closed(context):
    assert context.bare.closed.wait(WAIT_S)
