"""Steps about the kernel: names, supervision, logs, metrics."""

import io
import json
import logging
import os
import random
import re
import socket
import threading
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path

from behave import given, then, when

from cornelgap.decisions.membership import Membership
from cornelgap.entry import metric_list
from cornelgap.entry.state import EntryState
from cornelgap.forwarding import metric_page
from cornelgap.kernel import logs, names, supervision
from cornelgap.kernel.metrics import (
    COUNTER,
    GAUGE,
    GetPort,
    Metric,
    MetricsActor,
    MetricSet,
    Sample,
    format_catalogue,
)
from cornelgap.kernel.named_actor import NamedActor

WAIT_S = 20
PIPE_BYTES = 4 * 1024 * 1024
NO_LOSS = {'suppressed': 0}
DOC = Path(__file__).resolve().parents[2] / 'docs' / 'METRICS.md'
CATALOGUE = (
    Metric('test_flows', GAUGE, 'Flows.', ('service',)),
    Metric('test_opens_total', COUNTER, 'Opens.'),
)


@dataclass(frozen=True)
class Break:
    """Message: break."""


@dataclass(frozen=True)
class Hang:
    """Message: hang until the event."""

    until: threading.Event


@dataclass(frozen=True)
class Probe:
    """Message: answer."""


class Part(NamedActor):
    """An actor that breaks or hangs when told."""

    def __init__(self, scope, name, ended, fails=False):
        super().__init__(scope, name)
        self.ended = ended
        self.fails = fails
        self.handlers = {
            Break: self.break_down,
            Hang: self.hang,
            Probe: self.answer,
        }

    def acquire_resources(self):
        if self.fails:
            raise OSError('the port is in use')

    def release_resources(self):
        self.ended.set()

    def break_down(self, message):
        raise ValueError('unthought of')

    def hang(self, message):
        message.until.wait(WAIT_S)

    def answer(self, message):
        return True


@given('a kernel actor "{name}" in the scope "{scope}"')
def start_part(context, name, scope):
    context.ended = threading.Event()
    context.part = Part.start(scope, name, context.ended)
    context.cleanups.append(context.part.stop)


@when('a kernel actor "{name}" in the scope "{scope}" breaks at its start')
def start_broken(context, name, scope):
    Part.start(scope, name, threading.Event(), fails=True)


@given('a kernel supervisor in the scope "{scope}"')
def start_supervisor(context, scope):
    context.crashed = []
    context.changed = threading.Condition()
    context.clock = 0
    context.records = []

    def on_crash(name):
        with context.changed:
            context.crashed.append(name)
            context.changed.notify_all()

    context.supervisor = supervision.Supervisor.start(
        scope, on_crash, lambda: context.clock
    )
    context.cleanups.append(context.supervisor.stop)
    handler = logging.Handler()
    handler.emit = context.records.append
    logger = logging.getLogger('cornelgap.supervision')
    logger.addHandler(handler)
    context.cleanups.append(lambda: logger.removeHandler(handler))


@given('the kernel supervisor watches "{name}"')
def watch_part(context, name):
    context.supervisor.tell(supervision.WatchActor(name, context.part, Probe()))


@when('the kernel actor is stopped')
def stop_part(context):
    context.part.stop()


@when('the kernel actor breaks in a turn')
def break_part(context):
    context.part.tell(Break())


@when('the kernel actor hangs')
def hang_part(context):
    until = threading.Event()
    context.cleanups.append(until.set)
    context.part.tell(Hang(until))


@when('the kernel supervisor probes at 0 s and at 11 s')
def probe_twice(context):
    probe(context, 0)
    probe(context, 11)


@when('the kernel actor has answered the probe at 0 s')
def probe_answered(context):
    probe(context, 0)
    context.part.ask(Probe())


@when('the kernel supervisor probes at {at:d} s')
def probe(context, at):
    context.clock = at
    context.supervisor.ask(supervision.ProbeActors())


@then('the kernel finds "{name}" in the scope "{scope}"')
def check_found(context, name, scope):
    assert names.get_actor(scope, name) is not None


@then('the kernel finds no "{name}" in the scope "{scope}"')
def check_missing(context, name, scope):
    assert names.find_actor(scope, name) is None


@then('telling the kernel actor "{name}" in "{scope}" says that it is gone')
def check_tell(context, name, scope):
    assert not names.tell_actor(scope, name, Probe())
    assert not names.tell_if_alive(context.part, Probe())


@then('the kernel supervisor hears of a crash of "{name}"')
def check_crashed(context, name):
    with context.changed:
        assert context.changed.wait_for(lambda: name in context.crashed, WAIT_S)


@then('the kernel logged the code "{code}" for "{name}"')
def check_logged(context, code, name):
    found = [(record.code, record.actor) for record in context.records]
    assert (code, name) in found, found


@then('the kernel supervisor counts {count:d} crash of "{name}"')
@then('the kernel supervisor counts {count:d} crashes of "{name}"')
def check_count(context, count, name):
    crashes = context.supervisor.ask(supervision.GetCrashCounts())
    assert crashes.get(name, 0) == count, crashes


@then('the kernel actor closed what it owned')
def check_ended(context):
    assert context.ended.wait(WAIT_S)


def parse_options(text):
    return dict(pair.split('=') for pair in text.split(','))


@given('kernel logs of the instance "{name}" with the levels "{levels}"')
def make_logs(context, name, levels):
    context.stream = io.StringIO()
    context.log_now = 0
    root = logging.getLogger()
    parts = [logging.getLogger(logs.ROOT_LOGGER_NAME)]
    parts += [
        logging.getLogger(f'{logs.ROOT_LOGGER_NAME}.{part}')
        for part in logs.PARTS
    ]
    before = [(logger, logger.level) for logger in (root, *parts)]
    handlers = list(root.handlers)

    def restore():
        root.handlers[:] = handlers
        for logger, level in before:
            logger.setLevel(level)

    context.cleanups.append(restore)
    logs.configure_logs(
        parse_options(levels),
        name,
        logging.StreamHandler(context.stream),
        lambda: context.log_now,
    )


@when('the kernel logs "{text}" from "{part}" with the revision {rev:d}')
def log_extra(context, text, part, rev):
    logger = logging.getLogger(f'cornelgap.{part}')
    logger.info(text, extra={'revision': rev})


@when('the kernel logs "{text}" from "{part}" {count:d} times')
def log_often(context, text, part, count):
    for _ in range(count):
        logging.getLogger(f'cornelgap.{part}').info(text)


@when("{seconds:d} s pass for the kernel's log")
def pass_time(context, seconds):
    context.log_now += seconds


def read_lines(context):
    return [json.loads(x) for x in context.stream.getvalue().splitlines()]


@then("the kernel's log has {count:d} line")
@then("the kernel's log has {count:d} lines")
def check_lines(context, count):
    assert len(read_lines(context)) == count, read_lines(context)


@then('the kernel\'s last line has "{name}" = "{value}"')
def check_field(context, name, value):
    assert str(read_lines(context)[-1][name]) == value


@then('checking the kernel\'s log levels "{levels}" gives "{codes}"')
def check_level_errors(context, levels, codes):
    errors = logs.check_levels(parse_options(levels))
    assert [str(error.code) for error in errors] == codes.split(',')


def start_metrics(context, read_samples, read_ready=None):
    ref = MetricsActor.start(
        'e1', '127.0.0.1:0', CATALOGUE, read_samples, read_ready
    )
    context.cleanups.append(ref.stop)
    context.port = ref.ask(GetPort())


@given('kernel metrics with {count:d} flows for "{service}"')
def make_metrics(context, count, service):
    start_metrics(context, lambda: [Sample('test_flows', count, (service,))])


@given('kernel metrics with 1 flow for each of {count:d} services')
def make_many(context, count):
    samples = [Sample('test_flows', 1, (f's{i}',)) for i in range(count)]
    start_metrics(context, lambda: samples)


@given('kernel metrics of an instance that is not ready')
def make_unready(context):
    start_metrics(context, list, lambda: (False, {'revision': 0}))


@given('kernel metrics of an instance whose state cannot be read')
def make_hung(context):
    def read_ready():
        raise TimeoutError

    start_metrics(context, list, read_ready)


@when('the kernel\'s page "{path}" is asked for')
def get_page(context, path):
    url = f'http://127.0.0.1:{context.port}{path}'
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(url, timeout=WAIT_S) as reply:
            context.page = (reply.status, reply.read().decode())
    except urllib.error.HTTPError as exc:
        context.page = (exc.code, exc.read().decode())


@when('the kernel\'s metrics are sent "{request}"')
def send_raw(context, request):
    data = request.encode().decode('unicode_escape').encode()
    with socket.create_connection(('127.0.0.1', context.port), WAIT_S) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(1000)


@then("the kernel's page has the status {status:d}")
def check_status(context, status):
    assert context.page[0] == status, context.page


@then('the kernel\'s page has the line "{line}"')
def check_line(context, line):
    wanted = line.replace('\\"', '"')
    assert wanted in context.page[1].splitlines(), context.page[1][-300:]


@then('the kernel\'s page has at most {most:d} lines of "{start}"')
def check_series(context, most, start):
    lines = [x for x in context.page[1].splitlines() if x.startswith(start)]
    assert 1 < len(lines) <= most, len(lines)


@then('docs/METRICS.md lists the metrics of the code')
def check_doc(context):
    for catalogue in (metric_list.CATALOGUE, metric_page.CATALOGUE):
        check_table(catalogue)


def check_table(catalogue):
    table = format_catalogue(catalogue)
    assert table in DOC.read_text(), 'run: python -m bench.list_docs'


@then('every metric of the code has a name and unit by convention')
def check_names(context):
    for metric in metric_list.CATALOGUE:
        assert re.fullmatch('cornelgap(_[a-z]+)+', metric.name), metric.name
        is_total = metric.name.endswith('_total')
        assert is_total == (metric.kind == COUNTER), metric.name


@given('an engine state that counted "{counts}"')
def make_state(context, counts):
    rng = random.Random(1)
    members = Membership.from_settings('e1', 'z1', rng)
    state = EntryState('e1', 'z1', 7, rng, members)
    for name, value in parse_options(counts).items():
        state.counters[name] = int(value)
    samples = metric_list.read_samples(state, 10, 3)
    samples += metric_list.read_process()
    samples += metric_list.list_crashes({'cfg': 1})
    MetricSet(metric_list.CATALOGUE).set_samples(samples)
    context.samples = {
        (sample.name, sample.labels): sample.value for sample in samples
    }


@then('the engine\'s metrics show "{name}" {value:d}')
def check_sample(context, name, value):
    assert context.samples[name, ()] == value


@then('the engine\'s metrics show "{name}" {value:d} for "{label}"')
def check_labelled(context, name, value, label):
    assert context.samples[name, (label,)] == value


@given('a log that takes {per_s:d} lines a second')
def make_bounded_log(context, per_s):
    context.now = 5.0
    context.limit = logs.RateFilter(per_s, lambda: context.now)
    context.passed = []


def offer_line(context, level, number):
    record = logging.makeLogRecord({'levelno': level, 'msg': f'line {number}'})
    if context.limit.filter(record):
        context.passed.append(record)
    return record


@when(
    '{lines:d} lines of information and {warnings:d} warnings come in one second'
)
def offer_lines(context, lines, warnings):
    for number in range(lines):
        offer_line(context, logging.INFO, number)
    for number in range(warnings):
        offer_line(context, logging.WARNING, number)


@then('{count:d} lines pass in that second, {warnings:d} of them warnings')
def check_passed(context, count, warnings):
    levels = [record.levelno for record in context.passed]
    assert len(levels) == count, len(levels)
    assert levels.count(logging.WARNING) == warnings, levels


@then(
    'with the first line of the next second they tell of {count:d} missing ones'
)
def check_left_out(context, count):
    context.now += 1
    offer_line(context, logging.INFO, 0)
    told = [getattr(record, 'suppressed', 0) for record in context.passed]
    assert sum(told) == count, told


@given('a log to a pipe that nobody reads')
def make_stuck_log(context):
    reader, writer = os.pipe()
    context.cleanups += [lambda: os.close(reader), lambda: os.close(writer)]
    context.reader = reader
    context.line_handler = logs.LineHandler(writer)


def offer_to_pipe(context, number, count=1):
    for _ in range(count):
        record = logging.makeLogRecord({'msg': f'line {number}'})
        context.line_handler.setFormatter(
            logging.Formatter('%(message)s %(suppressed)s', defaults=NO_LOSS)
        )
        context.line_handler.emit(record)


@when('{count:d} lines are logged, and one more after the pipe was read')
def fill_pipe(context, count):
    done = threading.Thread(
        target=offer_to_pipe, args=(context, 1, count), daemon=True
    )
    done.start()
    done.join(WAIT_S)
    context.blocked = done.is_alive()
    context.lines = os.read(context.reader, PIPE_BYTES).splitlines()
    offer_to_pipe(context, 2)
    context.lines += os.read(context.reader, PIPE_BYTES).splitlines()


@then('nobody has waited, each line is whole, and all {count:d} are accounted')
def check_pipe(context, count):
    assert not context.blocked
    assert all(line.startswith(b'line ') for line in context.lines)
    missing = sum(int(line.split()[-1]) for line in context.lines)
    assert missing > 0
    assert len(context.lines) + missing == count
