"""Steps that run the forwarding instances as processes over loopback."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.client import HTTPConnection
from pathlib import Path

from behave import given, then, when

from bench.procs import Proc, pick_ports, wait_for
from cornelgap.platform import keys
from cornelgap.platform.layout import parse_ip
from cornelgap.platform.node import METRICS_PORT
from standins.object_store import ObjectStore, RawJson, start_store
from standins.packet_ends import (
    Callers,
    PacketTarget,
    PacketWorld,
    Routers,
    ask_ready,
    open_socket,
)

WAIT_S = 15
GRACE_S = 6
# A net of its own: the port of the metrics is fixed, and an instance that
# another run keeps from it is not whole.
NET = f'127.{64 + os.getpid() % 128}.0'
CALLERS_HOST = f'{NET}.2'
HOSTS = (f'{NET}.11', f'{NET}.12', f'{NET}.13')
ROUTE = parse_ip('198.18.0.1')
PLACES = {
    'search': (ROUTE, 443),
    'archive': (ROUTE, 80),
    'listed': (ROUTE, 8080),
}
BAD_SERVICES = {'listed': ['search']}
"""Services of another type than the pages name, by route."""
SERVICES = {1: 'search', 2: 'search', 3: 'archive', 4: 'archive'}

SETTINGS = """
node_name = "{name}"
ip = "{host}"
zone = "a"
internal_ports = [{inner}, {inner}]
seeds = ["{net}.11:1", "{net}.12:1"]
[listen]
datagram_addr = "{host}:{packets}"
ready = "{host}:{ready}"
[bounds]
config_apply_ms = 3000
drain_ms = 3000
grace_s = 6
[platform]
address = "127.0.0.1:{store}"
"""


def put_config(context, *services):
    context.version = getattr(context, 'version', 0) + 1
    routes = [
        {
            'name': f'r-{service}',
            'host': '198.18.0.1',
            'path_prefix': f'/{PLACES[service][1]}/',
            'service': BAD_SERVICES.get(service, service),
        }
        for service in services
    ]
    spec = {'version': context.version, 'routes': routes}
    context.store.put('config', 'main', spec)


def put_target(context, target, state='ready', zone='a'):
    host, port = target.address
    spec = {
        'service': SERVICES[target.number],
        'address': f'{host}:{port}',
        'zone': zone,
        'max_concurrent': 2,
        'state': state,
        'warmup_left_ms': 0,
        'seq': 1,
    }
    context.store.put('servers', f'i-{target.number:08x}', spec)


def start_instance(context, name):
    settings = SETTINGS.format(
        name=name, host=context.hosts[name], net=NET, **context.ports
    )
    path = f'{context.folder}/{name}.toml'
    with open(path, 'w') as target:
        target.write(settings)
    proc = Proc(
        name,
        ['cornelgap.platform.role'],
        context.folder,
        greets=False,
        env={'CORNELGAP_CONFIG': path},
        to_log=True,
    )
    context.cleanups.append(lambda: kill(proc))
    context.procs[name] = proc


def kill(proc):
    if proc.popen.poll() is None:
        proc.popen.kill()
    proc.popen.wait()


@given('a store with two services of two targets each')
def start_outside(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.folder = folder.name
    context.store = ObjectStore()
    server = start_store(context.store)
    context.cleanups.append(server.shutdown)
    packets, ready, inner = pick_ports(3)
    context.ports = {
        'packets': packets,
        'ready': ready,
        'inner': inner,
        'store': server.server_address[1],
    }
    context.targets = {
        number: PacketTarget(number, f'{NET}.{20 + number}', packets)
        for number in SERVICES
    }
    put_config(context, 'search', 'archive')
    for target in context.targets.values():
        put_target(context, target)
    context.backup = context.store.back_up()


@given('three forwarding instances behind routers')
def start_instances(context):
    context.hosts = {f'n{host[-1]}': host for host in HOSTS}
    context.procs = {}
    for name in context.hosts:
        start_instance(context, name)
    ports = context.ports
    context.routers = Routers(
        ((host, ports['packets']), (host, ports['ready'])) for host in HOSTS
    )
    callers = Callers((CALLERS_HOST, ports['packets']), context.routers)
    context.world = PacketWorld(callers, context.targets.values())
    context.world.start()
    context.cleanups.append(context.world.stop)
    probing = threading.Thread(
        target=context.routers.probe_forever, daemon=True
    )
    probing.start()
    context.cleanups.append(context.routers.stopped.set)
    wait_for(lambda: all_ready(context), WAIT_S, 'all instances are ready')


def all_ready(context):
    return all(ask_ready((host, context.ports['ready'])) for host in HOSTS)


def wait_until_ready(context, name):
    address = (context.hosts[name], context.ports['ready'])
    wait_for(lambda: ask_ready(address), WAIT_S, 'the instance is ready')


def open_flows(context, count, services=('search', 'archive')):
    callers = context.world.callers
    flows = []
    for number in range(count):
        service = services[number % len(services)]
        place = PLACES[service]
        flow = context.world.call(lambda now: callers.open(place, now))
        flows.append((service, flow))
    return flows


def wait_until_settled(flows):
    wait_for(
        lambda: all(flow.state != 'opening' for _, flow in flows),
        WAIT_S,
        'flows are settled',
    )


def ask_all(context, text):
    callers = context.world.callers
    for _, flow in context.flows:
        if flow.state == 'open':
            context.world.call(lambda now: callers.request(flow, text, now))


def is_answered(flow):
    return flow.state != 'open' or not flow.sent


def wait_for_answers(context):
    wait_for(
        lambda: all(is_answered(flow) for _, flow in context.flows),
        WAIT_S,
        'all requests are answered',
    )


def ask_again(context):
    ask_all(context, b'request %d' % context.asked)
    wait_for_answers(context)
    context.asked += 1


@when('{count:d} flows are opened and each makes {requests:d} request')
@when('{count:d} flows are opened and each makes {requests:d} requests')
def run_flows(context, count, requests):
    context.flows = open_flows(context, count)
    wait_until_settled(context.flows)
    for number in range(requests):
        ask_all(context, b'request %d' % number)
        wait_for_answers(context)
    context.asked = requests


@then('every request is answered by a target of its own service')
def check_answers(context):
    for service, flow in context.flows:
        assert flow.state == 'open', flow
        assert len(flow.answers) == context.asked, flow
        for number, (text, _) in enumerate(flow.answers):
            target, _, said = text.partition(b':')
            assert SERVICES[int(target)] == service
            assert said == b'request %d' % number


@then('no target got a packet that was changed or meant for another')
def check_targets(context):
    for target in context.targets.values():
        assert not target.wrong, target.wrong


def strike(context, action):
    """Let the flows ask again and again while something happens."""
    rounds = 8
    for number in range(rounds):
        if number == 2:
            action()
        ask_again(context)
        time.sleep(0.2)


@when('an instance is asked to stop while the flows make requests')
def stop_instance(context):
    context.stopped = context.procs['n1']
    strike(context, lambda: context.stopped.send_signal(signal.SIGTERM))


@when('{count:d} flows are opened whose copies reach another instance')
def open_split_flows(context, count):
    send_all_to(context, HOSTS[0])
    set_syn_acks_lost(context, True)
    context.flows = open_flows(context, count)
    wait_for(
        lambda: count_held(context) >= count, WAIT_S, 'targets got all SYNs'
    )
    set_syn_acks_lost(context, False)
    send_all_to(context, HOSTS[1])
    wait_until_settled(context.flows)
    context.asked = 0
    ask_again(context)
    assert count_held(context) > count, 'no copy came to another target'


@when('the targets repeat their SYN+ACKs and routers choose "{name}"')
def mislead_callers(context, name):
    def repeat(_now):
        for target in context.targets.values():
            target.repeat_syn_acks()

    context.world.call(repeat)
    # The callers have read them before their next requests.
    time.sleep(0.1)
    send_all_to(context, context.hosts[name])
    ask_again(context)


@when('instance "{name}" ends and starts again')
def replace_instance(context, name):
    kill(context.procs[name])
    start_instance(context, name)
    wait_until_ready(context, name)


def send_all_to(context, host):
    context.routers.only = (host, context.ports['packets'])


def set_syn_acks_lost(context, lost):
    def change(_now):
        for target in context.targets.values():
            target.loses_syn_acks = lost

    context.world.call(change)


def count_held(context):
    return sum(len(target.flows) for target in context.targets.values())


@when('all instances are paused, asked to stop and continued')
def stop_paused(context):
    procs = context.procs.values()
    for proc in procs:
        proc.send_signal(signal.SIGSTOP)
        status = Path(f'/proc/{proc.popen.pid}/status')
        wait_for(
            lambda path=status: 'State:\tT' in path.read_text(),
            WAIT_S,
            'it is paused',
        )
    for signum in (signal.SIGTERM, signal.SIGCONT):
        for proc in procs:
            proc.send_signal(signum)


@then('all end by themselves within their grace period')
def check_all_ended(context):
    for proc in context.procs.values():
        assert proc.popen.wait(GRACE_S) == 0


@when('an instance starts and is told of new settings while it loads')
def hang_up_young(context):
    kill(context.procs['n1'])
    start_instance(context, 'n1')
    address = (HOSTS[0], context.ports['packets'])
    wait_for(lambda: is_taken(address), WAIT_S, 'its socket is open')
    context.procs['n1'].send_signal(signal.SIGHUP)


def is_taken(address):
    """Say whether somebody has a socket for datagrams at an address."""
    try:
        open_socket(address).close()
    except OSError:
        return True
    return False


@then('it becomes ready')
def check_ready(context):
    wait_until_ready(context, 'n1')


@then('it ends by itself within its grace period')
def check_ended(context):
    assert context.stopped.popen.wait(GRACE_S) == 0


@then('no flow was reset and every request was answered')
def check_all_well(context):
    check_answers(context)
    check_targets(context)


@when('an instance is killed while the flows make requests')
def kill_instance(context):
    strike(context, context.procs['n1'].popen.kill)


@when("the store is restored from a backup of before the instances' start")
def restore_store(context):
    context.key = read_key(context)
    # What is lost has higher revisions than all that comes after it.
    for number in range(20):
        context.store.put('others', f'o-{number}', {})
    put_config(context, 'search', 'archive')
    wait_for(
        lambda: is_known_to_all(context.store.revision),
        WAIT_S,
        'all instances know what will be lost',
    )
    context.store.restore(context.backup)
    assert read_key(context) is None


def is_known_to_all(revision):
    """Say whether all instances know a revision of the configuration."""
    wanted = f'directory_revision{{kind="routes"}} {revision}'
    return all(wanted in ask_page(host)[1] for host in HOSTS)


def read_key(context):
    item = context.store.get(keys.KIND, keys.NAME)
    return item and item['spec']


@then('the store has the key that it had')
def check_key_kept(context):
    wait_for(
        lambda: read_key(context) is not None, WAIT_S, 'the key is written'
    )
    assert read_key(context) == context.key


@then('an instance that starts again hears the two others')
def check_heard(context):
    kill(context.procs['n1'])
    start_instance(context, 'n1')
    wait_for(
        lambda: ask_ready((HOSTS[0], context.ports['ready'])),
        WAIT_S,
        'the instance is ready',
    )
    wait_for(
        lambda: 'forwarding_instances 3' in ask_page(HOSTS[0])[1],
        WAIT_S,
        'the others are heard',
    )


@when('a target begins to drain and a route is dropped')
def drain_target(context):
    put_target(context, context.targets[1], 'draining')
    put_config(context, 'search')
    context.changed_at = time.monotonic()


@when('a target drains and a route gives way to one whose service is a list')
def replace_route(context):
    put_target(context, context.targets[1], 'draining')
    put_config(context, 'search', 'listed')
    context.changed_at = time.monotonic()


@then('flows of the route to a list are refused')
def check_listed(context):
    flows = open_flows(context, 12, ['listed'])
    wait_until_settled(flows)
    assert all(flow.state == 'reset' for _, flow in flows)


@then('within 3 s no new flow reaches the target or the route')
def check_drained(context):
    def is_in_force():
        flows = open_flows(context, 30)
        wait_until_settled(flows)
        dropped = [flow for name, flow in flows if name == 'archive']
        held = set(context.targets[1].flows)
        keys = {(f.key[0], f.key[1], f.key[2], f.key[3]) for _, f in flows}
        return not keys & held and all(
            flow.state == 'reset' for flow in dropped
        )

    wait_for(is_in_force, 3, 'the change is in force')
    context.refused = open_flows(context, 3, ['archive'])
    wait_until_settled(context.refused)


@then('the flows that the target holds go on')
def check_held(context):
    held = [
        flow
        for _, flow in context.flows
        if flow.answers[-1][0].startswith(b'1:')
    ]
    assert held
    context.flows = [('search', flow) for flow in held]
    ask_again(context)
    check_answers(context)


@when('an operator drains the zone of all targets')
def drain_zone(context):
    context.store.put('evacuations', 'a', {})


@when('an operator takes the zone of all targets back')
def take_zone_back(context):
    context.store.remove('evacuations', 'a')


@then('within 3 s every new flow is refused')
def check_refused(context):
    wait_for_state(context, 'reset')


@then('within 3 s every new flow is opened')
def check_opened(context):
    wait_for_state(context, 'open')


def wait_for_state(context, state):
    """Open flows until all that are opened in one go get the same end."""

    def is_in_force():
        flows = open_flows(context, 12)
        wait_until_settled(flows)
        return all(flow.state == state for _, flow in flows)

    wait_for(is_in_force, 3, f'new flows are {state}')


@given('all targets are in another zone')
def move_targets(context):
    for target in context.targets.values():
        put_target(context, target, zone='b')


@when('the other zone is cut off while callers go on')
def cut_zone(context):
    # Few flows tell that a zone is away if all of them are idle.
    ask_all(context, b'request')
    for target in context.targets.values():
        target.crashed = True


@then('all instances leave the rotation together')
def check_withdrawn(context):
    def is_out():
        open_flows(context, 4)
        ready = [ask_ready((host, context.ports['ready'])) for host in HOSTS]
        return not any(ready)

    wait_for(is_out, WAIT_S, 'no instance is ready')
    for host in HOSTS:
        assert 'zone_withdrawn 1' in ask_page(host)[1]


@when('the other zone is in reach again')
def mend_zone(context):
    for target in context.targets.values():
        target.crashed = False


@then('all instances are in rotation and new flows are opened')
def check_returned(context):
    def is_back():
        open_flows(context, 4)
        return all_ready(context)

    wait_for(is_back, WAIT_S, 'all instances are ready')
    wait_for_state(context, 'open')


@when('the store falls silent and an instance is killed and started again')
def silence_store(context):
    context.store.silent = True
    kill(context.procs['n1'])
    start_instance(context, 'n1')
    ask_again(context)


@then('the flows go on through all instances')
def check_flows(context):
    check_all_well(context)


@then('the restarted instance serves again without the store')
def check_restarted(context):
    wait_until_ready(context, 'n1')
    run_flows(context, 20, 1)
    check_all_well(context)


@then("within 10 s of the store's return a new route is in force everywhere")
def check_return(context):
    PLACES['later'] = (ROUTE, 8443)
    context.cleanups.append(lambda: PLACES.pop('later'))
    spec = context.store.get('config', 'main')['spec']
    route = {
        'name': 'r-later',
        'host': '198.18.0.1',
        'path_prefix': '/8443/',
        'service': 'search',
    }
    spec = {**spec, 'routes': [*spec['routes'], route]}
    context.store.put('config', 'main', spec)
    context.store.silent = False

    def is_in_force():
        flows = open_flows(context, 12, ['later'])
        wait_until_settled(flows)
        return all(flow.state == 'open' for _, flow in flows)

    wait_for(is_in_force, 10, 'the new route is in force')
    wait_for(lambda: all_ready(context), WAIT_S, 'all instances are ready')


@given('another writer leaves entries with nested values')
@when('another writer leaves entries with nested values')
def leave_nested_entries(context):
    nested = RawJson('[' * 2000 + ']' * 2000)
    number = RawJson('9' * 5000)
    context.store.put('servers', 'i-00000bad', {'service': nested})
    spec = {'max_concurrent': number, 'service': nested}
    context.store.put('servers', 'i-00000bae', spec)


@then('no instance has ended')
def check_running(context):
    codes = {name: proc.popen.poll() for name, proc in context.procs.items()}
    assert not any(code is not None for code in codes.values()), codes


@when('a target crashes while the flows make requests')
def crash_target(context):
    context.targets[1].crashed = True
    context.asked_at = time.monotonic()
    ask_all(context, b'request 1')
    wait_for_answers(context)


@then('its flows are reset before their callers give up')
def check_resets(context):
    for service, flow in context.flows:
        if flow.answers[0][0].startswith(b'1:'):
            assert flow.state == 'reset', flow
        else:
            assert flow.state == 'open', flow


@then('the next {count:d} flows all open on other targets')
def check_next(context, count):
    flows = open_flows(context, count)
    wait_until_settled(flows)
    assert all(flow.state == 'open' for _, flow in flows)


@then('the metrics of all instances together count {count:d} placed flows')
def check_metrics(context, count):
    placed = 0
    for host in HOSTS:
        _, text = ask_page(host, 'GET', '/metrics')
        lines = text.splitlines()
        fresh = [line for line in lines if 'directory_age_seconds ' in line]
        assert 0 <= float(fresh[-1].split()[-1]) < 5, fresh
        placed += sum(
            float(line.split()[-1])
            for line in lines
            if 'packets_total{reason="placed"}' in line
        )
    assert placed == count, placed


@then('a page that does not exist gives 404, another method 405')
def check_pages(context):
    assert ask_page(HOSTS[0], 'GET', '/other')[0] == 404
    assert ask_page(HOSTS[0], 'POST', '/metrics')[0] == 405


def ask_page(host, method='GET', path='/metrics'):
    conn = HTTPConnection(host, METRICS_PORT, timeout=WAIT_S)
    conn.request(method, path)
    answer = conn.getresponse()
    return answer.status, answer.read().decode()


@when('the directory of an instance crashes')
def crash_directory(context):
    kill(context.procs['n1'])
    context.crashing = Proc(
        'crashing',
        ['features.proofs.crashing_role'],
        context.folder,
        greets=False,
        env={'CORNELGAP_CONFIG': f'{context.folder}/n1.toml'},
        to_log=True,
    )
    context.cleanups.append(lambda: kill(context.crashing))


@when('an instance starts whose metrics port is taken')
def start_without_port(context):
    kill(context.procs['n1'])
    taken = socket.socket()
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    taken.bind((HOSTS[0], METRICS_PORT))
    taken.listen()
    context.cleanups.append(taken.close)
    start_instance(context, 'n1')
    context.crashing = context.procs['n1']


@then('its process ends with exit code {code:d}')
def check_exit(context, code):
    assert context.crashing.popen.wait(WAIT_S) == code


def explain(context, flow):
    address = socket.inet_ntoa(flow.key[0].to_bytes(4))
    return explain_subject(context, f'{address}:{flow.key[1]}')


def explain_subject(context, subject):
    logs = [str(proc.log) for proc in context.procs.values()]
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'cornelgap.operators.main',
            'explain',
            subject,
            *logs,
        ],
        capture_output=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.decode()


@then('explaining a flow that was reset names the target and "{text}"')
def explain_reset(context, text):
    flow = next(one for _, one in context.flows if one.state == 'reset')
    told = explain(context, flow)
    assert text in told.splitlines()[-1], told
    assert 'targets given up' in told, told
    assert f'i-{1:08x}' in told, told


@then('explaining instance "{name}" tells "{text}"')
def explain_instance(context, name, text):
    told = explain_subject(context, name)
    assert text in told, told


@then('explaining a refused flow tells "{text}"')
def explain_refused(context, text):
    _, flow = context.refused[0]
    told = explain(context, flow)
    assert text in told.splitlines()[-1], told
    assert 'routes adopted' in told, told
