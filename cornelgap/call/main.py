"""``cornelgap-call``: a caller's probe and load tool.

Exit codes: 0 done, 1 usage, 3 not run, 4 may have run, 5 nobody can tell.
"""

import json
import random
import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts

from cornelgap.call import events as ev
from cornelgap.call.client import CallerClient
from cornelgap.call.load import Load, LoadPlan
from cornelgap.core.verdicts import RunState

EXIT_CODES = {
    RunState.DONE: 0,
    RunState.NOT_RUN: 3,
    RunState.MAY_HAVE_RUN: 4,
    RunState.UNKNOWN: 5,
}

app = cyclopts.App(
    name='cornelgap-call', help='Call services through cornelgap.'
)
Addresses = Annotated[
    list[str], cyclopts.Parameter(help='host:port of the fabric or an entry.')
]


def parse_address(text):
    """Parse ``host:port``.

    :raises ValueError: if there is no port.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)


def _make_client(to, seed=None):
    return CallerClient([parse_address(one) for one in to], random.Random(seed))


def _run_flow(to, service, start, on_event):
    """Open one flow, start something on it, until ``on_event`` gives a value.

    :returns: what ``on_event`` gave, or the verdict of a failed open.
    """
    client = _make_client(to)
    flow = client.open_flow(service)
    start(flow)
    client.schedule(flow)
    try:
        return _poll_flow(client, on_event)
    finally:
        _hang_up(client, flow)


def _hang_up(client, flow):
    flow.close(time.monotonic())
    client.schedule(flow)
    client.poll(0)
    client.close()


def _poll_flow(client, on_event):
    while True:
        for item in client.poll(0.5):
            found = on_event(item.event)
            if found is not None:
                return found


def _show_verdict(verdict):
    print(
        json.dumps(
            {
                'ran': verdict.ran.name,
                'code': str(verdict.code),
                'same_id': verdict.same_id,
                'retry_after_ms': verdict.retry_after_ms,
                'text': verdict.text,
            }
        ),
        file=sys.stderr,
    )
    return EXIT_CODES[verdict.ran]


@app.command(name='request')
def send_request(
    payload: str,
    *,
    to: Addresses,
    service: str,
    idempotent: bool = False,
    long_job: bool = False,
    deadline_s: float = 10,
    out: Path | None = None,
):
    """Send one request; its answer goes to standard output or a file."""

    def start(flow):
        flow.start_request(
            time.monotonic(),
            payload.encode(),
            deadline_s,
            idempotent,
            long_job,
        )

    def pick_end(event):
        return event if isinstance(event, ev.RequestEnded) else None

    event = _run_flow(to, service, start, pick_end)
    if event.answer is not None:
        _write_answer(event.answer, out)
    return _show_verdict(event.verdict)


def _write_answer(answer, out):
    if out is not None:
        out.write_bytes(answer)
        return
    sys.stdout.buffer.write(answer)
    sys.stdout.buffer.flush()


@app.command
def download(
    payload: str,
    *,
    to: Addresses,
    service: str,
    out: Path,
    deadline_s: float = 60,
):
    """Download an answer to a file, as an idempotent long job."""
    return send_request(
        payload,
        to=to,
        service=service,
        idempotent=True,
        long_job=True,
        deadline_s=deadline_s,
        out=out,
    )


@app.command
def feed(
    topic: str,
    *,
    to: Addresses,
    service: str,
    position: int = 0,
    count: int = 0,
):
    """Print the events of a feed, one a line, until ``count`` have come."""
    last = position + count - 1

    def start(flow):
        flow.start_feed(time.monotonic(), topic.encode(), position)

    def show_event(event):
        if isinstance(event, ev.FeedItem):
            print(event.position, event.payload.decode(errors='replace'))
            return RunState.DONE if count and event.position >= last else None
        if isinstance(event, (ev.FeedEnded, ev.OpenFailed)):
            _show_verdict(event.verdict)
            return event.verdict.ran
        return None

    return EXIT_CODES[_run_flow(to, service, start, show_event)]


@app.command(name='load')
def run_load(
    plan: Annotated[LoadPlan, cyclopts.Parameter(name='*')],
    *,
    to: Addresses,
    seed: int | None = None,
    record: Path | None = None,
):
    """Run a load and print a JSON summary."""
    client = _make_client(to, seed)
    rng = random.Random(seed)
    stream = record.open('w') if record else None
    try:
        summary = Load(plan, client, time.monotonic, rng, stream).run()
    finally:
        client.close()
        if stream is not None:
            stream.close()
    print(json.dumps(summary))


def run_main():
    """Run the command line."""
    app()


if __name__ == '__main__':
    run_main()
