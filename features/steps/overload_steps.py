"""Steps for admission under overload of forwarded flows."""

import json
import zlib

from behave import given, then

from cornelgap.forwarding import peer_messages as peers
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.directory_view import RequestPolicy
from cornelgap.forwarding.stamps import ConfigStamp, Stamp
from cornelgap.platform import objects

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
    return peers.pack_snapshot(directory, 2, KEY)


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
    snapshot = peers.unpack_snapshot(pack_routes(context.routes), 2, KEY)
    assert snapshot.routes == context.routes


@then('a snapshot without policies still loads')
def check_old_snapshot(context):
    raw = pack_routes(context.routes)
    content = json.loads(zlib.decompress(peers.unseal(raw, KEY)))
    content.pop('policies')
    old = peers.seal(zlib.compress(json.dumps(content).encode()), KEY)
    snapshot = peers.unpack_snapshot(old, 2, KEY)
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
