"""The gateway as a soak runs it: with links to the targets that can be cut.

Connections come from the VM's own loopback IP, by which the proxies of the targets tell
VMs apart. While the cut file exists, new connections to targets are refused or get no
answer. Only light modules are imported here, so that signals are handled as early as in
the real program.
"""

import errno
import json
import os
import socket
from pathlib import Path

from plantainshed_platform.__main__ import main

IP_VARIABLE = "SOAK_VM_IP"
CUT_FILE_VARIABLE = "SOAK_CUT_FILE"
# Lets the kernel choose the local port when it knows the destination.
IP_BIND_ADDRESS_NO_PORT = 24


def link_connections(ip: str, cut_file: Path):
    """Make new TCP connections of this process subject to cuts.

    Parameters
    ----------
    ip : str
        Where connections come from.
    cut_file : pathlib.Path
        JSON with the addresses of the ``targets``, and of a ``black_hole`` that answers
        no connection, or null if connections are refused.
    """
    connect_ex = socket.socket.connect_ex

    def connect(sock, address):
        if sock.type != socket.SOCK_STREAM:
            return connect_ex(sock, address)
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((ip, 0))
        try:
            cut = json.loads(cut_file.read_text())
        except FileNotFoundError:
            return connect_ex(sock, address)
        if list(address) not in cut["targets"]:
            return connect_ex(sock, address)
        if cut["black_hole"] is None:
            return errno.ECONNREFUSED
        return connect_ex(sock, tuple(cut["black_hole"]))

    socket.socket.connect_ex = connect


if __name__ == "__main__":
    link_connections(os.environ[IP_VARIABLE], Path(os.environ[CUT_FILE_VARIABLE]))
    main()
