"""Sending of beats, with the versions and ages of the known facts."""

from collections import Counter

from cornelgap.forwarding import peer_messages as peers


class BeatSender:
    """Builds beats from the current state and sends them by UDP.

    :param own: this instance,
        :class:`~cornelgap.forwarding.neighbours.InstanceIdentity`.
    :param boot: random number of the process's lifetime.
    :param directory: :class:`~cornelgap.forwarding.directory.Directory`.
    :param neighbours: :class:`~cornelgap.forwarding.neighbours.Neighbours`.
    :param sock: socket to send from.
    :param port: UDP port on which every instance receives beats.
    :ivar key: key that authenticates messages between instances; None until
        the store or another instance has provided it, and nothing is sent
        while it is None.
    :ivar counts: datagrams that could not be sent, by error number.
    """

    def __init__(self, own, boot, directory, neighbours, sock, port):
        """Start without a key, so that nothing is sent yet."""
        self._own = own
        self._boot = boot
        self._directory = directory
        self._neighbours = neighbours
        self._sock = sock
        self._port = port
        self.key = None
        self.counts = Counter()

    def send(self, hosts, zone, following, now, **parts):
        """Send the same beat to each of some hosts.

        :param zone: zone of the hosts; a beat to another zone than the own
            includes the list of members.
        :param following: whether this instance follows the store.
        :param parts: further fields of
            :class:`~cornelgap.forwarding.peer_messages.Beat`.
        """
        if not hosts or self.key is None:
            return
        beat = self._make_beat(zone, now, parts)
        beat.following = following
        raw = peers.encode_beat(beat, self.key)
        for host in hosts:
            try:
                self._sock.sendto(raw, (host, self._port))
            except OSError as exc:
                # The host cannot be reached now; the next beat tries again.
                self.counts[f'unsent_{exc.errno}'] += 1

    def _make_beat(self, zone, now, parts):
        directory = self._directory
        own = self._own
        beat = peers.Beat(
            own.name,
            own.zone,
            own.host,
            self._boot,
            self._neighbours.capacity,
            **parts,
        )
        beat.hub = self._neighbours.is_hub
        beat.handshake_cookies = True
        # Only what it has heard itself: hubs would confirm each other for ever.
        beat.plain_cookies = beat.hub and self._neighbours.hears_earlier_version
        if directory.complete:
            beat.routes_version = directory.routes_stamp.version
            beat.routes_era = directory.routes_stamp.era
            beat.routes_revision = directory.routes_stamp.revision
            beat.routes_age = _round_age(now - directory.routes_as_of)
            beat.targets_era = directory.targets_stamp.era
            beat.targets_revision = directory.targets_stamp.revision
            beat.targets_changed = directory.targets_changed
            beat.targets_age = _round_age(now - directory.targets_as_of)
            beat.drained_zones = sorted(directory.drained_zones)
            beat.drained_era = directory.drained_stamp.era
            beat.drained_revision = directory.drained_stamp.revision
        if beat.hello or zone != own.zone:
            beat.members = self._neighbours.list_members(now, zone)
        return beat


def _round_age(age):
    # Rounded up: a reported age that is too low makes stale facts look fresh.
    return round(age + 0.0005, 3)
