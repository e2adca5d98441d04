"""Links to targets: many gRPC calls in flight, driven by effects.

The flow engine's effects come in by :meth:`TargetLinks.put` from any
thread; pieces and ends go out in one batch a loop turn by the ``report``
callable, so that a busy loop costs the packet actor one message, not
hundreds.  The calls themselves live in the loop's thread.
"""

import asyncio
import logging
import time
from collections import deque

from cornelgap.core.calls import (
    GrantPieces,
    StartFollow,
    StartRun,
    StopCall,
)
from cornelgap.core.errors import Code
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry.call_ends import end_doubtful, end_unsent
from cornelgap.entry.channels import TargetChannel
from cornelgap.entry.target_call import TargetCall

_LOG = logging.getLogger('cornelgap.links')


class TargetLinks:
    """Owner of the channels to targets and of the calls on them."""

    def __init__(self, loops, report, now=time.monotonic, wall=time.time):
        """Hold no channel yet; see :meth:`from_settings`."""
        self.credentials = None
        self.options = ()
        self._loops = loops
        self._report = report
        self._now = now
        self._wall = wall
        self._inbox = deque()
        self._waking = False
        self._events = []
        self._calls = {}
        self._channels = {}
        self._kept = None
        self._closing = set()

    @classmethod
    def from_settings(
        cls,
        loops,
        report,
        credentials=None,
        options=(),
        now=time.monotonic,
        wall=time.time,
    ):
        """Build the links of one process.

        :param loops: :class:`cornelgap.kernel.loops.LoopThread`.
        :param report: called in the loop's thread with a list of
            :class:`PieceArrived` and :class:`CallEnded`; must not block.
        :param credentials: gRPC channel credentials, None for no TLS.
        :param options: channel options that belong to them.
        :param now: the engine's clock in seconds.
        :param wall: seconds since the epoch, for absolute deadlines only.
        """
        links = cls(loops, report, now, wall)
        links.credentials = credentials
        links.options = options
        return links

    def put(self, effects):
        """Carry out effects of calls, in their order; from any thread."""
        self._inbox.extend(effects)
        if not self._waking:
            self._waking = True
            self._loops.call(self._take_inbox)

    def keep_addresses(self, addresses):
        """Keep channels to these addresses; close others when idle.

        :param addresses: ``host:port`` of all targets in force.
        """
        self._loops.call(self._set_kept, frozenset(addresses))

    def close(self, timeout=5.0):
        """Cancel all calls and close all channels, within a time."""
        self._loops.submit(self._close_all()).result(timeout)

    def _take_inbox(self):
        # Cleared before the queue is read: an effect put meanwhile wakes
        # the loop once more instead of lying there until the next one.
        self._waking = False
        while self._inbox:
            self._carry_out(self._inbox.popleft())

    def _carry_out(self, effect):
        if isinstance(effect, (StartRun, StartFollow)):
            self._start_call(effect)
        elif isinstance(effect, GrantPieces):
            call = self._calls.get(effect.call_id)
            if call is not None:
                call.grant(effect.pieces)
        elif isinstance(effect, StopCall):
            call = self._calls.get(effect.call_id)
            if call is not None:
                call.stop()

    def _start_call(self, effect):
        link = self._channels.get(effect.address)
        if link is None:
            link = TargetChannel.from_address(
                effect.address, self.credentials, self.options
            )
            self._channels[effect.address] = link
        link.calls += 1
        call = TargetCall(
            effect, link, emit=self._emit, now=self._now, wall=self._wall
        )
        self._calls[effect.call_id] = call
        call.task = self._loops.loop.create_task(self._run_call(call))

    async def _run_call(self, call):
        call_id = call.effect.call_id
        try:
            end = await call.run()
        except asyncio.CancelledError:
            end = _end_cancelled(call)
        except Exception:
            # A fault of ours must not leave the caller without a verdict.
            _LOG.exception('links: call broke', extra={'call_id': call_id})
            end = end_doubtful(call_id, CallEnd.FAILED, Code.REQ_TARGET_FAILED)
        self._calls.pop(call_id, None)
        call.link.calls -= 1
        self._emit(end)
        self._close_idle()

    def _emit(self, event):
        if not self._events:
            self._loops.loop.call_soon(self._flush)
        self._events.append(event)

    def _flush(self):
        events = self._events
        self._events = []
        try:
            self._report(events)
        except Exception:
            _LOG.exception('links: report broke')

    def _set_kept(self, addresses):
        self._kept = addresses
        self._close_idle()

    def _close_idle(self):
        if self._kept is None:
            return
        for address, link in list(self._channels.items()):
            if address not in self._kept and not link.calls:
                self._channels.pop(address)
                # The loop holds tasks weakly; without this reference the
                # closing could be collected half way.
                closing = self._loops.loop.create_task(link.close())
                self._closing.add(closing)
                closing.add_done_callback(self._closing.discard)

    async def _close_all(self):
        tasks = [call.task for call in self._calls.values()]
        for call in list(self._calls.values()):
            call.stop()
        await asyncio.gather(*tasks, return_exceptions=True)
        links = list(self._channels.values())
        self._channels.clear()
        for link in links:
            await link.close()


def _end_cancelled(call):
    call_id = call.effect.call_id
    if call.sent:
        return end_doubtful(call_id, CallEnd.CANCELLED, Code.REQ_CANCELLED)
    return end_unsent(call_id, CallEnd.CANCELLED, Code.REQ_CANCELLED)
