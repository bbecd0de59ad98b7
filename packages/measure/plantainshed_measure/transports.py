"""Measures the cost of a gRPC call, a TCP round trip and a UDP datagram."""

import statistics
import time

import trio

from plantainshed_coordination.control import ControlClient, serve_control
from plantainshed_coordination.peer_pb2 import ControlReply
from plantainshed_coordination.transport import DatagramTransport

LOOPBACK = "127.0.0.1:0"
MESSAGE = b"x" * 200
CALLS = 200
ROUNDS = 5
ROUND_TRIPS = 2000


async def transport_costs() -> dict[str, float]:
    """Return the processor time by kind of message, in microseconds.

    It includes both the sender and the receiver.
    """
    return {
        "gRPC call, to and from trio": await _measure_grpc(),
        "TCP stream, round trip": await _measure_stream(),
        "UDP datagram, one way, authenticated": await _measure_datagram(),
    }


async def _median_us(run, times: int) -> float:
    costs = []
    for _ in range(ROUNDS):
        began = time.process_time()
        await run(times)
        costs.append((time.process_time() - began) / times * 1e6)
    return round(statistics.median(costs), 1)


async def _measure_grpc() -> float:
    async def reply_empty(request):
        return ControlReply()

    client = ControlClient()
    async with serve_control(LOOPBACK, lambda name: MESSAGE, reply_empty) as port:

        async def calls(times: int):
            for _ in range(times):
                await client.fetch(f"127.0.0.1:{port}", "x")

        cost = await _median_us(calls, CALLS)
        client.close()
    return cost


async def _measure_stream() -> float:
    async def echo(stream):
        while data := await stream.receive_some(65536):
            await stream.send_all(data)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        stream = await trio.open_tcp_stream("127.0.0.1", port)

        async def round_trips(times: int):
            for _ in range(times):
                await stream.send_all(MESSAGE)
                await stream.receive_some(65536)

        cost = await _median_us(round_trips, ROUND_TRIPS)
        nursery.cancel_scope.cancel()
    return cost


async def _measure_datagram() -> float:
    sender = await DatagramTransport.open(LOOPBACK, b"secret")
    receiver = await DatagramTransport.open(LOOPBACK, b"secret")

    async def messages(times: int):
        for _ in range(times):
            await sender.send(receiver.address, MESSAGE)
            await receiver.receive()

    cost = await _median_us(messages, ROUND_TRIPS)
    sender.close()
    receiver.close()
    return cost
