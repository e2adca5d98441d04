"""Adopts a changed settings file while the instance runs.

The platform places the file anew and mostly signals it, but not always.
After a signal the file is read at once.  Without one its identity is looked
at now and then, and a file that has changed is read once it has stayed the
same for one look: until then it may be half-written, and half of a file can
be valid and lack fields.  A file that is bad or has just changed is read
again at each look, so nothing is missed whatever order signals and changes
come in.
"""

import logging
import os
import queue
import signal
import time

from cornelgap.platform.settings import load_node_settings
from cornelgap.platform.settings_changes import (
    compare_settings,
    merge_settings,
)

LOOK_S = 1.0
"""Seconds between two looks at the file.  A change without a signal is in
force two looks later, within the shortest time promised for changes."""

CALM_S = 0.05
"""Pause after a signal, seconds: a storm of signals must not take the
processor from the packets."""

MAX_ERRORS = 8
"""Errors of one file that are logged; with more, a line would be too long to
be written whole."""

VALUE_LENGTH = 100
"""Characters of a value that are logged, for the same reason."""

ADOPTED = 'adopted'
REFUSED = 'refused'
_LOG = logging.getLogger('cornelgap.node')


class SettingsWatch:
    """The settings in force, and the file that they come from.

    :param path: path of the file.
    :param running: settings that hold,
        :class:`~cornelgap.platform.settings.NodeSettings`.
    :param adopt: function of changed settings that puts them in force.
    :ivar counts: files by what became of them.
    """

    def __init__(self, path, running, adopt):
        """Hold the settings with which the process has started."""
        self.running = running
        self.counts = {ADOPTED: 0, REFUSED: 0}
        self._path = path
        self._adopt = adopt
        self._loaded = running
        self._identity = None
        self._settled = False
        self._errors = []

    def look(self, signalled):
        """Read the file if it has changed, or may have.

        :param signalled: whether the platform says so; the file is then read
            even if it seems to be the same.
        """
        identity = read_identity(self._path)
        unchanged = identity == self._identity
        self._identity = identity
        if not signalled and not unchanged:
            self._settled = False
        elif signalled or not self._settled:
            loaded, errors = load_node_settings(self._path)
            self._settled = unchanged and not errors
            if errors:
                self._refuse([str(exc) for exc in errors], signalled)
            else:
                self._take(loaded)

    def _take(self, loaded):
        self._errors = []
        if loaded == self._loaded:
            return
        self._loaded = loaded
        difference = compare_settings(self.running, loaded)
        if difference.live:
            self.running = merge_settings(self.running, loaded)
            self._adopt(self.running)
            _LOG.info(
                'node: settings changed',
                extra={'changed': _describe(difference.live)},
            )
        if difference.fixed:
            _LOG.warning(
                'node: settings need a restart',
                extra={'fields': _describe(difference.fixed)},
            )
        self.counts[ADOPTED] += 1

    def _refuse(self, errors, signalled):
        # A bad file is read again and again, and told once.
        if errors == self._errors and not signalled:
            return
        self._errors = errors
        self.counts[REFUSED] += 1
        _LOG.error(
            'node: settings refused',
            extra={'errors': errors[:MAX_ERRORS], 'number': len(errors)},
        )


def read_identity(path):
    """Read what changes with a file.

    :returns: tuple, None if there is no file.
    """
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def watch_until_stopped(signals, look):
    """Look at the settings until SIGTERM.

    :param signals: queue with the numbers of signals that have come.
    :param look: :meth:`SettingsWatch.look`.
    """
    while True:
        found = take_signals(signals, LOOK_S)
        if signal.SIGTERM in found:
            return
        look(signal.SIGHUP in found)
        if found:
            time.sleep(CALM_S)


def take_signals(signals, wait_s):
    """Wait for a signal, and take all that have come.

    :returns: set of numbers, empty if none came in time.
    """
    found = set()
    try:
        found.add(signals.get(timeout=wait_s))
        while True:
            found.add(signals.get_nowait())
    except queue.Empty:
        return found


def _describe(changed):
    """Write values before and after so that one log line holds them."""
    return {
        field: [repr(value)[:VALUE_LENGTH] for value in values]
        for field, values in changed.items()
    }
