"""Datagram sockets of the forwarding tasks."""

import socket

MAX_WAITING = 4096
"""More datagrams than a receive buffer holds; bounds the loop if they come
faster than they can be dropped."""


def open_socket(address, receive_bytes=None):
    """Open a datagram socket that never blocks its reader.

    :param address: tuple (host, port).
    :param receive_bytes: room for datagrams that wait to be read; the
        system's own default if None.
    :raises OSError: if the address cannot be had.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.bind(address)
    sock.setblocking(False)
    return sock


def drop_waiting(sock):
    """Drop what waits to be read.

    :returns: the number of datagrams.
    """
    for count in range(MAX_WAITING):
        try:
            sock.recv(1)
        except OSError:
            return count
    return MAX_WAITING
