"""Every metric of an entry instance, and how it is read from the state.

docs/METRICS.md is written from :data:`CATALOGUE`, see bench/list_docs.py.
"""

import os
import time

from cornelgap.core.errors import Code
from cornelgap.core.verdicts import RunState
from cornelgap.kernel.metrics import COUNTER, GAUGE, OTHER_LABEL, Metric, Sample

_PREFIX = 'cornelgap_'
_CODES = frozenset(str(code) for code in Code)
_RANS = frozenset(ran.name.lower() for ran in RunState)

# What a counter of the engine is shown as: by prefix, with the rest of its
# name as the label, or by its whole name.
_BY_PREFIX = (
    ('peer_refused_', 'peer_datagrams_refused_total', _CODES),
    ('refused_', 'refusals_total', _CODES),
    ('dropped_', 'datagrams_dropped_total', _CODES | {'kind'}),
    ('verdict_', 'verdicts_total', _RANS),
)
_BY_NAME = {
    'opens': ('flows_opened_total', 'Flows opened here.'),
    'requests': ('requests_total', 'Requests taken for running here.'),
    'relayed': ('datagrams_relayed_total', 'Datagrams relayed to a home.'),
    'hops_exceeded': (
        'datagrams_hops_exceeded_total',
        'Datagrams dropped because they were relayed too often.',
    ),
    'peer_sent': (
        'peer_datagrams_sent_total',
        'Datagrams sent to peers, relayed ones too.',
    ),
    'peer_received': (
        'peer_datagrams_received_total',
        'Datagrams received from peers, relayed ones too.',
    ),
    'peer_sent_bytes': (
        'peer_sent_bytes_total',
        'Bytes of datagrams sent to peers, without IP headers.',
    ),
    'peer_received_bytes': (
        'peer_received_bytes_total',
        'Bytes of datagrams received from peers, without IP headers.',
    ),
    'send_failed': (
        'datagrams_unsent_total',
        'Datagrams that the kernel did not take.',
    ),
    'flows_expired': (
        'flows_expired_total',
        'Flows forgotten after their newest token had expired.',
    ),
    'flows_rehomed': (
        'flows_rehomed_total',
        'Flows given a new home here because theirs is lost.',
    ),
    'flows_repinned': (
        'flows_repinned_total',
        'Flows moved to another target.',
    ),
    'flows_taken': (
        'flows_taken_total',
        'Flows taken over from an instance that leaves.',
    ),
    'handover_batches': (
        'handover_batches_total',
        'Batches of flows that a successor has taken.',
    ),
    'handover_lost': (
        'handover_batches_lost_total',
        'Batches whose successor was lost before it answered.',
    ),
    'feeds': ('feeds_started_total', 'Feeds subscribed here.'),
    'feeds_moved': (
        'feeds_moved_total',
        'Feeds moved off a leaving target, make before break.',
    ),
    'feed_resumes': (
        'feed_resumes_total',
        'Feeds resumed at a position after their call broke.',
    ),
    'feed_gaps': (
        'feed_gaps_total',
        'Feeds whose target skipped positions.',
    ),
    'feeds_abandoned': (
        'feeds_abandoned_total',
        'Feeds ended because their caller was not heard any more.',
    ),
    'retries': (
        'request_retries_total',
        'Requests sent to a target again within the retry budget.',
    ),
}

CATALOGUE = (
    *(Metric(_PREFIX + name, COUNTER, doc) for name, doc in _BY_NAME.values()),
    Metric(
        _PREFIX + 'refusals_total',
        COUNTER,
        'Datagrams of callers refused with a code.',
        ('code',),
    ),
    Metric(
        _PREFIX + 'peer_datagrams_refused_total',
        COUNTER,
        'Datagrams of peers refused, by code.',
        ('code',),
    ),
    Metric(
        _PREFIX + 'datagrams_dropped_total',
        COUNTER,
        'Datagrams dropped without an answer, by code.',
        ('reason',),
    ),
    Metric(
        _PREFIX + 'verdicts_total',
        COUNTER,
        'Requests ended, by what their caller may conclude.',
        ('ran',),
    ),
    Metric(
        _PREFIX + 'events_total',
        COUNTER,
        'Other events of the engine, by name.',
        ('event',),
    ),
    Metric(
        _PREFIX + 'actor_crashes_total',
        COUNTER,
        'Actors that crashed or answered no more.',
        ('actor',),
    ),
    Metric(
        _PREFIX + 'process_cpu_seconds_total',
        COUNTER,
        'Processor time of the process, in seconds.',
    ),
    Metric(
        _PREFIX + 'process_resident_bytes',
        GAUGE,
        'Resident memory of the process, in bytes.',
    ),
    Metric(
        _PREFIX + 'uptime_seconds', GAUGE, 'Seconds since the process started.'
    ),
    Metric(
        _PREFIX + 'cfg_revision',
        GAUGE,
        'Configuration revision in force; 0 is none yet.',
    ),
    Metric(
        _PREFIX + 'cfg_era',
        GAUGE,
        'Era of the platform store as of which it was read; 0 if unknown.',
    ),
    Metric(_PREFIX + 'flows', GAUGE, 'Flows whose home is here.'),
    Metric(_PREFIX + 'feeds', GAUGE, 'Live feeds here.'),
    Metric(_PREFIX + 'peers_live', GAUGE, 'Other entry instances alive.'),
    Metric(_PREFIX + 'leaving', GAUGE, '1 during a planned stop, otherwise 0.'),
    Metric(
        _PREFIX + 'requests_in_flight',
        GAUGE,
        'Requests running at targets, by service.',
        ('service',),
    ),
    Metric(
        _PREFIX + 'requests_waiting',
        GAUGE,
        'Requests waiting for a slot, by service.',
        ('service',),
    ),
)


def read_samples(state, now, started):
    """Read all samples but the process's; in the packet actor's turn.

    :param started: when the process started, on the same clock.
    :returns: list of :class:`cornelgap.kernel.metrics.Sample`.
    """
    samples = [
        _make_sample('uptime_seconds', now - started),
        _make_sample('cfg_revision', state.cfg.revision),
        _make_sample('cfg_era', state.cfg.era),
        _make_sample('flows', len(state.flows)),
        _make_sample('feeds', len(state.live_feeds)),
        _make_sample('peers_live', len(state.membership.list_live(now))),
        _make_sample('leaving', int(state.leaving)),
    ]
    for name, value in state.counters.items():
        samples.append(_convert_counter(name, value))
    for name, admission in sorted(state.admissions.items()):
        samples.append(
            _make_sample('requests_in_flight', admission.running, name)
        )
        samples.append(
            _make_sample('requests_waiting', admission.waiting, name)
        )
    return samples


def read_process():
    """Read the samples of this process, from any thread."""
    with open('/proc/self/statm', encoding='ascii') as source:
        pages = int(source.read().split()[1])
    resident = pages * os.sysconf('SC_PAGE_SIZE')
    return [
        _make_sample('process_cpu_seconds_total', time.process_time()),
        _make_sample('process_resident_bytes', resident),
    ]


def list_crashes(crashes):
    """Make the samples of crashes by actor name."""
    return [
        _make_sample('actor_crashes_total', count, name)
        for name, count in crashes.items()
    ]


def _make_sample(name, value, *labels):
    return Sample(_PREFIX + name, value, labels)


def _convert_counter(name, value):
    if name in _BY_NAME:
        return _make_sample(_BY_NAME[name][0], value)
    for prefix, metric, known in _BY_PREFIX:
        if name.startswith(prefix):
            label = name.removeprefix(prefix)
            return _make_sample(
                metric, value, label if label in known else OTHER_LABEL
            )
    return _make_sample('events_total', value, name)
