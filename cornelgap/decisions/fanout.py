"""Selection of watchers of the platform, and of peers to fetch from.

Each change has to reach hundreds of entry instances.  The platform counts an
open watch as a call, and its rate limits grow more slowly than the fleet.
Therefore only a few instances in each availability zone watch; the others
learn of a change from peers' datagrams and fetch it from a peer.  Otherwise
690 instances would hold 690 watches and read each change 690 times at once.

Each zone has two watchers, so that it still learns of a change at once when
one of them crashes or its watch stops delivering without an error.  Watchers
are chosen by rendezvous hashing, which needs no coordination: instances with
different instance lists disagree about few watchers, and an additional
watcher does no harm.
"""

from hashlib import blake2b

WATCHERS_PER_ZONE = 2


def choose_watchers(zone, names, count=WATCHERS_PER_ZONE):
    """Choose the watchers of a zone by rendezvous hashing.

    :param names: names of the zone's live instances.
    :returns: set of at most ``count`` names.
    """
    return set(rank_names(zone, names)[:count])


def rank_names(zone, names, capacities=None):
    """Return names by capacity, then by rendezvous hash.

    :param zone: key of the hash, usually an availability zone.
    :param capacities: link capacity by name; names with a higher one come
        first.  Distributing news to a zone would saturate the link of a small
        machine and delay callers' packets.
    """
    capacities = capacities or {}

    def rank(name):
        return -capacities.get(name, 0), _hash_name(zone, name)

    return sorted(names, key=rank)


def is_watcher(own, zone, instances):
    """Return whether this instance is a watcher of its zone.

    :param own: name of this instance.
    :param instances: other live instances, with ``name`` and ``zone``.
    """
    names = {item.name for item in instances if item.zone == zone}
    return own in choose_watchers(zone, names | {own})


def choose_source(rng, zone, peers, exclude=()):
    """Choose a random peer to fetch from, in the same zone if possible.

    All instances of a zone learn of a change at about the same time; the
    random choice spreads their fetches over the peers.

    :param peers: items with ``name``, ``api`` and optionally ``zone``; those
        with an empty ``api`` are left out.
    :param exclude: names that failed recently, used only if no other is left.
    :returns: one of the peers, or None.
    """
    reachable = [peer for peer in peers if peer.api]
    preferred = [
        peer for peer in reachable if peer.name not in exclude
    ] or reachable
    near = [peer for peer in preferred if getattr(peer, 'zone', '') == zone]
    return rng.choice(near or preferred) if preferred else None


def _hash_name(zone, name):
    return blake2b(f'{zone}/{name}'.encode(), digest_size=8).digest()
