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

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "draft", "host": "h.example", "pathPrefix": "/draft/", "kind": "streaming",
            "timeoutMs": 14000, "targetLatencyMs": 900, "gapTargetMs": 300, "priority": 1,
            "service": "writers", "maxAttempts": 2, "public": False, "sticky": True, "resumable": True,
        }
    ],
    "services": [
        {
            "name": "writers", "healthPath": "/healthz", "maxConnections": 150, "protocol": "h1", "tls": False,
            "engine": {
                "slots": 12, "kvCapacity": 135015, "kvTokenBytes": 18432, "linkMbps": 2200000.0, "stride": 1,
                "most": 12, "kvHoldS": 0.5, "roleSwitchS": 6.0, "models": [{"name": "m"}],
            },
        }
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [
        {"name": "t", "apiKeys": ["k1"], "priority": 1, "unit": "token_stream", "plainTokens": 200,
         "ratePerS": 200000, "burst": 200000}
    ],
}


async def engine(server, request, writer, reader):
    """Generates a stream that ends with its channel; the same request may go on after an event."""
    if request.get("stage") == "prefill":
        writer.write(server.whole(request, "200 OK", b'{"kvHandle":"%x","tokens":1000,"version":1}' % len(server.received)))
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


def generation(number):
    return (
        f"POST /draft/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {number:016x}\r\nModel: m\r\n"
        f"Token-Count: 1000,{EVENTS}\r\nPrefix-Hash: aa:200,{number:x}:800\r\nDeadline-Ms: 14000\r\n"
        f"Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def caller(deployment, number):
    """Returns whether the answer was whole."""
    host = deployment.hosts[0]
    reader, writer = await asyncio.open_connection(host.ip, host.callers)
    writer.write(generation(number))
    deployment.record(f"caller sends {number:016x}")
    try:
        status, _, body = await kit.read_answer(reader)
        events = body.count(b"id: ")
        deployment.record(f"caller got {number:016x}: {status}, {events} events, whole answer")
        return status == 200 and events == EVENTS
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        rest = getattr(error, "partial", b"")
        deployment.record(f"caller got {number:016x}: channel ended without the end of the answer, {error!r:.60}")
        return False
    finally:
        writer.close()


async def main(deployment):
    old = [kit.Server(deployment.record, "w-old", "writers", engine, stage="decode", version="v1")]
    await deployment.start(CONFIGURATION, old)
    warm = await caller(deployment, 0x1000)
    if not warm:
        raise RuntimeError("the first stream was not served")
    if kit.TROUBLE:
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
