"""TCP sockets that stay open during a temporary shortage of kernel memory.

A receive or send fails with ENOMEM or ENOBUFS while the kernel has no memory for it: no byte is lost, and the
same call succeeds later. The event loop would close the connection after such an error. These sockets raise
EAGAIN instead, so that the loop retries when the selector next reports the socket as ready.
"""

import asyncio
import errno
import socket
import sys
from contextlib import suppress
from enum import Enum

from .selector import THROTTLE

TRANSIENT = frozenset((errno.ENOMEM, errno.ENOBUFS))
SETSOCKOPT_ATTEMPTS = 3  # then the option stays unset
TCP_INFO_UNACKED = 24  # offset of tcpi_unacked, of a listening socket the length of its accept queue
TCP_ESTABLISHED, TCP_CLOSE, TCP_CLOSE_WAIT = 1, 7, 8  # states of a TCP connection in TCP_INFO (linux/tcp.h)


class PeerState(Enum):
    """What the peer has done, as far as its machine has told, even if there is unread data."""

    CONNECTED = "connected"  # also where the state can't be read
    FINISHED = "finished"  # sends no more; it may still read, or be gone
    GONE = "gone"  # has reset the connection


class RetryingSocket(socket.socket):
    """A stream socket for asyncio transports that reports a memory shortage as EAGAIN."""

    def recv(self, *args: int) -> bytes:
        """Receives bytes; raises BlockingIOError under a memory shortage."""
        try:
            return super().recv(*args)
        except OSError as error:
            if error.errno in TRANSIENT:
                raise would_block(error) from error
            raise

    def recv_into(self, *args: object) -> int:
        """Receives bytes into a buffer; raises BlockingIOError under a memory shortage."""
        try:
            return super().recv_into(*args)
        except OSError as error:
            if error.errno in TRANSIENT:
                raise would_block(error) from error
            raise

    def send(self, *args: object) -> int:
        """Sends bytes; raises BlockingIOError under a memory shortage."""
        try:
            return super().send(*args)
        except OSError as error:
            if error.errno in TRANSIENT:
                raise would_block(error) from error
            raise

    def setsockopt(self, *args: object) -> None:
        """Sets an option, or leaves it unchanged under a memory shortage: the connection works without it."""
        for _ in range(SETSOCKOPT_ATTEMPTS):
            try:
                return super().setsockopt(*args)
            except OSError as error:
                if error.errno not in TRANSIENT:
                    raise

    def accept(self) -> tuple["RetryingSocket", object]:
        """Accepts a connection, as a RetryingSocket too."""
        peer, address = super().accept()
        return RetryingSocket(self.family, self.type, self.proto, fileno=peer.detach()), address


def would_block(error: OSError) -> BlockingIOError:
    """Returns the EAGAIN error to raise for `error`, and delays the loop, which would retry at once."""
    THROTTLE.delay_next_select()
    return BlockingIOError(errno.EAGAIN, str(error))


def stream_socket(host: str) -> RetryingSocket:
    """Opens an unconnected, non-blocking socket. If that raises OSError, no descriptor stays open."""
    sock = RetryingSocket(address_family(host), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def listening_socket(address: tuple[str, int], backlog: int, send_buffer: int = 0) -> RetryingSocket:
    """Opens a non-blocking listening socket. If that raises OSError, no descriptor stays open.

    `send_buffer`: bytes that the kernel holds for a peer that does not read; 0: as many as it chooses.
    """
    sock = RetryingSocket(address_family(address[0]), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if send_buffer:
            with suppress(OSError):  # a limit that the peers' connections work without
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
        if sock.family == socket.AF_INET6:
            with suppress(OSError):  # fails on systems without IPv4, where the option is not needed
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


class PeerStates:
    """Reads what peers have done. Unlike a read, this looks past the data that is still unread.

    The states count only once a connection was seen as established: where something other than the system's
    TCP carries the connections, as below a library that emulates sockets, TCP_INFO tells nothing of them.
    """

    def __init__(self) -> None:
        self.established_seen = False

    def read(self, sock: socket.socket) -> PeerState:
        """Returns what the peer of a connected socket has done."""
        try:
            state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, IndexError):
            return PeerState.CONNECTED
        if state == TCP_ESTABLISHED:
            self.established_seen = True
        if not self.established_seen:
            return PeerState.CONNECTED
        if state == TCP_CLOSE:
            return PeerState.GONE
        return PeerState.FINISHED if state == TCP_CLOSE_WAIT else PeerState.CONNECTED


PEER_STATES = PeerStates()  # of the process


def peer_state(sock: socket.socket) -> PeerState:
    """Returns what the peer has done; see PeerStates."""
    return PEER_STATES.read(sock)


def accept_queue_length(listening: socket.socket) -> int:
    """Returns how many connections wait to be accepted; 0 where that can't be read."""
    try:
        info = listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_UNACKED + 4)
    except OSError:
        return 0
    return int.from_bytes(info[TCP_INFO_UNACKED : TCP_INFO_UNACKED + 4], sys.byteorder)


def unread_bytes(sock: socket.socket, buffer: memoryview) -> int:
    """Returns how many bytes can be read at once, at most as many as fit into `buffer`. Raises OSError.

    BlockingIOError: there are none now; 0: the stream has ended.
    """
    return sock.recv_into(buffer, len(buffer), socket.MSG_PEEK | socket.MSG_DONTWAIT)


def end_writing(transport: asyncio.Transport) -> None:
    """Half-closes the connection; aborts it if the peer has already closed it."""
    try:
        transport.write_eof()
    except OSError:
        transport.abort()


def address_family(host: str) -> socket.AddressFamily:
    """Returns the address family of a host, which is an IP address: only IPv6 addresses contain a colon."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET
