"""Steps of the proofs with real processes over loopback.

The steps wait for events of the flows and never for a time; a run that
makes no headway ends at a bound.
"""

import contextlib
import json
import signal
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from bench.deployments import (
    Deployment,
    DeploymentPlan,
    ServicePlan,
    dump_target,
)
from cornelgap.call import events as ev
from cornelgap.call.client import CallerClient
from cornelgap.call.main import parse_address
from cornelgap.core.verdicts import RunState
from standins.works import make_event

PLAN = DeploymentPlan('proof', 2, 3, (ServicePlan('booking', 2, 3),))
BOUND_S = 60
HOLD_S = 5.0
RATE = 10


class Flows:
    """Flows of one caller: feeds, and holds one after another."""

    def __init__(self, address, count):
        self.client = CallerClient([parse_address(address)])
        self.stopped = False
        self.feeds = {}
        self.ended = []
        self.open_holds = {}
        self.wrong = []
        self.count = 0
        self.flows = [
            self.client.open_flow('booking', open_s=BOUND_S)
            for _ in range(count)
        ]
        for number, flow in enumerate(self.flows):
            topic = f'feed topic{number} {RATE}'.encode()
            flow.start_feed(time.monotonic(), topic)
            self.feeds[id(flow)] = [f'topic{number}', 0]
            self.start_hold(flow)

    def start_hold(self, flow):
        """Place the next hold of a flow."""
        self.count += 1
        name = f'slot{self.count}'
        now = time.monotonic()
        handle = flow.start_request(now, f'hold {name}'.encode(), HOLD_S)
        self.open_holds[id(flow), handle] = name
        self.client.schedule(flow)

    def poll(self):
        """Handle what comes."""
        for found in self.client.poll(0.05):
            if isinstance(found.event, ev.FeedItem):
                self.note_item(found.flow, found.event)
            elif isinstance(found.event, ev.RequestEnded):
                self.note_end(found.flow, found.event)

    def note_item(self, flow, event):
        """Check an event of a feed against the one right sequence."""
        feed = self.feeds[id(flow)]
        expected = make_event(feed[0], feed[1])
        if (event.position, event.payload) != (feed[1], expected):
            self.wrong.append((feed[0], feed[1], event.position))
        feed[1] += 1

    def note_end(self, flow, event):
        """Keep a hold's verdict and place the next one."""
        name = self.open_holds.pop((id(flow), event.handle))
        self.ended.append((name, event.verdict.ran))
        if not self.stopped:
            self.start_hold(flow)

    def poll_until(self, condition, what):
        """Poll until a condition holds, within the bound."""
        end = time.monotonic() + BOUND_S
        while not condition():
            self.poll()
            assert time.monotonic() < end, f'never: {what}'

    def await_events(self, count):
        """Poll until each feed has some events more."""
        goal = {key: feed[1] + count for key, feed in self.feeds.items()}
        self.poll_until(
            lambda: all(self.feeds[key][1] >= goal[key] for key in goal),
            f'{count} events more in {self.feeds.values()}',
        )


@given('the proof processes with {count:d} flows at work')
def start_processes(context, count):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    stack = contextlib.ExitStack()
    context.cleanups.append(stack.close)
    place = Path(folder.name)
    context.deployment = Deployment(PLAN, place, place)
    context.deployment.start(stack, ['--loss', '0.01'])
    context.entries = list(context.deployment.entries.values())
    context.flows = Flows(context.deployment.address, count)
    context.cleanups.append(context.flows.client.close)


@when('each proof feed has {count:d} events more')
def await_events(context, count):
    context.flows.await_events(count)


@when('proof entry {number:d} is killed hard')
def kill_entry(context, number):
    context.entries[number - 1].send_signal(signal.SIGKILL)


@when(
    'proof entry {number:d} stands still while each proof feed gets {count:d}'
    ' events more'
)
def pause_entry(context, number, count):
    entry = context.entries[number - 1]
    entry.send_signal(signal.SIGSTOP)
    try:
        # Feeds that it was home of go on only once others took them over,
        # which is later than the deadlines that its peers keep for it.
        context.flows.await_events(count)
    finally:
        entry.send_signal(signal.SIGCONT)


@when('the proof platform is killed hard')
def kill_platform(context):
    context.deployment.platform.send_signal(signal.SIGKILL)


@when('proof entry {number:d} is stopped as planned')
def stop_entry(context, number):
    context.leaving = context.entries[number - 1]
    context.leaving.send_signal(signal.SIGTERM)


@when('the proof holds come to their end')
def end_holds(context):
    flows = context.flows
    flows.stopped = True
    flows.poll_until(lambda: not flows.open_holds, 'all holds ended')


@then('no proof feed has a gap or a doubled event')
def check_feeds(context):
    assert not context.flows.wrong, context.flows.wrong[:5]


@then('no proof hold ran twice or against its verdict')
def check_holds(context):
    ran = {}
    for name, (service, proc) in context.deployment.targets.items():
        report = json.loads(dump_target(name, service.name, proc))
        for hold, times in report['holds'].items():
            ran[hold] = ran.get(hold, 0) + times
    doubled = {hold: times for hold, times in ran.items() if times > 1}
    assert not doubled, doubled
    said = dict(context.flows.ended)
    refused = [hold for hold, told in said.items() if told is RunState.NOT_RUN]
    done = [hold for hold, told in said.items() if told is RunState.DONE]
    assert done, 'no hold was ever done'
    assert not [hold for hold in refused if hold in ran]
    assert not [hold for hold in done if hold not in ran]


@then('the planned stop ended with exit code 0')
def check_stop(context):
    code, _ = context.leaving.read_rest(BOUND_S)
    assert code == 0, code
