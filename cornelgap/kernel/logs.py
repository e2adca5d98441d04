"""Structured logs: one JSON object a line, a fixed prefix for each part.

A part logs through ``logging.getLogger('cornelgap.PART')`` with messages
that begin with ``PART: `` and do not change; what varies goes into
``extra``.  So equal messages are recognised, and repeats are limited.
"""

import logging
import os
import select
import sys
import time
from collections import OrderedDict

from pythonjsonlogger.json import JsonFormatter

from cornelgap.core.errors import Code, CodedError

ROOT = 'cornelgap'
PARTS = (
    'admin',
    'cfg',
    'directory',
    'entry',
    'follower',
    'forwarding',
    'instances',
    'links',
    'loops',
    'metrics',
    'node',
    'ready',
    'supervision',
    'tls',
)
LEVELS = ('debug', 'info', 'warning', 'error')

REPEAT_COUNT = 5
REPEAT_S = 10.0
"""Equal messages let through in this many seconds.  A platform that is down
or a peer that sends rubbish would otherwise write thousands of lines a
second, and the one line that matters would be lost among them."""

MAX_MESSAGES = 500

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
_NAMES = {'asctime': 'time', 'levelname': 'level', 'name': 'part'}


class RepeatFilter(logging.Filter):
    """Lets through a few equal messages, then counts them silently.

    The next one that passes says in ``suppressed`` how many did not.

    :param now: clock in seconds.
    """

    def __init__(self, now=time.monotonic):
        """Know no message yet."""
        super().__init__()
        self._now = now
        self._seen = OrderedDict()

    def filter(self, record):
        """Say whether a record passes."""
        key = (record.name, record.levelno, str(record.msg))
        now = self._now()
        began, count = self._seen.pop(key, (now, 0))
        if now - began >= REPEAT_S:
            if count > REPEAT_COUNT:
                record.suppressed = count - REPEAT_COUNT
            began, count = now, 0
        self._seen[key] = (began, count + 1)
        if len(self._seen) > MAX_MESSAGES:
            self._seen.popitem(last=False)
        return count < REPEAT_COUNT


class RateFilter(logging.Filter):
    """Lets through a number of lines a second, then counts them silently.

    For a process whose every abnormal decision has a line of its own: a
    disturbance of thousands of flows must not fill the log collector.

    :param per_s: lines a second; warnings and errors may take twice that.
    :param now: clock in seconds.
    """

    def __init__(self, per_s, now=time.monotonic):
        """Begin a second."""
        super().__init__()
        self._per_s = per_s
        self._now = now
        self._second = None
        self._count = 0
        self._suppressed = 0

    def filter(self, record):
        """Say whether a record passes."""
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._count = 0
        limit = self._per_s
        if record.levelno >= logging.WARNING:
            limit = 2 * self._per_s
        if self._count >= limit:
            self._suppressed += 1
            return False
        # Only lines that pass count: after a storm of information the
        # warnings would otherwise find their part of the second used up.
        self._count += 1
        if self._suppressed:
            record.suppressed = self._suppressed
            self._suppressed = 0
        return True


class LineHandler(logging.Handler):
    """Writes each record as one line to a descriptor, and never waits.

    A log collector that has stopped reading fills the pipe between it and
    the process; the next plain write would block the actor that logs, and
    with it all packets.  A pipe that polls as writable takes PIPE_BUF bytes
    at once, so a line of that length is written whole or not at all; lines
    that find no room are counted, and the next one that does says so in
    ``suppressed``.

    :param descriptor: number of an open file, pipe or terminal.
    """

    def __init__(self, descriptor):
        """Write to the descriptor, which stays the caller's."""
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lost = 0

    def emit(self, record):
        """Write one record, or count it as lost."""
        missing = self._lost + getattr(record, 'suppressed', 0)
        if missing:
            record.suppressed = missing
        try:
            written = self._write(self._make_line(record))
        except OSError:
            # The reader has closed its end; there is nobody to tell.
            written = False
        self._lost = 0 if written else missing + 1

    def _make_line(self, record):
        line = f'{self.format(record)}\n'.encode()
        if len(line) <= select.PIPE_BUF:
            return line
        # Only the traceback can be that long; the message still says what.
        record.exc_info = None
        record.exc_text = None
        return f'{self.format(record)}\n'.encode()

    def _write(self, line):
        if len(line) > select.PIPE_BUF or not self._poll.poll(0):
            return False
        os.write(self._descriptor, line)
        return True


def check_levels(options):
    """Check the section ``[logs]`` of a process's settings.

    :param options: level by part; ``level`` stands for all others.
    :returns: list of :class:`CodedError`.
    """
    errors = []
    for name, level in options.items():
        if name != 'level' and name not in PARTS:
            errors.append(
                CodedError(
                    Code.CFG_UNKNOWN_OPTION,
                    f'known are level, {", ".join(PARTS)}',
                    f'[logs] {name}',
                )
            )
        if level.lower() not in LEVELS:
            errors.append(
                CodedError(
                    Code.CFG_BAD_VALUE,
                    f'expected {", ".join(LEVELS)}',
                    f'[logs] {name}',
                )
            )
    return errors


def configure_logs(
    options, instance='', handler=None, now=time.monotonic, limit=None
):
    """Send all logs of the process to a handler.

    :param options: section ``[logs]``, checked by :func:`check_levels`.
    :param instance: name that each line bears.
    :param handler: a :class:`LineHandler` to standard error by default.
    :param limit: filter that bounds the volume; equal messages are counted
        by default.
    :returns: the handler.
    """
    handler = handler or LineHandler(sys.stderr.fileno())
    handler.setFormatter(
        JsonFormatter(
            _FIELDS,
            rename_fields=_NAMES,
            static_fields={'instance': instance} if instance else None,
        )
    )
    handler.addFilter(limit or RepeatFilter(now))
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    _set_level(logging.getLogger(ROOT), options.get('level', 'info'))
    for part in PARTS:
        if part in options:
            _set_level(logging.getLogger(f'{ROOT}.{part}'), options[part])
    return handler


def _set_level(logger, level):
    logger.setLevel(level.upper())
