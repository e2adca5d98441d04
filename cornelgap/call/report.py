"""What a load run saw, as counts and percentiles."""

from collections import Counter
from dataclasses import dataclass, field
from hashlib import blake2b

from cornelgap.core.verdicts import RunState

PERCENTILES = (50, 90, 99, 99.9)


def pick_percentiles(samples):
    """Pick percentiles of samples, by the nearest rank.

    :param samples: numbers in any order.
    :returns: value by name, such as ``p99``; empty without samples.
    """
    ranked = sorted(samples)
    if not ranked:
        return {}
    found = {
        f'p{share:g}': round(ranked[_rank(len(ranked), share)], 3)
        for share in PERCENTILES
    }
    found['max'] = round(ranked[-1], 3)
    return found


def _rank(count, share):
    return min(count - 1, max(0, int(count * share / 100 + 0.5) - 1))


@dataclass(slots=True)
class FeedLog:
    """What came of one feed.

    :param digest: running hash over all payloads in order, so that a
        checker can compare without keeping them.
    :param gap_s: longest time between two events.
    """

    flow: str
    topic: str
    position: int = 0
    out_of_order: int = 0
    resumes: int = 0
    ended: str = ''
    gap_s: float = 0
    last_at: float = 0
    digest: object = field(default_factory=blake2b)

    def note_item(self, now, position, payload):
        """Note an event as its caller got it."""
        if position != self.position:
            self.out_of_order += 1
        self.position = position + 1
        self.digest.update(payload)
        self.note_gap(now)

    def note_gap(self, now):
        """Note the time since the last event, or since the start."""
        self.gap_s = max(self.gap_s, now - self.last_at)
        self.last_at = now


@dataclass(slots=True)
class LoadLog:
    """Everything that a load run saw."""

    opened: int = 0
    open_failed: int = 0
    moves: int = 0
    resends: int = 0
    open_ms: list = field(default_factory=list)
    answer_ms: list = field(default_factory=list)
    verdicts: Counter = field(default_factory=Counter)
    bytes_in: int = 0
    feeds: list = field(default_factory=list)

    def note_verdict(self, verdict, answered):
        """Count a verdict by what it says and its code."""
        name = verdict.ran.name.lower()
        if verdict.ran is RunState.DONE and not answered:
            name = 'done_answer_gone'
        self.verdicts[f'{name} {verdict.code}'.strip()] += 1

    def summarize(self, seconds, stall_s):
        """Summarize as plain data.

        :param stall_s: a feed with a longer gap counts as stalled.
        """
        return {
            'seconds': round(seconds, 2),
            'flows': self.opened,
            'opens_failed': self.open_failed,
            'opens_per_s': round(self.opened / seconds, 1),
            'open_ms': pick_percentiles(self.open_ms),
            'requests': sum(self.verdicts.values()),
            'requests_per_s': round(len(self.answer_ms) / seconds, 1),
            'verdicts': dict(self.verdicts),
            'answer_ms': pick_percentiles(self.answer_ms),
            'answer_bytes': self.bytes_in,
            'resends': self.resends,
            'moves': self.moves,
            'feeds': len(self.feeds),
            'feed_items': sum(feed.position for feed in self.feeds),
            'feeds_broken': sum(bool(feed.ended) for feed in self.feeds),
            'feeds_out_of_order': sum(f.out_of_order for f in self.feeds),
            'feeds_stalled': sum(f.gap_s > stall_s for f in self.feeds),
            'feed_resumes': sum(feed.resumes for feed in self.feeds),
            'longest_gap_s': round(
                max((feed.gap_s for feed in self.feeds), default=0), 3
            ),
        }
