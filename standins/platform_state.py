"""The platform stand-in's state and faults, without any network."""

import queue
import threading
import time

from cornelgap.wire import platform_pb2 as wire

MAX_VALUE_BYTES = 1024 * 1024
_EXPIRY_S = 5


class PlatformDown(Exception):
    """The call failed and had no effect."""


class Forbidden(Exception):
    """The caller may not do this."""


class AnswerLost(Exception):
    """The write took effect and its answer did not arrive."""


class Feed:
    """One open watch: a queue that ends with None."""

    def __init__(self, prefix, on_close):
        """Watch a prefix; `on_close` is called once with the feed."""
        self.prefix = prefix
        self._items = queue.SimpleQueue()
        self._on_close = on_close

    def __iter__(self):
        return iter(self._items.get, None)

    def push(self, item):
        """Hand one object to the watcher."""
        self._items.put(item)

    def close(self):
        """End the watch."""
        self._on_close(self)
        self._items.put(None)


class PlatformState:
    """Objects, watches and instances behind one lock.

    :ivar faults: wire ``Faults`` in force; set by :meth:`set_faults`.
    :ivar era: number from 1 that rises when it is restored from a backup.
    """

    def __init__(self, expiry_s=_EXPIRY_S, clock=time.monotonic):
        """Start empty.

        :param expiry_s: life of a registration without a heartbeat.
        :param clock: returns seconds; for the instance list only.
        """
        self.faults = wire.Faults()
        self.era = 1
        self._lock = threading.Lock()
        self._objects = {}
        self._snapshot = {}
        self._snapshot_era = self.era
        self._feeds = []
        self._heartbeats = {}
        self._expiry_s = expiry_s
        self._clock = clock
        self._counts = wire.CountsReply()

    def set_faults(self, faults):
        """Replace all faults by the given wire ``Faults``."""
        with self._lock:
            if faults.stale_reads and not self.faults.stale_reads:
                self._snapshot = dict(self._objects)
                self._snapshot_era = self.era
            self.faults = wire.Faults.FromString(faults.SerializeToString())

    def count_calls(self):
        """Count calls and bytes since the start, as wire ``CountsReply``."""
        with self._lock:
            return wire.CountsReply.FromString(self._counts.SerializeToString())

    def back_up(self):
        """Back up all objects, for :meth:`restore`."""
        with self._lock:
            return dict(self._objects)

    def restore(self, backup):
        """Restore a backup: what was written since is lost.

        Versions go on from the backup's, and are reissued.
        """
        with self._lock:
            self._objects = dict(backup)
            self.era += 1

    def get(self, name):
        """Read (version, value, era), or None."""
        with self._lock:
            objects, era = self._readable()
            found = objects.get(name)
            if found is None:
                return None
            self._counts.bytes_read += len(found[1])
            return (*found, era)

    def put(self, name, expected_version, value, expected_era=0):
        """Write conditionally; return (accepted, current or None)."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f'value of {len(value)} bytes')
        with self._lock:
            self._check_up()
            self._counts.writes += 1
            current = self._objects.get(name)
            version = current[0] if current else 0
            accepted = version == expected_version and self._is_era(
                expected_era
            )
            if accepted:
                current = (version + 1, value)
                self._write(name, current)
            if self.faults.lose_answers:
                self.faults.lose_answers -= 1
                raise AnswerLost('the answer was lost')
            return accepted, current and (*current, self.era)

    def delete(self, name, expected_version, expected_era=0):
        """Delete an object of the expected version; say whether it was."""
        with self._lock:
            self._check_up()
            self._counts.writes += 1
            current = self._objects.get(name)
            accepted = (
                current is not None
                and current[0] == expected_version
                and self._is_era(expected_era)
            )
            if accepted:
                self._objects.pop(name)
            return accepted

    def list(self, prefix, names_only=False):
        """List (name, version, value, era) by prefix, in the names' order."""
        with self._lock:
            found = _select(*self._readable(), prefix)
            if names_only:
                found = [
                    (name, version, b'', era) for name, version, _, era in found
                ]
            self._counts.bytes_read += sum(len(item[2]) for item in found)
            return found

    def open_watch(self, prefix):
        """Open a :class:`Feed` that begins with what exists."""
        with self._lock:
            self._check_up()
            self._counts.watches += 1
            feed = Feed(prefix, self._forget_feed)
            self._feeds.append(feed)
            if not self.faults.mute_watches:
                for item in _select(self._objects, self.era, prefix):
                    feed.push(item)
            return feed

    def kill_watches(self):
        """End every open watch and return how many there were."""
        with self._lock:
            feeds = list(self._feeds)
        for feed in feeds:
            feed.close()
        return len(feeds)

    def register(self, instance):
        """Note an instance's heartbeat."""
        self._note_heartbeat(instance.name, instance)

    def deregister(self, instance):
        """Note that an instance has left."""
        self._note_heartbeat(instance.name, None)

    def list_instances(self, role=''):
        """List the instances as they stood one list lag ago."""
        with self._lock:
            self._check_up()
            self._counts.reads += 1
            then = self._clock() - self.faults.list_lag_ms / 1000
            found = (
                self._see_instance(name, then)
                for name in sorted(self._heartbeats)
            )
            return [
                instance
                for instance in found
                if instance is not None and role in {'', instance.role}
            ]

    def _readable(self):
        self._check_up()
        self._counts.reads += 1
        if self.faults.stale_reads:
            return self._snapshot, self._snapshot_era
        return self._objects, self.era

    def _is_era(self, expected):
        return expected in {0, self.era}

    def _check_up(self):
        if self.faults.forbidden:
            raise Forbidden('not permitted')
        if self.faults.down:
            raise PlatformDown('the platform is down')

    def _write(self, name, current):
        self._objects[name] = current
        self._counts.bytes_written += len(current[1])
        if self.faults.mute_watches:
            return
        for feed in self._feeds:
            if name.startswith(feed.prefix):
                feed.push((name, *current, self.era))

    def _forget_feed(self, feed):
        with self._lock:
            if feed in self._feeds:
                self._feeds.remove(feed)

    def _note_heartbeat(self, name, instance):
        with self._lock:
            self._check_up()
            self._counts.writes += 1
            now = self._clock()
            notes = self._heartbeats.setdefault(name, [])
            notes.append((now, instance))
            # Only what a lagging view may still need is kept.
            kept_from = now - self.faults.list_lag_ms / 1000
            while len(notes) > 1 and notes[1][0] <= kept_from:
                notes.pop(0)

    def _see_instance(self, name, then):
        seen = [note for note in self._heartbeats[name] if note[0] <= then]
        if not seen or then - seen[-1][0] > self._expiry_s:
            return None
        return seen[-1][1]


def _select(objects, era, prefix):
    return [
        (name, *objects[name], era)
        for name in sorted(objects)
        if name.startswith(prefix)
    ]
