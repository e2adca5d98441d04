"""Client of the platform's store: one connection, one call at a time.

It translates calls and answers and keeps no facts.  Every call has a
time-out of its own: a connection may go silent for good, and the store
then never closes it.
"""

import json

from msgspec import Struct

from cornelgap.core.errors import Code, CodedError
from cornelgap.core.json_text import prune_nesting
from cornelgap.platform.http_calls import HttpConnection, HttpError

PATH = '/-/objects/'
CALL_S = 1.0
"""Longest wait for a short answer, seconds.  A healthy answer takes 4 ms, a
slow store's 0.25 s."""

ERA_FIELD = b'store-era'
"""Header field that counts how often the store was restored from a backup."""

MAX_ERA_DIGITS = 18
MAX_PAGES = 1000
MAX_DIGITS = 300
"""Longest whole number that is read as one; longer ones stay text."""


class Listing(Struct, frozen=True):
    """All objects of a kind at one revision.

    :param objects: list of the store's objects, as decoded JSON.
    :param era: how often the store was restored from a backup; 0 if it does not
        tell.
    """

    objects: list
    revision: int
    era: int = 0


class Events(Struct, frozen=True):
    """What has changed since a revision.

    :param events: list of tuples (object, deleted).
    :param era: as of :class:`Listing`.
    """

    events: list
    revision: int
    era: int = 0


class StoreError(CodedError):
    """A call that brought no result.

    :param answered: whether the store refused; if not, nobody knows
        whether the call was carried out.
    """

    def __init__(self, text, answered, code=Code.PLT_DOWN):
        """Keep whether the store has answered."""
        super().__init__(code, text, 'store')
        self.answered = answered


class HistoryGone(StoreError):
    """The revision to watch from is no longer in the store's history."""


class Conflict(StoreError):
    """A conditional write met another revision.

    :param current: the object as it is, or None if the answer had none.
    """

    def __init__(self, text, current):
        """Keep the object that stood in the way."""
        super().__init__(text, answered=True, code=Code.PLT_CONFLICT)
        self.current = current


class StoreClient:
    """Calls of the store over one connection, which is reopened on demand.

    :param address: tuple (host, port).
    :param call_s: longest wait for a short answer, seconds.
    """

    def __init__(self, address, call_s=CALL_S):
        """Open nothing yet."""
        self._conn = HttpConnection(address)
        self._call_s = call_s
        self._era = 0
        self.calls = 0

    @classmethod
    def from_settings(cls, settings):
        """Make a client of the store that the settings name."""
        return cls(settings.store)

    def list_objects(self, kind, stale=False):
        """List all objects of a kind, however many pages that takes.

        :param stale: whether an answer that is seconds old will do; it costs
            a tenth.
        :raises StoreError: if a page brought no answer.
        """
        objects = []
        fixed = {'allow_stale': 1} if stale else {}
        query = fixed
        first_revision = None
        first_era = None
        for _ in range(MAX_PAGES):
            body = self._call('GET', kind, query)
            if first_era is None:
                first_era = self._era
            if self._era != first_era:
                raise HistoryGone('a listing of two eras', answered=True)
            if body is None:
                # No object of this kind was ever made.
                return Listing(objects, first_revision or 0, self._era)
            page = _read_items(body)
            objects += page
            if first_revision is None:
                # Later pages may be newer; watching from the first page's
                # revision repeats a change rather than missing one.
                first_revision = _read_revision(body)
            if not body.get('more') or not page:
                return Listing(objects, first_revision, self._era)
            query = {**fixed, 'after': _find_last_name(page)}
        raise StoreError('the listing does not end', answered=True)

    def read_object(self, kind, name, stale=False):
        """Read one object.

        :param stale: whether an answer that is seconds old will do; it costs
            a tenth.
        :returns: the object, or None if there is none.
        """
        query = {'allow_stale': 1} if stale else {}
        return self._call('GET', f'{kind}/{name}', query)

    def watch_objects(self, kind, revision, wait_s):
        """Wait for changes after a revision.

        :raises HistoryGone: if the store has dropped that history.
        :raises StoreError: if no answer came in time.
        """
        query = {'watch': revision, 'wait_ms': int(wait_s * 1000)}
        body = self._call('GET', kind, query, wait_s)
        events = [
            (event.get('object'), bool(event.get('deleted')))
            for event in body.get('events') or ()
            if isinstance(event, dict)
        ]
        return Events(events, _read_revision(body), self._era)

    def create_object(self, kind, name, spec):
        """Create an object.

        :raises Conflict: if there is one of this name.
        """
        body = {'meta': {'name': name}, 'spec': spec}
        return self._call('POST', kind, {}, body=body)

    def replace_object(self, kind, name, spec, revision):
        """Replace an object if it still has the revision.

        :raises Conflict: if it has another one.
        """
        body = {'meta': {'name': name, 'revision': revision}, 'spec': spec}
        return self._call('PUT', f'{kind}/{name}', {}, body=body)

    def close(self):
        """Close the connection."""
        self._conn.close()

    def _call(self, method, place, query, wait_s=0, body=None):
        self.calls += 1
        path = make_path(place, query)
        content = None if body is None else json.dumps(body).encode()
        try:
            timeout = wait_s + self._call_s
            reply = self._conn.call(method, path, content, timeout)
            answer = load_json(reply.body) if reply.body else {}
        except (OSError, HttpError, ValueError) as exc:
            self.close()
            raise StoreError(repr(exc), answered=False) from exc
        self._era = parse_era(reply.fields, self._era)
        if reply.status == 404:
            return None
        if reply.status in {200, 201}:
            return answer
        raise _make_error(reply.status, answer)


def make_path(place, query):
    """Make the path of a call.

    :param place: kind of objects, or KIND/NAME.
    :param query: dict of parameters.
    """
    if all(isinstance(found, int) for found in query.values()):
        fields = '&'.join(f'{name}={found}' for name, found in query.items())
    else:
        # Only names of objects need quoting, from the second page of a
        # listing on; the module takes 5 ms of a start.
        from urllib.parse import urlencode

        fields = urlencode(query)
    return f'{PATH}{place}?{fields}' if fields else f'{PATH}{place}'


def load_json(raw):
    """Decode an answer, whatever a single entry of it holds.

    One entry with bytes that are no text, with a number of thousands of
    digits or with lists within lists would otherwise hide all others for as
    long as it is there.

    :raises ValueError: if it is no JSON.
    """
    text = raw.decode('utf-8', 'replace')
    try:
        return json.loads(text)
    except (RecursionError, ValueError):
        return json.loads(prune_nesting(text), parse_int=_parse_int)


def parse_era(fields, known):
    """Read how often the store was restored from a backup.

    :param fields: header fields of an answer.
    :param known: what the last answer said; holds where this one is silent,
        as an answer of a proxy in between is.
    """
    digits = fields.get(ERA_FIELD, b'').strip()
    if digits.isdigit() and len(digits) <= MAX_ERA_DIGITS:
        return int(digits)
    return known


def _parse_int(digits):
    return int(digits) if len(digits) <= MAX_DIGITS else digits


def _read_items(body):
    found = body.get('items')
    if found is None:
        return []
    if not isinstance(found, list):
        raise StoreError('items are no list', answered=True)
    return found


def _read_revision(body):
    found = body['store_revision']
    if not isinstance(found, int) or isinstance(found, bool):
        raise StoreError('store_revision is no whole number', answered=True)
    return found


def _find_last_name(page):
    """Return the name of the last entry of a page that can be read."""
    for item in reversed(page):
        try:
            return item['meta']['name']
        except (LookupError, TypeError):
            continue
    raise StoreError('a page without names', answered=True)


def _make_error(status, content):
    if status == 410:
        return HistoryGone('history gone', answered=True)
    if status == 409:
        return Conflict('another revision', content or None)
    return StoreError(f'status {status}', answered=True)
