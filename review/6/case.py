"""Whole streams of an engine that leaves, whose answers have neither a length nor chunks."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import kit

STREAMS = 8
EVENTS = 24
GAP_S = 0.1

CONFIGURATION = kit.streams_configuration()


async def engine(server, request, writer, reader):
    """Generates a stream that ends with its channel; the same request may go on after an event."""
    if request.get("stage") == "prefill":
        writer.write(kit.prefilled(server, request))
        await writer.drain()
        return None
    after = int(request.get("last-event-id", "0"))
    server.record(f"{server.name} runs {request.get('request-id')} after event {after}")
    writer.write(server.head(request, "200 OK", "Content-Type: text/event-stream", "Connection: close"))
    for event in range(after + 1, EVENTS + 1):
        writer.write(f"id: {event}\ndata: piece {event}\n\n".encode())
        await writer.drain()
        await asyncio.sleep(GAP_S)
    server.record(f"{server.name} has ended {request.get('request-id')} whole")
    return False


async def caller(deployment, number):
    """Returns whether the answer was whole."""
    return await kit.stream(deployment, number, EVENTS) == (EVENTS, True)


async def main(deployment):
    old = [kit.Server(deployment.record, "w-old", "writers", engine, stage="decode", version="v1")]
    await deployment.start(CONFIGURATION, old)
    warm = await caller(deployment, 0x1000)
    if not warm:
        raise RuntimeError("the first stream was not served")
    deployment.hosts[0].signal(signal.SIGHUP)
    streams = [asyncio.ensure_future(caller(deployment, 0x2000 + number)) for number in range(STREAMS)]
    await asyncio.sleep(0.5)
    if kit.TROUBLE:
        new = kit.Server(deployment.record, "w-new", "writers", engine, stage="decode", version="v2")
        await new.start(deployment.store)
        await asyncio.sleep(0.2)
        await old[0].leave(deployment.store)
    whole = sum(await asyncio.gather(*streams))
    cut = STREAMS - whole
    deployment.finish(cut > 3, f"{cut} of {STREAMS} whole streams did not reach their callers whole")


kit.run(HERE, main)
