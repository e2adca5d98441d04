"""The platform's store in memory, for tests without a network."""

from cornelgap.cfg.store import Named, PutResult, Versioned
from cornelgap.core.errors import Code, CodedError
from standins.platform_state import AnswerLost, PlatformDown, PlatformState

_TIMEOUT_MS = 2000


class MemoryStore:
    """A store whose platform is a :class:`PlatformState` in this process.

    A platform that is slower than the timeout behaves as it does over the
    network, without the wait: reads fail, writes take effect unheard.
    """

    def __init__(self, state=None):
        """Use the given state, or a new one."""
        self.state = state or PlatformState()

    def get(self, name):
        """Get an object, see :class:`cornelgap.cfg.store.Store`."""
        found = self._call(self.state.get, name)
        return None if found is None else Versioned(*found)

    def put(self, name, expected_version, value, expected_era=0):
        """Write conditionally."""
        try:
            accepted, current = self._call(
                self.state.put, name, expected_version, value, expected_era
            )
        except AnswerLost as exc:
            raise CodedError(Code.PLT_ANSWER_LOST, str(exc), name) from exc
        except ValueError as exc:
            raise CodedError(Code.PLT_TOO_LARGE, str(exc), name) from exc
        if self._too_slow():
            raise CodedError(Code.PLT_ANSWER_LOST, 'too slow', name)
        return PutResult(accepted, current and Versioned(*current))

    def delete(self, name, expected_version, expected_era=0):
        """Delete an object."""
        return self._call(
            self.state.delete, name, expected_version, expected_era
        )

    def list(self, prefix, names_only=False):
        """List objects."""
        found = self._call(self.state.list, prefix, names_only)
        return [Named(*item) for item in found]

    def watch(self, prefix):
        """Watch objects."""
        return MemoryWatch(self._call(self.state.open_watch, prefix))

    def register(self, instance):
        """Put an instance on the list."""
        self._call(self.state.register, instance)

    def deregister(self, instance):
        """Take an instance off the list."""
        self._call(self.state.deregister, instance)

    def list_instances(self, role=''):
        """List instances."""
        return self._call(self.state.list_instances, role)

    def _too_slow(self):
        return self.state.faults.slow_ms > _TIMEOUT_MS

    def _call(self, method, *args):
        if self._too_slow() and method != self.state.put:
            raise CodedError(Code.PLT_DOWN, 'the platform is too slow')
        try:
            return method(*args)
        except PlatformDown as exc:
            raise CodedError(Code.PLT_DOWN, str(exc)) from exc


class MemoryWatch:
    """An open watch in memory."""

    def __init__(self, feed):
        """Wrap a feed of the state."""
        self._feed = feed

    def __iter__(self):
        """Give each object until the watch ends."""
        return (Named(*item) for item in self._feed)

    def cancel(self):
        """End the watch."""
        self._feed.close()
