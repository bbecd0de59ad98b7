"""Minimal HTTP/1.1 messages over asyncio streams, for the stand-ins."""

import asyncio
import json


class Message:
    """A request or response: first line, headers in lower case, body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status code of a response."""
        return int(self.first.split(" ", 2)[1])


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader, has_body=True):
    """Return the next message, or None if the stream ends before it is complete."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                parts.append(part[:-2])
            body = b"".join(parts)
        elif has_body and "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(first, headers, body)


def encode(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_json(status, value):
    """Return the bytes of a JSON response."""
    # Text is escaped to ASCII, as the JSON encoders of most languages can do.
    body = json.dumps(value).encode("ascii")
    return encode(f"HTTP/1.1 {status} -", [("Content-Type", "application/json")], body)
