"""Which entry instances watch the platform, and which peer to ask.

Load pattern: one change reaches hundreds of entry instances.  The platform
counts a waiting watch as a call and its rates grow more slowly than the
fleet, so only a few instances per availability zone watch; the rest hear of
the change from peers' datagrams and fetch it from a peer.  Without this,
690 instances would hold 690 watches and read each change 690 times at once.

Two watchers a zone: one may die or have a watch that died silently, and the
zone still hears of a change at once.  Rendezvous hashing needs no agreement:
instances with different lists disagree about few watchers, and a watcher too
many does no harm.
"""

from hashlib import blake2b

WATCHERS_PER_ZONE = 2


def choose_watchers(zone, names, count=WATCHERS_PER_ZONE):
    """Choose the watchers of a zone by rendezvous hashing.

    :param names: instances of the zone that are alive.
    :returns: set of at most ``count`` names.
    """
    return set(rank_names(zone, names)[:count])


def rank_names(zone, names, capacities=None):
    """Return names in the order in which they become watchers.

    :param capacities: numbers by name; higher ones come first.  Telling a
        zone of its news fills the link of a small machine, and callers'
        packets wait behind it.
    """
    capacities = capacities or {}

    def rank(name):
        return -capacities.get(name, 0), _rank_name(zone, name)

    return sorted(names, key=rank)


def is_watcher(own, zone, instances):
    """Say whether this instance watches.

    :param instances: other live instances, with ``name`` and ``zone``.
    """
    names = {item.name for item in instances if item.zone == zone}
    return own in choose_watchers(zone, names | {own})


def choose_source(rng, zone, peers, exclude=()):
    """Choose a peer to fetch from, one of the same zone if there is one.

    All instances of a zone hear of a change at about the same moment; a
    random choice spreads their fetches.

    :param peers: items with ``name``, ``api`` and optionally ``zone``.
    :param exclude: names that failed lately; used only if no other is left.
    :returns: one of the peers, or None.
    """
    able = [peer for peer in peers if peer.api]
    fresh = [peer for peer in able if peer.name not in exclude] or able
    near = [peer for peer in fresh if getattr(peer, 'zone', '') == zone]
    return rng.choice(near or fresh) if fresh else None


def _rank_name(zone, name):
    return blake2b(f'{zone}/{name}'.encode(), digest_size=8).digest()
