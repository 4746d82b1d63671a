"""Gateways that start anew let streams go on at another software version."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import fleet as standins  # noqa: E402

EVENTS = 58          # events of one stream, as intake-summary has them on the sheet
PAUSE_S = 0.1        # between two events, below the pause of 500 ms that the sheet allows
STREAMS = 60
OLD_WORKERS = 8      # of version v1; one more is of version v1.1
DEADLINE_S = 15.0
RETRIES = 3          # further tries of a client
RETRY_S = 0.8        # until a client tries again
RESTART_S = 0.5      # until the platform starts a killed process again
SERVICE = "huvo11a"


async def stream(worker, head, reader, writer):
    await standins.read_request_body(head, reader)
    attempt = head.get("x-beacongate-request-attempt-id")
    after = int(head.get("last-event-id", "0"))
    worker.fleet.record.note("%s, version %s, runs %s%s" % (worker.id, worker.version, attempt,
                                                          " after event %d" % after if after else ""))
    writer.write(("HTTP/1.1 200 OK\r\nX-Beacongate-Request-Attempt-Id: %s\r\nX-Beacongate-Server-Stamp: %s\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                  % (attempt, worker.stamp())).encode())
    for number in range(after + 1, EVENTS + 1):
        event = b"id: %d\ndata: {\"piece\": %d, \"version\": \"%s\"}\n\n" % (number, number, worker.version.encode())
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    writer.write(b"0\r\n\r\n")


class Client:
    """A client that takes its stream up after a broken connection, with Last-Event-Id and Resumes."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.versions = []   # one entry for each event that came
        self.first = ""      # the client attempt that brought the first event
        self.complete = False

    async def attempt(self, gateway, name):
        more = []
        if self.versions:
            more = ["Last-Event-Id: %d" % len(self.versions), "Resumes: " + self.first]
        status = 0
        try:
            reader, writer = await asyncio.open_connection(gateway.host, self.fleet.ports["frontend"])
            writer.write(standins.request_bytes("POST", "/lohu930/2f", name, b"{}", int(DEADLINE_S * 1000), more))
            head = await standins.read_head(reader)
            status = int(head.first.split(" ")[1])
            if status == 200:
                await standins.read_chunked(reader, lambda piece: self.take(piece, name))
                self.complete = True
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.fleet.record.note("client got for %s from %s: status %d, %d of %d events so far, of %s"
                               % (name, gateway.name, status, len(self.versions), EVENTS, self.spans()))

    def take(self, piece, name):
        for event in piece.split(b"\n\n"):
            if event:
                self.first = self.first or name
                self.versions.append(event.split(b"\"version\": \"")[1].split(b"\"")[0].decode())

    def spans(self):
        """Names the versions of the events in order."""
        text = []
        for version in self.versions:
            if not text or text[-1] != version:
                text.append(version)
        return ", then ".join(text) or "-"

    async def run(self):
        gateways = self.fleet.gateways
        for again in range(RETRIES + 1):
            await self.attempt(gateways[(self.number + again) % len(gateways)], "a%03d-%d" % (self.number, again))
            if self.complete:
                return
            await asyncio.sleep(RETRY_S)


async def main(record, trouble):
    fleet = standins.Fleet(record, standins.ZONES[:3])
    try:
        for number in range(OLD_WORKERS + 1):
            version = "v1" if number < OLD_WORKERS else "v1.1"
            fleet.workers.append(standins.Worker(fleet, number, SERVICE, 64, stream, version))
        leaving = fleet.workers[-1]
        services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": False}]
        await fleet.start([standins.route("r-6tta828", "/lohu930/", "streaming", SERVICE, streamResume=True)], services)
        clients = [Client(fleet, number) for number in range(STREAMS)]
        runs = []
        for client in clients:
            runs.append(asyncio.ensure_future(client.run()))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.8)
        if trouble:
            record.note("%s, version %s, leaves: its entry goes, and it serves on" % (leaving.id, leaving.version))
            fleet.store.remove("servers/" + leaving.id)
            await asyncio.sleep(0.7)
            record.note("all gateways are killed")
            for gateway in fleet.gateways:
                gateway.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            record.note("all gateways are started again")
            for gateway in fleet.gateways:
                gateway.start(first=False)
        await asyncio.gather(*runs)
        mixed = [client for client in clients if len(set(client.versions)) > 1]
        record.note("%d streams, %d complete, %d with events of two versions"
                    % (len(clients), sum(client.complete for client in clients), len(mixed)))
        return len(mixed) > 2
    finally:
        fleet.stop()


standins.run_case(main, HERE)
