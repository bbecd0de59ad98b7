"""Answers to callers: a target's own, or the gateway's refusal."""

from http import HTTPStatus

import orjson
import trio

from plantainshed_http.errors import ConnectionBroken
from plantainshed_http.messages import Headers, end_to_end_headers
from plantainshed_http.server import Exchange

from .errors import Refusal
from .forwarding import Answer
from .ports import Wire

NO_BODY_STATUS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


async def pass_on(exchange: Exchange, answer: Answer):
    """Give a target's answer to the caller, unchanged."""
    headers = end_to_end_headers(answer.head.headers)
    if answer.rest is not None:
        await _stream(exchange, answer, headers)
    elif exchange.request.method == "HEAD" or answer.head.status in NO_BODY_STATUS:
        await exchange.start(answer.head.status, headers)
        await exchange.finish()
    else:
        headers = [(k, v) for k, v in headers if k != b"content-length"]
        await exchange.reply(answer.head.status, headers, answer.body)


async def _stream(exchange: Exchange, answer: Answer, headers: Headers):
    """Pass on a long body piece by piece.

    If it breaks off, only breaking off the caller's connection shows that the
    rest is missing.
    """
    await exchange.start(answer.head.status, headers)
    try:
        await exchange.send(answer.body)
        async for piece in answer.rest:
            await exchange.send(piece)
    except ConnectionBroken as error:
        raise trio.BrokenResourceError from error
    await exchange.finish()


def refusal_headers(refusal: Refusal, wire: Wire) -> Headers:
    """Return a refusal's headers; they may say when to come back."""
    headers = [(b"content-type", b"application/json")]
    if refusal.retry_after_s is not None:
        headers.append(wire.retry_after(refusal.retry_after_s))
    return headers


def refusal_body(refusal: Refusal) -> bytes:
    """Return what a person reads who looks at a refusal."""
    return orjson.dumps(
        {
            "reason": refusal.reason,
            "message": str(refusal),
            "retry_after_s": refusal.retry_after_s,
        }
    )
