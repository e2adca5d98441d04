"""Update of the directory with facts from the store and other instances.

Each function applies one message to the directory, logs the changes and
returns whether anything has changed.  The directory actor passes changes on.
"""

from cornelgap.forwarding import directory_log
from cornelgap.forwarding.news import BeatEffect, update_from_beat
from cornelgap.forwarding.stamps import Stamp

STORE = 'store'
"""Origin, in log lines, of facts that this instance has read itself."""


def apply_routes(directory, fact, now):
    """Apply :class:`~cornelgap.forwarding.facts.RoutesKnown`."""
    if fact.routes is None:
        directory.confirm_routes(fact.as_of)
        return False
    changed = directory.adopt_routes(
        fact.routes, fact.stamp, fact.as_of, fact.warmups
    )
    if changed:
        directory_log.log_routes(directory, STORE, now)
    elif fact.stamp < directory.routes_stamp:
        directory_log.log_refused_update(
            'routes', STORE, fact.stamp, directory.routes_stamp
        )
    return changed


def apply_drained_zones(directory, fact, now):
    """Apply :class:`~cornelgap.forwarding.facts.ZonesDrained`."""
    return _adopt_drained(directory, fact.zones, fact.stamp, STORE, now)


def apply_target_list(directory, fact, now):
    """Apply :class:`~cornelgap.forwarding.facts.TargetsListed`."""
    if fact.stamp < directory.targets_stamp:
        directory_log.log_refused_update(
            'targets', STORE, fact.stamp, directory.targets_stamp
        )
    changed = directory.adopt_targets(fact.targets, fact.stamp, fact.as_of, now)
    if changed:
        directory_log.log_targets(directory, STORE)
    return changed


def apply_target_changes(directory, fact, now):
    """Apply :class:`~cornelgap.forwarding.facts.TargetsChanged`."""
    accepted, refused = _split_changes(directory, fact)
    changed = directory.apply_targets(fact.changes, fact.stamp, fact.as_of, now)
    directory_log.log_target_changes(accepted, STORE)
    for name, _, revision in refused:
        stamp = Stamp(fact.stamp.era, revision)
        directory_log.log_refused_update(
            'targets', STORE, stamp, directory.targets_stamp, name
        )
    return changed


def apply_beat(directory, beat, changes, now):
    """Apply what the beat of another instance says of the directory.

    :param changes: the beat's changes of targets, decoded.
    :returns: set of :class:`~cornelgap.forwarding.news.BeatEffect`.
    """
    drained_before = directory.drained_zones
    effects = update_from_beat(directory, beat, changes, now)
    if directory.drained_zones != drained_before:
        directory_log.log_drained_zones(directory, beat.name)
    if BeatEffect.CHANGED in effects:
        directory_log.log_target_changes(changes, beat.name)
    return effects


def apply_snapshot(directory, message, now):
    """Apply :class:`~cornelgap.forwarding.fetcher.SnapshotFetched`."""
    snapshot = message.snapshot
    drained_changed = _adopt_drained(
        directory,
        snapshot.drained_zones,
        snapshot.drained_stamp,
        message.host,
        now,
    )
    routes_changed = directory.adopt_routes(
        snapshot.routes,
        snapshot.routes_stamp,
        message.sent_at - snapshot.routes_age,
        snapshot.warmups,
    )
    if routes_changed:
        directory_log.log_routes(directory, message.host, now)
    targets_changed = directory.adopt_targets(
        snapshot.targets,
        snapshot.targets_stamp,
        message.sent_at - snapshot.targets_age,
        now,
    )
    if targets_changed:
        directory_log.log_targets(directory, message.host)
    return drained_changed or routes_changed or targets_changed


def _adopt_drained(directory, zones, stamp, origin, now):
    if stamp < directory.drained_stamp:
        directory_log.log_refused_update(
            'drained_zones', origin, stamp, directory.drained_stamp
        )
    changed = directory.adopt_drained_zones(zones, stamp, now)
    if changed:
        directory_log.log_drained_zones(directory, origin)
    return changed


def _split_changes(directory, fact):
    """Split changes into new ones and ones older than what is known.

    :returns: tuple of two lists, new changes and refused ones.
    """
    accepted = []
    refused = []
    for change in fact.changes:
        name, _, revision = change
        stamp = Stamp(fact.stamp.era, revision)
        is_old = directory.has_newer_target(name, stamp)
        (refused if is_old else accepted).append(change)
    return accepted, refused
