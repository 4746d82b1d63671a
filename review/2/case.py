"""A gateway that starts after a drill of the store reports a window again, with other counts."""

import asyncio
import json
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import fleet as standins  # noqa: E402

WINDOW_S = standins.BOUNDS["usageWindowS"]
COPY_BEFORE_S = 0.8   # the copy is made so long before the window ends
AWAY_S = 0.3          # the store is away for a moment
KILL_AFTER_S = 1.5    # from the store's return to the kill
RESTART_S = 0.5       # until the platform starts a killed process again
SERVICE = "wuno96b"


async def work(worker, head, reader, writer):
    await standins.read_request_body(head, reader)
    attempt = head.get("x-beacongate-request-attempt-id")
    window = int(time.time() // WINDOW_S)
    worker.fleet.begun[window] = worker.fleet.begun.get(window, 0) + 1
    writer.write(("HTTP/1.1 200 OK\r\nX-Beacongate-Request-Attempt-Id: %s\r\nX-Beacongate-Server-Stamp: %s\r\n"
                  "Content-Length: 800\r\n\r\n" % (attempt, worker.stamp())).encode() + bytes(800))


async def ask(fleet, gateway, number):
    try:
        reader, writer = await asyncio.open_connection(gateway.host, fleet.ports["frontend"])
        writer.write(standins.request_bytes("GET", "/cufi504/2f", "a%06d" % number, b"", 1500))
        head = await standins.read_head(reader)
        await reader.readexactly(int(head.get("content-length", "0")))
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        pass


async def until(condition, span, what):
    end = time.monotonic() + span
    while not condition():
        if time.monotonic() > end:
            raise standins.CannotRun(what)
        await asyncio.sleep(0.005)


async def main(record, trouble):
    fleet = standins.Fleet(record, standins.ZONES[:3])
    fleet.begun = {}
    reports = {}
    holders = []

    def on_duty_call(head, body):
        if not head.first.startswith("POST /usage "):
            return
        call = json.loads(body)
        record.note("the platform takes a report of window %d from %s, fence %s: %s"
                    % (call["windowId"], head.get("x-beacongate-duty-holder"), head.get("x-beacongate-fencing-token"),
                       call["counts"]))
        holders.append(head.get("x-beacongate-duty-holder"))
        reports.setdefault(call["windowId"], []).append(call["counts"])

    fleet.on_duty_call = on_duty_call
    try:
        for number in range(4):
            fleet.workers.append(standins.Worker(fleet, number, SERVICE, 6, work))
        services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}]
        await fleet.start([standins.route("r-m82thhk", "/cufi504/", "safe", SERVICE)], services)

        async def traffic():
            number = 0
            while True:
                asyncio.ensure_future(ask(fleet, fleet.gateways[number % 3], number))
                number += 1
                await asyncio.sleep(0.02)

        asyncio.ensure_future(traffic())
        await until(lambda: len(reports) >= 2, 30, "no usage is reported")
        window = int(time.time() // WINDOW_S) + 1
        end = (window + 1) * WINDOW_S
        await asyncio.sleep(end - COPY_BEFORE_S - time.time())
        copied = time.monotonic()
        copy = fleet.store.copy()
        await until(lambda: window in reports, 8, "the window is not reported")
        if trouble:
            holder = next(gateway for gateway in fleet.gateways if gateway.name == holders[-1])
            record.note("a drill: the store is away for %.1f s and comes back from a copy" % AWAY_S)
            await fleet.store.come_back_from(copy, AWAY_S)
            record.note("the store is back, the copy was %.1f s old" % (time.monotonic() - copied))
            await asyncio.sleep(KILL_AFTER_S)
            record.note("%s, which acted last, is killed" % holder.name)
            holder.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            record.note("%s is started again" % holder.name)
            holder.start(first=False)
        await asyncio.sleep(14)
        doubled = {number: counts for number, counts in reports.items()
                   if any(other != counts[0] for other in counts[1:])}
        for number, counts in sorted(reports.items()):
            record.note("window %d: %d begun, reported %s" % (number, fleet.begun.get(number, 0), counts))
        return bool(doubled)
    finally:
        fleet.stop()


standins.run_case(main, HERE)
