"""What a target stand-in does with a payload: commands for tests.

A payload is a command in plain text, so that a checker can tell from the
request alone what the answer must be:

- ``echo TEXT`` answers TEXT;
- ``work MS TEXT`` keeps a slot for MS milliseconds, then answers TEXT;
- ``wait TEXT`` keeps a slot until the target's gate is open, then answers;
- ``make SIZE SEED`` answers SIZE bytes that follow from SEED;
- ``file NAME`` answers a file of the target's folder;
- ``hold SLOT`` counts a hold of a lesson slot, not idempotent;
- ``feed NAME RATE [COUNT]`` is a feed's topic.
"""

import hashlib
import random
from dataclasses import dataclass
from pathlib import Path


class WorkError(Exception):
    """A payload that is no command, or names a file that is not there."""


@dataclass(frozen=True, slots=True)
class Work:
    """A parsed command.

    :param hold_s: how long it keeps its slot beyond computing the answer.
    """

    verb: str
    rest: str
    hold_s: float = 0


@dataclass(frozen=True, slots=True)
class Topic:
    """A parsed topic of a feed.

    :param rate: events per second.
    :param count: events until the feed ends, 0 for no end.
    """

    name: str
    rate: float
    count: int


def parse_work(payload):
    """Parse a payload.

    :raises WorkError: if it is no command.
    """
    verb, _, rest = payload.decode(errors='replace').partition(' ')
    if verb == 'work':
        millis, _, rest = rest.partition(' ')
        return Work(verb, rest, _parse_float(millis) / 1000)
    if verb in {'echo', 'wait', 'make', 'file', 'hold', 'dump', 'switch'}:
        return Work(verb, rest)
    raise WorkError(f'no such command: {verb[:20]}')


def parse_topic(payload):
    """Parse the topic of a feed.

    :raises WorkError: if it is none.
    """
    words = payload.decode(errors='replace').split()
    if len(words) not in {3, 4} or words[0] != 'feed':
        raise WorkError('a topic reads: feed NAME RATE [COUNT]')
    count = int(_parse_float(words[3])) if len(words) == 4 else 0
    return Topic(words[1], max(_parse_float(words[2]), 0.001), count)


def make_bytes(size, seed):
    """Make bytes that follow from a seed."""
    return random.Random(int(seed)).randbytes(int(size))


def make_event(topic, position):
    """Make the event of a topic at a position, the same at every target."""
    digest = hashlib.blake2b(f'{topic}/{position}'.encode(), digest_size=8)
    return f'{topic} {position} {digest.hexdigest()}'.encode()


def compute_answer(work, folder):
    """Compute the answer of a command that needs no state.

    :param folder: where ``file`` may read, or None.
    :raises WorkError: as the module tells.
    """
    if work.verb == 'make':
        size, _, seed = work.rest.partition(' ')
        try:
            return make_bytes(size, seed or 0)
        except ValueError as exc:
            raise WorkError('make SIZE SEED') from exc
    if work.verb == 'file':
        return _read_file(work.rest, folder)
    return work.rest.encode()


def _read_file(name, folder):
    if folder is None:
        raise WorkError('this target has no folder')
    root = Path(folder).resolve()
    path = (root / name).resolve()
    # A name such as ../secret would otherwise leave the folder, and the
    # caller would receive any file that the target's process can read.
    if not path.is_relative_to(root) or not path.is_file():
        raise WorkError('no such file')
    return path.read_bytes()


def _parse_float(text):
    try:
        return float(text)
    except ValueError as exc:
        raise WorkError(f'not a number: {text[:20]}') from exc
