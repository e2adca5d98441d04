"""Steps for admission under overload of forwarded flows."""

import json
import zlib

from behave import given, then
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.decisions import overload
from cornelgap.decisions.fair_shares import compute_fair_level
from cornelgap.forwarding import metric_page
from cornelgap.forwarding import peer_messages as peers
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.directory_view import RequestPolicy
from cornelgap.forwarding.stamps import ConfigStamp, Stamp
from cornelgap.platform import objects
from features.proofs.overload_stories import judge_load, play_load
from features.proofs.overload_world import URGENT, WORST

QUIET = settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
FEW = settings(QUIET, max_examples=8)
KEY = b'key of a test fleet'
POLICIES = [
    RequestPolicy(0, 0.25, 1.5, repeatable=True),
    RequestPolicy(2, 0.8, 6, repeatable=True),
    RequestPolicy(1, 0, 2, repeatable=False),
    RequestPolicy(),
]


def make_spec(**fields):
    return {
        'name': 'r-1',
        'host': '198.18.0.1',
        'path_prefix': '/443/',
        'service': 'search',
        **fields,
    }


def pack_routes(routes):
    directory = Directory()
    directory.adopt_routes(routes, ConfigStamp(7, 2, 9), 1)
    directory.adopt_targets({}, Stamp(2, 8), 1, 1)
    return peers.encode_snapshot(directory, 2, KEY)


@given('routes with priorities, goals, timeouts and types')
def load_routes(context):
    told = [
        {
            'priority': 0,
            'latency_goal_ms': 250,
            'timeout_ms': 1500,
            'type': 'idempotent',
        },
        {
            'priority': 2,
            'latency_goal_ms': 800.0,
            'timeout_ms': 6000,
            'type': 'download',
        },
        {'priority': 1, 'timeout_ms': 2000, 'type': 'non_idempotent'},
        {},
    ]
    items = [
        make_spec(path_prefix=f'/{port}/', **fields)
        for port, fields in enumerate(told, start=1)
    ]
    context.routes, errors = objects.load_routes({'routes': items})
    assert not errors, errors


@then('each route tells what the configuration says of its requests')
def check_policies(context):
    assert [route.policy for route in context.routes] == POLICIES


@then('instances pass that on in snapshots')
def check_snapshot(context):
    snapshot = peers.decode_snapshot(pack_routes(context.routes), 2, KEY)
    assert snapshot.routes == context.routes


@then('a snapshot without policies still loads')
def check_old_snapshot(context):
    raw = pack_routes(context.routes)
    content = json.loads(zlib.decompress(peers.verify_message(raw, KEY)))
    content.pop('policies')
    old = peers.sign_message(zlib.compress(json.dumps(content).encode()), KEY)
    snapshot = peers.decode_snapshot(old, 2, KEY)
    assert len(snapshot.routes) == len(context.routes)
    assert {route.policy for route in snapshot.routes} == {RequestPolicy()}


@given('a route whose priority, goal, timeout and type are malformed')
def make_malformed(context):
    context.spec = make_spec(
        priority='high', latency_goal_ms=-1, timeout_ms=True, type=['any']
    )


@then('the route is in force with defaults and each error names its field')
def check_malformed(context):
    routes, errors = objects.load_routes({'routes': [context.spec]})
    assert [route.policy for route in routes] == [RequestPolicy()]
    fields = ('priority', 'latency_goal_ms', 'timeout_ms', 'type')
    places = [f'config/main routes.0.{field}' for field in fields]
    assert [exc.place for exc in errors] == places, errors


@then('the page of metrics shows the admitted share of each priority')
def check_gauges(context):
    world = play_load(6, 2)
    shares = world.desks[0].engine.admission.read_shares()
    samples = metric_page.make_samples(
        {'overloaded': 7, 'copy_overloaded': 2}, {'admitted_share': shares}
    )
    page = metric_page.make_page(samples).decode()
    assert 'reason="overloaded"} 7' in page, page
    lines = [
        line
        for line in page.splitlines()
        if line.startswith('cornelgap_forwarding_admitted_share{')
    ]
    assert len(lines) == 2, page
    for priority in (URGENT, WORST):
        assert any(f'priority="{priority}"' in line for line in lines), lines
    assert float(lines[-1].split()[-1]) < 1, lines


@then('hypothesis finds no callers whose fair level breaks the budget')
def check_level(context):
    @QUIET
    @vary(
        st.lists(st.integers(1, 1000), min_size=1, max_size=40),
        st.floats(0, 1),
    )
    def search(counts, share):
        budget = share * sum(counts)
        level = compute_fair_level(counts, budget)
        given_out = sum(min(count, level) for count in counts)
        assert abs(given_out - budget) <= 1e-6 * (1 + budget)

    search()


@then('hypothesis finds no answers that break the bounds of shares')
def check_bounds(context):
    shares = st.dictionaries(
        st.integers(0, 3), st.floats(overload.MIN_SHARE, 1), min_size=1
    )
    counts = st.dictionaries(st.integers(0, 3), st.integers(0, 500))

    @QUIET
    @vary(shares, counts, counts, st.integers(0, 500), st.floats(0, 500))
    def search(before, answers, offered, sheds, spare):
        tally = overload.Tally(0, {}, answers, offered)
        tally.answers_by_target[1] = [tally.answers, min(sheds, tally.answers)]
        raised = overload.raise_shares(before, offered, spare)
        assert raised.keys() == before.keys()
        assert all(before[name] <= raised[name] <= 1 for name in before)
        if not tally.answers:
            return
        cut = overload.cut_shares(before, tally)
        assert cut.keys() == before.keys()
        assert all(overload.MIN_SHARE <= cut[one] <= before[one] for one in cut)

    search()


@then('hypothesis finds no views in which slots idle or callers starve')
def check_views(context):
    @FEW
    @vary(
        st.integers(2, 6),
        st.sampled_from([1.5, 2, 3, 4]),
        st.integers(1, 1000),
    )
    def search(instances, load, seed):
        world = play_load(load, instances=instances, seed=seed)
        assert not judge_load(world), judge_load(world)
        _, accounts = world.rates[WORST]
        starved = [
            one
            for one in range(1, accounts + 1)
            if not world.by_account[WORST, one]
        ]
        assert not starved, starved

    search()
