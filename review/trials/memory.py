"""Answers whose clients read slowly take more memory than the machine has."""

import asyncio
import os
import signal
import socket
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import fleet as standins  # noqa: E402

BODY = bytes(range(256)) * 16384  # 4 MB, the file that a client fetches
RATE = 320_000                    # bytes that a slow client reads each second
WORK_S = 0.5                      # how long a worker is at work on a file
CLIENTS = 110
CLIENTS_PER_S = 25
MEMORY_MB = 260                   # limits.memoryMb of the settings
SERVICE = "wuno96b"


async def work(worker, head, reader, writer):
    await standins.read_request_body(head, reader)
    attempt = head.get("x-beacongate-request-attempt-id")
    large = head.first.split(" ")[1].endswith("/file")
    worker.fleet.record.note("%s runs %s" % (worker.id, attempt))
    worker.fleet.ran.add(attempt)
    await asyncio.sleep(WORK_S if large else 0)
    body = BODY if large else BODY[:800]
    writer.write(("HTTP/1.1 200 OK\r\nX-Beacongate-Request-Attempt-Id: %s\r\nX-Beacongate-Server-Stamp: %s\r\n"
                  "Content-Length: %d\r\n\r\n" % (attempt, worker.stamp(), len(body))).encode() + body)
    await writer.drain()


class Client:
    """A client with a kept connection."""

    def __init__(self, fleet, gateway, number, slow):
        self.fleet = fleet
        self.gateway = gateway
        self.number = number
        self.slow = slow
        self.lost = False
        self.cut = False

    async def connect(self):
        self.connection = socket.socket()
        self.connection.setblocking(False)
        # The segments and the window of a path with a small bandwidth, in place of those of the loopback interface.
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        await asyncio.get_running_loop().sock_connect(self.connection,
                                                      (self.gateway.host, self.fleet.ports["frontend"]))

    async def get(self, path, attempt, size, slow):
        """Returns the number of bytes of the answer that came, its head included, and the answer's status."""
        loop = asyncio.get_running_loop()
        got, body_at, began, status = 0, None, None, 0
        head = b""
        try:
            await loop.sock_sendall(self.connection, standins.request_bytes("GET", path, attempt))
            while body_at is None or got < body_at + size:
                data = await loop.sock_recv(self.connection, 16384)
                if not data:
                    break
                began = began or time.monotonic()
                got += len(data)
                if body_at is None:
                    head += data
                    end = head.find(b"\r\n\r\n")
                    if end >= 0:
                        status = int(head.split(b" ")[1])
                        body_at = end + 4
                        if status != 200:
                            break
                if slow:
                    await asyncio.sleep(max(0, began + got / RATE - time.monotonic()))
        except OSError:
            pass
        return got, status, body_at is not None and got >= body_at + size

    async def run(self):
        try:
            await self.connect()
        except OSError:
            return
        await self.get("/cufi504/small", "s%05d" % self.number, 800, False)
        attempt = "f%05d" % self.number
        self.fleet.record.note("client sends %s on its kept connection to %s" % (attempt, self.gateway.name))
        got, status, whole = await self.get("/cufi504/file", attempt, len(BODY), self.slow)
        ran = attempt in self.fleet.ran
        self.lost = got == 0 and ran
        self.cut = status == 200 and not whole
        self.fleet.record.note("client got for %s: status %d, %d bytes, %s%s"
                               % (attempt, status, got, "whole" if whole else "not whole", ", it ran" if ran else ""))
        self.connection.close()


async def main(record, trouble):
    fleet = standins.Fleet(record, standins.ZONES[:2])
    fleet.ran = set()
    try:
        for number in range(4):
            fleet.workers.append(standins.Worker(fleet, number, SERVICE, 6, work))
        services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}]
        await fleet.start([standins.route("r-m82thhk", "/cufi504/", "safe", SERVICE)], services)
        gateway = fleet.gateways[0]
        peak = 0.0

        async def enforce_memory():
            """The platform kills a process that goes over memoryMb."""
            nonlocal peak
            while True:
                peak = max(peak, gateway.resident_mb())
                if peak > MEMORY_MB:
                    record.note("%s has %.0f MB in use and is killed" % (gateway.name, peak))
                    gateway.signal(signal.SIGKILL)
                    return
                await asyncio.sleep(0.01)

        guard = asyncio.ensure_future(enforce_memory())
        clients, runs = [], []
        for number in range(CLIENTS):
            if guard.done():
                break
            clients.append(Client(fleet, gateway, number, trouble))
            runs.append(asyncio.ensure_future(clients[-1].run()))
            await asyncio.sleep(1 / CLIENTS_PER_S)
        await asyncio.gather(*runs)
        killed = guard.done()
        guard.cancel()
        lost = sum(client.lost for client in clients)
        record.note("memory at its peak: %.0f MB of %d; %d requests, %d that ran and got no byte of an answer, "
                    "%d with a part of one" % (peak, MEMORY_MB, len(clients), lost,
                                               sum(client.cut for client in clients)))
        return killed and lost > 3
    finally:
        fleet.stop()


standins.run_case(main, HERE)
