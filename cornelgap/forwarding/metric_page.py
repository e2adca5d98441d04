"""Metrics page of an instance that forwards flows.

docs/METRICS.md lists the metrics from :data:`CATALOGUE`.  The metrics library
is imported only when the page is first requested, which saves its memory on
machines of 120 MB whose metrics nobody collects.
"""

from cornelgap.core.errors import Code
from cornelgap.forwarding.packets import Reason
from cornelgap.kernel.metrics import COUNTER, GAUGE, Metric, MetricSet, Sample

_PREFIX = 'cornelgap_forwarding_'
CATALOGUE = (
    Metric(
        f'{_PREFIX}packets_total',
        COUNTER,
        'Packets of callers by what became of them and why.',
        ('reason',),
    ),
    Metric(
        f'{_PREFIX}datagrams_refused_total',
        COUNTER,
        'Datagrams of callers or other instances refused, by code.',
        ('code',),
    ),
    Metric(
        f'{_PREFIX}socket_errors_total',
        COUNTER,
        'Datagrams that a socket did not send or receive, by error number.',
        ('error',),
    ),
    Metric(
        f'{_PREFIX}answer_seconds_bucket',
        COUNTER,
        'Requests by the time until their answer showed, cumulative.',
        ('le',),
    ),
    Metric(
        f'{_PREFIX}flows',
        GAUGE,
        'Flows that were active here in the last five seconds.',
    ),
    Metric(
        f'{_PREFIX}waiting',
        GAUGE,
        'Flows that wait for an answer.',
    ),
    Metric(
        f'{_PREFIX}way_lossy',
        GAUGE,
        '1 while packets are lost on the way through this instance.',
    ),
    Metric(
        f'{_PREFIX}admitted_share',
        GAUGE,
        'Share of openings that is admitted, by priority; 1 without overload.',
        ('service', 'priority'),
    ),
    Metric(
        f'{_PREFIX}directory_age_seconds',
        GAUGE,
        'Age of the older of both kinds of facts.',
    ),
    Metric(
        f'{_PREFIX}directory_revision',
        GAUGE,
        'Store revision up to which facts are known.',
        ('kind',),
    ),
    Metric(
        f'{_PREFIX}directory_era',
        GAUGE,
        'Restores of the store from a backup, as of which facts are known.',
        ('kind',),
    ),
    Metric(
        f'{_PREFIX}config_version',
        GAUGE,
        "The operator's number of the configuration in force.",
    ),
    Metric(
        f'{_PREFIX}targets',
        GAUGE,
        'Registered targets.',
    ),
    Metric(
        f'{_PREFIX}zone_drained',
        GAUGE,
        '1 for each zone whose targets get no new flow by an order.',
        ('zone',),
    ),
    Metric(
        f'{_PREFIX}zone_withdrawn',
        GAUGE,
        '1 while this zone is out of rotation because it cannot serve.',
    ),
    Metric(
        f'{_PREFIX}follows_store',
        GAUGE,
        '1 while this instance follows the store, otherwise 0.',
    ),
    Metric(
        f'{_PREFIX}instances',
        GAUGE,
        'Instances of this zone that are known, this one included.',
    ),
    Metric(
        f'{_PREFIX}settings_reloads_total',
        COUNTER,
        'Changed settings files that were adopted, or refused.',
        ('outcome',),
    ),
    Metric(
        f'{_PREFIX}store_calls_total',
        COUNTER,
        'Calls to the store, refused ones too.',
    ),
)
_REASONS = frozenset(str(reason) for reason in Reason)
_CODES = frozenset(str(code) for code in Code)


def make_samples(counts, gauges):
    """Make samples from counters and gauges.

    :param counts: counters of the actors by key: a packet's reason, an error
        code, or the name of a socket error.
    :param gauges: values by metric name without the prefix; for a metric
        with labels a dict by label value, or by a tuple of several.
    :returns: list of samples.
    """
    samples = [_make_sample(key, value) for key, value in counts.items()]
    for name, value in gauges.items():
        values = value.items() if isinstance(value, dict) else [((), value)]
        for label, number in values:
            labels = label if isinstance(label, tuple) else (label,)
            samples.append(Sample(f'{_PREFIX}{name}', number, labels))
    return samples


def make_page(samples):
    """Render the metrics page.

    :param samples: values from :func:`make_samples`.
    :returns: the page's bytes.
    """
    metrics = MetricSet(CATALOGUE)
    metrics.set_samples(samples)
    body, _ = metrics.render()
    return body


def _make_sample(key, value):
    key = str(key)
    if key in _REASONS:
        return Sample(f'{_PREFIX}packets_total', value, (key,))
    if key in _CODES:
        return Sample(f'{_PREFIX}datagrams_refused_total', value, (key,))
    return Sample(f'{_PREFIX}socket_errors_total', value, (key,))
