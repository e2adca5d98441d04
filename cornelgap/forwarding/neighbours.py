"""Membership of the instances, and the choice of the hubs of each zone.

The first two instances of a zone are its hubs: the others exchange beats with
the hubs only, so the number of datagrams grows linearly with the instances,
not with their square.  Instances are ranked by link capacity, and by
rendezvous hashing among equals.  Nothing here sends or receives; time is an
argument, in seconds.
"""

from msgspec import Struct, field

from cornelgap.decisions.fanout import rank_names
from cornelgap.decisions.target_outliers import Outcomes

HUBS_PER_ZONE = 2
"""Hubs per zone: if one dies, the zone still hears of changes."""

HUB_TIMEOUT_S = 1.3
"""Silence after which an instance is no longer chosen as a hub.  Hubs send
twice a second, so two datagrams in a row must be lost."""

LISTED_MAX_AGE_S = 3.0
"""Time since its last beat within which an instance is listed to others."""

MEMBER_TIMEOUT_S = 4.0
"""Time after which an instance that no beat came from or listed is removed."""

LOAD_MAX_AGE_S = 3.0
"""Age from which an instance's load report is ignored: its callers have
moved to another instance by then."""

OTHER_ZONE_LOAD_MAX_AGE_S = 60.0
"""Age up to which the load sum of another zone counts.  The zone keeps its
long flows while it is cut off, so an old sum is a better estimate than none.
If the zone were taken to be empty, it would get all new flows of the other
zones in the first second after its return, and the next cut would break
them."""

HELLO_INTERVAL_S = 0.4
"""Seconds between two beats that ask for an answer (hellos) while no other
instance of the zone is known, and just after the start, when most others also
start and know few instances."""

SETTLE_S = 3.0
"""Time after the start in which hellos come every :data:`HELLO_INTERVAL_S`."""

SEED_INTERVAL_S = 1.0
"""Seconds between two fetches of a snapshot from a seed while the key is
unknown; as often as a follower gets an answer from the store."""

REPAIR_INTERVAL_S = 5.0
"""Seconds between two hellos otherwise.  They join groups of instances that
do not know each other."""

RECENT_S = 60.0
"""Time for which an instance counts among those that share the flows that may
be opened on cold targets.  An instance that is cut off must keep counting the
others for as long as they count it, or it would take their shares as well."""

LARGE_ZONE_SIZE = 8
"""Instances of a zone above which load reports come half as often, and
placement spreads its flows instead; only hubs then get reports on flows."""

LARGE_ZONE_LOAD_INTERVAL_S = 1.0
"""Seconds between two load reports in larger zones."""

LOAD_INTERVAL_S = 0.5
"""Seconds between two load reports in zones of up to that size."""

OTHER_ZONE_BEAT_INTERVAL_S = 1.0
"""Seconds between two beats to hubs of other zones; traffic between zones is
costly."""


class Member(Struct):
    """State of another instance.

    :param capacity: capacity of its link: the bit length of the number of
        Mbit/s, 0 if that is unknown.
    :param last_beat_at: when its last beat came; None if none has come.
    :param last_known_at: when a beat last came from it or listed it.
    :param expected_since: since when its rank makes it a hub; None if its
        rank does not.
    :param beat: its last beat.
    :param loads: its last load report, flows by cookie.
    :param zone_loads: its last report as a hub, sums of flows by cookie.
    """

    name: str
    zone: str
    host: str
    capacity: int
    last_known_at: float
    last_beat_at: float | None = None
    expected_since: float | None = None
    beat: object = None
    loads: dict = field(default_factory=dict)
    loads_at: float = 0
    zone_loads: dict = field(default_factory=dict)
    zone_loads_at: float = 0


class InstanceIdentity(Struct, frozen=True):
    """Identity of this instance.

    :param capacity: capacity of its link, as in :class:`Member`.
    """

    name: str
    zone: str
    host: str
    capacity: int = 0


class Neighbours:
    """All other instances that this one knows.

    :param own: this instance, :class:`InstanceIdentity`.
    :param seeds: hosts of a few instances from the settings, perhaps outdated.
    """

    def __init__(self, own, seeds, rng):
        """Start with the addresses of the seeds only."""
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
        self._other_zone_loads = {}
        self._started_at = None
        self._hello_chosen_at = float('-inf')
        self._seed_chosen_at = float('-inf')
        self._hubs_listed_at = float('-inf')

    def set_seeds(self, seeds):
        """Replace the seeds; instances that are known already are kept."""
        self._seeds = [seed for seed in seeds if seed != self.host]

    def record_beat(self, beat, now):
        """Update the membership and the load reports from a beat."""
        if beat.name == self.name:
            return
        if beat.leaving:
            self._members.pop(beat.name, None)
            return
        member = self._add_member(
            beat.name, beat.zone, beat.host, beat.capacity, now
        )
        member.last_beat_at = now
        member.capacity = beat.capacity
        member.beat = beat
        if beat.loads:
            member.loads = beat.loads
            member.loads_at = now
        if beat.zone_loads is not None:
            member.zone_loads = beat.zone_loads
            member.zone_loads_at = now
            if beat.zone != self.zone:
                # Kept by zone: the hub that sent it may be removed.
                self._other_zone_loads[beat.zone] = (now, beat.zone_loads)
        for name, zone, host, capacity in beat.members:
            if name != self.name:
                member = self._add_member(name, zone, host, capacity, now)
                if not _is_recently_heard(member, now):
                    member.capacity = capacity

    def expire(self, now):
        """Remove instances that have timed out, and choose the hubs."""
        expired = [
            name
            for name, member in self._members.items()
            if now - member.last_known_at > MEMBER_TIMEOUT_S
        ]
        for name in expired:
            self._members.pop(name)
        self._recent = {
            name: last_known_at
            for name, last_known_at in self._recent.items()
            if now - last_known_at <= RECENT_S
        }
        self._choose_hubs(now)

    @property
    def is_hub(self):
        """Say whether this instance is a hub of its zone."""
        return self.name in self._hubs

    @property
    def hears_earlier_version(self):
        """Say whether the zone has instances that need plain cookies.

        Instances of an earlier version do not understand
        :mod:`~cornelgap.forwarding.handshake_cookies`.
        """
        return any(not beat.handshake_cookies for beat in self._zone_beats)

    @property
    def needs_plain_cookies(self):
        """Say whether this instance hears those instances, or a hub does."""
        is_told = any(beat.plain_cookies for beat in self._zone_beats)
        return is_told or self.hears_earlier_version

    @property
    def _zone_beats(self):
        beats = (member.beat for member in self._list_zone_members())
        return [beat for beat in beats if beat is not None]

    @property
    def is_first_hub(self):
        """Say whether this instance is the hub that sums the zone's loads."""
        return self._hubs[0] == self.name

    def list_recent(self, now):
        """Return the names of this zone's instances of the last minute.

        :returns: frozenset with this instance; empty for :data:`SETTLE_S`
            after the start, when few others are known.
        """
        if self._started_at is None or now - self._started_at < SETTLE_S:
            return frozenset()
        return frozenset((self.name, *self._recent))

    def compute_rank(self):
        """Return how many higher-ranked instances of the zone may be alive."""
        ranked = self._rank_zone()
        before = ranked[: ranked.index(self.name)]
        return sum(name not in self._suspects for name in before)

    def has_follower(self, now, is_fresh):
        """Say whether a higher-ranked instance follows the store.

        Only instances whose facts are fresh count.

        :param is_fresh: function that says whether facts of an age in seconds
            are fresh.
        """
        ranked = self._rank_zone()
        for name in ranked[: ranked.index(self.name)]:
            member = self._members[name]
            beat = member.beat
            if beat is None or not beat.following or beat.routes_age is None:
                continue
            passed = now - member.last_beat_at
            if is_fresh(max(beat.routes_age, beat.targets_age or 0) + passed):
                return True
        return False

    def list_beat_hosts(self):
        """Return the hosts of this zone that get the regular beat."""
        if self.is_hub:
            return self.list_zone_hosts()
        return self._list_hub_hosts()

    def list_load_hosts(self):
        """Return the hosts that get this instance's load reports."""
        if self.is_first_hub:
            return []
        return [self._members[self._hubs[0]].host]

    def list_owner_report_hosts(self):
        """Return hosts that get reports on the owners of flows.

        In a large zone the hubs are enough, since they are asked as well.

        :returns: tuple (hosts of this zone, hosts of other zones).
        """
        if self.count_zone() <= LARGE_ZONE_SIZE:
            return self.list_zone_hosts(), self.list_other_zone_hubs()
        return self._list_hub_hosts(), []

    def list_zone_hosts(self):
        """Return the hosts of all other instances of this zone."""
        return [member.host for member in self._list_zone_members()]

    def list_due_hub_hosts(self, now):
        """Return hosts of hubs of other zones if a beat to them is due."""
        if (
            not self.is_first_hub
            or now - self._hubs_listed_at < OTHER_ZONE_BEAT_INTERVAL_S
        ):
            return []
        self._hubs_listed_at = now
        return self.list_other_zone_hubs()

    def list_other_zone_hubs(self):
        """Return hosts of hubs of other zones."""
        hosts = []
        for zone in {item.zone for item in self._members.values()}:
            if zone != self.zone:
                hosts += self._find_hub_hosts(zone)
        return hosts

    def choose_hello_host(self, now):
        """Return a host to send a hello to, or None if no hello is due.

        The answer to a hello lists the instances that the host knows.
        """
        if self._started_at is None:
            self._started_at = now
        alone = not self._list_zone_members()
        settling = now - self._started_at < SETTLE_S
        pause = HELLO_INTERVAL_S if alone or settling else REPAIR_INTERVAL_S
        if now - self._hello_chosen_at < pause:
            return None
        known = [member.host for member in self._members.values()]
        hosts = self._seeds if alone else (self._seeds + known)
        if not hosts:
            return None
        self._hello_chosen_at = now
        return self._rng.choice(hosts)

    def choose_seed(self, now):
        """Return the next seed to fetch a snapshot from, if a fetch is due.

        Used while the key is unknown.

        :returns: a host, or None.
        """
        if not self._seeds or now - self._seed_chosen_at < SEED_INTERVAL_S:
            return None
        self._seed_chosen_at = now
        self._seeds.append(self._seeds.pop(0))
        return self._seeds[-1]

    def list_members(self, now, zone):
        """Return lists [name, zone, host, capacity] to send to a zone.

        These are this instance, the zone's instances and the hubs of other
        zones, as far as a beat of theirs came lately.
        """
        members = [[self.name, self.zone, self.host, self.capacity]]
        for member in self._members.values():
            if not _is_recently_heard(member, now):
                continue
            is_hub = member.beat is not None and member.beat.hub
            if member.zone == zone or is_hub:
                members.append(
                    [
                        member.name,
                        member.zone,
                        member.host,
                        member.capacity,
                    ]
                )
        return members

    def sum_zone_loads(self, own, now):
        """Return flows by cookie of the whole zone.

        :param own: flows by cookie of this instance.
        """
        total = dict(own)
        for member in self._list_zone_members():
            if now - member.loads_at < LOAD_MAX_AGE_S:
                add_loads(total, member.loads)
        return total

    def sum_other_zone_loads(self, now):
        """Return flows by cookie of all other zones, as last reported."""
        total = {}
        for received_at, loads in self._other_zone_loads.values():
            if now - received_at < OTHER_ZONE_LOAD_MAX_AGE_S:
                add_loads(total, loads)
        return total

    def sum_other_loads(self, own, now):
        """Return flows by cookie of all other instances.

        :param own: flows by cookie that this instance reported last.
        """
        if self.is_first_hub:
            total = self.sum_zone_loads({}, now)
            add_loads(total, self.sum_other_zone_loads(now))
            return total
        hubs = [
            member
            for member in self._list_hubs()
            if now - member.zone_loads_at < LOAD_MAX_AGE_S
        ]
        if not hubs:
            return {}
        total = dict(max(hubs, key=_get_zone_loads_time).zone_loads)
        for cookie, flows in own.items():
            if cookie in total:
                total[cookie] = max(0, total[cookie] - flows)
        return total

    def compute_load_interval(self):
        """Return the seconds between two load reports."""
        return (
            LOAD_INTERVAL_S
            if self.count_zone() <= LARGE_ZONE_SIZE
            else LARGE_ZONE_LOAD_INTERVAL_S
        )

    def count_zone(self):
        """Return the number of instances of this zone, this one included."""
        return 1 + len(self._list_zone_members())

    def _add_member(self, name, zone, host, capacity, now):
        member = self._members.get(name)
        if member is None or member.host != host:
            member = Member(name, zone, host, capacity, now)
            self._members[name] = member
        member.last_known_at = now
        if zone == self.zone:
            self._recent[name] = now
        return member

    def _list_zone_members(self):
        return [
            member
            for member in self._members.values()
            if member.zone == self.zone
        ]

    def _list_hubs(self):
        """Return the other instances that are hubs of this zone."""
        hubs = map(self._members.get, self._hubs)
        return [member for member in hubs if member is not None]

    def _list_hub_hosts(self):
        return [member.host for member in self._list_hubs()]

    def _rank_zone(self):
        capacities = {
            member.name: member.capacity for member in self._list_zone_members()
        }
        capacities[self.name] = self.capacity
        return rank_names(self.zone, capacities.keys(), capacities)

    def _choose_hubs(self, now):
        hubs = []
        self._suspects = set()
        for name in self._rank_zone():
            member = self._members.get(name)
            if len(hubs) == HUBS_PER_ZONE:
                if member is not None:
                    member.expected_since = None
            elif member is None or _may_be_hub(member, now):
                hubs.append(name)
            else:
                self._suspects.add(name)
        self._hubs = hubs

    def _find_hub_hosts(self, zone):
        members = [
            member for member in self._members.values() if member.zone == zone
        ]
        hubs = [
            member.host
            for member in members
            if member.beat is not None and member.beat.hub
        ]
        return hubs or [members[0].host]


def _is_recently_heard(member, now):
    """Say whether a beat of a member came within :data:`LISTED_MAX_AGE_S`."""
    return (
        member.last_beat_at is not None
        and now - member.last_beat_at <= LISTED_MAX_AGE_S
    )


def _may_be_hub(member, now):
    """Say whether a member whose rank makes it a hub may be alive.

    Only a hub is expected to send to all instances of the zone.  So silence
    counts from the time when the rank of the member first made it a hub.
    """
    if member.expected_since is None:
        member.expected_since = now
    heard_at = max(member.last_beat_at or 0, member.expected_since)
    return now - heard_at < HUB_TIMEOUT_S


def _get_zone_loads_time(member):
    return member.zone_loads_at


def add_loads(total, loads):
    """Add flows by cookie to a total."""
    for cookie, flows in loads.items():
        total[cookie] = total.get(cookie, 0) + flows


def add_outcomes(total, outcomes):
    """Add outcomes by cookie to a total."""
    for cookie, counts in outcomes.items():
        known = total.get(cookie)
        if known is None:
            known = total[cookie] = Outcomes()
        known.add(counts)
