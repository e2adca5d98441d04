"""Structured logging: one JSON object per line.

Each part of the program logs through ``logging.getLogger('cornelgap.PART')``
with constant messages that begin with ``PART: ``; variable data goes into
``extra``.  Constant messages let the filters recognise and limit repeats.
"""

import logging
import os
import select
import sys
import time
from collections import OrderedDict

from pythonjsonlogger.json import JsonFormatter

from cornelgap.core.errors import Code, CodedError

ROOT_LOGGER_NAME = 'cornelgap'
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

MAX_REPEATS = 5
REPEAT_WINDOW_S = 10.0
"""Seconds in which at most :data:`MAX_REPEATS` equal messages pass.  Without
this limit an unreachable platform or a peer that sends invalid data would
cause thousands of lines a second, and the relevant line would be lost among
them."""

MAX_TRACKED_MESSAGES = 500
"""Distinct messages tracked; the least recently logged is dropped first."""

_LINE_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_FIELD_NAMES = {'asctime': 'time', 'levelname': 'level', 'name': 'part'}


class RepeatFilter(logging.Filter):
    """Limits how often equal messages pass in a time window.

    Suppressed records are counted, and the next equal record that passes
    carries the count in ``suppressed``.

    :param now: function that returns the time in seconds.
    """

    def __init__(self, now=time.monotonic):
        """Start without any tracked message."""
        super().__init__()
        self._now = now
        self._windows = OrderedDict()

    def filter(self, record):
        """Say whether a record passes."""
        key = (record.name, record.levelno, str(record.msg))
        now = self._now()
        window_start, count = self._windows.pop(key, (now, 0))
        if now - window_start >= REPEAT_WINDOW_S:
            if count > MAX_REPEATS:
                record.suppressed = count - MAX_REPEATS
            window_start, count = now, 0
        self._windows[key] = (window_start, count + 1)
        if len(self._windows) > MAX_TRACKED_MESSAGES:
            self._windows.popitem(last=False)
        return count < MAX_REPEATS


class RateFilter(logging.Filter):
    """Limits the number of lines per second, whatever their messages.

    Meant for a process that logs a separate line for each abnormal decision:
    a fault that affects thousands of flows must not overload the log
    collector.  Suppressed records are counted, and the next record that
    passes carries the count in ``suppressed``.

    :param per_s: lines per second; for warnings and errors the limit is
        twice as high.
    :param now: function that returns the time in seconds.
    """

    def __init__(self, per_s, now=time.monotonic):
        """Start without any counted line."""
        super().__init__()
        self._per_s = per_s
        self._now = now
        self._current_second = None
        self._count = 0
        self._suppressed = 0

    def filter(self, record):
        """Say whether a record passes."""
        second = int(self._now())
        if second != self._current_second:
            self._current_second = second
            self._count = 0
        limit = self._per_s
        if record.levelno >= logging.WARNING:
            limit = 2 * self._per_s
        if self._count >= limit:
            self._suppressed += 1
            return False
        # Count only the lines that pass.  Otherwise a burst of info lines
        # would also use up the capacity reserved for warnings.
        self._count += 1
        if self._suppressed:
            record.suppressed = self._suppressed
            self._suppressed = 0
        return True


class LineHandler(logging.Handler):
    """Writes each record as one line to a file descriptor without blocking.

    When a log collector stops reading, the pipe to it fills up; an ordinary
    write would then block the actor that logs, and with it the handling of
    all packets.  A pipe that polls as writable accepts PIPE_BUF bytes at
    once, so a line of up to that length is written whole or not at all.
    Lines that do not fit are counted, and the next line that is written
    carries the count in ``suppressed``.

    :param descriptor: descriptor of an open file, pipe or terminal.
    """

    def __init__(self, descriptor):
        """Use a descriptor, which the caller remains responsible to close."""
        super().__init__()
        self._descriptor = descriptor
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)
        self._dropped_count = 0

    def emit(self, record):
        """Write one record or count it as dropped."""
        dropped_count = self._dropped_count + getattr(record, 'suppressed', 0)
        if dropped_count:
            record.suppressed = dropped_count
        try:
            written = self._write_line(self._format_line(record))
        except OSError:
            # The reader has closed its end of the pipe.
            written = False
        self._dropped_count = 0 if written else dropped_count + 1

    def _format_line(self, record):
        line = f'{self.format(record)}\n'.encode()
        if len(line) <= select.PIPE_BUF:
            return line
        # Only a traceback makes a line this long; keep the message.
        record.exc_info = None
        record.exc_text = None
        return f'{self.format(record)}\n'.encode()

    def _write_line(self, line):
        if len(line) > select.PIPE_BUF or not self._poller.poll(0):
            return False
        os.write(self._descriptor, line)
        return True


def check_levels(options):
    """Check the section ``[logs]`` of a process's settings.

    :param options: dict of levels by part; the key ``level`` sets the level
        of all other parts.
    :returns: list of :class:`CodedError`.
    """
    errors = []
    for name, level in options.items():
        if name != 'level' and name not in PARTS:
            errors.append(
                CodedError(
                    Code.CFG_UNKNOWN_OPTION,
                    f'expected one of level, {", ".join(PARTS)}',
                    f'[logs] {name}',
                )
            )
        if level.lower() not in LEVELS:
            errors.append(
                CodedError(
                    Code.CFG_BAD_VALUE,
                    f'expected one of {", ".join(LEVELS)}',
                    f'[logs] {name}',
                )
            )
    return errors


def configure_logs(
    options, instance='', handler=None, now=time.monotonic, volume_filter=None
):
    """Send all logs of the process to one handler.

    :param options: section ``[logs]``, checked by :func:`check_levels`.
    :param instance: instance name, written in each line unless empty.
    :param handler: by default a :class:`LineHandler` for standard error.
    :param now: function that returns the time in seconds, for the default
        filter.
    :param volume_filter: filter that limits the number of lines, by default a
        :class:`RepeatFilter`.
    :returns: the handler.
    """
    handler = handler or LineHandler(sys.stderr.fileno())
    handler.setFormatter(
        JsonFormatter(
            _LINE_FORMAT,
            rename_fields=_FIELD_NAMES,
            static_fields={'instance': instance} if instance else None,
        )
    )
    handler.addFilter(volume_filter or RepeatFilter(now))
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    _set_level(
        logging.getLogger(ROOT_LOGGER_NAME), options.get('level', 'info')
    )
    for part in PARTS:
        if part in options:
            _set_level(
                logging.getLogger(f'{ROOT_LOGGER_NAME}.{part}'), options[part]
            )
    return handler


def _set_level(logger, level):
    logger.setLevel(level.upper())
