"""The administration API: status and planned stop, over gRPC.

Every entry instance serves it, none is set aside.  With mutual TLS every
caller is authenticated; the settings may name those who may stop instances.
"""

import logging

import grpc
from grpc import aio

from cornelgap.core.errors import Code
from cornelgap.entry.asking import ask_actor
from cornelgap.wire import admin_pb2, admin_pb2_grpc

SERVER_OPTIONS = (('grpc.so_reuseport', 0),)

_NAME_KEY = 'x509_common_name'
_LOG = logging.getLogger('cornelgap.admin')


class AdminService(admin_pb2_grpc.AdminServicer):
    """What operators may ask of one entry instance.

    :param ask_status: returns a pykka future of a ``StatusReply``.
    :param leave: begins the planned stop; must not block.
    :param operators: common names of the certificates that may stop this
        instance; empty for every authenticated caller.
    """

    def __init__(self, ask_status, leave, operators=()):
        """Serve by these functions."""
        self._ask_status = ask_status
        self._leave = leave
        self._operators = frozenset(operators)

    async def Status(self, request, context):
        """Say what this instance does."""
        return await ask_actor(context, self._ask_status)

    async def Drain(self, request, context):
        """Begin a planned stop; what is in progress goes on to its end."""
        names = list_names(context.auth_context())
        who = ','.join(names) or request.who
        if self._operators and not self._operators & set(names):
            # Without this anybody with a certificate of the fleet, another
            # entry instance for one, could stop the instances one by one.
            _LOG.warning(
                'admin: stop refused',
                extra={'who': who, 'code': str(Code.OPS_FORBIDDEN)},
            )
            await context.abort(
                grpc.StatusCode.PERMISSION_DENIED, str(Code.OPS_FORBIDDEN)
            )
        _LOG.info('admin: planned stop begins', extra={'who': who})
        self._leave()
        return admin_pb2.DrainReply(accepted=True)


def list_names(auth):
    """List the common names that a caller's certificate states.

    :param auth: a call's authentication context; empty without TLS.
    """
    return [name.decode() for name in auth.get(_NAME_KEY, ())]


def parse_operators(text):
    """Parse a comma-separated list of common names."""
    names = (name.strip() for name in text.split(','))
    return frozenset(name for name in names if name)


async def start_admin_server(service, address, credentials=None):
    """Start the server; call it in the loop's thread.

    :param address: ``host:port``, port 0 lets the kernel choose.
    :param credentials: gRPC server credentials that require a client's
        certificate, None for no TLS.
    :returns: (server, port).
    """
    server = aio.server(options=SERVER_OPTIONS)
    admin_pb2_grpc.add_AdminServicer_to_server(service, server)
    if credentials is None:
        _LOG.warning('admin: TLS is off; callers are not authenticated')
        port = server.add_insecure_port(address)
    else:
        port = server.add_secure_port(address, credentials)
    await server.start()
    return server, port
