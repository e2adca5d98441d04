"""A thread that runs an asyncio event loop for the actors of a process.

The asynchronous servers and channels of gRPC and of the metrics library need
an event loop.  All gRPC objects of a process share one loop, because gRPC's
completion queue is bound to a loop and several loops in one process wake
each other needlessly.  Actors run in their own threads and use the loop
through :meth:`LoopThread.call` and :meth:`LoopThread.submit`, which do not
block.
"""

import asyncio
import logging
import threading

_LOG = logging.getLogger('cornelgap.loops')


class PeriodicTimer:
    """Calls a plain function periodically in the loop's thread."""

    def __init__(self, loop, interval_s, func):
        """Prepare the timer; call :meth:`start` in the loop's thread."""
        self._loop = loop
        self._interval_s = interval_s
        self._func = func
        self._handle = None
        self._cancelled = False

    def start(self):
        """Call the function now and then once per interval."""
        if self._cancelled:
            return
        self._handle = self._loop.call_later(self._interval_s, self.start)
        try:
            self._func()
        except Exception:
            # A failed call must not silently prevent all later ones.
            _LOG.exception('loops: periodic function failed')

    def cancel(self):
        """Stop the timer; call this in the loop's thread."""
        self._cancelled = True
        if self._handle is not None:
            self._handle.cancel()


class LoopThread:
    """A thread that runs its own asyncio event loop."""

    def __init__(self, name='loop'):
        """Create the loop, which runs only after :meth:`start`."""
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run_loop, name=name, daemon=True
        )

    @classmethod
    def start_new(cls, name='loop'):
        """Create a loop and start its thread."""
        loop_thread = cls(name)
        loop_thread.start()
        return loop_thread

    def start(self):
        """Start the thread."""
        self._thread.start()

    def call(self, func, *args):
        """Schedule a plain function in the loop's thread; thread-safe.

        :returns: False if the loop is closed.
        """
        try:
            self.loop.call_soon_threadsafe(func, *args)
        except RuntimeError:
            return False
        return True

    def call_every(self, interval_s, func):
        """Call a plain function periodically, the first time immediately.

        :param func: function without parameters; must not block.
        :returns: a thread-safe function that stops the calls.
        """
        timer = PeriodicTimer(self.loop, interval_s, func)
        self.call(timer.start)

        def cancel():
            self.call(timer.cancel)

        return cancel

    def submit(self, coro):
        """Schedule a coroutine; returns a :mod:`concurrent.futures` future."""
        return asyncio.run_coroutine_threadsafe(coro, self.loop)

    def stop(self, timeout=5.0):
        """Cancel all tasks and stop the thread.

        :param timeout: seconds to wait for the thread to end.
        """
        if not self._thread.is_alive():
            return
        self.call(self._cancel_tasks)
        self._thread.join(timeout)

    def _run_loop(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
        self.loop.close()

    def _cancel_tasks(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        all_cancelled = asyncio.gather(*tasks, return_exceptions=True)
        all_cancelled.add_done_callback(self._stop_loop)

    def _stop_loop(self, _all_cancelled):
        self.loop.stop()
