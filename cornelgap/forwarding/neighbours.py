"""The other instances as this one knows them: who is there, who is a hub.

The first two instances of a zone, by rendezvous rank, are its hubs: the
others send their beats to them and hear from them.  So the number of
datagrams grows with the instances, not with their square.  Nothing here
sends or receives; time is an argument, in seconds.
"""

from msgspec import Struct, field

from cornelgap.decisions.fanout import rank_names
from cornelgap.decisions.target_outliers import Outcomes

HUBS = 2
"""Hubs a zone: one may die, and the zone still hears of a change."""

SILENT_S = 1.3
"""Silence after which a hub is passed over.  Hubs send twice a second, so
this takes two lost datagrams in a row."""

MENTION_S = 3.0
"""An instance heard within this time is told of to others."""

FORGET_S = 4.0
LOAD_S = 3.0
"""Age at which an instance's report of load is worth nothing: its callers
have moved on to another one."""

FAR_LOAD_S = 60.0
"""Age up to which the sum of another zone counts.  Its long flows stay while
it is cut off, and old news of them is closer than none: taken to be empty, a
zone that is back gets all new flows of the others in its first second, and
the next cut breaks them."""

HELLO_S = 0.4
"""Seconds between two questions while nobody is known, and just after the
start, when most others start as well and know few."""

SETTLE_S = 3.0
"""Time after the start in which questions come that often."""

SEED_S = 1.0
"""Seconds between two snapshots that are fetched from a seed while the key is
unknown; as often as a follower hears the store."""

REPAIR_S = 5.0
"""Seconds between two questions otherwise; they join groups of instances
that have not heard of each other."""

RECENT_S = 60.0
"""Time for which an instance counts among those that may open flows on cold
targets.  An instance that is cut off must go on counting the others for as
long as they count it, or it would take all of their parts too."""

CROWD = 8
CROWD_LOAD_S = 1.0
LOAD_BEAT_S = 0.5
"""Seconds between two reports of load; in zones of more instances than a
crowd they come half as often, and placement spreads its flows instead."""

FAR_S = 1.0
"""Seconds between two beats to hubs of other zones; these bytes cost."""


class Member(Struct):
    """Another instance.

    :param capacity: how much its link carries, as a power of two.
    :param direct_at: when it was last heard itself; None if never.
    :param known_at: when it was last heard or told of.
    :param loads: flows by cookie that it has reported last.
    :param zone_loads: the sums that it has told last as a hub.
    :param expected_since: since when it should be a hub, None if it need not.
    """

    name: str
    zone: str
    host: str
    capacity: int
    known_at: float
    direct_at: float | None = None
    expected_since: float | None = None
    beat: object = None
    loads: dict = field(default_factory=dict)
    loads_at: float = 0
    zone_loads: dict = field(default_factory=dict)
    zone_loads_at: float = 0


class Self(Struct, frozen=True):
    """Who this instance is to others."""

    name: str
    zone: str
    host: str
    capacity: int = 0


class Neighbours:
    """All instances that this one has heard of.

    :param own: this instance, :class:`Self`.
    :param seeds: hosts of a few instances, perhaps stale.
    """

    def __init__(self, own, seeds, rng):
        """Know the seeds' addresses only."""
        self.name = own.name
        self.zone = own.zone
        self.host = own.host
        self.capacity = own.capacity
        self.set_seeds(seeds)
        self._rng = rng
        self._members = {}
        self._recent = {}
        self._hubs = [own.name]
        self._suspects = set()
        self._far_loads = {}
        self._began_at = None
        self._hello_at = float('-inf')
        self._seed_at = float('-inf')
        self._far_at = float('-inf')

    def set_seeds(self, seeds):
        """Ask other hosts from now on; who is known already stays so."""
        self._seeds = [seed for seed in seeds if seed != self.host]

    def note_beat(self, beat, now):
        """Take in a beat."""
        if beat.name == self.name:
            return
        if beat.leaving:
            self._members.pop(beat.name, None)
            return
        member = self._add(beat.name, beat.zone, beat.host, beat.capacity, now)
        member.direct_at = now
        member.capacity = beat.capacity
        member.beat = beat
        if beat.loads:
            member.loads = beat.loads
            member.loads_at = now
        if beat.zone_loads is not None:
            member.zone_loads = beat.zone_loads
            member.zone_loads_at = now
            if beat.zone != self.zone:
                # Kept by zone: the hub that told it may be forgotten.
                self._far_loads[beat.zone] = (now, beat.zone_loads)
        for name, zone, host, capacity in beat.members:
            if name != self.name:
                member = self._add(name, zone, host, capacity, now)
                if not _is_heard(member, now):
                    member.capacity = capacity

    def expire(self, now):
        """Forget who was not heard of for long, and choose the hubs."""
        late = [
            name
            for name, member in self._members.items()
            if now - member.known_at > FORGET_S
        ]
        for name in late:
            self._members.pop(name)
        self._recent = {
            name: known_at
            for name, known_at in self._recent.items()
            if now - known_at <= RECENT_S
        }
        self._choose_hubs(now)

    @property
    def is_hub(self):
        """Say whether this instance is a hub of its zone."""
        return self.name in self._hubs

    @property
    def is_first_hub(self):
        """Say whether this instance is the hub that sums up loads."""
        return self._hubs[0] == self.name

    def list_recent(self, now):
        """Return the names of this zone's instances of the last minute.

        :returns: frozenset, empty shortly after the start: few others are
            known then.
        """
        if self._began_at is None or now - self._began_at < SETTLE_S:
            return frozenset()
        return frozenset((self.name, *self._recent))

    def compute_rank(self):
        """Return how many instances of the zone precede this one."""
        ranked = self._rank()
        before = ranked[: ranked.index(self.name)]
        return sum(name not in self._suspects for name in before)

    def find_follower(self, now, is_fresh):
        """Say whether one of lower rank follows the store with success.

        :param is_fresh: function of an age in seconds.
        """
        ranked = self._rank()
        for name in ranked[: ranked.index(self.name)]:
            member = self._members[name]
            beat = member.beat
            if beat is None or not beat.following or beat.routes_age is None:
                continue
            passed = now - member.direct_at
            if is_fresh(max(beat.routes_age, beat.targets_age or 0) + passed):
                return True
        return False

    def list_near_hosts(self):
        """Return the hosts of this zone that get the regular beat."""
        if self.is_hub:
            return [member.host for member in self._list_zone()]
        return [
            self._members[name].host
            for name in self._hubs
            if name in self._members
        ]

    def list_load_hosts(self):
        """Return the hosts that are told of this instance's load."""
        if self.is_first_hub:
            return []
        return [self._members[self._hubs[0]].host]

    def list_all_near(self):
        """Return the hosts of all other instances of this zone."""
        return [member.host for member in self._list_zone()]

    def list_far_hosts(self, now):
        """Return hosts of hubs of other zones if they are due a beat."""
        if not self.is_first_hub or now - self._far_at < FAR_S:
            return []
        self._far_at = now
        return self.list_far_hubs()

    def list_far_hubs(self):
        """Return hosts of hubs of other zones."""
        hosts = []
        for zone in {item.zone for item in self._members.values()}:
            if zone != self.zone:
                hosts += self._find_far_hubs(zone)
        return hosts

    def choose_hello(self, now):
        """Return a host to ask who is there if a question is due."""
        if self._began_at is None:
            self._began_at = now
        alone = not self._list_zone()
        settling = now - self._began_at < SETTLE_S
        pause = HELLO_S if alone or settling else REPAIR_S
        if now - self._hello_at < pause:
            return None
        known = [member.host for member in self._members.values()]
        hosts = self._seeds if alone else (self._seeds + known)
        if not hosts:
            return None
        self._hello_at = now
        return self._rng.choice(hosts)

    def choose_seed(self, now):
        """Return the next seed to learn from without a key, if one is due.

        :returns: a host, or None.
        """
        if not self._seeds or now - self._seed_at < SEED_S:
            return None
        self._seed_at = now
        self._seeds.append(self._seeds.pop(0))
        return self._seeds[-1]

    def list_members(self, now, zone):
        """Return [name, zone, host, capacity] of those to tell a zone of."""
        told = [[self.name, self.zone, self.host, self.capacity]]
        for member in self._members.values():
            if not _is_heard(member, now):
                continue
            is_hub = member.beat is not None and member.beat.hub
            if member.zone == zone or is_hub:
                told.append(
                    [
                        member.name,
                        member.zone,
                        member.host,
                        member.capacity,
                    ]
                )
        return told

    def sum_zone_loads(self, own, now):
        """Return flows by cookie of the whole zone."""
        total = dict(own)
        for member in self._list_zone():
            if now - member.loads_at < LOAD_S:
                add_loads(total, member.loads)
        return total

    def sum_far_loads(self, now):
        """Return flows by cookie of all other zones, as last told."""
        total = {}
        for told_at, loads in self._far_loads.values():
            if now - told_at < FAR_LOAD_S:
                add_loads(total, loads)
        return total

    def sum_others(self, own, now):
        """Return flows by cookie that other instances have.

        :param own: flows by cookie that this instance reported last.
        """
        if self.is_first_hub:
            total = self.sum_zone_loads({}, now)
            add_loads(total, self.sum_far_loads(now))
            return total
        told = [
            self._members[name]
            for name in self._hubs
            if name in self._members
            and now - self._members[name].zone_loads_at < LOAD_S
        ]
        if not told:
            return {}
        total = dict(max(told, key=_get_sum_time).zone_loads)
        for cookie, flows in own.items():
            if cookie in total:
                total[cookie] = max(0, total[cookie] - flows)
        return total

    def choose_load_pause(self):
        """Return the seconds between two reports of load."""
        return LOAD_BEAT_S if self.count_zone() <= CROWD else CROWD_LOAD_S

    def count_zone(self):
        """Return the number of instances of this zone, this one included."""
        return 1 + len(self._list_zone())

    def _add(self, name, zone, host, capacity, now):
        member = self._members.get(name)
        if member is None or member.host != host:
            member = Member(name, zone, host, capacity, now)
            self._members[name] = member
        member.known_at = now
        if zone == self.zone:
            self._recent[name] = now
        return member

    def _list_zone(self):
        return [
            member
            for member in self._members.values()
            if member.zone == self.zone
        ]

    def _rank(self):
        capacities = {
            member.name: member.capacity for member in self._list_zone()
        }
        capacities[self.name] = self.capacity
        return rank_names(self.zone, capacities.keys(), capacities)

    def _choose_hubs(self, now):
        hubs = []
        self._suspects = set()
        for name in self._rank():
            member = self._members.get(name)
            if len(hubs) == HUBS:
                if member is not None:
                    member.expected_since = None
            elif member is None or _may_be_hub(member, now):
                hubs.append(name)
            else:
                self._suspects.add(name)
        self._hubs = hubs

    def _find_far_hubs(self, zone):
        members = [
            member for member in self._members.values() if member.zone == zone
        ]
        hubs = [
            member.host
            for member in members
            if member.beat is not None and member.beat.hub
        ]
        return hubs or [members[0].host]


def _is_heard(member, now):
    """Say whether a member was heard itself so lately that others are told."""
    return member.direct_at is not None and now - member.direct_at <= MENTION_S


def _may_be_hub(member, now):
    """Say whether a member that should be a hub may be alive.

    Only hubs are heard by everybody, so silence counts from the moment at
    which the member was first expected to be one.
    """
    if member.expected_since is None:
        member.expected_since = now
    heard_at = max(member.direct_at or 0, member.expected_since)
    return now - heard_at < SILENT_S


def _get_sum_time(member):
    return member.zone_loads_at


def add_loads(total, loads):
    """Add flows by cookie to a total."""
    for cookie, flows in loads.items():
        total[cookie] = total.get(cookie, 0) + flows


def add_outcomes(total, outcomes):
    """Add outcomes by cookie to a total."""
    for cookie, found in outcomes.items():
        known = total.get(cookie)
        if known is None:
            known = total[cookie] = Outcomes()
        known.add(found)
