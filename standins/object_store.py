"""Stand-in of the platform's store: objects by kind over HTTP, with faults.

It speaks the published calls: list, watch, one object, conditional create
and replace.  Faults are attributes that a test sets while it runs.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PREFIX = '/-/objects/'
HISTORY = 1000
PAGE = 500
STEP_S = 0.02


class RawJson:
    """A value in the words of a writer that no JSON library would use."""

    def __init__(self, text):
        """Keep the text."""
        self.text = text


class ObjectStore:
    """Objects, their history and the faults of the moment.

    :ivar refused: hosts of callers that get 503; ``'*'`` stands for all.
    :ivar silent: whether calls get no answer at all.
    :ivar deaf: whether watches hear nothing.
    :ivar page: objects a page.
    :ivar era: how often it was restored from a backup; None to say nothing.
    """

    def __init__(self):
        """Begin empty, at revision 1, without a fault."""
        self.refused = set()
        self.silent = False
        self.deaf = False
        self.page = PAGE
        self.era = 1
        self.calls = []
        self._changed = threading.Condition()
        self._revision = 1
        self._kinds = {}
        self._events = []
        self._oldest = 0

    @property
    def revision(self):
        """The number of the last change."""
        with self._changed:
            return self._revision

    def put(self, kind, name, spec, expected=None):
        """Write an object.

        :param expected: revision that it must have, 0 if it must be new.
        :returns: the object, or None if the condition does not hold.
        """
        with self._changed:
            known = self._kinds.setdefault(kind, {}).get(name)
            found = known['meta']['revision'] if known else 0
            if expected is not None and expected != found:
                return None
            self._revision += 1
            item = {
                'meta': {
                    'name': name,
                    'revision': self._revision,
                    'finalizers': [],
                    'deleting': False,
                },
                'spec': spec,
                'status': None,
            }
            self._kinds[kind][name] = item
            self._note(kind, item, deleted=False)
            return item

    def remove(self, kind, name):
        """Remove an object."""
        with self._changed:
            item = self._kinds[kind].pop(name)
            self._revision += 1
            meta = {**item['meta'], 'revision': self._revision}
            self._note(kind, {**item, 'meta': meta}, deleted=True)

    def compact(self):
        """Forget the history, so that old watches get 410."""
        with self._changed:
            self._events.clear()
            self._oldest = self._revision

    def back_up(self):
        """Back up all objects, for :meth:`restore`."""
        with self._changed:
            kinds = {kind: dict(found) for kind, found in self._kinds.items()}
            return self._revision, kinds

    def restore(self, backup):
        """Restore a backup: what was written since is lost.

        Revisions go on from the backup's, and are reissued.
        """
        with self._changed:
            self._revision, kinds = backup
            self._kinds = {kind: dict(found) for kind, found in kinds.items()}
            self._events = [
                event for event in self._events if event[0] <= self._revision
            ]
            self._oldest = min(self._oldest, self._revision)
            self.era += 1
            self._changed.notify_all()

    def get(self, kind, name):
        """Return one object, or None."""
        with self._changed:
            return self._kinds.get(kind, {}).get(name)

    def list(self, kind, after):
        """Return one page as the call's body."""
        with self._changed:
            found = self._kinds.get(kind, {})
            names = sorted(name for name in found if name > after)
            page = names[: self.page]
            return {
                'items': [found[name] for name in page],
                'more': len(names) > len(page),
                'store_revision': self._revision,
            }

    def watch(self, kind, revision, wait_s):
        """Wait for events after a revision; None if the history is gone."""
        ends_at = time.monotonic() + wait_s
        with self._changed:
            while True:
                if not self._oldest <= revision <= self._revision:
                    return None
                found = [
                    event
                    for at, of_kind, event in self._events
                    if at > revision and of_kind == kind
                ]
                left = ends_at - time.monotonic()
                if (found and not self.deaf) or left <= 0:
                    seen = [] if self.deaf else found
                    at = revision if self.deaf else self._revision
                    return {'events': seen, 'store_revision': at}
                self._changed.wait(min(left, STEP_S))

    def _note(self, kind, item, deleted):
        event = {'object': item, 'deleted': deleted}
        self._events.append((self._revision, kind, event))
        del self._events[:-HISTORY]
        self._changed.notify_all()


class _QuietServer(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Say nothing: callers that have given up are what tests play."""


def start_store(store, address=('127.0.0.1', 0)):
    """Serve a store.

    :returns: the server, with ``server_address`` and ``shutdown``.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_GET(self):
            _answer(self, store, _read)

        def do_POST(self):
            _answer(self, store, _create)

        def do_PUT(self):
            _answer(self, store, _replace)

        def log_message(self, *args):
            """Keep the test's output clean; calls are in the store."""

    server = _QuietServer(address, Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def _answer(handler, store, carry_out):
    host = handler.client_address[0]
    store.calls.append((host, handler.command, handler.path))
    size = int(handler.headers.get('Content-Length') or 0)
    body = json.loads(handler.rfile.read(size)) if size else None
    while store.silent:
        time.sleep(STEP_S)
    if store.refused & {host, '*'}:
        status, content = 503, {'error': 'refused'}
    else:
        status, content = carry_out(store, handler.path, body)
    raw = encode_content(content)
    handler.send_response(status)
    handler.send_header('Content-Type', 'application/json')
    handler.send_header('Content-Length', str(len(raw)))
    if store.era is not None:
        handler.send_header('Store-Era', str(store.era))
    handler.end_headers()
    handler.wfile.write(raw)


def encode_content(content):
    """Encode a body as JSON, in which :class:`RawJson` stands as it is."""
    texts = {}

    def mark(found):
        key = f'raw-json-{len(texts)}'
        texts[f'"{key}"'] = found.text
        return key

    encoded = json.dumps(content, default=mark)
    for key, text in texts.items():
        encoded = encoded.replace(key, text)
    return encoded.encode()


def _split(path):
    parts = urlsplit(path)
    kind, _, name = parts.path[len(PREFIX) :].partition('/')
    query = {key: values[0] for key, values in parse_qs(parts.query).items()}
    return kind, name, query


def _read(store, path, _body):
    kind, name, query = _split(path)
    if name:
        item = store.get(kind, name)
        return (404, {'error': 'none'}) if item is None else (200, item)
    if 'watch' not in query:
        return 200, store.list(kind, query.get('after', ''))
    wait_s = int(query.get('wait_ms', 0)) / 1000
    found = store.watch(kind, int(query['watch']), wait_s)
    return (410, {'error': 'gone'}) if found is None else (200, found)


def _create(store, path, body):
    kind, _, _ = _split(path)
    name = body['meta']['name']
    item = store.put(kind, name, body['spec'], expected=0)
    return (409, store.get(kind, name)) if item is None else (200, item)


def _replace(store, path, body):
    kind, name, _ = _split(path)
    item = store.put(kind, name, body['spec'], body['meta'].get('revision'))
    return (409, store.get(kind, name)) if item is None else (200, item)
