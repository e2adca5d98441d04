"""Metrics for Prometheus and a health endpoint, served over HTTP.

One actor owns the thread whose loop serves them.  Values are read when they
are asked for, so that metrics cost nothing in between; whoever asks waits,
never the packets.
"""

import asyncio
import json
import logging
from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Registry, render

from cornelgap.kernel.loops import LoopThread
from cornelgap.kernel.service import Service

METRICS = 'metrics'
COUNTER = 'counter'
GAUGE = 'gauge'

MAX_SERIES = 80
"""Label sets of one metric.  A label that takes any text, such as a service
name in a folder of thousands, would fill the memory of whoever collects."""

OTHER = 'other'
HEAD_BYTES = 8192
READ_S = 5.0
MAX_CONNS = 16
START_S = 5.0

_KINDS = {COUNTER: Counter, GAUGE: Gauge}
_REASONS = {200: 'OK', 404: 'Not Found', 405: 'Not Allowed', 503: 'Not Ready'}
_LOG = logging.getLogger('cornelgap.metrics')


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric as docs/METRICS.md lists it.

    :param name: with its unit, by Prometheus' convention.
    :param kind: counter or gauge.
    :param labels: label names; each takes few values.
    """

    name: str
    kind: str
    doc: str
    labels: tuple = ()


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric.

    :param labels: label values in the order of the metric's label names.
    """

    name: str
    value: float
    labels: tuple = ()


@dataclass(frozen=True, slots=True)
class GetPort:
    """Message: give the port that is served; asked, not told."""


class MetricSet:
    """The metrics of a process, as their library keeps them."""

    def __init__(self, catalogue):
        """Make a collector of each metric of a catalogue."""
        self._metrics = {metric.name: metric for metric in catalogue}
        self._registry = Registry()
        self._collectors = {
            metric.name: _KINDS[metric.kind](
                metric.name, metric.doc, registry=self._registry
            )
            for metric in catalogue
        }

    def set_samples(self, samples):
        """Replace all values.

        Samples beyond :data:`MAX_SERIES` of a metric are summed up under
        the label value ``other``.

        :raises KeyError: if a sample's metric is not in the catalogue.
        """
        values = {name: {} for name in self._metrics}
        for sample in samples:
            series = values[sample.name]
            labels = sample.labels
            if labels not in series and len(series) >= MAX_SERIES - 1:
                labels = (OTHER,) * len(labels)
            series[labels] = series.get(labels, 0) + sample.value
        for name, series in values.items():
            self._set_series(name, series)

    def render(self, accept=''):
        """Render all values.

        :param accept: the ``Accept`` header of who asks.
        :returns: (body, headers).
        """
        return render(self._registry, [accept])

    def _set_series(self, name, series):
        collector = self._collectors[name]
        collector.values.clear()
        for labels, value in series.items():
            names = self._metrics[name].labels
            collector.set_value(dict(zip(names, labels, strict=True)), value)


def format_catalogue(catalogue):
    """Format the catalogue as a table for docs/METRICS.md."""
    lines = [
        '| Metric | Kind | Labels | Meaning |',
        '| --- | --- | --- | --- |',
    ]
    for metric in sorted(catalogue, key=_get_name):
        labels = ', '.join(metric.labels) or '-'
        lines.append(
            f'| `{metric.name}` | {metric.kind} | {labels} | {metric.doc} |'
        )
    return '\n'.join(lines) + '\n'


def _get_name(metric):
    return metric.name


class MetricsActor(Service):
    """Owns the thread that serves ``/metrics`` and ``/ready``.

    :param address: ``host:port``; port 0 lets the kernel choose.
    :param catalogue: all :class:`Metric` items.
    :param read_samples: gives a list of :class:`Sample`; may wait, but not
        for long.
    :param read_ready: gives (whether ready, facts by name); the same.
    """

    def __init__(self, scope, address, catalogue, read_samples, read_ready):
        """Prepare; nothing is served before the start."""
        super().__init__(scope, METRICS)
        self._address = address
        self._site = MetricsSite(MetricSet(catalogue), read_samples, read_ready)
        self._loops = LoopThread(METRICS)
        self._port = 0
        self.handlers = {GetPort: self._get_port}

    def begin(self):
        """Start the thread and serve."""
        self._loops.start()
        self._port = self._loops.submit(self._site.start(self._address)).result(
            START_S
        )

    def end(self):
        """Stop serving and end the thread."""
        self._loops.submit(self._site.close()).result(START_S)
        self._loops.stop()

    def _get_port(self, _message):
        return self._port


class MetricsSite:
    """A very small HTTP server: two pages, no bodies, one request a
    connection.  The metrics library brings none without a web framework."""

    def __init__(self, metrics, read_samples, read_ready):
        """Prepare the pages."""
        self._metrics = metrics
        self._read_samples = read_samples
        self._read_ready = read_ready
        self._server = None
        self._conns = 0
        self._rendering = asyncio.Lock()
        self._pages = {
            '/metrics': self._make_metrics,
            '/ready': self._make_ready,
        }

    async def start(self, address):
        """Begin to serve.

        :returns: the port.
        """
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve_conn, host, int(port), limit=HEAD_BYTES
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop serving."""
        self._server.close()
        await self._server.wait_closed()

    async def _serve_conn(self, reader, writer):
        self._conns += 1
        try:
            if self._conns <= MAX_CONNS:
                await self._answer(reader, writer)
        except (OSError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            # Whoever asked has gone, is too slow or sends no request.
            _LOG.debug('metrics: request given up')
        except asyncio.IncompleteReadError:
            _LOG.debug('metrics: request incomplete')
        finally:
            self._conns -= 1
            writer.close()

    async def _answer(self, reader, writer):
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), READ_S)
        method, path, accept = _parse_head(head)
        status, headers, body = await self._make_page(method, path, accept)
        lines = [f'HTTP/1.1 {status} {_REASONS[status]}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
        writer.write('\r\n'.join(lines).encode())
        if method != 'HEAD':
            writer.write(body)
        await asyncio.wait_for(writer.drain(), READ_S)

    async def _make_page(self, method, path, accept):
        if method not in {'GET', 'HEAD'}:
            return 405, {}, b''
        page = self._pages.get(path.partition('?')[0])
        if page is None:
            return 404, {}, b''
        try:
            return await page(accept)
        except Exception as exc:
            # An actor that does not answer makes the instance not ready;
            # the page says so instead of breaking off.
            _LOG.warning('metrics: no values', extra={'error': repr(exc)})
            return 503, {}, b''

    async def _make_metrics(self, accept):
        # Two collectors at once must not read half of each other's values.
        async with self._rendering:
            self._metrics.set_samples(await _run(self._read_samples))
            body, headers = self._metrics.render(accept)
        return 200, headers, body

    async def _make_ready(self, _accept):
        ready, facts = await _run(self._read_ready)
        body = json.dumps({'ready': ready, **facts}).encode()
        headers = {'Content-Type': 'application/json'}
        return 200 if ready else 503, headers, body


async def _run(func):
    return await asyncio.get_running_loop().run_in_executor(None, func)


def _parse_head(head):
    lines = head.decode('latin-1').split('\r\n')
    method, _, rest = lines[0].partition(' ')
    accept = ''
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name.strip().lower() == 'accept':
            accept = value.strip()
    return method, rest.partition(' ')[0], accept
