"""Base of the actors: a name, a table of messages, a noticed crash."""

import logging

import pykka

from cornelgap.kernel.names import claim_name
from cornelgap.kernel.supervision import report_crash

_LOG = logging.getLogger('cornelgap.supervision')


class Service(pykka.ThreadingActor):
    """An actor with a name in a scope.

    A subclass fills :attr:`handlers` with one method a message type, and
    may override :meth:`begin` and :meth:`end`.
    """

    def __init__(self, scope, name):
        """Take the name, under which others find this actor."""
        super().__init__()
        claim_name(self, scope, name)
        self.scope = scope
        self.name = name
        self.handlers = {}

    def on_receive(self, message):
        """Handle one message in one turn."""
        return self.handlers[type(message)](message)

    def begin(self):
        """Start what this actor owns, in its own thread."""

    def end(self):
        """Close what this actor owns, after a stop or a crash."""

    def on_start(self):
        """Begin; an error is a crash like any other.

        The library calls no hook when the start itself fails: the port in
        use, say.  The process would run on without the part.
        """
        try:
            self.begin()
        except Exception as exc:
            report_crash(self.scope, self.name, exc)
            raise

    def on_stop(self):
        """End after a stop."""
        self.end()

    def on_failure(self, exception_type, exception_value, traceback):
        """Report the crash that ends this actor and close what it owns."""
        report_crash(self.scope, self.name, exception_value)
        try:
            self.end()
        except Exception:
            _LOG.exception('supervision: actor ended badly')
