"""What the store holds, as messages for the directory.

Each call of the store costs, so one watch serves all kinds of facts.  It
waits for changes of targets; its answer also bears the store's revision,
which counts every change of any kind.  If all changes since the last
answer were changes of targets that it has told, nothing else can have
changed; otherwise orders to drain zones and the configuration are read.
"""

import logging

from cornelgap.forwarding.directory_view import UNREADABLE
from cornelgap.forwarding.facts import (
    RoutesKnown,
    TargetsChanged,
    TargetsListed,
    ZonesDrained,
    read_clock,
)
from cornelgap.forwarding.stamps import ConfigStamp, Stamp
from cornelgap.platform import objects
from cornelgap.platform.store import HistoryGone

ANSWER_S = 0.5
"""An answer that brings changes was given at most so long before it came:
the slowest store that was seen answers in 0.25 s."""

MAX_LOGGED = 1000
"""Places and reasons kept in mind, about 0.2 MB at most."""

_LOG = logging.getLogger('cornelgap.follower')


class StoreSource:
    """Follows targets and configuration over one connection.

    :param client: :class:`~cornelgap.platform.store.StoreClient` of its own.
    :param on_restore: function that is called when the store was restored
        from a backup; None to call none.
    """

    def __init__(self, client, on_restore=None):
        """Know no revision yet."""
        self._client = client
        self._on_restore = on_restore
        self._revision = 0
        self._policy_revision = 0
        self._era = 0
        self._logged = set()

    def list_facts(self):
        """List all objects.

        Targets come first: packets of open flows need nothing else, and on
        a slow link a large configuration takes half a second.

        :returns: iterator of messages for the directory, each as soon as it
            is known.
        :raises StoreError: if a call brought no answer.
        """
        sent = read_clock()
        is_first = not self._revision
        listing = self._client.list_objects(objects.TARGETS_KIND)
        self._revision = listing.revision
        self._note_era(listing.era, is_first)
        targets = {}
        for item in listing.objects:
            found = self.read(item)
            if found is not None:
                name, target, revision = found
                targets[name] = (target, revision)
        stamp = Stamp(listing.era, listing.revision)
        yield TargetsListed(targets, stamp, sent)
        yield from self._read_policy(stale=is_first)

    def watch_facts(self, wait_s):
        """Wait for changes.

        :returns: messages for the directory.
        :raises HistoryGone: if the store was restored from a backup.
        :raises StoreError: if a call brought no answer.
        """
        sent = read_clock()
        found = self._client.watch_objects(
            objects.TARGETS_KIND, self._revision, wait_s
        )
        self._check_era(found.era)
        if found.events:
            as_of = max(sent, read_clock() - ANSWER_S)
        else:
            # The store has waited the whole time before it said "nothing".
            as_of = min(sent + wait_s, read_clock())
        changes = self._read_changes(found.events)
        told = {revision for _, _, revision in changes}
        self._revision = max(found.revision, self._revision)
        stamp = Stamp(found.era, found.revision)
        changed = TargetsChanged(changes, stamp, as_of)
        if is_explained(self._policy_revision, found.revision, told):
            self._policy_revision = found.revision
            return [RoutesKnown(None, None, as_of), changed]
        return [*self._read_policy(), changed]

    def close(self):
        """Close the connection."""
        self._client.close()

    def _read_policy(self, stale=False):
        """Read what operators have ordered.

        The drained zones come first: an instance that knows routes and
        targets begins to place flows.  Each start reads them once, so that
        an old answer has to do there; it bears an old revision, and beats of
        other instances or the first watch bring what has come since.
        """
        listing = self._client.list_objects(objects.DRAINED_KIND, stale)
        if stale and listing.revision > self._revision:
            # Of a history that is lost: a replica is never ahead of the store.
            listing = self._client.list_objects(objects.DRAINED_KIND)
        self._check_era(listing.era)
        zones, errors = objects.load_drained_zones(listing.objects)
        self._log_errors(errors)
        revision = listing.revision
        if not revision and not stale:
            # No such order was ever given, up to what was listed before.
            revision = self._revision
        yield ZonesDrained(zones, Stamp(listing.era, revision))
        yield self._read_routes()
        # A zone may have been drained while the routes were read.
        self._policy_revision = revision

    def _read_routes(self):
        sent = read_clock()
        listing = self._client.list_objects(objects.CONFIG_KIND)
        self._check_era(listing.era)
        main = [
            item
            for item in listing.objects
            if item['meta']['name'] == objects.CONFIG_NAME
        ]
        if not main:
            return RoutesKnown(None, None, sent)
        spec = main[0]['spec']
        version, errors = objects.load_version(spec)
        routes, route_errors = objects.load_routes(spec)
        warmups, warmup_errors = objects.load_warmups(spec)
        self._log_errors(errors + route_errors + warmup_errors)
        if routes is None:
            # The last configuration that could be read stays in force.
            return RoutesKnown(None, None, sent)
        revision = main[0]['meta']['revision']
        stamp = ConfigStamp(version, listing.era, revision)
        return RoutesKnown(routes, stamp, sent, warmups)

    def _read_changes(self, events):
        changes = []
        for item, deleted in events:
            found = self.read(item)
            if found is not None:
                name, target, revision = found
                changes.append((name, None if deleted else target, revision))
        return tuple(changes)

    def read(self, item):
        """Read one registration, by whomever it was written.

        :returns: tuple (name,
            :class:`~cornelgap.forwarding.directory_view.Target` or
            ``UNREADABLE``, revision); None if it has not even a name.
        """
        found, errors = objects.load_registration(item, read_clock())
        self._log_errors(errors)
        if found is None:
            return None
        return found.name, found.target or UNREADABLE, found.revision

    def _check_era(self, era):
        """Check that an answer belongs to the history that is followed.

        A watch from a revision of the era before succeeds once the store has
        reissued that number, and never tells what came below it.

        :raises HistoryGone: if it does not.
        """
        if era != self._era:
            raise HistoryGone(
                'the store was restored from a backup', answered=True
            )

    def _note_era(self, era, is_first):
        if era == self._era:
            return
        if self._on_restore is not None and not is_first:
            self._on_restore()
        _LOG.info(
            'follower: store era',
            extra={
                'era': era,
                'before': self._era,
                'revision': self._revision,
            },
        )
        self._era = era

    def _log_errors(self, errors):
        """Log what was left out, once for each place and reason."""
        for exc in errors:
            told = (exc.place, exc.text)
            if told in self._logged:
                continue
            if len(self._logged) >= MAX_LOGGED:
                self._logged.clear()
            self._logged.add(told)
            _LOG.warning(
                'follower: entry left out',
                extra={
                    'code': str(exc.code),
                    'place': exc.place,
                    'why': exc.text,
                },
            )


def is_explained(known, revision, told):
    """Say whether nothing but the told changes has happened.

    :param known: store revision up to which all is known.
    :param revision: the store's revision now.
    :param told: revisions of changes that were told.
    """
    return all(number in told for number in range(known + 1, revision + 1))
