"""Log lines about what the directory has learnt, and from whom."""

import logging

from cornelgap.forwarding.directory_view import UNREADABLE

_LOG = logging.getLogger('cornelgap.directory')


def log_routes(directory, origin, now):
    """Log that a configuration was adopted.

    :param origin: ``store``, or the host of another instance.
    """
    _LOG.info(
        'directory: routes adopted',
        extra={
            'from': origin,
            'version': directory.routes_stamp.version,
            'era': directory.routes_stamp.era,
            'revision': directory.routes_stamp.revision,
            'routes': len(directory.list_routes()),
            'age_s': round(now - directory.routes_as_of, 3),
        },
    )


def log_drained(directory, origin):
    """Log that other zones than before are drained."""
    _LOG.info(
        'directory: drained zones changed',
        extra={
            'from': origin,
            'era': directory.drained_stamp.era,
            'revision': directory.drained_stamp.revision,
            'zones': sorted(directory.list_drained()),
        },
    )


def log_targets(directory, origin):
    """Log that a list of targets was adopted."""
    _LOG.info(
        'directory: targets listed',
        extra={
            'from': origin,
            'era': directory.targets_stamp.era,
            'revision': directory.targets_stamp.revision,
            'targets': len(directory.list_targets()),
        },
    )


def log_changes(changes, origin):
    """Log single changes of targets.

    :param changes: tuples (name, target or None, revision of its entry).
    """
    for name, target, revision in changes:
        _LOG.info(
            'directory: target changed',
            extra={
                'from': origin,
                'target': name,
                'state': _name_state(target),
                'revision': revision,
            },
        )


def log_refused(kind, origin, stamp, known, target=''):
    """Log that a fact was refused as older than what is known.

    :param kind: ``routes``, ``targets`` or ``drained_zones``.
    :param stamp: place of the fact in the store's history.
    :param known: place of what is known.
    :param target: name of the target, if the fact is about one.
    """
    _LOG.info(
        'directory: fact refused as older',
        extra={
            'kind': kind,
            'from': origin,
            'era': stamp.era,
            'revision': stamp.revision,
            'known_era': known.era,
            'known': known.revision,
            'target': target,
        },
    )


def _name_state(target):
    if target is None:
        return 'gone'
    if target is UNREADABLE:
        return 'unreadable'
    return 'draining' if target.draining else 'ready'
