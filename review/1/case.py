"""A relay's death makes a stream that was cut off look complete."""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import fleet as standins  # noqa: E402

EVENTS = 58        # events of one stream, as intake-summary has them on the sheet
PAUSE_S = 0.06     # between two events, below the pause of 500 ms that the sheet allows
CUT_S = 4.0        # from the cut to the kill
SERVICE = "huvo11a"


async def stream(worker, head, reader, writer):
    """Answers with events; the answer has no length and ends with its connection."""
    await standins.read_request_body(head, reader)
    attempt = head.get("x-beacongate-request-attempt-id")
    worker.fleet.record.note("%s runs %s, after event %s" % (worker.id, attempt, head.get("last-event-id", "-")))
    writer.write(("HTTP/1.1 200 OK\r\nX-Beacongate-Request-Attempt-Id: %s\r\nX-Beacongate-Server-Stamp: %s\r\n"
                  "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" % (attempt, worker.stamp())).encode())
    made = 0
    try:
        for number in range(1, EVENTS + 1):
            writer.write(b"id: %d\ndata: {\"piece\": %d, \"of\": %d}\n\n" % (number, number, EVENTS))
            await writer.drain()
            made = number
            await asyncio.sleep(PAUSE_S)
    finally:
        worker.fleet.record.note("%s made %d of %d events of %s" % (worker.id, made, EVENTS, attempt))


async def ask(fleet, gateway, attempt):
    """Sends one request and returns (complete, events): complete is True where the answer ended as a whole one."""
    fleet.record.note("client sends %s to %s" % (attempt, gateway.name))
    status, complete, text = 0, False, b""
    try:
        reader, writer = await asyncio.open_connection(gateway.host, fleet.ports["frontend"])
        writer.write(standins.request_bytes("POST", "/lohu930/2f", attempt, b"{}"))
        head = await standins.read_head(reader)
        status = int(head.first.split(" ")[1])
        pieces = []
        if head.get("transfer-encoding") == "chunked":
            try:
                await standins.read_chunked(reader, pieces.append)
                complete = status == 200
            finally:
                text = b"".join(pieces)
        else:
            text = await reader.readexactly(int(head.get("content-length", "0")))
        writer.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        fleet.record.note("client of %s: connection ended: %s" % (attempt, type(error).__name__))
    events = text.count(b"\n\n") if status == 200 else 0
    fleet.record.note("client got for %s: status %d, %d of %d events, %s"
                      % (attempt, status, events, EVENTS, "ended as complete" if complete else "not complete"))
    return complete, events


async def main(record, trouble):
    zones = standins.ZONES
    # The first machine is alone in its zone, so that it reads the store itself.
    fleet = standins.Fleet(record, (zones[0], zones[1], zones[1], zones[2], zones[2], zones[3]))
    try:
        first, others = fleet.gateways[0], fleet.gateways[1:]
        for number in range(4):
            fleet.workers.append(standins.Worker(fleet, number, SERVICE, 64, stream))
        # The first machine's path to the workers can be cut by itself.
        links = [standins.Link(fleet, number, worker) for number, worker in enumerate(fleet.workers)]
        for link in links:
            await link.start()
        first.store_host = fleet.host(251)
        await fleet.store.start_link(first.store_host, fleet.ports["store"],
                                     {"%s:%d" % (link.worker.host, link.worker.port): "%s:%d" % (link.host, link.port)
                                      for link in links})
        services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": False}]
        await fleet.start([standins.route("r-6tta828", "/lohu930/", "streaming", SERVICE)], services)
        asked = []

        async def send_for(span):
            until = time.monotonic() + span
            while time.monotonic() < until:
                asked.append(asyncio.ensure_future(ask(fleet, first, "a%05d" % len(asked))))
                await asyncio.sleep(0.15)

        await send_for(1.0)
        await asyncio.gather(*asked)
        if trouble:
            record.note("%s is cut off from the workers" % first.name)
            for link in links:
                link.cut()
        await send_for(CUT_S)
        if trouble:
            tunnels = {gateway: int(await gateway.metric("beacongate_tunnels_open")) for gateway in others}
            relay = max(tunnels, key=tunnels.get)
            record.note("open tunnels: %s" % {gateway.name: count for gateway, count in tunnels.items()})
            if tunnels[relay] == 0:
                raise standins.CannotRun("no request takes a tunnel")
            record.note("%s is killed" % relay.name)
            relay.signal(signal.SIGKILL)
        results = await asyncio.gather(*asked)
        short = [events for complete, events in results if complete and events < EVENTS]
        record.note("%d requests, %d complete, %d of these without their last events"
                    % (len(results), sum(complete for complete, _ in results), len(short)))
        return bool(short)
    finally:
        fleet.stop()


standins.run_case(main, HERE)
