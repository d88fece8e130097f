"""A resolver's side of DNS over UDP and TCP, from RFC 1035 and RFC 2782: questions, and what answers name."""

import asyncio
import random
import socket
import struct

A, SRV = 1, 33


def question(name, kind, number=None):
    number = random.getrandbits(16) if number is None else number
    labels = b"".join(bytes([len(label)]) + label.encode() for label in name.split("."))
    return struct.pack(">HHHHHH", number, 0, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">HH", kind, 1)


def skip_name(message, at):
    while message[at]:
        if message[at] >= 192:
            return at + 2
        at += message[at] + 1
    return at + 1


def answer(message):
    """Response code, and the (address, port) pairs that the answer names."""
    code = message[3] & 15
    _, _, questions, answers, authority, additional = struct.unpack(">HHHHHH", message[:12])
    at = 12
    for _ in range(questions):
        at = skip_name(message, at) + 4
    ports, addresses = [], []
    for n in range(answers + authority + additional):
        at = skip_name(message, at)
        kind, _, _, size = struct.unpack(">HHIH", message[at:at + 10])
        data = message[at + 10:at + 10 + size]
        at += 10 + size
        if kind == SRV and n < answers:
            ports.append(struct.unpack(">H", data[4:6])[0])
        if kind == A:
            addresses.append(socket.inet_ntoa(data))
    return code, [(address, port) for address in addresses for port in ports]


async def look_up(port, name, kind=SRV, timeout=2.0):
    """Asks over UDP; None if no answer comes in time."""
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        s.setblocking(False)
        s.connect(("127.0.0.1", port))
        await loop.sock_sendall(s, question(name, kind))
        try:
            return answer(await asyncio.wait_for(loop.sock_recv(s, 4096), timeout))
        except (asyncio.TimeoutError, ConnectionError):
            return None
