"""TCP sockets whose calls may fail for want of memory without ending the connection.

Linux answers a receive or a send with ENOMEM or ENOBUFS where the kernel has no memory for it just then: no
byte is lost, and the same call succeeds later. The event loop takes it for the end of the connection. Here
it reads as "would block", so that the loop tries again when it is next told that the socket is ready.
"""

import asyncio
import errno
import socket
from contextlib import suppress

from .selector import PACING

TRANSIENT = frozenset((errno.ENOMEM, errno.ENOBUFS))
OPTION_TRIES = 3


class PatientSocket(socket.socket):
    """A stream socket for the event loop's transports."""

    def recv(self, *args: int) -> bytes:
        try:
            return super().recv(*args)
        except OSError as error:
            if error.errno in TRANSIENT:
                raise would_block(error) from error
            raise

    def recv_into(self, *args: object) -> int:
        try:
            return super().recv_into(*args)
        except OSError as error:
            if error.errno in TRANSIENT:
                raise would_block(error) from error
            raise

    def send(self, *args: object) -> int:
        try:
            return super().send(*args)
        except OSError as error:
            if error.errno in TRANSIENT:
                raise would_block(error) from error
            raise

    def setsockopt(self, *args: object) -> None:
        """An option that can't be set for want of memory stays as it is: the connection works without."""
        for _ in range(OPTION_TRIES):
            try:
                return super().setsockopt(*args)
            except OSError as error:
                if error.errno not in TRANSIENT:
                    raise

    def accept(self) -> tuple["PatientSocket", object]:
        peer, address = super().accept()
        return PatientSocket(self.family, self.type, self.proto, fileno=peer.detach()), address


def would_block(error: OSError) -> BlockingIOError:
    """To be raised in place of a shortage of memory, which the loop then waits out."""
    PACING.slow_down()
    return BlockingIOError(errno.EAGAIN, str(error))


def stream_socket(host: str) -> PatientSocket:
    """An unconnected socket that never blocks. OSError, with nothing left open."""
    sock = PatientSocket(family(host), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def listening_socket(address: tuple[str, int], backlog: int) -> PatientSocket:
    """A socket that listens there. OSError, with nothing left open."""
    sock = PatientSocket(family(address[0]), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if sock.family == socket.AF_INET6:
            with suppress(OSError):  # where the system has no IPv4 beside it there is nothing to keep apart
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def end_writing(transport: asyncio.Transport) -> None:
    """Send the end of this side; drops the connection where its peer has ended it already."""
    try:
        transport.write_eof()
    except OSError:
        transport.abort()


def family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET
