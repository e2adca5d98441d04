"""Steps about the store over gRPC and the platform's stand-in."""

import json
import signal
import subprocess
import sys

import grpc
from behave import given, then, when

from cornelgap.cfg.store import PlatformStore
from cornelgap.core.errors import CodedError
from cornelgap.wire import platform_pb2
from cornelgap.wire.platform_pb2_grpc import ControlStub
from standins.platform import start_platform
from standins.platform_state import PlatformState


@given('a cfg stand-in platform over gRPC')
def start(context):
    server, port, context.state = start_platform()
    context.cleanups.append(lambda: server.stop(0).wait())
    context.address = f'127.0.0.1:{port}'
    context.store = open_store(context)


def open_store(context, **options):
    store = PlatformStore.from_address(context.address, **options)
    context.cleanups.append(store.close)
    return store


@then('a cfg object is written once at version 0 and once at version 1')
def check_versions(context):
    store = context.store
    assert store.get('a') is None
    assert store.put('a', 1, b'x') == (False, None)
    assert store.put('a', 0, b'one') == (True, (1, b'one', 1))
    assert store.put('a', 0, b'two') == (False, (1, b'one', 1))
    assert store.put('a', 1, b'two').accepted
    assert store.get('a') == (2, b'two', 1)


@then('the cfg objects below a prefix are listed in the order of their names')
def check_list(context):
    for name in ('p/b', 'p/a', 'q/a'):
        assert context.store.put(name, 0, name.encode()).accepted
    names = [item.name for item in context.store.list('p/')]
    assert names == ['p/a', 'p/b']


@when('the cfg platform has an object and is restored from a backup')
def restore_object(context):
    assert context.store.put('a', 0, b'one', 1).accepted
    context.state.restore(context.state.back_up())


@then('the cfg object is written, listed and deleted in the new era only')
def check_new_era(context):
    store = context.store
    assert store.get('a') == (1, b'one', 2)
    assert store.list('a') == [('a', 1, b'one', 2)]
    assert next(iter(store.watch('a'))) == ('a', 1, b'one', 2)
    assert store.put('a', 1, b'two', 1) == (False, (1, b'one', 2))
    assert not store.delete('a', 1, 1)
    assert store.put('a', 1, b'two', 2) == (True, (2, b'two', 2))
    assert store.delete('a', 2, 2)


@given('the cfg platform answers after {slow:d} ms')
def slow_down(context, slow):
    context.state.set_faults(platform_pb2.Faults(slow_ms=slow))


def catch_code(call, *args):
    try:
        call(*args)
    except CodedError as exc:
        return exc.code
    return None


@then('a cfg read that waits {wait:d} ms ends with "{code}"')
def check_slow_read(context, wait, code):
    store = open_store(context, timeout_s=wait / 1000)
    assert catch_code(store.get, 'a') == code


@then('a cfg write that waits {wait:d} ms ends with "{code}"')
def check_slow_write(context, wait, code):
    store = open_store(context, timeout_s=wait / 1000)
    assert catch_code(store.put, 'a', 0, b'x') == code


@when('a cfg watch is open over an object and a second one is written')
def watch_objects(context):
    context.store.put('w/a', 0, b'1')
    context.watch = iter(context.store.watch('w/'))
    context.seen = [next(context.watch).name]
    context.store.put('w/b', 0, b'2')
    context.store.put('other', 0, b'3')
    context.seen.append(next(context.watch).name)


@then('the cfg watch gave both')
def check_watch(context):
    assert context.seen == ['w/a', 'w/b']


@then('it ends when the cfg watches are killed')
def check_killed(context):
    assert context.state.kill_watches() == 1
    assert list(context.watch) == []


@given("the cfg platform's watches are mute")
def mute(context):
    context.state.set_faults(platform_pb2.Faults(mute_watches=True))


@when('a cfg watch of {life:d} ms is open over an object')
def watch_mute(context, life):
    context.store.put('w/a', 0, b'1')
    context.watch = open_store(context, watch_s=life / 1000).watch('w/')


@then('the cfg watch ends with nothing')
def check_mute(context):
    assert list(context.watch) == []


@given('a cfg platform state whose instances expire after {expiry:d} s')
def make_state(context, expiry):
    context.now = 0
    context.state = PlatformState(expiry, clock=lambda: context.now)
    context.state.set_faults(platform_pb2.Faults(list_lag_ms=2000))


@when(
    'the cfg instance "{one}" registers at {at:d} s and "{two}" at {later:d} s'
)
def register_two(context, one, at, two, later):
    for name, context.now in ((one, at), (two, later)):
        context.state.register(platform_pb2.Instance(name=name))


@when('the cfg instance "{name}" leaves at {at:d} s')
def deregister(context, name, at):
    context.now = at
    context.state.deregister(platform_pb2.Instance(name=name))


@then('the cfg instance list at {at:d} s with a lag of {lag:d} s is "{names}"')
def check_lag(context, at, lag, names):
    context.now = at
    context.state.set_faults(platform_pb2.Faults(list_lag_ms=lag * 1000))
    found = [item.name for item in context.state.list_instances()]
    assert found == names.split(), found


@then('the cfg instance list at {at:d} s is "{names}"')
def check_now(context, at, names):
    check_lag(context, at, 0, names)


@then('the cfg instance list at {at:d} s is ""')
def check_empty(context, at):
    check_lag(context, at, 0, '')


@given('the cfg stand-in platform as a process')
def start_process(context):
    context.process = subprocess.Popen(
        [sys.executable, '-m', 'standins.platform'], stdout=subprocess.PIPE
    )
    context.cleanups.append(context.process.kill)
    line = context.process.stdout.readline()
    context.address = json.loads(line)['address']


@then('its cfg faults can be switched and its calls are counted')
def check_control(context):
    store = open_store(context, timeout_s=20)
    assert store.put('a', 0, b'value').accepted
    with grpc.insecure_channel(context.address) as channel:
        control = ControlStub(channel)
        control.SetFaults(platform_pb2.Faults(down=True))
        assert catch_code(store.get, 'a') == 'PLT-001'
        control.SetFaults(platform_pb2.Faults())
        assert store.get('a').value == b'value'
        counts = control.Counts(platform_pb2.CountsRequest())
    assert (counts.writes, counts.reads) == (1, 1), counts
    assert counts.bytes_written == 5


@then('it ends with {code:d} when it is told to stop')
def check_stop(context, code):
    context.process.send_signal(signal.SIGTERM)
    assert context.process.wait(timeout=30) == code
    context.process.stdout.close()
