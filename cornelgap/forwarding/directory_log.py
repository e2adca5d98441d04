"""Log lines about changes of the directory and where they came from."""

import logging

from cornelgap.forwarding.directory_view import UNREADABLE

_LOG = logging.getLogger('cornelgap.directory')


def log_routes(directory, origin, now):
    """Log that a configuration was adopted.

    :param origin: source of the configuration: ``store``, or the host of
        another instance.
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


def log_drained_zones(directory, origin):
    """Log that the set of drained zones has changed."""
    _LOG.info(
        'directory: drained zones changed',
        extra={
            'from': origin,
            'era': directory.drained_stamp.era,
            'revision': directory.drained_stamp.revision,
            'zones': sorted(directory.list_drained_zones()),
        },
    )


def log_targets(directory, origin):
    """Log that a complete list of targets was adopted."""
    _LOG.info(
        'directory: targets listed',
        extra={
            'from': origin,
            'era': directory.targets_stamp.era,
            'revision': directory.targets_stamp.revision,
            'targets': len(directory.list_targets()),
        },
    )


def log_target_changes(changes, origin):
    """Log each of some changes of targets.

    :param changes: tuples (name, target or None, revision of its entry);
        None means that the entry was removed.
    """
    for name, target, revision in changes:
        _LOG.info(
            'directory: target changed',
            extra={
                'from': origin,
                'target': name,
                'state': _get_state_label(target),
                'revision': revision,
            },
        )


def log_refused_update(kind, origin, stamp, known, target=''):
    """Log that a fact was refused because a newer one is known.

    :param kind: ``routes``, ``targets`` or ``drained_zones``.
    :param stamp: the refused fact's position in the store's history.
    :param known: position of the known fact.
    :param target: name of the target, if the fact is about a single one.
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


def _get_state_label(target):
    if target is None:
        return 'gone'
    if target is UNREADABLE:
        return 'unreadable'
    return 'draining' if target.draining else 'ready'
