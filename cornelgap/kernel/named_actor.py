"""Base class of the actors, with a name, message handlers and crash reports."""

import logging

import pykka

from cornelgap.kernel.names import set_actor_name
from cornelgap.kernel.supervision import report_crash

_LOG = logging.getLogger('cornelgap.supervision')


class NamedActor(pykka.ThreadingActor):
    """An actor that others find by its name within a scope.

    A subclass sets :attr:`handlers`, a dict from message type to the method
    that handles it, and may override :meth:`acquire_resources`
    and :meth:`release_resources`.
    """

    def __init__(self, scope, name):
        """Register the name of this actor.

        :param scope: name of the instance to which the actor belongs.
        :param name: name of the actor, unique within the scope.
        """
        super().__init__()
        set_actor_name(self, scope, name)
        self.scope = scope
        self.name = name
        self.handlers = {}

    def on_receive(self, message):
        """Handle one message by the method for its type."""
        return self.handlers[type(message)](message)

    def acquire_resources(self):
        """Start what this actor owns, in its own thread."""

    def release_resources(self):
        """Close what this actor owns, after a stop or a crash."""

    def on_start(self):
        """Call :meth:`acquire_resources` and report an exception as a crash.

        pykka calls no hook when the start itself fails, for example because a
        port is in use.  Without the report, the process would continue
        without this actor.
        """
        try:
            self.acquire_resources()
        except Exception as exc:
            report_crash(self.scope, self.name, exc)
            raise

    def on_stop(self):
        """Close what this actor owns after a stop."""
        self.release_resources()

    def on_failure(self, exception_type, exception_value, traceback):
        """Report the crash that ends this actor and close what it owns."""
        report_crash(self.scope, self.name, exception_value)
        try:
            self.release_resources()
        except Exception:
            _LOG.exception('supervision: actor cleanup failed')
