"""The platform's objects as the product's types.

Loaders return (value, errors) and go on past the first error: one bad
entry must not hide all others.
"""

import string

from cornelgap.core.errors import Code, CodedError
from cornelgap.forwarding.directory import Route, Target, make_cookie
from cornelgap.platform.layout import parse_ip

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
TARGETS_KIND = 'servers'
"""The store's word for targets."""

DRAINING = 'draining'
_HEX = frozenset(string.hexdigits)
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)
_IDENTITY_BITS = 64


def load_routes(spec):
    """Load the routes of a configuration.

    :returns: tuple (list of :class:`Route`, list of :class:`CodedError`).
    """
    routes = []
    errors = []
    for position, item in enumerate(spec.get('routes') or ()):
        try:
            routes.append(_load_route(item))
        except _MALFORMED as exc:
            place = f'{CONFIG_KIND}/{CONFIG_NAME} routes.{position}'
            errors.append(CodedError(Code.CFG_BAD_VALUE, repr(exc), place))
    return routes, errors


def _load_route(item):
    # The wire's `host` and `path_prefix` are an address and a port here.
    split = item.get('split') or [{'service': item['service'], 'weight': 1}]
    shares = tuple(
        (share['service'], share['weight'])
        for share in split
        if share['weight'] > 0
    )
    if not shares:
        # Choosing among none would end the packet actor, on all instances
        # at the same moment.
        raise ValueError('no service has a weight')
    return Route(
        name=item['name'],
        address=parse_ip(item['host']),
        port=int(item['path_prefix'].strip('/')),
        shares=shares,
    )


def load_target(item, now):
    """Load one registration.

    :param item: object of the kind of targets.
    :param now: process clock, seconds; what is left of the warm-up counts
        from here.
    :returns: tuple (:class:`Target` or None, list of :class:`CodedError`).
    """
    name = item['meta']['name']
    try:
        return _load_target(name, item['spec'], now), []
    except _MALFORMED as exc:
        place = f'{TARGETS_KIND}/{name}'
        return None, [CodedError(Code.CFG_BAD_VALUE, repr(exc), place)]


def _load_target(name, spec, now):
    host, _, port = spec['address'].rpartition(':')
    parse_ip(host)
    identity = parse_identity(name)
    return Target(
        name=name,
        identity=identity,
        cookie=make_cookie(identity),
        service=spec['service'],
        address=(host, int(port)),
        zone=spec['zone'],
        slots=spec.get('max_concurrent') or 1,
        draining=spec.get('state') == DRAINING,
        cold_until=now + (spec.get('warmup_left_ms') or 0) / 1000,
    )


def parse_identity(name):
    """Read the hex digits of a target's name as a number.

    :raises ValueError: if there are none; number 0 would address any
        target, and the guard against reused addresses would be gone.
    """
    digits = ''.join(char for char in name if char in _HEX)
    identity = int(digits, 16) % (1 << _IDENTITY_BITS)
    if not identity:
        raise ValueError('identity 0')
    return identity
