"""A crash of a quarter of the workers has sound requests refused as ones that crash workers."""

import asyncio
import collections
import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import fleet as standins  # noqa: E402

EVENTS = 58
PAUSE_S = 0.08
READ_S = 0.6        # until a worker's first event
WORKERS = 16
CRASHED = 4
DOWN_S = 2.0
FIRST = 32          # clients that come at once
LATER = 60          # clients that come after the crash, ten a second
SERVICE = "huvo11a"


async def stream(worker, head, reader, writer):
    await standins.read_request_body(head, reader)
    attempt = head.get("x-beacongate-request-attempt-id")
    worker.fleet.record.note("%s runs %s" % (worker.id, attempt))
    worker.fleet.at_work.setdefault(worker, set()).add(writer)
    try:
        await asyncio.sleep(READ_S)
        writer.write(("HTTP/1.1 200 OK\r\nX-Beacongate-Request-Attempt-Id: %s\r\nX-Beacongate-Server-Stamp: %s\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                      % (attempt, worker.stamp())).encode())
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: {\"piece\": %d}\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")
    finally:
        worker.fleet.at_work[worker].discard(writer)


async def ask(fleet, gateway, attempt):
    status = 0
    try:
        reader, writer = await asyncio.open_connection(gateway.host, fleet.ports["frontend"])
        # No two prompts are alike: each has a last part of its own.
        prompt = "X-Beacongate-Prompt-Prefix-Hash: 5c1e07a2:800,%08x:250" % random.getrandbits(32)
        writer.write(standins.request_bytes("POST", "/lohu930/2f", attempt, b"", 15000,
                                            ["X-Beacongate-Model: m", "X-Beacongate-Token-Counts: 1050,80", prompt]))
        head = await standins.read_head(reader)
        status = int(head.first.split(" ")[1])
        if head.get("transfer-encoding") == "chunked":
            await standins.read_chunked(reader)
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        pass
    fleet.record.note("client got for %s from %s: status %d" % (attempt, gateway.name, status))
    return status


async def main(record, trouble):
    fleet = standins.Fleet(record, standins.ZONES[:3])
    fleet.at_work = {}
    try:
        for number in range(WORKERS):
            fleet.workers.append(standins.Worker(fleet, number, SERVICE, 64, stream))
        services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 370,
                     "engine": {"slots": 64, "kvCapacityTokens": 569286}}]
        await fleet.start([standins.route("r-6tta828", "/lohu930/", "streaming", SERVICE, maxAttempts=1)], services)
        asked = []

        async def send(count, gap):
            for _ in range(count):
                gateway = fleet.gateways[len(asked) % 3]
                asked.append(asyncio.ensure_future(ask(fleet, gateway, "a%05d" % len(asked))))
                await asyncio.sleep(gap)

        async def crash():
            down = random.sample(fleet.workers, CRASHED)
            record.note("%s crash" % ", ".join(worker.id for worker in down))
            for worker in down:
                worker.server.close()
                for writer in list(fleet.at_work.get(worker, ())):
                    writer.transport.abort()
            await asyncio.sleep(DOWN_S)
            for worker in down:
                await worker.start()

        await send(FIRST, 0.01)
        await asyncio.sleep(0.2)
        crashing = asyncio.ensure_future(crash()) if trouble else None
        await send(LATER, 0.1)
        results = await asyncio.gather(*asked)
        if crashing:
            await crashing
        record.note("answers by status: %s" % dict(collections.Counter(results)))
        return results.count(400) > 5 + len(results) / 500
    finally:
        fleet.stop()


standins.run_case(main, HERE)
