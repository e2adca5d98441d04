"""Base of the actors: a name, a table of messages, a noticed crash."""

import pykka

from cornelgap.kernel.names import make_urn
from cornelgap.kernel.supervision import report_crash


class Service(pykka.ThreadingActor):
    """An actor with a name in a scope.

    A subclass fills :attr:`handlers` with one method a message type.
    """

    def __init__(self, scope, name):
        """Take the name, under which others find this actor."""
        super().__init__()
        self.actor_urn = make_urn(scope, name)
        self.scope = scope
        self.name = name
        self.handlers = {}

    def on_receive(self, message):
        """Handle one message in one turn."""
        return self.handlers[type(message)](message)

    def on_failure(self, exception_type, exception_value, traceback):
        """Report the crash that ends this actor."""
        report_crash(self.scope, self.name, exception_value)
