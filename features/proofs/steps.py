"""Names of the protocol steps, and how a datagram shows which it is."""

from cornelgap.core import messages as msg
from cornelgap.wire.caller_codec import decode_datagram

_BY_TYPE = {
    msg.Open: 'open',
    msg.Opened: 'open',
    msg.Request: 'request',
    msg.Progress: 'admit',
    msg.Chunk: 'chunk',
    msg.Event: 'feed chunk',
    msg.Ack: 'acknowledge',
    msg.OutcomeQuery: 'outcome query',
    msg.VerdictReport: 'report',
    msg.Moved: 're-home',
}


def name_step(datagram):
    """Name the step that a datagram of the callers' protocol belongs to."""
    message = decode_datagram(datagram)
    return name_message(message)


def name_message(message):
    """Name the step of a decoded message; others are just packets."""
    if isinstance(message, msg.Moved) and message.old_epoch == message.epoch:
        return 'told of handover'
    return _BY_TYPE.get(type(message), 'other')
