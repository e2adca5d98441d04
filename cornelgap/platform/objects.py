"""The platform's objects as the product's types.

Loaders return (value, errors) and go on past the first error: one bad
entry must not hide all others.
"""

import string

from msgspec import Struct

from cornelgap.core.errors import Code, CodedError
from cornelgap.forwarding.directory_view import (
    RequestPolicy,
    Route,
    Target,
    Warmup,
    make_cookie,
)
from cornelgap.platform.layout import parse_ip

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
TARGETS_KIND = 'servers'
"""The store's word for targets."""

DRAINED_KIND = 'evacuations'
"""The store's word for orders to drain a zone; an entry's name is the zone,
and the order holds for as long as the entry is there."""

DRAINING = 'draining'
_STATES = ('ready', DRAINING)

MAX_TEXT = 250
"""Longest name, service or zone; the platform's have 3 to 30 characters."""

MAX_QUOTED = 80
MAX_SLOTS = 100_000
"""Far above any target; a count beyond it would draw all flows."""

MAX_WARMUP_MS = 600_000
"""Ten minutes; targets are slow for seconds after their start."""

MAX_PER_S = 1_000_000
"""Far above the flows of any target; what is more is a mistake."""

MAX_WEIGHT = 1_000_000
"""Largest weight of a service within a split."""

MAX_PRIORITY = 1000
MAX_TIMEOUT_MS = 86_400_000
"""A day; callers give a request up after seconds."""

_REPEATABLE = {'idempotent': True, 'download': True, 'non_idempotent': False}
"""Whether a request of a type may run twice."""

MAX_BORN_MS = 1 << 53
MAX_REVISION = 1 << 53
"""Largest whole numbers that every JSON writer keeps exact."""

_HEX = frozenset(string.hexdigits)
_MALFORMED = (LookupError, TypeError, ValueError, AttributeError)
_IDENTITY_BITS = 64


def load_routes(spec):
    """Load the routes of a configuration.

    :returns: tuple (list of :class:`Route`, list of :class:`CodedError`);
        None instead of the first list if the configuration has no readable
        list of routes.
    """
    try:
        items = read_list(spec, 'routes')
    except _MALFORMED as exc:
        place = f'{CONFIG_KIND}/{CONFIG_NAME} routes'
        return None, [CodedError(Code.CFG_BAD_VALUE, str(exc), place)]
    routes = []
    errors = []
    for position, item in enumerate(items):
        place = f'{CONFIG_KIND}/{CONFIG_NAME} routes.{position}'
        try:
            policy, policy_errors = load_policy(item, place)
            routes.append(_load_route(item, policy))
        except _MALFORMED as exc:
            errors.append(CodedError(Code.CFG_BAD_VALUE, repr(exc), place))
            continue
        errors.extend(policy_errors)
    return routes, errors


def load_policy(item, place):
    """Load what a route says of the requests inside.

    A field that is missing or cannot be read takes its default: the route
    serves its callers all the same.

    :param place: where the route stands, for errors.
    :returns: tuple (:class:`RequestPolicy`, list of :class:`CodedError`);
        an error names its field, and a missing field is none.
    """
    found = {}
    errors = []
    for field, (name, read) in _POLICY_FIELDS.items():
        if field not in item:
            continue
        try:
            found[name] = read(item[field])
        except _MALFORMED as exc:
            where = f'{place}.{field}'
            errors.append(CodedError(Code.CFG_BAD_VALUE, repr(exc), where))
    return RequestPolicy(**found), errors


def _load_route(item, policy):
    # The wire's `host` and `path_prefix` are an address and a port here.
    split = item.get('split') or [{'service': item['service'], 'weight': 1}]
    shares = [
        (
            _read_field(share, 'service', check_text),
            _read_field(share, 'weight', _read_weight),
        )
        for share in split
    ]
    weighted_services = tuple(share for share in shares if share[1] > 0)
    if not weighted_services:
        # Choosing among none would end the packet actor, on all instances
        # at the same moment.
        raise ValueError('no service has a weight')
    return Route(
        name=_read_field(item, 'name', check_text),
        address=_read_field(item, 'host', parse_ip),
        port=_read_field(item, 'path_prefix', _read_prefix),
        weighted_services=weighted_services,
        policy=policy,
    )


def _read_field(item, field, read):
    """Read one field of a route; an error names the field."""
    try:
        return read(item[field])
    except _MALFORMED as exc:
        raise ValueError(f'{field}: {exc}') from exc


def _read_prefix(found):
    return int(found.strip('/'))


def _read_weight(found):
    return check_number(found, MAX_WEIGHT)


def read_list(spec, field):
    """Return the list in a field of a configuration; without one, no items.

    :raises ValueError: if the field holds something else.
    """
    found = spec.get(field)
    if found is None:
        return []
    if not isinstance(found, list):
        raise ValueError(f'{_shorten(found)} is no list')
    return found


def load_version(spec):
    """Load the operator's number of a configuration.

    :returns: tuple (number, list of :class:`CodedError`).  One that cannot
        be read counts as 0, so that it replaces none that is known.
    """
    try:
        return check_count(spec['version'], MAX_REVISION), []
    except _MALFORMED as exc:
        place = f'{CONFIG_KIND}/{CONFIG_NAME} version'
        return 0, [CodedError(Code.CFG_BAD_VALUE, repr(exc), place)]


def load_warmups(spec):
    """Load how the services' targets warm up.

    :returns: tuple (dict service -> :class:`Warmup`, list of
        :class:`CodedError`).  A service that tells nothing readable is left
        out; its targets are then cold for as long as they say themselves.
    """
    try:
        items = read_list(spec, 'services')
    except _MALFORMED as exc:
        place = f'{CONFIG_KIND}/{CONFIG_NAME} services'
        return {}, [CodedError(Code.CFG_BAD_VALUE, str(exc), place)]
    warmups = {}
    errors = []
    for position, item in enumerate(items):
        try:
            warmups[check_text(item['name'])] = Warmup(
                check_number(item.get('warmup_s', 0), MAX_WARMUP_MS / 1000),
                check_number(item.get('warmup_per_s', 0), MAX_PER_S),
            )
        except _MALFORMED as exc:
            place = f'{CONFIG_KIND}/{CONFIG_NAME} services.{position}'
            errors.append(CodedError(Code.CFG_BAD_VALUE, repr(exc), place))
    return warmups, errors


def load_drained_zones(items):
    """Load the orders to drain zones.

    An entry holds whatever it says, and also while it is being deleted: the
    operator takes an order back by removing it.

    :param items: objects of the kind of these orders.
    :returns: tuple (frozenset of zones, list of :class:`CodedError`).
    """
    zones = set()
    errors = []
    for item in items:
        try:
            zones.add(check_text(item['meta']['name']))
        except _MALFORMED as exc:
            place = f'{DRAINED_KIND}/?'
            errors.append(CodedError(Code.CFG_BAD_VALUE, repr(exc), place))
    return frozenset(zones), errors


class Registration(Struct, frozen=True):
    """One entry of the kind of targets, as far as it can be read.

    :param target: :class:`Target`, None if the entry names none.
    :param revision: the store's revision of the entry.
    """

    name: str
    target: object
    revision: int


def load_registration(item, now):
    """Load one registration, by whomever it was written.

    An entry of another writer may lack fields, or hold other types or words
    than a target writes.  Taken at its word it would draw flows to an
    address that nobody serves; refused with an exception it would hide all
    other targets, on all instances at the same moment.

    :param item: object of the kind of targets.
    :param now: process clock, seconds; what is left of the warm-up counts
        from here.
    :returns: tuple (:class:`Registration`, list of :class:`CodedError`);
        None instead of a registration if not even the name can be read.
    """
    try:
        name = check_text(item['meta']['name'])
        revision = check_count(item['meta']['revision'], MAX_REVISION)
    except _MALFORMED as exc:
        return None, [_make_entry_error('?', exc)]
    try:
        target = _load_target(name, item['spec'], now)
    except _MALFORMED as exc:
        found = Registration(name, None, revision)
        return found, [_make_entry_error(name, exc)]
    return Registration(name, target, revision), []


def _make_entry_error(name, exc):
    place = f'{TARGETS_KIND}/{name}'
    return CodedError(Code.CFG_BAD_VALUE, repr(exc), place)


def _load_target(name, spec, now):
    host, _, port = check_text(spec['address']).rpartition(':')
    parse_ip(host)
    identity = parse_identity(name)
    warmup_ms = check_number(spec['warmup_left_ms'], MAX_WARMUP_MS)
    return Target(
        name=name,
        identity=identity,
        cookie=make_cookie(identity),
        service=check_text(spec['service']),
        address=(host, parse_port(port)),
        zone=check_text(spec['zone']),
        slots=check_count(spec['max_concurrent'], MAX_SLOTS) or 1,
        draining=check_state(spec['state']) == DRAINING,
        cold_until=now + warmup_ms / 1000,
        born=check_count(spec.get('born', 0), MAX_BORN_MS),
    )


def check_text(found):
    """Return a text of usual length.

    :raises ValueError: if it is none.
    """
    if not isinstance(found, str) or not 0 < len(found) <= MAX_TEXT:
        raise ValueError(f'{_shorten(found)} is no text')
    return found


def check_count(found, most):
    """Return a whole number from 0 to ``most``.

    :raises ValueError: if it is none; truth values are none either.
    """
    if not isinstance(found, int):
        raise ValueError(f'{_shorten(found)} is no whole number')
    return check_number(found, most)


def check_number(found, most):
    """Return a number from 0 to ``most``.

    :raises ValueError: if it is none; truth values are none either.
    """
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise ValueError(f'{_shorten(found)} is no number')
    if not 0 <= found <= most:
        raise ValueError(f'{_shorten(found)} is not within 0 and {most}')
    return found


def check_type(found):
    """Return whether requests of a type may run twice.

    :raises ValueError: for a type that the platform does not name.
    """
    if not isinstance(found, str) or found not in _REPEATABLE:
        raise ValueError(f'{_shorten(found)} is no type of requests')
    return _REPEATABLE[found]


def check_state(found):
    """Return a state that the platform names.

    :raises ValueError: for any other.
    """
    if found not in _STATES:
        raise ValueError(f'{_shorten(found)} is no state')
    return found


def parse_port(text):
    """Read a port from decimal digits.

    :raises ValueError: if it is none.
    """
    if not text.isascii() or not text.isdigit() or len(text) > 5:
        raise ValueError(f'{_shorten(text)} is no port')
    if not 0 < int(text) < 65536:
        raise ValueError(f'{text} is no port')
    return int(text)


def _shorten(found):
    """Quote an unexpected value without filling the log with it."""
    if isinstance(found, (dict, list)):
        # Quoting descends into nested values, beyond the recursion limit.
        return f'a {type(found).__name__}'
    return repr(found)[:MAX_QUOTED]


def parse_identity(name):
    """Read the hex digits of a target's name as a number.

    :raises ValueError: if there are none; number 0 would address any
        target, and the guard against reused addresses would be gone.
    """
    digits = ''.join(char for char in name if char in _HEX)
    if not digits:
        raise ValueError('no hex digits')
    identity = int(digits, 16) % (1 << _IDENTITY_BITS)
    if not identity:
        raise ValueError('identity 0')
    return identity


def _read_priority(found):
    return check_count(found, MAX_PRIORITY)


def _read_seconds(found):
    return check_number(found, MAX_TIMEOUT_MS) / 1000


_POLICY_FIELDS = {
    'priority': ('priority', _read_priority),
    'latency_goal_ms': ('latency_goal_s', _read_seconds),
    'timeout_ms': ('timeout_s', _read_seconds),
    'type': ('repeatable', check_type),
}
"""Field of a route: name in :class:`RequestPolicy`, and how it is read."""
