"""What callers and targets see in a soak, and what must hold of it."""

from collections import Counter, defaultdict

from features.proofs.soak_ends import SERVICES

BOUND_S = 3.0
"""Within this time changes must be in force, as the settings say."""

SLACK_S = 1.0
CUT_S = 5.0
"""Time after a cut in which flows beyond it may still be given up."""


class Tape:
    """What was seen, the truth to compare it with, and the violations.

    :ivar untold_at: when nobody heard the store last; bounds count from it.
    :ivar stall_s: longest time in which the soak itself stood still.
    :ivar drained: time by zone that operators have drained.
    :ivar dropped: time by service whose route is dropped.
    :ivar undropped: time by service whose route came back last.
    :ivar versions: tuples (time, whether the route of probes is there).
    :ivar seen: by instance, for each probe of this lifetime the time and the
        least version in force that explains it.
    :ivar cuts: time until which a zone's ways to another one's targets
        count as cut, by tuple (zone of instances, zone of targets).
    :ivar murky_until: until when a refused probe may be load shed.
    :ivar lone_until: end of the planned stop that nothing disturbs.
    """

    def __init__(self, callers_port, zone_of):
        """Begin with nothing seen.

        :param zone_of: zone by instance's host.
        """
        self.callers_port = callers_port
        self.zone_of = zone_of
        self.asked = 0
        self.found = []
        self.outcomes = Counter()
        self.served = set()
        self.resets = Counter()
        self.untold_at = 0
        self.stall_s = 0
        self.drained = {}
        self.dropped = {}
        self.undropped = {}
        self.versions = []
        self.seen = defaultdict(list)
        self.last_probe = {}
        self.cuts = {}
        self.murky_until = 0
        self.lone_until = 0
        self._runs = defaultdict(list)
        self._run_keys = set()
        self._reset_keys = set()
        self._openers = defaultdict(list)
        self._data_at = defaultdict(set)

    def report(self, text):
        """Keep a violation."""
        self.found.append(text)

    def is_cut(self, here, there, now):
        """Say whether a zone's instances cannot reach a zone's targets."""
        return now < self.cuts.get((here, there), 0)

    def note_packet(self, target, key, data):
        """Check a packet that a target takes as meant for it."""
        if SERVICES.get(key[3]) != target.service:
            self.report(f'target {target.number} of {target.service} got {key}')
        if data:
            found = self._data_at[key]
            found.add(target.number)
            if len(found) == 2:
                openers = [one.number for one in self._openers[key]]
                self.report(f'data of {key} at {found}, opened at {openers}')

    def note_open(self, target, key, now):
        """Check a new flow at a target."""
        self._openers[key].append(target)
        self._check_since(target.draining_since, f'{target.number} drains', now)
        self._check_since(self.drained.get(target.zone), 'zone drains', now)
        self._check_since(self.dropped.get(target.service), 'dropped', now)
        if target.service == 'probe':
            self.note_probe(target.via, True, now, target.sent_at)

    def note_reset(self, flow, now):
        """Check a reset of the system's own."""
        via = flow.sender
        self.resets[flow.state] += 1
        if flow.state == 'opening':
            self._reset_keys.add(flow.key)
            if flow.key in self._run_keys:
                self.report(f'{flow.key} ran and its opening was reset')
            if flow.request is None and now > self.murky_until:
                self.note_probe(via, False, now)
            return
        service = SERVICES[flow.key[3]]
        if service in self.dropped:
            return
        if self.undropped.get(service, 0) > flow.began_at:
            return
        for target in self._openers[flow.key]:
            held = target.flows.get(flow.key)
            way = (self.zone_of[via], target.zone)
            cut = now < self.cuts.get(way, -CUT_S) + CUT_S
            if target.alive and held is not None and held.opened and not cut:
                self.report(
                    f'{via} reset {flow.key}, open at live {target.number}'
                )

    def note_run(self, target, key, text):
        """Check the start of a run."""
        self._run_keys.add(key)
        if key in self._reset_keys:
            self.report(f'{key} runs though its opening was reset')
        runs = self._runs[text]
        runs.append(target.number)
        if text.endswith(b'once') and len(runs) > 1:
            self.report(f'{text.decode()} ran at {runs}')

    def note_cut(self, flow, opened, reason, now):
        """Check a try that has failed."""
        if opened and now < self.lone_until:
            self.report(f'{flow.key} was cut by a planned stop: {reason}')

    def note_outcome(self, request, outcome, now):
        """Note what became of a request after all its tries."""
        self.outcomes[outcome] += 1
        if outcome == 'served':
            self.served.add(request.number)
        elif now < self.lone_until:
            self.report(f'a planned stop: {request} ends as {outcome}')

    def is_due(self, since, now):
        """Say whether a change must be in force, here and everywhere."""
        told_at = max(since, self.untold_at)
        return now > told_at + BOUND_S + SLACK_S + self.stall_s

    def _check_since(self, since, what, now):
        if since is not None and self.is_due(since, now):
            self.report(f'new flow {now - since:.1f} s after: {what}')

    def note_probe(self, via, present, now, sent_at=None):
        """Check whether a probe's answer fits a version that may be known.

        :param sent_at: when the instance sent it, if the path held it up: it
            tells nothing of what the instance did after that.
        """
        sent_at = now if sent_at is None else sent_at
        self.last_probe[via] = present
        due = [
            number
            for number, (at, _) in enumerate(self.versions)
            if self.is_due(at, now)
        ]
        known = [number for at, number in self.seen[via] if at <= sent_at]
        least = max(known + due, default=0)
        for number in range(least, len(self.versions)):
            if self.versions[number][1] is present:
                self.seen[via].append((now, number))
                return
        self.report(
            f'{via}: probe route {present=}, version {least} or later is due'
            f' of {[(round(now - at, 2), there) for at, there in self.versions]}'
        )
