"""Prometheus metrics and a readiness endpoint, served over HTTP.

One actor owns the thread whose event loop serves both.  Values are read only
when a client requests them, so that metrics cost nothing between requests.
The HTTP client waits for the values; packet handling never waits.
"""

import asyncio
import json
import logging
from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Registry, render

from cornelgap.kernel.loops import LoopThread
from cornelgap.kernel.named_actor import NamedActor

METRICS = 'metrics'
COUNTER = 'counter'
GAUGE = 'gauge'

MAX_SERIES = 80
"""Label sets per metric.  A label with arbitrary values, such as the service
names of a folder with thousands of services, would exhaust the memory of the
system that collects the metrics."""

OTHER_LABEL = 'other'
MAX_HEADER_BYTES = 8192
IO_TIMEOUT_S = 5.0
MAX_CONNS = 16
START_TIMEOUT_S = 5.0

_COLLECTOR_CLASSES = {COUNTER: Counter, GAUGE: Gauge}
_REASON_PHRASES = {
    200: 'OK',
    404: 'Not Found',
    405: 'Not Allowed',
    503: 'Not Ready',
}
_LOG = logging.getLogger('cornelgap.metrics')


@dataclass(frozen=True, slots=True)
class Metric:
    """Definition of one metric, as listed in docs/METRICS.md.

    :param name: name that includes the unit, by the convention of Prometheus.
    :param kind: :data:`COUNTER` or :data:`GAUGE`.
    :param doc: meaning of the metric, for people.
    :param labels: label names; each label has few distinct values.
    """

    name: str
    kind: str
    doc: str
    labels: tuple = ()


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric.

    :param name: name of the :class:`Metric`.
    :param labels: label values in the order of the metric's label names.
    """

    name: str
    value: float
    labels: tuple = ()


@dataclass(frozen=True, slots=True)
class GetPort:
    """Message sent by ``ask``: return the port of the HTTP server."""


class MetricSet:
    """The metrics of a process in a registry of aioprometheus."""

    def __init__(self, catalogue):
        """Create a collector for each :class:`Metric` of a catalogue."""
        self._metrics = {metric.name: metric for metric in catalogue}
        self._registry = Registry()
        self._collectors = {
            metric.name: _COLLECTOR_CLASSES[metric.kind](
                metric.name, metric.doc, registry=self._registry
            )
            for metric in catalogue
        }

    def set_samples(self, samples):
        """Replace all values.

        A metric keeps at most :data:`MAX_SERIES` label sets; samples with
        further label sets are added up under the label value ``other``.

        :raises KeyError: if a sample's metric is not in the catalogue.
        """
        values = {name: {} for name in self._metrics}
        for sample in samples:
            series = values[sample.name]
            labels = sample.labels
            if labels not in series and len(series) >= MAX_SERIES - 1:
                labels = (OTHER_LABEL,) * len(labels)
            series[labels] = series.get(labels, 0) + sample.value
        for name, series in values.items():
            self._set_series(name, series)

    def render(self, accept=''):
        """Render all values.

        :param accept: value of the request's ``Accept`` header.
        :returns: (body, headers).
        """
        return render(self._registry, [accept])

    def _set_series(self, name, series):
        collector = self._collectors[name]
        collector.values.clear()
        for labels, value in series.items():
            names = self._metrics[name].labels
            escaped = map(escape_label, labels)
            collector.set_value(dict(zip(names, escaped, strict=True)), value)


def escape_label(value):
    """Escape a label value for the text format; the library does not.

    :param value: any value; a text may hold quotes, line breaks, and
        surrogates, which no encoding of a page can express.
    """
    text = str(value).encode(errors='replace').decode()
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')


def format_catalogue(catalogue):
    """Format a catalogue as the Markdown table of docs/METRICS.md."""
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


class MetricsActor(NamedActor):
    """Runs the HTTP server of ``/metrics`` and ``/ready`` in its own thread.

    :param address: ``host:port``; for port 0 the operating system chooses.
    :param catalogue: list of all :class:`Metric` definitions.
    :param read_samples: function that returns a list of :class:`Sample`; may
        block for a short time.
    :param read_readiness: function that returns a tuple (whether the instance
        is ready, dict of details); may block for a short time.
    """

    def __init__(self, scope, address, catalogue, read_samples, read_readiness):
        """Prepare the server; it is started by :meth:`acquire_resources`."""
        super().__init__(scope, METRICS)
        self._address = address
        self._http_server = MetricsServer(
            MetricSet(catalogue), read_samples, read_readiness
        )
        self._loop_thread = LoopThread(METRICS)
        self._port = 0
        self.handlers = {GetPort: self._get_port}

    def acquire_resources(self):
        """Start the thread and the HTTP server."""
        self._loop_thread.start()
        self._port = self._loop_thread.submit(
            self._http_server.start(self._address)
        ).result(START_TIMEOUT_S)

    def release_resources(self):
        """Stop the HTTP server and the thread."""
        self._loop_thread.submit(self._http_server.close()).result(
            START_TIMEOUT_S
        )
        self._loop_thread.stop()

    def _get_port(self, _message):
        return self._port


class MetricsServer:
    """A minimal HTTP server with two pages and one request per connection.

    It ignores request bodies.  The metrics library offers a server only
    together with a web framework.
    """

    def __init__(self, metrics, read_samples, read_readiness):
        """Prepare the pages; parameters as of :class:`MetricsActor`."""
        self._metrics = metrics
        self._read_samples = read_samples
        self._read_readiness = read_readiness
        self._server = None
        self._conn_count = 0
        self._render_lock = asyncio.Lock()
        self._pages = {
            '/metrics': self._render_metrics,
            '/ready': self._render_readiness,
        }

    async def start(self, address):
        """Bind the address and start to serve.

        :param address: ``host:port``.
        :returns: the port number in use.
        """
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve_connection, host, int(port), limit=MAX_HEADER_BYTES
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop the server."""
        self._server.close()
        await self._server.wait_closed()

    async def _serve_connection(self, reader, writer):
        self._conn_count += 1
        try:
            if self._conn_count <= MAX_CONNS:
                await self._handle_request(reader, writer)
        except (OSError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            # The client disconnected, timed out or sent a too long header.
            _LOG.debug('metrics: request aborted')
        except asyncio.IncompleteReadError:
            _LOG.debug('metrics: request incomplete')
        finally:
            self._conn_count -= 1
            writer.close()

    async def _handle_request(self, reader, writer):
        header = await asyncio.wait_for(
            reader.readuntil(b'\r\n\r\n'), IO_TIMEOUT_S
        )
        method, path, accept = _parse_header(header)
        status, headers, body = await self._render_page(method, path, accept)
        lines = [f'HTTP/1.1 {status} {_REASON_PHRASES[status]}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
        writer.write('\r\n'.join(lines).encode())
        if method != 'HEAD':
            writer.write(body)
        await asyncio.wait_for(writer.drain(), IO_TIMEOUT_S)

    async def _render_page(self, method, path, accept):
        if method not in {'GET', 'HEAD'}:
            return 405, {}, b''
        page = self._pages.get(path.partition('?')[0])
        if page is None:
            return 404, {}, b''
        try:
            return await page(accept)
        except Exception as exc:
            # If an actor does not answer, the instance is not ready.  Report
            # that with a status instead of closing the connection.
            _LOG.warning(
                'metrics: values not available', extra={'error': repr(exc)}
            )
            return 503, {}, b''

    async def _render_metrics(self, accept):
        # Requests replace and render the values one at a time, so that none
        # renders a mixture of old and new values.
        async with self._render_lock:
            self._metrics.set_samples(
                await _run_in_executor(self._read_samples)
            )
            body, headers = self._metrics.render(accept)
        return 200, headers, body

    async def _render_readiness(self, _accept):
        ready, details = await _run_in_executor(self._read_readiness)
        body = json.dumps({'ready': ready, **details}).encode()
        headers = {'Content-Type': 'application/json'}
        return 200 if ready else 503, headers, body


async def _run_in_executor(func):
    return await asyncio.get_running_loop().run_in_executor(None, func)


def _parse_header(header):
    lines = header.decode('latin-1').split('\r\n')
    method, _, path_and_version = lines[0].partition(' ')
    accept = ''
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name.strip().lower() == 'accept':
            accept = value.strip()
    return method, path_and_version.partition(' ')[0], accept
