"""Steps on hubs, loads and fetches between instances."""

import threading
import time

from behave import given, then, when

from cornelgap.forwarding import fetcher
from features.proofs.zone_world import TURN_S, Zone

COOKIE = 7


@given('a hub that is busy for a while')
def start_hub(context):
    context.snapshot = b'x' * 200000

    def read_snapshot():
        time.sleep(0.05)
        return context.snapshot

    server = fetcher.make_server(('127.0.0.1', 0), read_snapshot)
    context.cleanups.append(server.server_close)
    context.server = server


@when('{count:d} instances fetch from it at once')
def fetch_all(context, count):
    context.found = []

    def fetch():
        try:
            raw = fetcher.receive_all(context.server.server_address)
        except OSError as exc:
            raw = repr(exc)
        context.found.append(raw)

    threads = [threading.Thread(target=fetch) for _ in range(count)]
    for thread in threads:
        thread.start()
    # The hub accepts only now: until then its queue holds them all.
    serving = threading.Thread(target=context.server.serve_forever, daemon=True)
    serving.start()
    context.cleanups.append(context.server.shutdown)
    for thread in threads:
        thread.join()


@then('all of them have the snapshot within its own time-out')
def check_fetched(context):
    wrong = [raw for raw in context.found if raw != context.snapshot]
    assert not wrong, (len(wrong), wrong[0][:80])


@given('a zone of {count:d} instances of which {wide:d} have wide links')
def make_zone(context, count, wide):
    context.zone = Zone(count, wide)


@when('they have told each other of themselves')
def introduce(context):
    for _ in range(40):
        context.zone.turn()


@then('the two are the hubs, and everybody agrees on the first')
def check_hubs(context):
    nodes = context.zone.list_alive()
    hubs = {node.name for node in nodes if node.is_hub}
    assert hubs == {'n0', 'n1'}, hubs
    firsts = [node for node in nodes if node.is_first_hub]
    assert len(firsts) == 1, firsts
    for node in nodes:
        assert node.count_zone() == len(nodes)
        if node is not firsts[0]:
            assert node.list_load_hosts() == [firsts[0].host]


@when('the first hub falls silent')
def silence_hub(context):
    zone = context.zone
    first = next(node for node in zone.list_alive() if node.is_first_hub)
    zone.dead.add(first.host)


@then('within {seconds:d} s everybody has another first hub that is alive')
def check_replaced(context, seconds):
    zone = context.zone
    for _ in range(int(seconds / TURN_S)):
        zone.turn()
    firsts = [node for node in zone.list_alive() if node.is_first_hub]
    assert len(firsts) == 1, firsts
    for node in zone.list_alive():
        if node is not firsts[0]:
            assert node.list_load_hosts() == [firsts[0].host]


@when('each has {flows:d} flows on one target and reports them')
def report_loads(context, flows):
    for _ in range(8):
        context.zone.turn({COOKIE: flows})
    context.flows = flows


@then('everybody knows of {flows:d} flows of the others')
def check_loads(context, flows):
    zone = context.zone
    for node in zone.list_alive():
        own = {COOKIE: context.flows}
        found = node.sum_other_loads(own, zone.now)
        assert found == {COOKIE: flows}, (node.name, found)
