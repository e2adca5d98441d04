"""UDP sockets of the forwarding actors."""

import socket

MAX_DISCARDED = 4096
"""Most datagrams that one call discards.  It is more than a receive buffer
holds, and ends the loop if datagrams arrive faster than they are discarded."""


def open_socket(address, receive_bytes=None):
    """Open a non-blocking UDP socket that is bound to an address.

    :param address: tuple (host, port).
    :param receive_bytes: size of the receive buffer; the system's default
        if None.
    :raises OSError: if the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.bind(address)
    sock.setblocking(False)
    return sock


def discard_waiting(sock):
    """Discard the datagrams that wait to be read.

    :returns: the number of discarded datagrams.
    """
    for count in range(MAX_DISCARDED):
        try:
            sock.recv(1)
        except OSError:
            return count
    return MAX_DISCARDED
