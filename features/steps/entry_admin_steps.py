"""Steps about the administration of one entry instance in this process."""

import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

import grpc
from behave import given, then, when

from cornelgap.cfg.publishing import publish
from cornelgap.cfg.store import PlatformStore
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg
from cornelgap.entry.node import EntryNode
from cornelgap.entry.settings import Settings, load_settings
from cornelgap.entry.trust import load_trust
from cornelgap.kernel.metrics import METRICS, GetPort
from cornelgap.kernel.names import get_actor
from cornelgap.wire import admin_pb2
from cornelgap.wire.admin_pb2_grpc import AdminStub
from standins.memory import MemoryStore
from standins.platform import start_platform

WAIT_S = 20
POLL_S = 0.02
CERTS = Path(__file__).resolve().parents[1] / 'certs'
SERVER_NAME = 'cornelgap'


def start_node(context, name, tls, admin=None):
    server, port, context.platform_state = start_platform()
    context.cleanups.append(lambda: server.stop(0).wait(WAIT_S))
    context.cleanups.append(context.platform_state.kill_watches)
    sections = {
        'tls': tls,
        'platform_tls': {'mode': 'off'},
        'admin': admin or {},
    }
    settings = Settings(
        name=name,
        zone='z1',
        public='127.0.0.1:0',
        private='127.0.0.1:0',
        api='127.0.0.1:0',
        admin='127.0.0.1:0',
        metrics='127.0.0.1:0',
        platform=f'127.0.0.1:{port}',
        sections=sections,
    )
    trust, errors = load_trust(sections)
    assert not errors, errors
    context.node = EntryNode.from_settings(settings, trust)
    context.node_stopped = False
    context.node.start()
    context.cleanups.append(lambda: stop_node(context))
    context.platform_address = settings.platform


def stop_node(context):
    if not context.node_stopped:
        context.node_stopped = True
        context.node.stop()


@given('an administered entry "{name}" without TLS')
def start_plain(context, name):
    start_node(context, name, {'mode': 'off'})


@given(
    'an administered entry "{name}" with mutual TLS for the operators "{who}"'
)
def start_mutual(context, name, who):
    start_node(context, name, make_tls('entry'), {'operators': who})


@given('an administered entry "{name}" with mutual TLS for the operators ""')
def start_mutual_for_all(context, name):
    start_mutual(context, name, '')


def make_tls(name):
    return {
        'mode': 'mutual',
        'ca': str(CERTS / 'ca.pem'),
        'cert': str(CERTS / f'{name}.pem'),
        'key': str(CERTS / f'{name}.key'),
        'server_name': SERVER_NAME,
    }


def publish_cfg(context, draining=()):
    target = TargetCfg('search-1', '127.0.0.1:9', 'z1')
    service = ServiceCfg('search', targets={target.name: target})
    cfg = Cfg(
        services={service.name: service},
        keys={1: KeyCfg(1, b'k' * 32)},
        draining_instances=frozenset(draining),
    )
    store = MemoryStore(context.platform_state)
    assert publish(store, cfg, 'op', 'why', 'w1').accepted


@given('revision 1 is published for the administered entry')
def publish_plain(context):
    publish_cfg(context)


@given(
    'revision 1 that drains "{name}" is published for the administered entry'
)
def publish_draining(context, name):
    publish_cfg(context, [name])


@given('settings of an administered entry without a section for TLS')
def make_untrusting(context):
    context.sections = {'logs': {}}


def call(context, method, req, credentials=None):
    address = context.node.admin
    options = (('grpc.ssl_target_name_override', SERVER_NAME),)
    channel = grpc.insecure_channel(address)
    if credentials is not None:
        channel = grpc.secure_channel(address, credentials, options)
    with channel:
        return getattr(AdminStub(channel), method)(req, timeout=WAIT_S)


def await_result(read):
    """Wait until a reading is true, for a bounded time."""
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        found = read()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError('waited in vain')


@when("the administered entry's status is asked for until it has revision 1")
def ask_status(context):
    def read():
        reply = call(context, 'Status', admin_pb2.StatusRequest())
        return reply if reply.revision == 1 else None

    context.status = await_result(read)


@when("the administered entry's platform loses and reissues revision 1")
def reissue(context):
    context.platform_state.restore({})
    publish_cfg(context, ['e9'])


@then(
    "the administered entry's status comes to name revision {revision:d} of "
    'era {era:d}'
)
def check_era(context, revision, era):
    def read():
        reply = call(context, 'Status', admin_pb2.StatusRequest())
        return (reply.era, reply.revision) == (era, revision)

    await_result(read)


@when('the administered entry is told to drain')
def drain_plain(context):
    assert call(context, 'Drain', admin_pb2.DrainRequest(who='me')).accepted


@when('the administered entry is told to drain without a certificate')
def drain_unknown(context):
    ca = (CERTS / 'ca.pem').read_bytes()
    drain_with(context, grpc.ssl_channel_credentials(ca))


@when('the administered entry is told to drain by "{name}"')
def drain_known(context, name):
    files = ('ca.pem', f'{name}.key', f'{name}.pem')
    parts = [(CERTS / file).read_bytes() for file in files]
    drain_with(context, grpc.ssl_channel_credentials(*parts))


def drain_with(context, credentials):
    context.code = None
    try:
        call(context, 'Drain', admin_pb2.DrainRequest(), credentials)
    except grpc.RpcError as exc:
        context.code = exc.code()


@when('the administered entry is stopped')
def stop_now(context):
    stop_node(context)


@then('the administered entry\'s status names "{name}" in zone "{zone}"')
def check_name(context, name, zone):
    assert (context.status.name, context.status.zone) == (name, zone)
    assert context.status.boot == context.node.boot


@then(
    'the administered entry\'s status lists the service "{name}" with its'
    ' target'
)
def check_services(context, name):
    assert [item.service for item in context.status.services] == [name]
    assert [item.target for item in context.status.targets] == ['search-1']


def get_page(context, path):
    port = get_actor(context.node.settings.name, METRICS).ask(GetPort())
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(
            f'http://127.0.0.1:{port}{path}', timeout=WAIT_S
        ) as reply:
            return reply.status, reply.read().decode()
    except urllib.error.HTTPError as exc:
        return exc.code, ''


@then('the administered entry\'s page "{path}" answers {status:d}')
def check_page(context, path, status):
    assert get_page(context, path)[0] == status


@then('the administered entry\'s page "{path}" shows "{line}"')
def check_line(context, path, line):
    assert line in get_page(context, path)[1].splitlines()


@then('the administered entry ends its planned stop')
def check_ended(context):
    assert context.node.ended.wait(WAIT_S)
    assert not context.node.crashed


@then("the administered entry's answer is {code}")
def check_code(context, code):
    assert context.code is grpc.StatusCode[code], context.code


@then('the administered entry is not leaving')
def check_staying(context):
    assert not context.node.ended.is_set()


@then('loading the administered entry\'s trust gives "{code}"')
def check_trust(context, code):
    trust, errors = load_trust(context.sections)
    assert trust is None
    assert [str(error.code) for error in errors] == [code]


def list_names(context):
    store = PlatformStore.from_address(context.platform_address)
    try:
        return {item.name: item for item in store.list_instances('entry')}
    finally:
        store.close()


@then('the platform lists the administered entry with its addresses')
def check_listed(context):
    name = context.node.settings.name
    item = await_result(lambda: list_names(context).get(name))
    found = (item.address, item.api, item.admin)
    wanted = (context.node.private, context.node.api, context.node.admin)
    assert found == wanted


@then('the platform does not list the administered entry')
def check_unlisted(context):
    assert context.node.settings.name not in list_names(context)


@given('a settings file of an administered entry with "{text}"')
def write_settings(context, text):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.settings_path = Path(folder.name) / 'e1.ini'
    lines = ['[instance]', 'name = e1', 'zone = z1']
    for option in ('public', 'private', 'api', 'platform'):
        lines.append(f'{option} = 127.0.0.1:0')
    lines += ['[tls]', 'mode = off', *text.split('\\n')]
    context.settings_path.write_text('\n'.join(lines))


@then('loading the administered entry\'s settings gives ""')
def check_settings_good(context):
    loaded, errors = load_settings(context.settings_path)
    assert not errors, errors
    assert loaded.sections['admin'] == {'operators': 'a'}


@then('loading the administered entry\'s settings gives "{codes}"')
def check_settings_bad(context, codes):
    loaded, errors = load_settings(context.settings_path)
    assert loaded is None
    assert [str(error.code) for error in errors] == codes.split(',')
