"""The one thread of a process that runs an asyncio loop.

gRPC's and the metrics library's asynchronous servers and channels need a
loop.  All of them share this one, because gRPC's completion queue is bound
to a loop and several loops in one process wake each other for nothing.
Actors stay outside and talk to it by :meth:`LoopThread.call` and
:meth:`LoopThread.submit`, neither of which blocks.
"""

import asyncio
import logging
import threading

_LOG = logging.getLogger('cornelgap.loops')


class Timer:
    """Calls a plain function again and again in the loop's thread."""

    def __init__(self, loop, seconds, func):
        """Prepare the timer; :meth:`start` belongs to the loop's thread."""
        self._loop = loop
        self._seconds = seconds
        self._func = func
        self._handle = None
        self._cancelled = False

    def start(self):
        """Call the function now and after each interval."""
        if self._cancelled:
            return
        self._handle = self._loop.call_later(self._seconds, self.start)
        try:
            self._func()
        except Exception:
            # One broken turn must not end all later ones unnoticed.
            _LOG.exception('loops: timer broke')

    def cancel(self):
        """Stop calling; from the loop's thread."""
        self._cancelled = True
        if self._handle is not None:
            self._handle.cancel()


class LoopThread:
    """A thread that owns an asyncio loop."""

    def __init__(self, name='loop'):
        """Make the loop; nothing runs before :meth:`start`."""
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run_loop, name=name, daemon=True
        )

    @classmethod
    def start_new(cls, name='loop'):
        """Make a loop and start its thread."""
        loops = cls(name)
        loops.start()
        return loops

    def start(self):
        """Start the thread."""
        self._thread.start()

    def call(self, func, *args):
        """Run a plain function in the loop's next turn.

        :returns: False if the loop has been stopped.
        """
        try:
            self.loop.call_soon_threadsafe(func, *args)
        except RuntimeError:
            return False
        return True

    def call_every(self, seconds, func):
        """Call a plain function again and again, first at once.

        :param func: must not block.
        :returns: a function that ends it, from any thread.
        """
        timer = Timer(self.loop, seconds, func)
        self.call(timer.start)

        def cancel():
            self.call(timer.cancel)

        return cancel

    def submit(self, coro):
        """Start a coroutine; its result comes as a concurrent future."""
        return asyncio.run_coroutine_threadsafe(coro, self.loop)

    def stop(self, timeout=5.0):
        """Cancel what still runs and end the thread.

        :param timeout: longest wait in seconds.
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
        ending = asyncio.gather(*tasks, return_exceptions=True)
        ending.add_done_callback(self._end_loop)

    def _end_loop(self, _ending):
        self.loop.stop()
