"""Steps about the target stand-in, over real gRPC on loopback."""

import threading
import time
from pathlib import Path

import grpc
from behave import given, then, when
from grpc_health.v1 import health_pb2, health_pb2_grpc

from cornelgap.wire import target_pb2 as pb
from cornelgap.wire import target_pb2_grpc
from standins.target import start_target
from standins.works import make_bytes

FEATURES = Path(__file__).resolve().parent.parent
WAIT_S = 20


def start(context, name, service, **options):
    target = start_target(name, service, **options)
    context.cleanups.append(target.kill)
    channel = grpc.insecure_channel(target.address)
    context.cleanups.append(channel.close)
    return target, channel


def build_request(context, payload, **fields):
    context.number = getattr(context, 'number', 0) + 1
    known = {
        'service': 'search',
        'target': 's1',
        'flow_id': b'f' * 16,
        'epoch': 7,
        'number': context.number,
        'payload': payload,
    }
    return pb.RunRequest(**(known | fields))


def ask(context, payload, **fields):
    request = build_request(context, payload, **fields)
    call = context.stub.Run(request, timeout=WAIT_S)
    try:
        context.pieces = list(call)
        context.error = None
    except grpc.RpcError as exc:
        context.pieces = []
        context.error = exc


def wait_until(condition):
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end, 'never came to be'
        time.sleep(0.002)


@given('a target stand-in "{name}" of "{service}"')
def start_plain(context, name, service):
    context.target, context.channel = start(context, name, service)
    context.stub = target_pb2_grpc.TargetStub(context.channel)


@given('another target stand-in "{name}" of "{service}"')
def start_other(context, name, service):
    _, channel = start(context, name, service)
    context.other = target_pb2_grpc.TargetStub(channel)


@given('a target stand-in "s1" of "search" with 1 slot and 1 place to wait')
def start_small(context):
    context.target, context.channel = start(
        context, 's1', 'search', slots=1, queue_limit=1
    )
    context.stub = target_pb2_grpc.TargetStub(context.channel)


@given('a target stand-in "s1" of "search" with the folder of the features')
def start_with_folder(context):
    context.target, context.channel = start(
        context, 's1', 'search', folder=str(FEATURES)
    )
    context.stub = target_pb2_grpc.TargetStub(context.channel)


@given('both are taken')
def take_both(context):
    context.calls = []
    context.ended = []
    servicer = context.target._running.servicer
    context.target.set_switches(gate='shut')
    for payload in (b'wait first', b'wait second'):
        call = context.stub.Run(
            build_request(context, payload), timeout=3 * WAIT_S
        )
        threading.Thread(
            target=lambda call=call: context.ended.append(drain_call(call)),
            daemon=True,
        ).start()
        context.calls.append(call)
        taken = len(context.calls)
        wait_until(
            lambda: servicer.slots.in_flight + servicer.slots.waiting == taken
        )


def drain_call(call):
    try:
        return b''.join(piece.payload for piece in call)
    except grpc.RpcError as exc:
        return exc.code()


@given('its switch "{name}" is "{setting}"')
def set_switch(context, name, setting):
    context.target.set_switches(**{name: setting})


@when('it is asked to "{payload}"')
def ask_payload(context, payload):
    ask(context, payload.encode())


@when('it is asked to "{payload}" with a deadline in the past')
def ask_late(context, payload):
    past = int(time.time() * 1000) - 1
    ask(context, payload.encode(), deadline_unix_ms=past)


@when('it is asked as {what}')
def ask_foreign(context, what):
    fields = {
        'another service': {'service': 'archive'},
        'another target': {'target': 's2'},
        'another incarnation': {'incarnation': context.target.incarnation + 1},
    }
    ask(context, b'hold a1', **fields[what])


@then('the pieces join to the bytes of seed {seed:d}')
def check_bytes(context, seed):
    assert len(context.pieces) > 1
    assert [piece.last for piece in context.pieces][-1]
    joined = b''.join(piece.payload for piece in context.pieces)
    assert joined == make_bytes(40000, seed)
    positions = [piece.position for piece in context.pieces]
    sizes = [len(piece.payload) for piece in context.pieces]
    assert positions == [sum(sizes[:at]) for at in range(len(sizes))]


@then('the first piece states identity, incarnation and load')
def check_identity(context):
    piece = context.pieces[0]
    assert (piece.service, piece.target) == ('search', 's1')
    assert piece.incarnation == context.target.incarnation
    assert piece.load.slots == 2


def read_metadata(context):
    return dict(context.error.trailing_metadata() or ())


@then('it refuses with {status} and the word that it did not run')
def check_refused(context, status):
    assert context.error.code() is grpc.StatusCode[status]
    assert read_metadata(context)['cornelgap-not-run'] == '1'


@then('it fails with {status} and without that word')
def check_failed(context, status):
    assert context.error.code() is grpc.StatusCode[status]
    assert 'cornelgap-not-run' not in read_metadata(context)


@then('it says when to come back')
def check_come_back(context):
    assert int(read_metadata(context)['cornelgap-retry-after-ms']) > 0


@then('nothing has run at it')
def check_nothing_ran(context):
    assert not context.target.state.runs


@then('one request has run at it')
def check_one_ran(context):
    assert list(context.target.state.runs.values()) == [1]


@when('the one that waits is cancelled and the other ends')
def cancel_waiter(context):
    context.calls[1].cancel()
    servicer = context.target._running.servicer
    wait_until(lambda: servicer.slots.waiting == 0)
    context.target.set_switches(gate='open')
    wait_until(lambda: len(context.ended) == 2)


@then('only the other has run')
def check_other_ran(context):
    ran = list(context.target.state.payloads.values())
    assert ran == [b'wait first']
    assert b'first' in context.ended


@then('the slot is free again')
def check_slot_free(context):
    ask(context, b'echo free')
    assert context.pieces[0].payload == b'free'
    servicer = context.target._running.servicer
    wait_until(lambda: servicer.slots.in_flight == 0)


@then('both that were taken end well')
def check_both_end(context):
    context.target.set_switches(gate='open')
    wait_until(lambda: len(context.ended) == 2)
    assert sorted(context.ended) == [b'first', b'second']


@then('the health service says SERVING')
def check_health(context):
    stub = health_pb2_grpc.HealthStub(context.channel)
    reply = stub.Check(
        health_pb2.HealthCheckRequest(service='search'), timeout=WAIT_S
    )
    assert reply.status == health_pb2.HealthCheckResponse.SERVING


@then('the load that it states is full')
def check_load(context):
    load = context.target._running.servicer.build_load()
    assert load.in_flight == load.slots


@when('the feed "{topic}" is followed at both, at the second from {at:d}')
def follow_both(context, topic, at):
    def follow(stub, name, position):
        request = pb.FollowRequest(
            service='search',
            target=name,
            flow_id=b'f' * 16,
            position=position,
            payload=topic.encode(),
        )
        events = stub.Follow(request, timeout=WAIT_S)
        return [(event.position, event.payload) for event in events]

    context.feeds = (
        follow(context.stub, 's1', 0),
        follow(context.other, 's2', at),
    )


@then('the second gives the same events from position {at:d} on')
def check_feeds_same(context, at):
    first, second = context.feeds
    assert len(first) == 8
    assert first[at:] == second


@then('the answer is that file')
def check_file(context):
    joined = b''.join(piece.payload for piece in context.pieces)
    assert joined == (FEATURES / 'target_standin.feature').read_bytes()
