"""The settings file that the platform gives to a process (TOML)."""

import tomllib

from msgspec import Struct

from cornelgap.core.errors import Code, CodedError
from cornelgap.decisions.cold_starts import ColdLimit

VARIABLE = 'CORNELGAP_CONFIG'
"""Environment variable with the path of the file."""


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
    """Load the settings file.

    :returns: tuple (:class:`NodeSettings` or None, list of
        :class:`CodedError`); each error names file and field.
    """
    try:
        with open(path, 'rb') as file:
            content = tomllib.load(file)
    except OSError as exc:
        return None, [CodedError(Code.CFG_UNREADABLE, str(exc), path)]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return None, [CodedError(Code.CFG_SYNTAX, str(exc), path)]
    reader = _Reader(path, content)
    settings = NodeSettings(
        name=reader.read('node_name', str),
        zone=reader.read('zone', str),
        host=reader.read('ip', str),
        packets=reader.read_address('listen.datagram_addr'),
        ready=reader.read_address('listen.ready'),
        inner_ports=tuple(reader.read('internal_ports', list, [])),
        seeds=tuple(
            seed.rpartition(':')[0] for seed in reader.read('seeds', list, [])
        ),
        store=reader.read_address('platform.address'),
        apply_s=reader.read_number('bounds.config_apply_ms', 3000) / 1000,
        drain_s=reader.read_number('bounds.drain_ms', 3000) / 1000,
        grace_s=reader.read_number('bounds.grace_s', 6),
        capacity=int(reader.read_number('limits.link_mbps', 0)).bit_length(),
        cold_limit=_read_cold_limit(reader),
    )
    form = reader.read('forwarding_mode', str, 'echo')
    if form != 'echo':
        reader.add_error('forwarding_mode', f'{form} is not supported')
    return (None if reader.errors else settings), reader.errors


def _read_cold_limit(reader):
    over = reader.read_number('bounds.cold_over', -1)
    slack = reader.read_number('bounds.cold_slack', -1)
    if over < 0 and slack < 0:
        return None
    return ColdLimit(max(0, over), max(0, slack))


class _Reader:
    """Reads fields and collects errors, so that all are told at once."""

    def __init__(self, path, content):
        self.errors = []
        self._path = path
        self._content = content

    def add_error(self, field, text, code=Code.CFG_BAD_VALUE):
        self.errors.append(CodedError(code, text, f'{self._path} {field}'))

    def read(self, field, kind, default=None):
        found = self._content
        for part in field.split('.'):
            found = found.get(part) if isinstance(found, dict) else None
        if found is None:
            if default is None:
                self.add_error(field, 'is missing', Code.CFG_MISSING_OPTION)
                return kind()
            return default
        if not isinstance(found, kind) or isinstance(found, bool):
            self.add_error(field, f'{found!r} is no {kind.__name__}')
            return kind()
        return found

    def read_number(self, field, default):
        return self.read(field, (int, float), default)

    def read_address(self, field):
        text = self.read(field, str)
        host, _, port = text.rpartition(':')
        if text and not (host and port.isdigit()):
            self.add_error(field, f'{text!r} is no HOST:PORT')
        return host, int(port) if port.isdigit() else 0
