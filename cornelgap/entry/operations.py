"""What operators see of one entry instance: its API, metrics and probes."""

import functools

import pykka

from cornelgap.entry.admin import (
    AdminService,
    parse_operators,
    start_admin_server,
)
from cornelgap.entry.cfg_actor import CFG, ReadBundle
from cornelgap.entry.instances import INSTANCES, LookAround
from cornelgap.entry.metric_list import (
    CATALOGUE,
    list_crashes,
    read_process,
    read_samples,
)
from cornelgap.entry.packets import PACKETS, ReadState
from cornelgap.entry.views import read_status
from cornelgap.kernel.credentials import load_server_credentials
from cornelgap.kernel.metrics import MetricsActor
from cornelgap.kernel.names import (
    ServiceMissing,
    get_actor,
    tell_actor,
)
from cornelgap.kernel.supervision import (
    PROBE_INTERVAL_S,
    SUPERVISOR,
    GetCrashCounts,
    ProbeActors,
    WatchActor,
)

START_S = 10.0
"""Longest wait for a server to listen, in seconds."""

ANSWER_S = 1.0
"""Longest wait for the packet actor by a page of the metrics, in seconds."""

_NO_REVISION = 2**63
_PROBES = (
    (PACKETS, ReadState(lambda state, now: True)),
    (CFG, ReadBundle(frozenset(), _NO_REVISION)),
    (INSTANCES, LookAround()),
)


class Operations:
    """Owner of the administration server, the metrics and the probes.

    :param admin: ``host:port`` that the administration API is served at.
    """

    def __init__(self, loops):
        """Own nothing yet; see :meth:`start`."""
        self.admin = ''
        self._loops = loops
        self._server = None
        self._metrics = None
        self._stop_probes = None

    @classmethod
    def start(cls, settings, trust, loops, leave, started):
        """Start everything; the other tasks may start later.

        :param settings: :class:`cornelgap.entry.settings.Settings`.
        :param trust: :class:`cornelgap.entry.trust.Trust`.
        :param leave: begins a planned stop; must not block.
        :param started: when the process started, on the monotonic clock.
        """
        operations = cls(loops)
        operations.start_admin(settings, trust, leave, started)
        if settings.metrics:
            operations.start_metrics(settings, started)
        return operations

    def start_admin(self, settings, trust, leave, started):
        """Serve the administration API."""
        read = functools.partial(read_status, started=started)
        options = settings.sections.get('admin', {})
        service = AdminService(
            functools.partial(_ask_state, settings.name, read),
            leave,
            parse_operators(options.get('operators', '')),
        )
        self._server, port = self._loops.submit(
            start_admin_server(
                service, settings.admin, load_server_credentials(trust.fleet)
            )
        ).result(START_S)
        self.admin = f'{settings.admin.rpartition(":")[0]}:{port}'

    def start_metrics(self, settings, started):
        """Serve metrics and health."""
        scope = settings.name
        self._metrics = MetricsActor.start(
            scope,
            settings.metrics,
            CATALOGUE,
            functools.partial(_read_samples, scope, started),
            functools.partial(_read_ready, scope),
        )

    def watch_actors(self, scope):
        """Let the supervisor probe the actors; all of them run by now."""
        for name, probe in _PROBES:
            ref = get_actor(scope, name)
            tell_actor(scope, SUPERVISOR, WatchActor(name, ref, probe))
        self._stop_probes = self._loops.call_every(
            PROBE_INTERVAL_S,
            lambda: tell_actor(scope, SUPERVISOR, ProbeActors()),
        )

    def stop(self):
        """Stop everything."""
        if self._stop_probes is not None:
            self._stop_probes()
        if self._metrics is not None and self._metrics.is_alive():
            self._metrics.stop()
        if self._server is not None:
            self._loops.submit(self._server.stop(0)).result(START_S)


def _ask_state(scope, read):
    return get_actor(scope, PACKETS).ask(ReadState(read), block=False)


def _read_samples(scope, started):
    read = functools.partial(read_samples, started=started)
    samples = _ask_state(scope, read).get(timeout=ANSWER_S)
    crashes = get_actor(scope, SUPERVISOR).ask(
        GetCrashCounts(), timeout=ANSWER_S
    )
    return samples + read_process() + list_crashes(crashes)


def _read_ready(scope):
    try:
        facts = _ask_state(scope, _read_facts).get(timeout=ANSWER_S)
    except (pykka.Timeout, pykka.ActorDeadError, ServiceMissing) as exc:
        return False, {'problem': type(exc).__name__}
    return bool(facts['revision']) and not facts['leaving'], facts


def _read_facts(state, _now):
    return {
        'name': state.name,
        'zone': state.zone,
        'revision': state.cfg.revision,
        'leaving': state.leaving,
    }
