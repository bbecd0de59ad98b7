"""TCP connections for HTTP, with few system calls and scheduler passes.

The streams of `trio` yield to the scheduler after each system call, and each pass of
the scheduler polls the kernel. A short exchange consists mostly of such passes. The
streams here try the system call first and only wait if the kernel has no data or no
room. They have the methods of `trio.SocketStream` that HTTP needs.
"""

import contextlib
import errno
import math
import os
import socket
import struct

import trio

# Number of reads in a row that find data at once, after which other tasks get a turn.
MAX_READS_IN_A_ROW = 8
# Errors of a call on a socket that this process has closed.
_CLOSED_ERRNOS = frozenset({errno.EBADF, errno.ENOTSOCK})


class TcpStream:
    """A connected TCP socket.

    Parameters
    ----------
    sock : socket.socket
        The stream owns it and closes it.

    Attributes
    ----------
    write_timeout_s : float
        Longest time for which the kernel's send buffer may stay full. A peer that does
        not read would otherwise keep a task and the data for it in memory.
    """

    def __init__(self, sock: socket.socket):
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self.reads_in_a_row = 0
        self.write_timeout_s = math.inf

    def setsockopt(self, level: int, option: int, value: int):
        """Set an option of the socket."""
        self.socket.setsockopt(level, option, value)

    def reset_on_close(self, is_enabled: bool):
        """Select whether the connection is reset when it is closed.

        It is then also reset if the process ends.
        """
        linger = struct.pack("ii", is_enabled, 0)
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError as error:
            raise _stream_error(error) from error

    async def send_all(self, data: bytes):
        """Send all bytes, or raise `trio.BrokenResourceError`.

        It is raised also if the peer reads nothing for `write_timeout_s`. This is a
        checkpoint only if the kernel's send buffer is full.
        """
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self.socket.send(unsent) :]
            except BlockingIOError:
                await self._wait_writable()
            except OSError as error:
                raise _stream_error(error) from error

    async def _wait_writable(self):
        with trio.move_on_after(self.write_timeout_s) as scope:
            await trio.lowlevel.wait_writable(self.socket)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError(
                f"the peer has read nothing for {self.write_timeout_s:g} s"
            )

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return received bytes, or no bytes at the end of the stream.

        This is a checkpoint only if no bytes have arrived yet, or if many have: a peer
        that sends faster than this process reads must not keep it from all else.
        """
        while True:
            try:
                data = self.socket.recv(max_bytes)
            except BlockingIOError:
                self.reads_in_a_row = 0
                await trio.lowlevel.wait_readable(self.socket)
                continue
            except OSError as error:
                raise _stream_error(error) from error
            self.reads_in_a_row += 1
            if len(data) == max_bytes or self.reads_in_a_row >= MAX_READS_IN_A_ROW:
                self.reads_in_a_row = 0
                await trio.lowlevel.checkpoint()
            return data

    async def send_eof(self):
        """End the sending direction."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    @property
    def is_readable(self) -> bool:
        """Whether there is data, the end of the stream or an error to be read."""
        return self._peek() is not None

    @property
    def is_ended(self) -> bool:
        """Whether the peer has closed its side and all its data was read."""
        return self._peek() == b""

    def _peek(self) -> bytes | None:
        """Return the next byte without reading it, or None if there is none yet.

        The result is empty at the end of the stream and after an error.
        """
        try:
            return self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def close(self):
        """Close the socket. A task that waits for it gets an error."""
        if self.socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self.socket)
            self.socket.close()


async def open_tcp_stream(host: str, port: int) -> TcpStream:
    """Connect to a host, or raise `OSError`.

    Parameters
    ----------
    host : str
        IP address or name.
    port : int
    """
    family, address = await _resolve(host, port)
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        error = sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
    except BaseException:
        sock.close()
        raise
    return TcpStream(sock)


async def _resolve(host: str, port: int) -> tuple[int, tuple]:
    with contextlib.suppress(OSError):
        socket.inet_pton(socket.AF_INET, host)
        return socket.AF_INET, (host, port)
    found = await trio.socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    family, _, _, _, address = found[0]
    return family, address


def _stream_error(error: OSError) -> Exception:
    if error.errno in _CLOSED_ERRNOS:
        return trio.ClosedResourceError("the socket was closed")
    return trio.BrokenResourceError(f"socket connection broken: {error}")
