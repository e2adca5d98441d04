"""What instances tell each other, and its form on the wire.

One kind of datagram, the beat: who is there, how fresh its facts are, what
has just changed, and how many flows it has seen on each target.  A beat
begins with a version and a keyed hash.  A receiver ignores fields that it
does not know, so that versions can run side by side during an upgrade.
"""

import hmac
import json
import zlib
from hashlib import blake2b
from itertools import chain, repeat

from msgspec import Struct, field
from msgspec.structs import astuple, fields

from cornelgap.core.errors import Code, CodedError
from cornelgap.decisions.target_outliers import Outcomes
from cornelgap.forwarding.directory_view import (
    UNREADABLE,
    RequestPolicy,
    Route,
    Target,
    Warmup,
    make_cookie,
)
from cornelgap.forwarding.stamps import ConfigStamp, Stamp

VERSION = 1
TAG_BYTES = 16
MAX_BYTES = 60000
"""A datagram's limit, less room for headers."""

PACK_BYTES = 1200
"""Bodies of beats above this are compressed, so that they fit into fewer
network packets; the loads of thousands of targets fit into no datagram
otherwise."""

PACK_MARK = b'\x78'
"""First byte of a compressed body; one in plain JSON begins with a brace."""

UNPACKED_BYTES = 1024 * 1024
"""Longest unpacked body of a beat, ten times that of 4,600 targets.  A
longer one would take memory that callers' packets need."""

PACKED_BYTES = 64 * 1024 * 1024
"""Longest unpacked snapshot, far above one of 4,600 targets."""


class Beat(Struct):
    """A sign of life with news.

    :param boot: random number of the process's lifetime.
    :param capacity: how much the sender's link carries, a power of two.
    :param hello: whether the sender wants a beat back at once.
    :param hub: whether it tells the others of its zone.
    :param following: whether it follows the store.
    :param routes_version: the operator's number of its configuration.
    :param routes_era: the store's era in which that was written.
    :param routes_revision: the store's revision of it.
    :param routes_age: seconds since that was known to be the newest; None
        if it knows none.
    :param targets_era: the store's era as of which it knows all targets.
    :param targets_revision: store revision up to which it knows them.
    :param targets_changed: revision of the last change of a target.
    :param drained_zones: names of the zones that operators drain.
    :param drained_era: the store's era as of which these are all.
    :param drained_revision: store revision as of which these are all; 0 if
        the sender does not tell.
    :param since: with ``changes``: revision that these follow on.
    :param changes: what :func:`dump_change` gives.
    :param loads: flows by cookie that the sender has seen.
    :param zone_loads: within a zone: flows by cookie of all instances
        everywhere; to another zone: those of the sender's zone.
    :param repeats: lists [cookie, flow number, whether again] of callers
        that repeated on open flows.
    :param copies: the same of callers that repeated an opening.
    :param answers: cookies of targets that answer nevertheless.
    :param answer_ages: ages of these answers in milliseconds.
    :param outcomes: how requests through the sender have ended since its
        last beat, by cookie.
    :param zone_outcomes: the same through all instances of the zone.
    :param openings: what the sender has seen in the last second while zones
        are away: [placed, unserved, served], as in
        :class:`~cornelgap.decisions.withdrawal.OpeningReport`.
    :param withdrawal: whether the zone is out of rotation: [0 or 1, ages of
        the last change and of its last confirmation in milliseconds].
    :param beyond: names of the zones beyond a cut, of whichever of both.
    :param members: lists [name, zone, host, capacity] of instances heard
        lately.
    """

    name: str
    zone: str
    host: str
    boot: int
    capacity: int = 0
    hello: bool = False
    hub: bool = False
    following: bool = False
    leaving: bool = False
    routes_version: int = 0
    routes_era: int = 0
    routes_revision: int = 0
    routes_age: float | None = None
    targets_era: int = 0
    targets_revision: int = 0
    targets_changed: int = 0
    targets_age: float | None = None
    drained_zones: list = field(default_factory=list)
    drained_era: int = 0
    drained_revision: int = 0
    since: int = 0
    changes: list = field(default_factory=list)
    loads: dict = field(default_factory=dict)
    zone_loads: dict | None = None
    repeats: list = field(default_factory=list)
    copies: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    answer_ages: list = field(default_factory=list)
    outcomes: dict = field(default_factory=dict)
    zone_outcomes: dict = field(default_factory=dict)
    openings: list = field(default_factory=list)
    withdrawal: list = field(default_factory=list)
    beyond: list = field(default_factory=list)
    members: list = field(default_factory=list)

    @property
    def routes_stamp(self):
        """Place of the sender's configuration in the store's history."""
        return ConfigStamp(
            self.routes_version, self.routes_era, self.routes_revision
        )

    @property
    def targets_stamp(self):
        """Place in the store's history as of which it knows all targets."""
        return Stamp(self.targets_era, self.targets_revision)

    @property
    def drained_stamp(self):
        """Place as of which it knows all zones that are drained."""
        return Stamp(self.drained_era, self.drained_revision)


_ORDER = tuple(item.name for item in fields(Beat))
_KNOWN = frozenset(_ORDER)
_EMPTY = (None, [], {})
"""Values that a beat leaves out, as its defaults say the same."""

_NO_NUMBERS = (AttributeError, ArithmeticError, TypeError, ValueError)
_MALFORMED = (
    zlib.error,
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)
STANDING_LIMIT = 2**32
"""Bound of what is told of a zone's standing, counts and milliseconds.  An
age below zero would keep a verdict from ever lapsing."""

_NUMBERS = (
    'boot',
    'capacity',
    'routes_version',
    'routes_era',
    'routes_revision',
    'targets_era',
    'targets_revision',
    'targets_changed',
    'drained_era',
    'drained_revision',
    'since',
)


def encode_beat(beat, key):
    """Encode a beat under a key of 16 to 64 bytes."""
    content = {
        name: getattr(beat, name)
        for name in _ORDER
        if getattr(beat, name) not in _EMPTY
    }
    # The only structs in a beat are outcomes; they become lists of counts.
    body = json.dumps(content, separators=(',', ':'), default=astuple).encode()
    if len(body) > PACK_BYTES:
        body = zlib.compress(body, 1)
    return seal(body, key)


def decode_beat(raw, key):
    """Decode a beat.

    :raises CodedError: ``NET-002`` if the key does not fit, ``PKT-002`` for
        another version, ``PKT-007`` for a bad field.
    """
    content = _parse(_unpack(unseal(raw, key)))
    known = {name: content[name] for name in _KNOWN & content.keys()}
    try:
        beat = Beat(**known)
    except TypeError as exc:
        raise CodedError(Code.PKT_FIELD, str(exc), 'beat') from exc
    _check(beat)
    for name in ('loads', 'zone_loads'):
        setattr(beat, name, _read_loads(getattr(beat, name), name))
    for name in ('outcomes', 'zone_outcomes'):
        setattr(beat, name, _read_outcomes(getattr(beat, name), name))
    return beat


def seal(body, key):
    """Put version and keyed hash in front of bytes."""
    head = bytes([VERSION])
    return head + _compute_tag(head + body, key) + body


def unseal(raw, key):
    """Check and remove what :func:`seal` has put in front.

    :param key: None to check the version only, for bytes that came over a
        connection to an address which the settings name.
    :raises CodedError: ``PKT-002`` or ``NET-002``.
    """
    if not raw or raw[0] != VERSION:
        raise CodedError(Code.PKT_VERSION, 'another version', 'peer')
    body = raw[1 + TAG_BYTES :]
    tag = raw[1 : 1 + TAG_BYTES]
    if key is not None:
        check_tag(tag, _compute_tag(raw[:1] + body, key))
    return body


def check_tag(found, right):
    """Check a keyed hash.

    Anybody on the network can send to this port; believing a stranger
    would let him send flows where he likes.

    :raises CodedError: ``NET-002``.
    """
    if not hmac.compare_digest(found, right):
        raise CodedError(Code.NET_FORGED, 'the tag does not fit', 'peer')


def dump_change(name, target, revision, now):
    """Write a target, or that it has gone, as a list of plain values."""
    if target is None:
        return [name, revision]
    if target is UNREADABLE:
        return [name, revision, None]
    cold_s = max(0, target.cold_until - now)
    return [
        name,
        revision,
        target.identity,
        target.service,
        target.address[0],
        target.address[1],
        target.zone,
        target.slots,
        int(target.draining),
        round(cold_s, 2),
        target.born,
    ]


def load_change(item, now):
    """Read what :func:`dump_change` has written.

    :returns: tuple (name, :class:`Target`, None or ``UNREADABLE``, revision).
    :raises CodedError: ``PKT-007`` if it is malformed.
    """
    try:
        return _load_change(item, now)
    except (TypeError, ValueError, IndexError) as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), 'change') from exc


def pack_snapshot(directory, now, key, **standing):
    """Write all that a directory knows, for an instance that is behind.

    :param standing: ``zone``, ``withdrawal`` and ``beyond`` as in
        :class:`Beat`; left out where nothing is known of them.
    """
    content = {
        'routes_version': directory.routes_stamp.version,
        'routes_era': directory.routes_stamp.era,
        'routes_revision': directory.routes_stamp.revision,
        'routes_age': now - directory.routes_as_of,
        'routes': [
            [route.name, route.address, route.port, route.shares]
            for route in directory.list_routes()
        ],
        # Beside the routes: an earlier version reads four values of each.
        'policies': [
            astuple(route.policy) for route in directory.list_routes()
        ],
        'warmups': {
            service: [warmup.seconds, warmup.per_s]
            for service, warmup in directory.warmups.items()
        },
        'drained_zones': sorted(directory.drained_zones),
        'drained_era': directory.drained_stamp.era,
        'drained_revision': directory.drained_stamp.revision,
        'targets_era': directory.targets_stamp.era,
        'targets_revision': directory.targets_stamp.revision,
        'targets_changed': directory.targets_changed,
        'targets_age': now - directory.targets_as_of,
        'targets': [
            dump_change(name, target, revision, now)
            for name, (target, revision) in directory.list_targets().items()
        ],
        **standing,
    }
    return seal(zlib.compress(json.dumps(content).encode(), 1), key)


class Snapshot(Struct, frozen=True):
    """All that another instance knows; ages in seconds.

    :param warmups: :class:`Warmup` by service; None if it is not told, as
        by an instance of an earlier version.
    :param zone: the teller's zone; what is told of its withdrawal is as in
        :class:`Beat`.
    """

    routes_stamp: ConfigStamp
    routes_age: float
    routes: list
    targets_stamp: Stamp
    targets_changed: int
    targets_age: float
    targets: dict
    warmups: dict | None = None
    drained_zones: frozenset = frozenset()
    drained_stamp: Stamp = Stamp()
    zone: str = ''
    withdrawal: tuple = ()
    beyond: tuple = ()


def unpack_snapshot(raw, now, key):
    """Read what :func:`pack_snapshot` has written.

    :param key: as for :func:`unseal`.
    :raises CodedError: as :func:`decode_beat` does.
    """
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(unseal(raw, key), PACKED_BYTES)
        content = _parse(body)
        changes = [load_change(item, now) for item in content['targets']]
        return Snapshot(
            ConfigStamp(
                int(content.get('routes_version', 0)),
                int(content.get('routes_era', 0)),
                int(content['routes_revision']),
            ),
            content['routes_age'],
            _load_routes(content),
            _load_stamp(content, 'targets'),
            content['targets_changed'],
            content['targets_age'],
            {name: (target, revision) for name, target, revision in changes},
            _load_warmups(content.get('warmups')),
            frozenset(map(str, content.get('drained_zones', ()))),
            _load_stamp(content, 'drained'),
            str(content.get('zone', '')),
            _load_withdrawal(content),
            tuple(map(str, content.get('beyond', ()))),
        )
    except _MALFORMED as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), 'snapshot') from exc


def _load_change(item, now):
    name, revision = str(item[0]), int(item[1])
    if len(item) == 2:
        return name, None, revision
    if len(item) == 3:
        return name, UNREADABLE, revision
    # An instance of an earlier version does not tell when a target started.
    born = item[10] if len(item) > 10 else 0
    identity, service, host, port, zone, slots, draining, cold_s = item[2:10]
    target = Target(
        name=name,
        identity=int(identity),
        cookie=make_cookie(int(identity)),
        service=str(service),
        address=(str(host), int(port)),
        zone=str(zone),
        slots=int(slots),
        draining=bool(draining),
        cold_until=now + float(cold_s),
        born=int(born),
    )
    return name, target, revision


def _load_stamp(content, kind):
    # An instance of an earlier version tells no era.
    return Stamp(
        int(content.get(f'{kind}_era', 0)),
        int(content.get(f'{kind}_revision', 0)),
    )


def _load_withdrawal(content):
    found = tuple(map(int, content.get('withdrawal', ())))
    if found and not _is_standing_row(found):
        raise ValueError(found)
    return found


def _load_routes(content):
    # An instance of an earlier version tells no policies.
    policies = chain(content.get('policies', ()), repeat(()))
    return [
        Route(
            name,
            address,
            port,
            tuple(map(tuple, shares)),
            _load_policy(*policy),
        )
        for (name, address, port, shares), policy in zip(
            content['routes'], policies, strict=False
        )
    ]


def _load_policy(
    priority=None, latency_goal_s=0, timeout_s=0, repeatable=False, *_later
):
    return RequestPolicy(
        None if priority is None else int(priority),
        float(latency_goal_s),
        float(timeout_s),
        bool(repeatable),
    )


def _load_warmups(content):
    if content is None:
        return None
    return {
        str(service): Warmup(float(seconds), float(per_s))
        for service, (seconds, per_s) in content.items()
    }


def _unpack(body):
    if not body.startswith(PACK_MARK):
        return body
    try:
        return zlib.decompressobj().decompress(body, UNPACKED_BYTES)
    except zlib.error as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), 'body') from exc


def _parse(body):
    try:
        content = json.loads(body)
    except ValueError as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), 'body') from exc
    if not isinstance(content, dict):
        raise CodedError(Code.PKT_FIELD, 'no object', 'body')
    return content


def _check(beat):
    texts = all(
        isinstance(text, str) for text in (beat.name, beat.zone, beat.host)
    )
    numbers = all(isinstance(getattr(beat, name), int) for name in _NUMBERS)
    ages = all(
        age is None or (isinstance(age, (int, float)) and age >= 0)
        for age in (beat.routes_age, beat.targets_age)
    )
    lists = (
        isinstance(beat.changes, list)
        and _are_texts(beat.drained_zones)
        and _are_members(beat.members)
        and _are_evidence(beat)
        and _is_standing(beat)
    )
    if not (texts and numbers and ages and lists):
        raise CodedError(Code.PKT_FIELD, 'a field of another type', 'beat')


def _are_texts(found):
    return isinstance(found, list) and all(
        isinstance(text, str) for text in found
    )


def _are_members(members):
    return isinstance(members, list) and all(
        isinstance(item, list)
        and len(item) == 4
        and _are_texts(item[:3])
        and isinstance(item[3], int)
        for item in members
    )


def _are_evidence(beat):
    return (
        _are_rows(beat.repeats, 3)
        and _are_rows(beat.copies, 3)
        and _are_numbers(beat.answers)
        and _are_numbers(beat.answer_ages)
    )


def _is_standing(beat):
    counts = (beat.openings, beat.withdrawal)
    return _are_texts(beat.beyond) and all(
        found == [] or (_are_rows([found], 3) and _is_standing_row(found))
        for found in counts
    )


def _is_standing_row(found):
    return len(found) == 3 and all(
        0 <= number < STANDING_LIMIT for number in found
    )


def _are_numbers(found):
    return isinstance(found, list) and all(
        isinstance(number, int) for number in found
    )


def _are_rows(rows, length):
    """Say whether something is a list of lists of so many whole numbers."""
    return isinstance(rows, list) and all(
        _are_numbers(row) and len(row) == length for row in rows
    )


def _read_loads(loads, name):
    if loads is None:
        return None
    try:
        return {int(cookie): int(flows) for cookie, flows in loads.items()}
    except _NO_NUMBERS as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), name) from exc


def _read_outcomes(outcomes, name):
    try:
        return {
            int(cookie): Outcomes(*map(int, counts))
            for cookie, counts in outcomes.items()
        }
    except _NO_NUMBERS as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), name) from exc


def _compute_tag(body, key):
    return blake2b(body, digest_size=TAG_BYTES, key=key).digest()
