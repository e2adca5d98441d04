"""The actor that owns the directory and tells the packet actor its views."""

import logging

from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.facts import (
    RoutesKnown,
    TargetsChanged,
    TargetsListed,
    read_clock,
)
from cornelgap.forwarding.packet_actor import FORWARDING, AdoptView
from cornelgap.kernel.inbox import SocketInbox, Tick
from cornelgap.kernel.names import tell_service
from cornelgap.kernel.service import Service

DIRECTORY = 'directory'
TICK_S = 0.25
_LOG = logging.getLogger('cornelgap.directory')


class DirectoryActor(Service):
    """Keeps the newest facts.

    :param on_complete: called once when routes and targets are known.
    """

    use_daemon_thread = True

    def __init__(self, scope, on_complete):
        """Know nothing yet."""
        super().__init__(scope, DIRECTORY)
        self._directory = Directory()
        self._on_complete = on_complete
        self._complete = False
        self._changes_at = None
        self.handlers = {
            RoutesKnown: self._take_routes,
            TargetsListed: self._take_list,
            TargetsChanged: self._take_changes,
            Tick: self._tick,
        }

    @staticmethod
    def _create_actor_inbox():
        return SocketInbox(read_clock, TICK_S)

    def _take_routes(self, fact):
        if fact.routes is None:
            if self._directory.routes_as_of is not None:
                self._directory.confirm_routes(fact.as_of)
            self._tell(changed=False)
            return
        changed = self._directory.adopt_routes(
            fact.routes, fact.revision, fact.as_of
        )
        if changed:
            _LOG.info(
                'directory: routes adopted',
                extra={
                    'revision': fact.revision,
                    'routes': len(fact.routes),
                    'age_s': round(read_clock() - fact.as_of, 3),
                },
            )
        self._tell(changed)

    def _take_list(self, fact):
        changed = self._directory.adopt_targets(
            fact.targets, fact.revision, fact.as_of, read_clock()
        )
        if changed:
            _LOG.info(
                'directory: targets listed',
                extra={
                    'revision': fact.revision,
                    'targets': len(fact.targets),
                },
            )
        self._tell(changed)

    def _take_changes(self, fact):
        changed = self._directory.apply_targets(
            fact.changes, fact.revision, fact.as_of, read_clock()
        )
        for name, target, revision in fact.changes:
            _LOG.info(
                'directory: target changed',
                extra={
                    'target': name,
                    'state': _name_state(target),
                    'revision': revision,
                },
            )
        self._tell(changed)

    def _tick(self, _message):
        if self._changes_at is not None and read_clock() >= self._changes_at:
            self._tell(changed=True)

    def _tell(self, changed):
        directory = self._directory
        if not directory.complete:
            return
        now = read_clock()
        view = directory.make_view(now) if changed or not self._complete else None
        if view is not None:
            self._changes_at = directory.next_change(now)
        as_of = min(directory.routes_as_of, directory.targets_as_of)
        tell_service(self.scope, FORWARDING, AdoptView(view, as_of))
        if not self._complete:
            self._complete = True
            self._on_complete()


def _name_state(target):
    if target is None:
        return 'gone'
    return 'draining' if target.draining else 'ready'
