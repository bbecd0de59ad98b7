"""Answers to callers: forwarded answers of targets, and the gateway's refusals."""

from collections.abc import Sequence
from http import HTTPStatus

import orjson
import trio

from plantainshed_http.errors import ConnectionBroken
from plantainshed_http.messages import Headers, end_to_end_headers
from plantainshed_http.server import Exchange

from .errors import Refusal
from .forwarding import Answer
from .ports import Wire
from .read_ahead import reading_ahead

NO_BODY_STATUS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


async def send_answer(
    exchange: Exchange, answer: Answer, more_headers: Sequence[tuple[bytes, bytes]] = ()
):
    """Send a target's answer to the caller without changes to status or body.

    Hop-by-hop headers are removed.
    """
    headers = [*end_to_end_headers(answer.head.headers), *more_headers]
    if answer.remaining is not None:
        await _stream(exchange, answer, headers)
    elif exchange.request.method == "HEAD" or answer.head.status in NO_BODY_STATUS:
        await exchange.start(answer.head.status, headers)
        await exchange.finish()
    else:
        headers = [(k, v) for k, v in headers if k != b"content-length"]
        await exchange.reply(answer.head.status, headers, answer.body)


async def _stream(exchange: Exchange, answer: Answer, headers: Headers):
    """Stream a long body to the caller.

    If the target's connection breaks, the caller's connection is aborted, because
    nothing else shows the caller that the body is incomplete.
    """
    await exchange.start(answer.head.status, headers)
    try:
        async with reading_ahead(answer.remaining, answer.memory) as chunks:
            await exchange.send(answer.body)
            async for chunk in chunks:
                await exchange.send(chunk)
    except ConnectionBroken as error:
        raise trio.BrokenResourceError from error
    await exchange.finish()


def refusal_headers(refusal: Refusal, wire: Wire) -> Headers:
    """Return a refusal's headers, with a retry-after header if it has one."""
    headers = [(b"content-type", b"application/json")]
    if refusal.retry_after_s is not None:
        headers.append(wire.retry_after(refusal.retry_after_s))
    return headers


def refusal_body(refusal: Refusal) -> bytes:
    """Return a refusal's JSON body, which explains it to a person."""
    return orjson.dumps(
        {
            "reason": refusal.reason,
            "message": str(refusal),
            "retry_after_s": refusal.retry_after_s,
        }
    )
