"""Steps of the whole path, with each part as a process of its own."""

import secrets
import signal
import tempfile

from behave import given, then, when

from bench.procs import Proc
from cornelgap.cfg.publishing import publish
from cornelgap.cfg.store import PlatformStore
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg

WAIT_S = 30


def start_proc(context, name, args, greets=True):
    proc = Proc(name, args, context.folder, greets)
    context.cleanups.append(proc.stop)
    return proc


def write_settings(context, name):
    lines = [
        '[instance]',
        f'name = {name}',
        'zone = z1',
        'public = 127.0.0.1:0',
        'private = 127.0.0.1:0',
        'api = 127.0.0.1:0',
        f'platform = {context.platform}',
        '[tls]',
        'mode = off',
    ]
    path = f'{context.folder}/{name}.ini'
    with open(path, 'w') as target:
        target.write('\n'.join(lines))
    return path


@given('a platform, a target and two entry instances as processes')
def start_all(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.folder = folder.name
    platform = start_proc(context, 'platform', ['standins.platform'])
    context.platform = platform.greeting['address']
    target = start_proc(
        context,
        's1',
        ['standins.target', '--name', 's1', '--service', 'search'],
    )
    publish_cfg(context, target.greeting['address'])
    context.entries = [
        start_proc(
            context,
            name,
            ['cornelgap.entry.main', write_settings(context, name)],
        )
        for name in ('e1', 'e2')
    ]
    start_fabric(context)


def publish_cfg(context, address):
    target = TargetCfg('s1', address, 'z1')
    service = ServiceCfg('search', '10.0.0.1:9000', {'s1': target})
    key = KeyCfg(1, secrets.token_bytes(32))
    store = PlatformStore.from_address(context.platform)
    result = publish(
        store, Cfg(1, {'search': service}, {1: key}), 'op', 'first', 'w1'
    )
    store.close()
    assert result.accepted, result


def start_fabric(context):
    args = ['standins.fabric']
    for proc in context.entries:
        args += ['--entry', proc.greeting['public'] + '@z1']
    fabric = start_proc(context, 'fabric', args)
    host, port = fabric.greeting['address']
    context.fabric = f'{host}:{port}'


def start_call(context, name, *args):
    return start_proc(
        context,
        name,
        ['cornelgap.call.main', *args, '--to', context.fabric],
        greets=False,
    )


@when('a caller sends "{payload}" to the search service')
def send_request(context, payload):
    call = start_call(
        context, 'call', 'request', '--service', 'search', '--payload', payload
    )
    context.code, context.printed = call.read_rest(WAIT_S)


@then('the caller reads "{answer}" and the verdict done')
def check_answer(context, answer):
    assert context.code == 0, context.printed
    assert answer in context.printed, context.printed


@when('a caller follows a feed and has its first events')
def follow_feed(context):
    call = start_call(
        context, 'feed', 'feed', '--service', 'search', '--topic', 'feed t 50'
    )
    lines = [call.popen.stdout.readline() for _ in range(3)]
    assert all(lines), lines


@when('both entry instances are told to stop')
def stop_entries(context):
    for proc in context.entries:
        proc.send_signal(signal.SIGTERM)


@then('both end with exit code 0')
def check_ends(context):
    codes = [proc.popen.wait(WAIT_S) for proc in context.entries]
    assert codes == [0, 0], codes
