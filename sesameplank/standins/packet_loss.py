"""Loss of the packets that a socket gets from some hosts, as behind a partition.

The kernel drops the packets by a socket filter, so a new connection hangs and an open
one falls silent. See `man 7 socket`, SO_ATTACH_FILTER.
"""

import contextlib
import ctypes
import socket
import struct
from collections.abc import Collection

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
INSTRUCTION = struct.Struct("HBBI")  # Code, jump if true, jump if false, constant.
PROGRAM = struct.Struct("HP")  # Number of instructions, their address.
LOAD_WORD = 0x20
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
SOURCE_ADDRESS = 0xFFF00000 + 12  # Offset of the source in the IP header.
WHOLE_PACKET = 0xFFFFFFFF


def lose_packets(sock: socket.socket, hosts: Collection[str]) -> None:
    """Drop all packets that arrive from the hosts from now on, and no others.

    Connections that a listening socket accepts later drop them too.
    """
    if not hosts:
        with contextlib.suppress(FileNotFoundError):  # There was no filter.
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    instructions = [(LOAD_WORD, 0, 0, SOURCE_ADDRESS)]
    for number, host in enumerate(hosts):
        (address,) = struct.unpack("!I", socket.inet_aton(host))
        to_drop = len(hosts) - number
        instructions.append((JUMP_IF_EQUAL, to_drop, 0, address))
    instructions += [(RETURN, 0, 0, WHOLE_PACKET), (RETURN, 0, 0, 0)]
    code = b"".join(INSTRUCTION.pack(*item) for item in instructions)
    buffer = ctypes.create_string_buffer(code)
    program = PROGRAM.pack(len(instructions), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
