"""Steps on entries and answers of other writers."""

import json
import logging
import re

from behave import given, then, when
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.core.errors import Code, CodedError
from cornelgap.core.json_text import TOKENS
from cornelgap.forwarding import metric_page
from cornelgap.forwarding.facts import RoutesKnown
from cornelgap.platform.keys import KEY_BYTES, KIND, NAME, learn_key
from cornelgap.platform.objects import load_registration, load_routes
from cornelgap.platform.store import load_json
from features.proofs import foreign_entries as foreign

SEARCH = settings(
    max_examples=400, derandomize=True, database=None, deadline=None
)
WAIT_S = 0.2
WRITTEN_KEY = bytes(range(KEY_BYTES))
METRIC_LINE = re.compile(
    r'(#.*|\w+(\{\w+="([^"\\\n]|\\[\\"n])*"\})? [-+.\w]+)?'
)


@then('hypothesis finds no foreign entries that harm an instance')
def check_entries(context):
    # Each entry that is left out is logged once, thousands in all.
    logging.disable(logging.WARNING)
    context.cleanups.append(lambda: logging.disable(logging.NOTSET))

    @SEARCH
    @vary(
        foreign.REGISTRATIONS,
        foreign.ROUTES,
        foreign.CONFIGURATIONS,
        foreign.DRAINED,
    )
    def search(registrations, route, configuration, drained):
        foreign.check_harmless(registrations, route, configuration, drained)

    search()


@then('hypothesis finds no value in a snapshot that harms an instance')
def check_snapshots(context):
    @SEARCH
    @vary(st.integers(0, 999), foreign.VALUES)
    def search(position, value):
        foreign.check_snapshot(position, value)

    search()


@given('the configuration has a second route whose {field} is {value}')
def add_bad_route(context, field, value):
    # Read as the product does: 1e999 is a number there.
    found = json.loads(value)
    route = foreign.make_route(80)
    share = {'service': 'search', 'weight': 1}
    if field in share:
        route['split'] = [{**share, field: found}]
    else:
        route[field] = found
    routes = [foreign.make_route(443), route]
    context.routes = routes
    context.store.put('config', 'main', {'version': 2, 'routes': routes})


@then('the error names "{place}" and "{field}"')
def check_named(context, place, field):
    _, (exc,) = load_routes({'routes': context.routes})
    assert exc.code == Code.CFG_BAD_VALUE
    assert place in exc.place and field in exc.text, exc


@when('the configuration is replaced by one whose routes are {value}')
def replace_routes(context, value):
    spec = {'version': 7, 'routes': json.loads(value)}
    context.store.put('config', 'main', spec)


@then('the next watch leaves the routes as they are, and is the last call')
def check_routes_kept(context):
    (fact,) = [
        fact
        for fact in context.source.watch_facts(WAIT_S)
        if isinstance(fact, RoutesKnown)
    ]
    assert fact.routes is None and fact.stamp is None
    calls = context.client.calls
    list(context.source.watch_facts(WAIT_S))
    assert context.client.calls == calls + 1


@given('the configuration has services that are no list')
def put_bad_services(context):
    spec = {'version': 2, 'routes': [foreign.make_route(443)], 'services': 7}
    context.store.put('config', 'main', spec)


@given('the entry of the key holds {value}')
def put_key(context, value):
    found = '00' * 65 if value == '65 bytes' else json.loads(value)
    context.store.put(KIND, NAME, {'key': found})


@when('an instance learns the key after {count:d} tries')
def learn_after(context, count):
    tries = []

    def pause(seconds):
        tries.append(seconds)
        if len(tries) == count:
            context.store.put(KIND, NAME, {'key': WRITTEN_KEY.hex()})

    context.key = learn_key(context.client, pause)
    assert len(tries) == count


@then('it has the key that was written then')
def check_key(context):
    assert context.key == WRITTEN_KEY


@when('the store answers with {field} set to {value}')
def replace_field(context, field, value):
    for name in ('list', 'watch'):
        right = getattr(context.store, name)

        def answer(*args, right=right):
            return {**right(*args), field: json.loads(value)}

        setattr(context.store, name, answer)
    context.replaced = field


@then('a list and a watch fail with a code')
def check_refused(context):
    calls = [lambda: list(context.source.list_facts())]
    if context.replaced == 'store_revision':
        calls.append(lambda: list(context.source.watch_facts(WAIT_S)))
    for call in calls:
        try:
            call()
        except CodedError:
            continue
        raise AssertionError('the answer was taken')


@then('a cut text with {count:d} escaped quotes is one token')
def check_cut_text(context, count):
    cut = '"' + r'\"' * count
    assert [token[0] for token in TOKENS.finditer(cut)] == [cut]


@then('a cut text that ends with a backslash is one token')
def check_cut_escape(context):
    cut = '"[' + '\\'
    assert [token[0] for token in TOKENS.finditer(cut)] == [cut]
    try:
        load_json(b'{"a":' + cut.encode())
    except ValueError:
        return
    raise AssertionError('a cut answer was read')


@then('a registration with any field nested {depth:d} deep names no target')
def check_deep_fields(context, depth):
    nested = []
    for _ in range(depth):
        nested = [nested]
    spec = foreign.make_spec()
    for field in spec:
        item = {
            'meta': {'name': 'i-000000c1', 'revision': 7},
            'spec': {**spec, field: nested},
        }
        found, errors = load_registration(item, 100)
        assert found.target is None and errors


@given('the name of a drained zone with quotes, line breaks and a surrogate')
def name_zone(context):
    context.zone = 'a"b\\c\nd\ud800e\u00e9'


@when('the metrics page is made')
def make_metrics(context):
    gauges = {'zone_drained': {context.zone: 1, 'plain': 1}}
    samples = metric_page.make_samples({}, gauges)
    context.page = metric_page.make_page(samples).decode()


@then('each of its lines has the form that collectors read')
def check_metrics(context):
    lines = context.page.split('\n')
    assert all(map(METRIC_LINE.fullmatch, lines)), lines
    (line,) = [line for line in lines if 'a\\"b' in line]
    assert line.endswith('{zone="a\\"b\\\\c\\nd?e\u00e9"} 1'), line
