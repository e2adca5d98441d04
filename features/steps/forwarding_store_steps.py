"""Steps on the store's client and source against the stand-in store."""

import itertools
import logging
import queue
import random
import threading
import time

from behave import given, then, when

from bench.procs import wait_for
from cornelgap.core.errors import CodedError
from cornelgap.forwarding import follower as follower_module
from cornelgap.forwarding.directory_view import UNREADABLE
from cornelgap.forwarding.facts import (
    RoutesKnown,
    TargetsChanged,
    TargetsListed,
    ZonesDrained,
)
from cornelgap.forwarding.follower import (
    CATCH_UP_S,
    COLLECT_S,
    Follow,
    Follower,
    ListOnce,
)
from cornelgap.forwarding.stamps import Stamp
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.platform.keys import learn_key
from cornelgap.platform.objects import load_registration
from cornelgap.platform.sources import StoreSource
from cornelgap.platform.store import (
    CALL_S,
    HistoryGone,
    Listing,
    StoreClient,
    StoreError,
    load_json,
)
from standins.object_store import (
    ObjectStore,
    RawJson,
    encode_content,
    start_store,
)

WAIT_S = 0.2
WAIT_LONG_S = 15
PATIENT_S = 15
"""Time-out where the store does answer, however busy the machine is."""


def make_spec(number, state='ready'):
    return {
        'service': 'search',
        'address': f'127.0.0.1:{8000 + number}',
        'zone': 'a',
        'max_concurrent': 2,
        'state': state,
        'warmup_left_ms': 0,
    }


def put_config(context, port):
    route = {
        'name': 'r',
        'host': '198.18.0.1',
        'path_prefix': f'/{port}/',
        'service': 'search',
    }
    context.store.put('config', 'main', {'version': 1, 'routes': [route]})


def pick(facts, kind):
    (fact,) = [item for item in facts if isinstance(item, kind)]
    return fact


@given('a store with {count:d} targets that lists {page:d} objects a page')
def start(context, count, page):
    context.store = ObjectStore()
    context.store.page = page
    server = start_store(context.store)
    context.cleanups.append(server.shutdown)
    context.address = server.server_address
    put_config(context, 443)
    for number in range(1, count + 1):
        context.store.put('servers', f'i-{number:08x}', make_spec(number))
    context.client = StoreClient(context.address, PATIENT_S)
    context.cleanups.append(context.client.close)
    context.source = StoreSource(context.client)


@when('a source lists it')
def list_all(context):
    context.facts = list(context.source.list_facts())
    context.calls = context.client.calls


@then('it has {count:d} targets and the configuration')
def check_list(context, count):
    assert len(pick(context.facts, TargetsListed).targets) == count
    routes = pick(context.facts, RoutesKnown).routes
    assert [route.port for route in routes] == [443]


@when('a target begins to drain')
def drain(context):
    spec = make_spec(1, 'draining')
    context.store.put('servers', 'i-00000001', spec)


@then('the next watch tells the target and calls the store once')
def check_change(context):
    facts = context.source.watch_facts(WAIT_S)
    ((name, target, _),) = pick(facts, TargetsChanged).changes
    assert (name, target.draining) == ('i-00000001', True)
    assert pick(facts, RoutesKnown).routes is None
    assert context.client.calls == context.calls + 1


@when('the configuration changes')
def change_config(context):
    put_config(context, 8443)


@then('the next watch tells the new configuration')
def check_config(context):
    facts = context.source.watch_facts(WAIT_S)
    routes = pick(facts, RoutesKnown).routes
    assert [route.port for route in routes] == [8443]


@when('a target leaves and the store forgets its history')
def compact(context):
    context.store.remove('servers', 'i-00000002')
    context.store.compact()


@then('the next watch fails as gone, and a list lacks the target')
def check_gone(context):
    try:
        context.source.watch_facts(WAIT_S)
    except HistoryGone:
        list_all(context)
    else:
        raise AssertionError('the gap was not noticed')
    targets = pick(context.facts, TargetsListed).targets
    assert targets.keys() == {'i-00000001', 'i-00000003'}


@when('the store falls silent')
def silence(context):
    # With the time-out of the product, which the next step measures.
    context.client = StoreClient(context.address)
    context.source = StoreSource(context.client)
    wait_for(lambda: can_list(context), WAIT_LONG_S, 'a list works')
    context.store.silent = True


def can_list(context):
    try:
        list_all(context)
    except StoreError:
        return False
    return True


@then('the next watch ends by a time-out of its own')
def check_timeout(context):
    began = time.monotonic()
    try:
        context.source.watch_facts(WAIT_S)
    except CodedError as exc:
        assert not exc.answered
    else:
        raise AssertionError('a silent store gave an answer')
    assert time.monotonic() - began >= WAIT_S + CALL_S


@then('a list works once the store answers again')
def check_again(context):
    context.store.silent = False
    wait_for(lambda: can_list(context), WAIT_LONG_S, 'a list works')
    check_list(context, 3)


@when('{count:d} instances learn the key at once')
def learn_keys(context, count):
    context.keys = []

    def learn():
        client = StoreClient(context.address, PATIENT_S)
        context.keys.append(learn_key(client, time.sleep))

    threads = [threading.Thread(target=learn) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.count = count


@then('all of them have the same key')
def check_keys(context):
    assert len(context.keys) == context.count
    assert len(set(context.keys)) == 1


@when('the configuration has a second route without any weight')
def add_weightless(context):
    routes = [
        {
            'name': f'r-{port}',
            'host': '198.18.0.1',
            'path_prefix': f'/{port}/',
            'split': [{'service': 'search', 'weight': weight}],
        }
        for port, weight in ((443, 1), (80, 0))
    ]
    context.store.put('config', 'main', {'version': 2, 'routes': routes})


class Receiver(NamedActor):
    """Hears what a follower tells."""

    def __init__(self, scope, heard):
        """Put all messages into a queue."""
        super().__init__(scope, 'receiver')
        self._heard = heard

    def on_receive(self, message):
        """Keep the message."""
        self._heard.put(message)


@given('a follower of it')
def start_follower(context):
    context.heard = queue.SimpleQueue()
    receiver = Receiver.start('store-test', context.heard)
    context.cleanups.append(receiver.stop)
    follower = Follower.start(
        'store-test',
        context.source,
        'receiver',
        WAIT_S,
        random.Random(1),
        time.sleep,
    )
    context.cleanups.append(follower.stop)
    context.follower = follower


@when('the store answers nonsense for a while')
def answer_nonsense(context):
    asked = threading.Event()
    right = context.store.list

    def answer_list(kind, after):
        asked.set()
        return ['no', 'listing']

    context.store.list = answer_list
    context.follower.tell(ListOnce())
    assert asked.wait(WAIT_LONG_S)
    context.store.list = right


@then('the follower lists all once the store is well again')
def check_follower(context):
    found = [context.heard.get(timeout=WAIT_LONG_S) for _ in range(2)]
    assert len(pick(found, TargetsListed).targets) == 3


class BusySource:
    """A source that has changes whenever it is asked.

    :ivar waits: longest wait of each watch.
    """

    def __init__(self, enough):
        self.waits = []
        self._enough = enough

    def list_facts(self):
        return [TargetsListed({}, Stamp(revision=1), 0)]

    def watch_facts(self, wait_s):
        self.waits.append(wait_s)
        if len(self.waits) == 3:
            self._enough.set()
        changes = (('i-1', None, 2),)
        return [TargetsChanged(changes, Stamp(revision=2), 0)]

    def close(self):
        """Nothing is open."""


@given('a follower of a source that always has changes')
def start_busy(context):
    context.enough = threading.Event()
    context.source = BusySource(context.enough)
    context.pauses = []
    context.blocked = threading.Event()
    context.cleanups.append(context.blocked.set)

    def pause(seconds):
        context.pauses.append(seconds)
        if context.enough.is_set():
            context.blocked.wait()

    follower = Follower.start(
        'store-test', context.source, 'nobody', 1, random.Random(1), pause
    )
    context.cleanups.append(lambda: follower.stop(block=False))
    follower.tell(Follow(True))


@when('it has made {count:d} calls')
def wait_for_calls(context, count):
    assert context.enough.wait(WAIT_LONG_S)
    assert len(context.source.waits) == count - 1


@then('it has paused before each but the first two of them')
def check_pauses(context):
    assert context.pauses[:2] == [COLLECT_S, COLLECT_S]


@then('no wait with its pause is longer than the longest wait')
def check_waits(context):
    assert context.source.waits == [1, 1 - COLLECT_S, 1 - COLLECT_S]


@when('another instance learns the key')
def learn_again(context):
    context.client = StoreClient(context.address, PATIENT_S)
    context.asked = []
    right = context.client.read_object

    def read_object(kind, name, stale=False):
        context.asked.append(stale)
        return right(kind, name, stale)

    context.client.read_object = read_object
    learn_key(context.client, time.sleep)


@then('the other one has made {count:d} call, and allowed it to be stale')
def check_stale(context, count):
    assert context.asked == [True] * count
    assert context.client.calls == count


class QuietSource:
    """A source in which nothing changes; it tells each call."""

    def __init__(self, calls, go_on):
        self._calls = calls
        self._go_on = go_on

    def list_facts(self):
        self._calls.put('list')
        return [TargetsListed({}, Stamp(revision=1), 0)]

    def watch_facts(self, wait_s):
        self._calls.put(wait_s)
        # The next call is made when the one before has been looked at.
        self._go_on.get(timeout=WAIT_LONG_S)
        return [TargetsChanged((), Stamp(revision=1), 0)]

    def close(self):
        """Nothing is open."""


@given('a follower that has listed a quiet source at its start')
def start_quiet(context):
    context.quiet_calls = queue.SimpleQueue()
    context.go_on = queue.SimpleQueue()
    follower = Follower.start(
        'store-test',
        QuietSource(context.quiet_calls, context.go_on),
        'nobody',
        PATIENT_S,
        random.Random(1),
        time.sleep,
    )
    context.follower = follower
    context.cleanups.append(lambda: follower.stop(block=False))
    follower.tell(ListOnce())
    assert context.quiet_calls.get(timeout=WAIT_LONG_S) == 'list'


@given('its last answer was long ago')
def forget_answer(context):
    before = follower_module.LIST_AFTER_S
    follower_module.LIST_AFTER_S = 0
    context.cleanups.append(
        lambda: setattr(follower_module, 'LIST_AFTER_S', before)
    )


@when('it begins to follow')
def begin_to_follow(context):
    context.follower.tell(Follow(True))


@when('it leaves the store to others and takes over again')
def take_over_again(context):
    for active in (False, True):
        context.follower.tell(Follow(active))
    context.go_on.put(None)


@then('its first call is a watch that does not wait, and its second one waits')
def check_first_calls(context):
    assert context.quiet_calls.get(timeout=WAIT_LONG_S) <= CATCH_UP_S
    context.go_on.put(None)
    assert context.quiet_calls.get(timeout=WAIT_LONG_S) == PATIENT_S


@then('its first call is a list')
def check_first_list(context):
    assert context.quiet_calls.get(timeout=WAIT_LONG_S) == 'list'


class FailingSource:
    """A source whose calls bring no answer, or one that cannot be read."""

    errors = itertools.cycle(
        (
            StoreError('status 429', answered=True),
            RecursionError('nested'),
            OverflowError('too large'),
        )
    )

    def list_facts(self):
        raise next(self.errors)

    def close(self):
        """Nothing is open."""


class Failing:
    """How often a follower has failed, and when it is to wait for us.

    It outlives the scenario for a moment, so it is no part of the context.
    """

    def __init__(self):
        self.pauses = []
        self.limit = 6
        self.enough = threading.Event()
        self.go_on = threading.Event()

    def pause(self, seconds):
        self.pauses.append(seconds)
        if len(self.pauses) >= self.limit:
            self.enough.set()
            self.go_on.wait()


@given('a follower of a source that always fails')
def start_failing(context):
    failing = Failing()
    context.failing = failing
    context.cleanups.append(failing.go_on.set)
    follower = Follower.start(
        'store-test',
        FailingSource(),
        'nobody',
        1,
        random.Random(1),
        failing.pause,
    )
    context.follower = follower
    context.cleanups.append(lambda: follower.stop(block=False))
    follower.tell(Follow(True))


@when('it has failed {count:d} times')
def wait_for_failures(context, count):
    assert context.failing.enough.wait(WAIT_LONG_S)
    assert len(context.failing.pauses) == count


@then('its pauses grow to 1 s with half of it either way, and no further')
def check_growth(context):
    expected = [0.3, 0.6, 1, 1, 1, 1]
    for pause, middle in zip(context.failing.pauses, expected, strict=True):
        assert middle / 2 <= pause <= middle * 1.5, context.failing.pauses
    assert max(context.failing.pauses) > 0.5


@then('it has told the targets first')
def check_order(context):
    assert isinstance(context.facts[0], TargetsListed)


@when('it may go on until it has failed {count:d} times')
def let_it_fail(context, count):
    assert context.failing.enough.wait(WAIT_LONG_S)
    context.failing.enough.clear()
    context.failing.limit = count
    context.failing.go_on.set()
    assert context.failing.enough.wait(WAIT_LONG_S)


@then('its pauses stay within {most:g} s and it still runs')
def check_long_outage(context, most):
    assert max(context.failing.pauses) <= most
    assert context.follower.is_alive()


FOREIGN = {
    'i-000000a1': {'state': 'ready'},
    'i-000000a2': make_spec(12, 'asleep'),
    'i-000000a3': {**make_spec(13), 'max_concurrent': True},
    'i-000000a4': {**make_spec(14), 'address': ['127.0.0.1', 8014]},
    'i-000000a5': {**make_spec(15), 'service': None},
    'i-000000a6': {**make_spec(16), 'born': -1},
    'i-000000a7': 'no entry at all',
    'i-000000a8': {
        name: found
        for name, found in make_spec(18).items()
        if name != 'max_concurrent'
    },
    'zyx': make_spec(17),
}


@given('entries of another writer among them')
def put_foreign(context):
    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    log = logging.getLogger('cornelgap.follower')
    log.addHandler(handler)
    context.cleanups.append(lambda: log.removeHandler(handler))
    for name, spec in FOREIGN.items():
        context.store.put('servers', name, spec)


@then('the {count:d} targets are whole and the other entries name none')
def check_foreign(context, count):
    listed = pick(context.facts, TargetsListed).targets
    whole = [name for name, (it, _) in listed.items() if it is not UNREADABLE]
    assert whole == [f'i-{number:08x}' for number in range(1, count + 1)]
    assert listed.keys() - set(whole) == FOREIGN.keys()


@then('a watch tells a change beside a new entry of the other writer')
def check_foreign_change(context):
    context.store.put('servers', 'i-000000b1', {'service': 'search'})
    drain(context)
    changes = []
    while len(changes) < 2:
        facts = context.source.watch_facts(WAIT_S)
        changes += pick(facts, TargetsChanged).changes
    told = {name: target for name, target, _ in changes}
    assert told['i-000000b1'] is UNREADABLE
    assert told['i-00000001'].draining


@then('each such entry was logged once, with a code')
def check_foreign_lines(context):
    list_all(context)
    places = [line.place for line in context.lines if line.code == 'CFG-004']
    wanted = [f'servers/{name}' for name in (*FOREIGN, 'i-000000b1')]
    assert sorted(places) == sorted(wanted), places


@given(
    'entries with values nested {depth:d} deep and a number of {digits:d} digits'
)
def put_nested(context, depth, digits):
    number = RawJson('9' * digits)
    for name, opening, closing in (
        ('i-000000c1', '[', ']'),
        ('i-000000c2', '{"a":', '}'),
    ):
        nested = RawJson(opening * depth + '7' + closing * depth)
        spec = {**make_spec(9), 'service': nested}
        context.store.put('servers', name, spec)
        spec = {'max_concurrent': number, **spec}
        context.store.put('servers', f'{name}d', spec)


@then('the {count:d} targets are whole and no other entry names one')
def check_nested(context, count):
    listed = pick(context.facts, TargetsListed).targets
    whole = [name for name, (it, _) in listed.items() if it is not UNREADABLE]
    assert whole == [f'i-{number:08x}' for number in range(1, count + 1)]


@then('no depth of a value between {first:d} and {last:d} raises anything')
def check_depths(context, first, last):
    meta = {'name': 'i-000000c1', 'revision': 7}
    for depth in range(first, last):
        nested = RawJson('[' * depth + ']' * depth)
        for field in ('service', 'state', 'max_concurrent', 'warmup_left_ms'):
            spec = {**make_spec(9), field: nested}
            raw = encode_content({'meta': meta, 'spec': spec})
            found, errors = load_registration(load_json(raw), 100)
            assert found.target is None and errors


@then('an answer with such bytes in one entry is read')
def check_odd_bytes(context):
    digits = b'9' * 5000
    raw = b'{"a": "\xff\xfe", "b": %s, "c": {"revision": 7}}' % digits
    assert load_json(raw)['c'] == {'revision': 7}
    try:
        load_json(b'[' * 100000)
    except ValueError:
        return
    raise AssertionError('nesting without an end was read')


@then('no zone is drained, and that is told before the routes are')
def check_no_drain(context):
    kinds = [type(fact) for fact in context.facts]
    assert kinds.index(ZonesDrained) < kinds.index(RoutesKnown)
    assert not pick(context.facts, ZonesDrained).zones


@when('an operator drains zone "{zone}"')
def order_drain(context, zone):
    context.store.put('evacuations', zone, {})


@when('an operator takes zone "{zone}" back')
def take_back(context, zone):
    context.store.remove('evacuations', zone)


@then('the next watch tells that zone "{zone}" is drained')
def check_drain(context, zone):
    facts = list(context.source.watch_facts(WAIT_S))
    assert pick(facts, ZonesDrained).zones == {zone}


@then('the next watch tells that no zone is drained')
def check_taken_back(context):
    facts = list(context.source.watch_facts(WAIT_S))
    assert not pick(facts, ZonesDrained).zones


@when('an operator drains zone "{zone}" while a source reads the routes')
def drain_meanwhile(context, zone):
    right = context.store.list

    def list_kind(kind, after):
        if kind == 'config':
            context.store.list = right
            order_drain(context, zone)
        return right(kind, after)

    context.store.list = list_kind
    list_all(context)
    assert not pick(context.facts, ZonesDrained).zones


@when('an operator drains zone "{zone}" and a replica does not know it yet')
def drain_behind(context, zone):
    old = context.client.list_objects('evacuations')
    order_drain(context, zone)
    answer_stale(context, old)


def answer_stale(context, old):
    """Let a replica that is behind answer where old answers will do."""
    right = context.client.list_objects
    context.stale = []

    def list_objects(kind, stale=False):
        context.stale.append((kind, stale))
        return old if stale else right(kind)

    context.client.list_objects = list_objects


@when('an operator drains zone "{zone}" and a replica knows no such orders')
def drain_unheard(context, zone):
    order_drain(context, zone)
    answer_stale(context, Listing([], 0, context.store.era))


@then('what it tells of drained zones is as of no revision')
def check_no_revision(context):
    assert not pick(context.facts, ZonesDrained).stamp.revision


@then('its first call for orders was content with an old answer')
def check_stale_orders(context):
    assert context.stale == [
        ('servers', False),
        ('evacuations', True),
        ('config', False),
    ], context.stale
    assert not pick(context.facts, ZonesDrained).zones


@when('odd orders to drain zones are written')
def write_odd_orders(context):
    context.store.put('evacuations', 'a', {'until': 'never'})
    context.store.put('evacuations', 'no-such-zone', None)
    context.store.put('evacuations', 'b', {})['meta']['deleting'] = True
    context.store.put('evacuations', 'c', {})['meta']['name'] = 7


@then('the zones of the orders that have names are drained')
def check_odd_orders(context):
    zones = pick(context.facts, ZonesDrained).zones
    assert zones == {'a', 'b', 'no-such-zone'}, zones
