"""A stream that goes on at a second worker never ends where that worker answers with a 4xx of its own."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import fleet as standins  # noqa: E402

DEADLINE_S = 8
WAIT_S = 20
SERVICE = "huvo11a"


async def stream(worker, head, reader, writer):
    await standins.read_request_body(head, reader)
    fields = (head.get("x-beacongate-request-attempt-id"), worker.stamp())
    worker.fleet.record.note("%s runs %s, after event %s" % (worker.id, fields[0], head.get("last-event-id", "-")))
    if head.get("last-event-id") and worker.fleet.trouble:
        writer.write(("HTTP/1.1 404 Not Found\r\nX-Beacongate-Request-Attempt-Id: %s\r\n"
                      "X-Beacongate-Server-Stamp: %s\r\nContent-Length: 0\r\n\r\n" % fields).encode())
        return
    after = int(head.get("last-event-id", "0"))
    writer.write(("HTTP/1.1 200 OK\r\nX-Beacongate-Request-Attempt-Id: %s\r\nX-Beacongate-Server-Stamp: %s\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % fields).encode())
    for number in range(after + 1, 11):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.05)
        if number == 5 and not after:
            writer.transport.abort()
            return
    writer.write(b"0\r\n\r\n")


async def main(record, trouble):
    fleet = standins.Fleet(record, standins.ZONES[:2])
    fleet.trouble = trouble
    try:
        for number in range(4):
            fleet.workers.append(standins.Worker(fleet, number, SERVICE, 64, stream))
        services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": False}]
        await fleet.start([standins.route("r-6tta828", "/lohu930/", "streaming", SERVICE, streamResume=True)], services)
        reader, writer = await asyncio.open_connection(fleet.gateways[0].host, fleet.ports["frontend"])
        writer.write(standins.request_bytes("POST", "/lohu930/2f", "a1", b"{}", DEADLINE_S * 1000))
        await standins.read_head(reader)
        try:
            await asyncio.wait_for(standins.read_chunked(reader), WAIT_S)
            record.note("the stream ended")
        except asyncio.TimeoutError:  # also an OSError, so it goes first
            record.note("no end after %d s, with a deadline of %d s" % (WAIT_S, DEADLINE_S))
            return True
        except (OSError, asyncio.IncompleteReadError):
            record.note("the connection ended")
        return False
    finally:
        fleet.stop()


standins.run_case(main, HERE)
