"""Checks of a bench run, from two sides only.

One side is what callers sent and received (records of ``cornelgap-call
load``); the other is what targets ran (dumps of the target stand-ins).
Nothing that the product says about itself is read.
"""

import hashlib
import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from standins.works import make_event, parse_topic, parse_work


@dataclass
class Findings:
    """What the checks found for one service.

    :param wrong: sentences, one a violation; empty is a pass.
    """

    service: str
    flows: int = 0
    requests: int = 0
    verdicts: Counter = field(default_factory=Counter)
    answers_right: int = 0
    answer_bytes: int = 0
    feeds: int = 0
    feed_items: int = 0
    feed_resumes: int = 0
    feeds_broken: int = 0
    longest_gap_s: float = 0
    doubled: int = 0
    misrouted: int = 0
    lost: int = 0
    false_refusals: int = 0
    answers_wrong: int = 0
    imbalance_runs: float = 0
    imbalance_flows: float = 0
    wrong: list = field(default_factory=list)

    def note(self, kind, text):
        """Count a violation and keep its sentence."""
        setattr(self, kind, getattr(self, kind) + 1)
        self.wrong.append(f'{self.service}: {kind}: {text}')


def check_service(service, rows, dumps, files, stall_s):
    """Check one service.

    :param rows: records of its callers, decoded.
    :param dumps: dump of each target of all services, decoded.
    :param files: folder from which downloads come.
    :param stall_s: a feed with a longer gap counts as broken.
    """
    found = Findings(service)
    requests = [row for row in rows if row['kind'] == 'request']
    feeds = [row for row in rows if row['kind'] == 'feed']
    own = [dump for dump in dumps if dump['service'] == service]
    runs = _map_runs(own)
    found.flows = len({row['flow'] for row in rows})
    found.requests = len(requests)
    _check_answers(found, requests, files)
    _check_once(found, requests, runs)
    _check_verdicts(found, requests, runs)
    _check_feeds(found, feeds, stall_s)
    _check_routes(found, rows, own)
    _measure_balance(found, own)
    return found


def _map_runs(dumps):
    runs = defaultdict(list)
    for dump in dumps:
        for flow, epoch, number, count, payload in dump['runs']:
            runs[flow, epoch, number] += [(dump['name'], payload)] * count
    return runs


def _get_id(row):
    return row['flow'], row['epoch'], row['number']


def _check_answers(found, requests, files):
    for row in requests:
        found.verdicts[f'{row["ran"]} {row["code"]}'.strip()] += 1
        if not row['answered']:
            continue
        found.answer_bytes += row['bytes']
        if row['sha256'] == _expect_digest(row['payload'], files):
            found.answers_right += 1
        else:
            found.note('answers_wrong', f'{row["payload"]} of {_get_id(row)}')


def _expect_digest(payload, files):
    work = parse_work(payload.encode())
    if work.verb == 'file':
        return hashlib.sha256((files / work.rest).read_bytes()).hexdigest()
    return hashlib.sha256(work.rest.encode()).hexdigest()


def _check_once(found, requests, runs):
    """A hold runs once, under whatever ids it was tried."""
    by_payload = Counter(
        payload
        for ran in runs.values()
        for _, payload in ran
        if payload.startswith('hold ')
    )
    for payload, count in by_payload.items():
        if count > 1:
            found.note('doubled', f'{payload} ran {count} times')
    for key, ran in runs.items():
        held = [payload for _, payload in ran if payload.startswith('hold ')]
        if len(held) > 1 and len(set(held)) > 1:
            found.note('doubled', f'{key} ran {len(held)} times')


def _check_verdicts(found, requests, runs):
    for row in requests:
        ran = _get_id(row) in runs
        if row['ran'] == 'NOT_RUN' and ran:
            found.note('false_refusals', f'{_get_id(row)} {row["code"]}')
        if row['ran'] == 'DONE' and not ran:
            found.note('lost', f'{_get_id(row)} is told as done, never ran')


def _check_feeds(found, feeds, stall_s):
    found.feeds = len(feeds)
    for row in feeds:
        found.feed_items += row['items']
        found.feed_resumes += row['resumes']
        found.longest_gap_s = max(found.longest_gap_s, row['gap_s'])
        good = (
            not row['ended']
            and not row['out_of_order']
            and row['items'] > 0
            and row['gap_s'] <= stall_s
            and row['digest'] == _expect_feed(row)
        )
        if not good:
            found.note('feeds_broken', json.dumps(row))


def _expect_feed(row):
    topic = parse_topic(row['topic'].encode())
    digest = hashlib.blake2b()
    for position in range(row['items']):
        digest.update(make_event(topic.name, position))
    return digest.hexdigest()


def _check_routes(found, rows, own):
    flows = {row['flow'] for row in rows}
    for dump in own:
        foreign = {run[0] for run in dump['runs']} - flows
        for flow in foreign:
            found.note('misrouted', f'{dump["name"]} ran for {flow}')
        if dump['misrouted']:
            found.note(
                'misrouted',
                f'{dump["name"]} refused {dump["misrouted"]} foreign calls',
            )


def _measure_balance(found, own):
    runs = [sum(run[3] for run in dump['runs']) for dump in own]
    flows = [len({run[0] for run in dump['runs']}) for dump in own]
    found.imbalance_runs = _compare_largest(runs)
    found.imbalance_flows = _compare_largest(flows)


def _compare_largest(counts):
    """Give the largest over the mean; 1 is even, 0 means no work at all."""
    total = sum(counts)
    return round(max(counts) * len(counts) / total, 2) if total else 0
