"""Messages between instances: beats (heartbeats) and snapshots.

A beat is a datagram.  It carries the identity of its sender, the age of the
sender's facts, the latest changes and the number of flows on each target.  A
snapshot carries all facts, over TCP.  Both begin with a version and a keyed
hash.  Receivers ignore unknown fields, so that instances of different versions
can run side by side during an upgrade.
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
MAX_BEAT_BYTES = 60000
"""Largest datagram that is read; leaves room for headers."""

COMPRESS_ABOVE_BYTES = 1200
"""Size above which the body of a beat is compressed, so that it fits into
fewer network packets.  Uncompressed, the loads of thousands of targets do not
fit into any datagram."""

COMPRESSED_MARK = b'\x78'
"""First byte of a compressed body; a body in plain JSON starts with a brace."""

MAX_BODY_BYTES = 1024 * 1024
"""Largest body of a beat after decompression, ten times the size for 4,600
targets.  A larger one would take memory that is needed for callers' packets."""

MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
"""Largest snapshot after decompression, far above one of 4,600 targets."""


class Beat(Struct):
    """A heartbeat with the sender's state and the latest changes.

    :param boot: random number of the process's lifetime.
    :param capacity: capacity of the sender's link, as in
        :class:`~cornelgap.forwarding.neighbours.Member`.
    :param hello: whether the receiver is to answer with a beat at once.
    :param hub: whether the sender is a hub of its zone.
    :param following: whether it follows the store.
    :param leaving: whether it is about to end.
    :param handshake_cookies: whether it understands
        :mod:`~cornelgap.forwarding.handshake_cookies`; earlier versions do
        not.
    :param plain_cookies: whether the sender, a hub, has heard an instance of
        its zone that does not understand them.
    :param routes_version: the operator's version number of its configuration.
    :param routes_era: the store's era in which the configuration was written.
    :param routes_revision: the store's revision of the configuration.
    :param routes_age: seconds since the configuration was known to be the
        newest; None if the sender has none.
    :param targets_era: the store's era of ``targets_revision``.
    :param targets_revision: store revision as of which it knows all targets.
    :param targets_changed: store revision of the last change of a target.
    :param targets_age: seconds since its targets were known to be up to date;
        None if it knows none.
    :param drained_zones: names of the zones that operators have drained.
    :param drained_era: the store's era of ``drained_revision``.
    :param drained_revision: store revision as of which ``drained_zones`` is
        complete; 0 if the sender does not state it.
    :param since: store revision that ``changes`` follow on.
    :param changes: changes of targets, as :func:`encode_change` writes them.
    :param loads: flows through the sender, by cookie.
    :param zone_loads: within a zone, flows by cookie through all instances of
        all zones; to another zone, those through the sender's zone.
    :param repeats: lists [cookie, flow number, 1 if repeated before] of
        packets that callers repeated on open flows.
    :param copies: the same for repeated packets that open a flow.
    :param answers: cookies of targets that answer in spite of repeats, or whose
        zone is reachable again.
    :param answer_ages: ages of these answers in milliseconds.
    :param outcomes: results of requests through the sender since its last
        beat, by cookie.
    :param zone_outcomes: the same through all instances of the zone.
    :param openings: flow openings at the sender within the last second, sent
        while zones are unreachable: [placed, unserved, served], as in
        :class:`~cornelgap.decisions.withdrawal.OpeningReport`.
    :param withdrawal: whether the zone is withdrawn: [0 or 1, ages in
        milliseconds of the last change and of the last confirmation].
    :param beyond: names of the unreachable zones that ``openings`` or
        ``withdrawal`` refers to.
    :param owners: reports of the targets that hold open flows: rows of a
        flow's key, the target's cookie and the sequence number of the SYN, as
        in :class:`~cornelgap.forwarding.flow_owners.Owner`.
    :param owner_queries: keys of flows whose owners the sender asks for.
    :param members: lists [name, zone, host, capacity] of instances whose
        beats came lately.
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
    handshake_cookies: bool = False
    plain_cookies: bool = False
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
    owners: list = field(default_factory=list)
    owner_queries: list = field(default_factory=list)
    members: list = field(default_factory=list)

    @property
    def routes_stamp(self):
        """Stamp of the sender's configuration."""
        return ConfigStamp(
            self.routes_version, self.routes_era, self.routes_revision
        )

    @property
    def targets_stamp(self):
        """Stamp as of which the sender knows all targets."""
        return Stamp(self.targets_era, self.targets_revision)

    @property
    def drained_stamp(self):
        """Stamp as of which the sender knows all drained zones."""
        return Stamp(self.drained_era, self.drained_revision)


_FIELD_NAMES = tuple(item.name for item in fields(Beat))
_FIELD_NAME_SET = frozenset(_FIELD_NAMES)
_OMITTED_VALUES = (None, [], {})
"""Values that are left out of an encoded beat, since the defaults stand for
them."""

_CONVERSION_ERRORS = (AttributeError, ArithmeticError, TypeError, ValueError)
_DECODE_ERRORS = (
    zlib.error,
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)
IDENTITY_LIMIT = 2**64
PORT_LIMIT = 2**16
"""Exclusive upper limits of what a datagram for a target can name."""

STANDING_LIMIT = 2**32
"""Exclusive upper limit of the numbers in ``openings`` and ``withdrawal``,
counts and milliseconds.  They must not be negative either: a decision with a
negative age would never expire."""

_INTEGER_FIELDS = (
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
    """Encode a beat, authenticated with a key of 16 to 64 bytes."""
    content = {
        name: getattr(beat, name)
        for name in _FIELD_NAMES
        if getattr(beat, name) not in _OMITTED_VALUES
    }
    # The only structs in a beat are outcomes; they become lists of counts.
    body = json.dumps(content, separators=(',', ':'), default=astuple).encode()
    if len(body) > COMPRESS_ABOVE_BYTES:
        body = zlib.compress(body, 1)
    return sign_message(body, key)


def decode_beat(raw, key):
    """Decode and verify a beat.

    :raises CodedError: ``NET-002`` if the keyed hash does not match,
        ``PKT-002`` for another version, ``PKT-007`` for a malformed field.
    """
    content = _parse_json(_decompress(verify_message(raw, key)))
    known = {name: content[name] for name in _FIELD_NAME_SET & content.keys()}
    try:
        beat = Beat(**known)
    except TypeError as exc:
        raise CodedError(Code.PKT_FIELD, str(exc), 'beat') from exc
    _check_types(beat)
    for name in ('loads', 'zone_loads'):
        setattr(beat, name, _read_loads(getattr(beat, name), name))
    for name in ('outcomes', 'zone_outcomes'):
        setattr(beat, name, _read_outcomes(getattr(beat, name), name))
    return beat


def sign_message(body, key):
    """Prefix a body with the version and a keyed hash of both."""
    head = bytes([VERSION])
    return head + _compute_tag(head + body, key) + body


def verify_message(raw, key):
    """Check and remove the prefix that :func:`sign_message` has added.

    :param key: None to check the version only, for bytes received over a
        connection to an address from the settings.
    :raises CodedError: ``PKT-002`` for another version, ``NET-002`` if the
        keyed hash does not match.
    """
    if not raw or raw[0] != VERSION:
        raise CodedError(Code.PKT_VERSION, 'unsupported version', 'peer')
    body = raw[1 + TAG_BYTES :]
    tag = raw[1 : 1 + TAG_BYTES]
    if key is not None:
        verify_tag(tag, _compute_tag(raw[:1] + body, key))
    return body


def verify_tag(received, expected):
    """Compare a received keyed hash with the expected one.

    Any host on the network can send to this port.  If unauthenticated
    messages were accepted, any sender could redirect flows at will.

    :raises CodedError: ``NET-002`` if they differ.
    """
    if not hmac.compare_digest(received, expected):
        raise CodedError(
            Code.NET_FORGED, 'the keyed hash does not match', 'peer'
        )


def encode_change(name, target, revision, now):
    """Convert a change of a target to a list of plain values.

    :param target: :class:`Target`, None if it has gone, or ``UNREADABLE``.
    """
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


def decode_change(item, now):
    """Convert the output of :func:`encode_change` back.

    :returns: tuple (name, :class:`Target`, None or ``UNREADABLE``, revision).
    :raises CodedError: ``PKT-007`` if it is malformed.
    """
    try:
        return _decode_change(item, now)
    except (TypeError, ValueError, IndexError) as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), 'change') from exc


def encode_snapshot(directory, now, key, **standing):
    """Encode all facts of a directory, for an instance that lacks some.

    :param standing: ``zone``, ``withdrawal`` and ``beyond`` as in
        :class:`Beat`; empty or left out if nothing is known of them.
    """
    content = {
        'routes_version': directory.routes_stamp.version,
        'routes_era': directory.routes_stamp.era,
        'routes_revision': directory.routes_stamp.revision,
        'routes_age': now - directory.routes_as_of,
        'routes': [
            [route.name, route.address, route.port, route.weighted_services]
            for route in directory.list_routes()
        ],
        # Not part of the routes: earlier versions expect four values of each.
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
            encode_change(name, target, revision, now)
            for name, (target, revision) in directory.list_targets().items()
        ],
        **standing,
    }
    return sign_message(zlib.compress(json.dumps(content).encode(), 1), key)


class Snapshot(Struct, frozen=True):
    """All facts of another instance; ages in seconds.

    :param targets: tuples (target, revision) by name.
    :param warmups: :class:`Warmup` by service; None if the sender, of an
        earlier version, does not state them.
    :param zone: the sender's zone; ``withdrawal`` and ``beyond`` concern it,
        as in :class:`Beat`.
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


def decode_snapshot(raw, now, key):
    """Decode the output of :func:`encode_snapshot`.

    :param key: as for :func:`verify_message`.
    :raises CodedError: as :func:`decode_beat` does.
    """
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(verify_message(raw, key), MAX_SNAPSHOT_BYTES)
        content = _parse_json(body)
        changes = [decode_change(item, now) for item in content['targets']]
        return Snapshot(
            ConfigStamp(
                int(content.get('routes_version', 0)),
                int(content.get('routes_era', 0)),
                int(content['routes_revision']),
            ),
            float(content['routes_age']),
            _load_routes(content),
            _load_stamp(content, 'targets'),
            int(content['targets_changed']),
            float(content['targets_age']),
            {name: _check_target(*found) for name, *found in changes},
            _load_warmups(content.get('warmups')),
            frozenset(map(str, content.get('drained_zones', ()))),
            _load_stamp(content, 'drained'),
            str(content.get('zone', '')),
            _load_withdrawal(content),
            tuple(map(str, content.get('beyond', ()))),
        )
    except _DECODE_ERRORS as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), 'snapshot') from exc


def _decode_change(item, now):
    name, revision = str(item[0]), int(item[1])
    if len(item) == 2:
        return name, None, revision
    if len(item) == 3:
        return name, UNREADABLE, revision
    # Earlier versions do not send the start of a target.
    born = item[10] if len(item) > 10 else 0
    identity, service, host, port, zone, slots, draining, cold_s = item[2:10]
    if not 0 < int(identity) < IDENTITY_LIMIT or not 0 < int(port) < PORT_LIMIT:
        raise ValueError((identity, port))
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
    # Earlier versions do not send an era.
    return Stamp(
        int(content.get(f'{kind}_era', 0)),
        int(content.get(f'{kind}_revision', 0)),
    )


def _load_withdrawal(content):
    row = tuple(map(int, content.get('withdrawal', ())))
    if row and not _is_in_standing_range(row):
        raise ValueError(row)
    return row


def _load_routes(content):
    # Earlier versions do not send policies.
    policies = chain(content.get('policies', ()), repeat(()))
    return [
        Route(
            str(name),
            int(address),
            int(port),
            _load_shares(shares),
            _load_policy(*policy),
        )
        for (name, address, port, shares), policy in zip(
            content['routes'], policies, strict=False
        )
    ]


def _check_target(target, revision):
    if not isinstance(target, Target):
        raise TypeError('a snapshot lists whole targets only')
    return target, revision


def _load_shares(shares):
    # Weights stay as they are: as floating-point numbers they would choose
    # another service for a flow than on instances that have read the store.
    for service, weight in shares:
        if not isinstance(service, str) or not 0 < weight < float('inf'):
            raise ValueError((service, weight))
    if not shares:
        raise ValueError('a route needs a service')
    return tuple(map(tuple, shares))


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


def _decompress(body):
    if not body.startswith(COMPRESSED_MARK):
        return body
    try:
        return zlib.decompressobj().decompress(body, MAX_BODY_BYTES)
    except zlib.error as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), 'body') from exc


def _parse_json(body):
    try:
        content = json.loads(body)
    except (RecursionError, ValueError) as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), 'body') from exc
    if not isinstance(content, dict):
        raise CodedError(Code.PKT_FIELD, 'not a JSON object', 'body')
    return content


def _check_types(beat):
    texts = all(
        isinstance(text, str) for text in (beat.name, beat.zone, beat.host)
    )
    numbers = all(
        isinstance(getattr(beat, name), int) for name in _INTEGER_FIELDS
    )
    ages = all(
        age is None or (isinstance(age, (int, float)) and age >= 0)
        for age in (beat.routes_age, beat.targets_age)
    )
    lists = (
        isinstance(beat.changes, list)
        and _is_list_of_strings(beat.drained_zones)
        and _is_member_list(beat.members)
        and _has_valid_evidence(beat)
        and _has_valid_standing(beat)
        and _is_list_of_rows(beat.owners, 6)
        and _is_list_of_rows(beat.owner_queries, 4)
    )
    if not (texts and numbers and ages and lists):
        raise CodedError(
            Code.PKT_FIELD, 'a field has a wrong type or value', 'beat'
        )


def _is_list_of_strings(value):
    return isinstance(value, list) and all(
        isinstance(text, str) for text in value
    )


def _is_member_list(members):
    return isinstance(members, list) and all(
        isinstance(item, list)
        and len(item) == 4
        and _is_list_of_strings(item[:3])
        and isinstance(item[3], int)
        for item in members
    )


def _has_valid_evidence(beat):
    return (
        _is_list_of_rows(beat.repeats, 3)
        and _is_list_of_rows(beat.copies, 3)
        and _is_list_of_integers(beat.answers)
        and _is_list_of_integers(beat.answer_ages)
    )


def _has_valid_standing(beat):
    rows = (beat.openings, beat.withdrawal)
    return _is_list_of_strings(beat.beyond) and all(
        row == [] or (_is_list_of_rows([row], 3) and _is_in_standing_range(row))
        for row in rows
    )


def _is_in_standing_range(row):
    return len(row) == 3 and all(0 <= number < STANDING_LIMIT for number in row)


def _is_list_of_integers(value):
    return isinstance(value, list) and all(
        isinstance(number, int) for number in value
    )


def _is_list_of_rows(rows, length):
    """Say whether this is a list of lists of ``length`` integers."""
    return isinstance(rows, list) and all(
        _is_list_of_integers(row) and len(row) == length for row in rows
    )


def _read_loads(loads, name):
    if loads is None:
        return None
    try:
        return {int(cookie): int(flows) for cookie, flows in loads.items()}
    except _CONVERSION_ERRORS as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), name) from exc


def _read_outcomes(outcomes, name):
    try:
        return {
            int(cookie): Outcomes(*map(int, counts))
            for cookie, counts in outcomes.items()
        }
    except _CONVERSION_ERRORS as exc:
        raise CodedError(Code.PKT_FIELD, repr(exc), name) from exc


def _compute_tag(body, key):
    return blake2b(body, digest_size=TAG_BYTES, key=key).digest()
