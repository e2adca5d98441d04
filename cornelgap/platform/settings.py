"""The settings file that the platform gives to a process (TOML)."""

import tomllib

from msgspec import Struct

from cornelgap.core.errors import Code, CodedError
from cornelgap.decisions.cold_starts import ColdLimit
from cornelgap.decisions.following import MIN_WATCH_WAIT_S

VARIABLE = 'CORNELGAP_CONFIG'
"""Environment variable with the path of the file."""

LARGEST = 10**9
"""Largest number that is read; sums and products of such numbers are finite."""

SHORTEST_MS = int(MIN_WATCH_WAIT_S * 1000)
"""Shortest bound, milliseconds: a watch must not wait for longer."""

TEXT_LENGTH = 80
"""Characters of a bad value that an error shows."""


class NodeSettings(Struct, frozen=True):
    """What this process needs of its settings.

    :param packets: tuple (host, port) at which callers' packets arrive; the
        port is also where packets for callers are sent.
    :param ready: tuple (host, port) of the readiness endpoint.
    :param inner_ports: first and last port that are free between instances.
    :param seeds: hosts of a few other instances, perhaps stale.
    :param store: tuple (host, port) of the platform's store.
    :param apply_s: time within which a change must be in force, seconds.
    :param drain_s: time within which a draining target must get no new
        flow, seconds.
    :param capacity: the machine's link, in Mbit/s, as a power of two.
    :param cold_limit: what a cold target may get, None if that is not bounded.
    :param grace_s: time between SIGTERM and SIGKILL, seconds.
    """

    name: str
    zone: str
    host: str
    packets: tuple
    ready: tuple
    inner_ports: tuple
    seeds: tuple
    store: tuple
    apply_s: float
    drain_s: float
    grace_s: float
    capacity: int
    cold_limit: ColdLimit | None = None


def load_node_settings(path):
    """Load the settings file; any error refuses it.

    :returns: tuple (:class:`NodeSettings` or None, list of
        :class:`CodedError`); each error names file and field.
    """
    settings, errors = load_start_settings(path)
    return (None if errors else settings), errors


def load_start_settings(path):
    """Load the settings file for a start, which has no others to fall back on.

    Numbers out of bounds are limited to them and bad seeds are left out, so
    that only what an instance cannot run without keeps it down.

    :returns: tuple (:class:`NodeSettings`, None if it cannot start; list of
        :class:`CodedError`); each error names file and field.
    """
    try:
        with open(path, 'rb') as file:
            content = tomllib.load(file)
    except OSError as exc:
        return None, [CodedError(Code.CFG_UNREADABLE, str(exc), path)]
    except (ValueError, RecursionError) as exc:
        return None, [CodedError(Code.CFG_SYNTAX, str(exc), path)]
    reader = _Reader(path, content)
    settings = NodeSettings(
        name=reader.read('node_name', str),
        zone=reader.read('zone', str),
        host=reader.read('ip', str),
        packets=reader.read_address('listen.datagram_addr'),
        ready=reader.read_address('listen.ready'),
        inner_ports=tuple(reader.read('internal_ports', list, [])),
        seeds=reader.read_hosts('seeds'),
        store=reader.read_address('platform.address'),
        apply_s=_read_bound(reader, 'bounds.config_apply_ms'),
        drain_s=_read_bound(reader, 'bounds.drain_ms'),
        grace_s=reader.read_number('bounds.grace_s', 6, above=0),
        capacity=int(reader.read_number('limits.link_mbps', 0)).bit_length(),
        cold_limit=_read_cold_limit(reader),
    )
    form = reader.read('forwarding_mode', str, 'echo')
    if form != 'echo':
        reader.add_error('forwarding_mode', f'{form} is not supported')
    return (None if reader.fatal else settings), reader.errors


def _read_bound(reader, field):
    return reader.read_number(field, 3000, SHORTEST_MS) / 1000


def _read_cold_limit(reader):
    fields = ('bounds.cold_over', 'bounds.cold_slack')
    bounds = [reader.read_number(field, 0) for field in fields]
    # A start must not take a bound that is switched off for one of nothing.
    if not any(map(reader.has_amount, fields)):
        return None
    return ColdLimit(*bounds)


class _Reader:
    """Reads fields and collects errors, so that all are told at once."""

    def __init__(self, path, content):
        self.errors = []
        self.fatal = False
        self._path = path
        self._content = content

    def add_error(self, field, text, code=Code.CFG_BAD_VALUE, fatal=True):
        self.errors.append(CodedError(code, text, f'{self._path} {field}'))
        self.fatal = self.fatal or fatal

    def has_amount(self, field):
        found = self._find(field)
        return isinstance(found, (int, float)) and found >= 0

    def read(self, field, kind, default=None):
        found = self._find(field)
        if found is None:
            if default is None:
                self.add_error(field, 'is missing', Code.CFG_MISSING_OPTION)
                return kind()
            return default
        if not isinstance(found, kind) or isinstance(found, bool):
            self.add_error(field, f'{_show(found)} is no {kind.__name__}')
            return kind()
        return found

    def read_number(self, field, default, least=0, above=None):
        found = self._find(field)
        if found is None:
            return default
        if isinstance(found, bool) or not isinstance(found, (int, float)):
            self.add_error(field, f'{_show(found)} is no number')
            return default
        # No comparison holds for a value that is not a number.
        if not least <= found <= LARGEST:
            text = f'{_show(found)} is not from {least} to {LARGEST}'
            self.add_error(field, text, fatal=False)
            return min(max(least, found), LARGEST)
        if above is not None and found <= above:
            text = f'{_show(found)} is not above {above}'
            self.add_error(field, text, fatal=False)
        return found

    def read_address(self, field):
        return self._split_address(field, self.read(field, str))

    def read_hosts(self, field):
        hosts = []
        for text in self.read(field, list, []):
            if isinstance(text, str) and text:
                host, _ = self._split_address(field, text, fatal=False)
                hosts.append(host)
            else:
                error = f'{_show(text)} is no HOST:PORT'
                self.add_error(field, error, fatal=False)
        return tuple(filter(None, hosts))

    def _find(self, field):
        found = self._content
        for part in field.split('.'):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def _split_address(self, field, text, fatal=True):
        host, _, port = text.rpartition(':')
        is_port = port.isascii() and port.isdigit()
        if text and not (host and is_port):
            error = f'{_show(text)} is no HOST:PORT'
            self.add_error(field, error, fatal=fatal)
        return host, int(port) if is_port else 0


def _show(found):
    try:
        return repr(found)[:TEXT_LENGTH]
    except ValueError:
        # Python writes no number of thousands of digits.
        return 'the number'
