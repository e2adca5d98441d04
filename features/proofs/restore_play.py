"""Random plays of writes, restores from a backup, and instances that listen.

The store is called directly and time is virtual.  What operators and targets
wrote is written again within two seconds of a restore, as the platform says.
"""

from dataclasses import dataclass, field

from cornelgap.platform.store import Events, HistoryGone, Listing
from features.proofs.restore_world import (
    Reader,
    make_name,
    make_spec,
    write_routes,
)
from standins.object_store import ObjectStore

REPEAT_S = 2
SETTLE_S = 10
TARGETS = (1, 2, 3)
ZONES = ('a', 'b')
STATES = ('ready', 'draining', None)


class DirectClient:
    """Calls of the store without a connection."""

    def __init__(self, store):
        """Call a stand-in store."""
        self._store = store

    def list_objects(self, kind, stale=False):
        """List all objects of a kind."""
        page = self._store.list(kind, '')
        return Listing(page['items'], page['store_revision'], self._store.era)

    def watch_objects(self, kind, revision, wait_s):
        """Tell what has changed, without waiting for more."""
        found = self._store.watch(kind, revision, 0)
        if found is None:
            raise HistoryGone('history gone', answered=True)
        events = [(one['object'], one['deleted']) for one in found['events']]
        return Events(events, found['store_revision'], self._store.era)


@dataclass
class Known:
    """What an instance has known, and must not take back.

    :ivar closed: names of targets that drained.
    :ivar zones: zones that were drained, until the operator takes them back.
    """

    version: int = 0
    closed: set = field(default_factory=set)
    zones: set = field(default_factory=set)


class Play:
    """A store, what was last written to it, and two instances.

    :ivar faults: what went wrong, as texts.
    """

    def __init__(self):
        """Begin with one configuration and two targets."""
        self.faults = []
        self._store = ObjectStore()
        self._version = 0
        self._targets = {}
        self._zones = set()
        self._backup = None
        self._repeat_in = None
        self._later = 0
        for number in TARGETS[:2]:
            self.write_target(number, 'ready')
        self.write_config()
        self._known = {}
        self._readers = [self._start(), self._start()]

    def write_config(self):
        """Let the operator write the next configuration."""
        self._version += 1
        self._put_config()

    def write_target(self, number, state):
        """Let a target register, drain or go; none comes back."""
        known = self._targets.get(number)
        if STATES.index(state) < STATES.index(known or 'ready'):
            return
        if state == known or (known is None and number in self._targets):
            return
        self._targets[number] = state
        self._put_target(number)

    def order(self, zone, drained):
        """Let the operator drain a zone or take it back."""
        if drained:
            self._zones.add(zone)
        else:
            self._zones.discard(zone)
            for known in self._known.values():
                known.zones.discard(zone)
        self._put_zone(zone)

    def back_up(self):
        """Let the store be backed up."""
        self._backup = self._store.back_up()

    def restore(self):
        """Let the store be restored from its last backup."""
        if self._backup is not None:
            self._store.restore(self._backup)
            self._repeat_in = REPEAT_S

    def write_other(self):
        """Let something of no concern change."""
        self._store.put('others', 'o', {})

    def follow(self, who):
        """Let an instance hear the store."""
        self._readers[who].follow()
        self._check(who)

    def hear(self, who):
        """Let an instance hear the other one."""
        self._readers[who].hear(self._readers[1 - who])
        self._check(who)

    def restart(self, who):
        """Let an instance start anew."""
        self._known.pop(who, None)
        self._readers[who] = self._start()

    def pass_time(self):
        """Let a second pass."""
        self._later += 1
        for reader in self._readers:
            reader.later = self._later
        if self._repeat_in is not None:
            self._repeat_in -= 1
            if not self._repeat_in:
                self._repeat()

    def settle(self):
        """Let everything be written again and heard; compare it all."""
        self._repeat()
        for _ in range(SETTLE_S):
            self.pass_time()
            for who in (0, 1):
                self._readers[who].follow()
                self._readers[who].follow()
        for who in (0, 1):
            self.hear(who)
            self._compare(who)

    def _compare(self, who):
        reader = self._readers[who]
        ready = [
            make_name(number)
            for number, state in sorted(self._targets.items())
            if state == 'ready' and find_zone(number) not in self._zones
        ]
        found = {
            'ports': (reader.list_ports(), [self._version]),
            'open': (reader.list_open(), ready),
            'drained': (reader.list_drained(), sorted(self._zones)),
        }
        self.faults += [
            f'{name} of instance {who}: {have}, not {want}'
            for name, (have, want) in found.items()
            if have != want
        ]

    def _check(self, who):
        """Check that an instance takes nothing back that it has known."""
        reader = self._readers[who]
        known = self._known.setdefault(who, Known())
        (version,) = reader.list_ports()
        if version < known.version:
            self.faults.append(f'version {known.version} fell to {version}')
        known.version = version
        opened = known.closed & set(reader.list_open())
        if opened:
            self.faults.append(f'{opened} get flows again')
        held = reader.directory.list_targets()
        known.closed |= {
            name for name, (target, _) in held.items() if target.draining
        }
        drained = set(reader.list_drained())
        if known.zones - drained:
            self.faults.append(f'{known.zones - drained} open again')
        known.zones |= drained & self._zones

    def _start(self):
        reader = Reader(DirectClient(self._store))
        reader.later = self._later
        return reader

    def _repeat(self):
        self._repeat_in = None
        self._put_config()
        for number in self._targets:
            self._put_target(number)
        for zone in ZONES:
            self._put_zone(zone)

    def _put_config(self):
        write_routes(self._store, self._version, self._version)

    def _put_target(self, number):
        name = make_name(number)
        state = self._targets[number]
        known = self._store.get('servers', name)
        if state is not None:
            spec = make_spec(number, state, find_zone(number))
            if known is None or known['spec'] != spec:
                self._store.put('servers', name, spec)
        elif known is not None:
            self._store.remove('servers', name)

    def _put_zone(self, zone):
        known = self._store.get('evacuations', zone)
        if zone in self._zones and known is None:
            self._store.put('evacuations', zone, {})
        elif zone not in self._zones and known is not None:
            self._store.remove('evacuations', zone)


def find_zone(number):
    """Return the zone of a target."""
    return ZONES[number % 2]
