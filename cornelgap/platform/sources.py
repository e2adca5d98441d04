"""What the store holds, as messages for the directory."""

import logging

from cornelgap.forwarding.facts import (
    RoutesKnown,
    TargetsChanged,
    TargetsListed,
    read_clock,
)
from cornelgap.platform import objects
from cornelgap.platform.store import StoreClient

ANSWER_S = 0.5
"""An answer that brings changes was given at most so long before it came:
the slowest store that was seen answers in 0.25 s."""

_LOG = logging.getLogger('cornelgap.follower')


class _Source:
    """Follows one kind of objects.

    :param client: :class:`StoreClient` of its own.
    """

    kind = ''

    def __init__(self, client):
        """Know no revision yet."""
        self._client = client
        self._revision = 0

    @classmethod
    def from_settings(cls, settings):
        """Make a source with a connection of its own."""
        return cls(StoreClient.from_settings(settings))

    def list_facts(self):
        """List all objects."""
        sent = read_clock()
        listing = self._client.list_objects(self.kind)
        self._revision = listing.revision
        return self._read_listing(listing, sent)

    def watch_facts(self, wait_s):
        """Wait for changes."""
        sent = read_clock()
        found = self._client.watch_objects(self.kind, self._revision, wait_s)
        self._revision = max(found.revision, self._revision)
        if found.events:
            as_of = max(sent, read_clock() - ANSWER_S)
        else:
            # The store has waited the whole time before it said "nothing".
            as_of = min(sent + wait_s, read_clock())
        return self._read_events(found, as_of)

    def close(self):
        """Close the connection."""
        self._client.close()

    def _read_listing(self, listing, as_of):
        raise NotImplementedError

    def _read_events(self, found, as_of):
        raise NotImplementedError


class RoutesSource(_Source):
    """The configuration that the operator wrote last."""

    kind = objects.CONFIG_KIND

    def _read_listing(self, listing, as_of):
        return _read_routes(listing.objects, as_of)

    def _read_events(self, found, as_of):
        present = [item for item, deleted in found.events if not deleted]
        return _read_routes(present, as_of)


class TargetsSource(_Source):
    """The targets that have registered."""

    kind = objects.TARGETS_KIND

    def _read_listing(self, listing, as_of):
        targets = {}
        for item in listing.objects:
            target = _read_target(item)
            if target is not None:
                revision = item['meta']['revision']
                targets[target.name] = (target, revision)
        return TargetsListed(targets, listing.revision, as_of)

    def _read_events(self, found, as_of):
        changes = []
        for item, deleted in found.events:
            target = None if deleted else _read_target(item)
            if deleted or target is not None:
                meta = item['meta']
                changes.append((meta['name'], target, meta['revision']))
        return TargetsChanged(tuple(changes), found.revision, as_of)


def _read_routes(found, as_of):
    main = [
        item for item in found if item['meta']['name'] == objects.CONFIG_NAME
    ]
    if not main:
        return RoutesKnown(None, 0, as_of)
    newest = max(main, key=lambda item: item['meta']['revision'])
    routes, errors = objects.load_routes(newest['spec'])
    _log_errors(errors)
    return RoutesKnown(routes, newest['meta']['revision'], as_of)


def _read_target(item):
    target, errors = objects.load_target(item, read_clock())
    _log_errors(errors)
    return target


def _log_errors(errors):
    for exc in errors:
        _LOG.warning(
            'follower: entry left out',
            extra={'code': str(exc.code), 'place': exc.place, 'why': exc.text},
        )
