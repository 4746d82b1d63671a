"""A gateway that stops cuts off answers whose clients read slowly."""

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

BODY = bytes(range(256)) * 4096  # 1 MB, the file that a client fetches
RATE = 160_000                  # bytes that a client reads each second
WORK_S = 0.5                     # how long a worker is at work on a request
CLIENTS = 6
SERVICE = "wuno96b"


async def work(worker, head, reader, writer):
    await standins.read_request_body(head, reader)
    attempt = head.get("x-beacongate-request-attempt-id")
    worker.fleet.record.note("%s runs %s" % (worker.id, attempt))
    await asyncio.sleep(WORK_S)
    writer.write(("HTTP/1.1 200 OK\r\nX-Beacongate-Request-Attempt-Id: %s\r\nX-Beacongate-Server-Stamp: %s\r\n"
                  "Content-Length: %d\r\n\r\n" % (attempt, worker.stamp(), len(BODY))).encode() + BODY)
    await writer.drain()
    worker.fleet.record.note("%s has answered %s, %d bytes" % (worker.id, attempt, len(BODY)))


async def fetch(fleet, gateway, attempt):
    """Sends one request and reads its answer at RATE. Returns True where the whole answer came."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setblocking(False)
    # The segments and the window of a path with a small bandwidth, in place of those of the loopback interface.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    await loop.sock_connect(connection, (gateway.host, fleet.ports["frontend"]))
    fleet.record.note("client sends %s to %s" % (attempt, gateway.name))
    await loop.sock_sendall(connection, standins.request_bytes("GET", "/cufi504/2f", attempt))
    got = b""
    began = None
    end = "whole answer"
    try:
        while True:
            data = await loop.sock_recv(connection, 4096)
            if not data:
                end = "connection closed"
                break
            began = began or time.monotonic()
            got += data
            head, _, body = got.partition(b"\r\n\r\n")
            if len(body) == len(BODY):
                break
            await asyncio.sleep(max(0, began + len(got) / RATE - time.monotonic()))
    except OSError as error:
        end = "connection ended: " + type(error).__name__
    connection.close()
    head, _, body = got.partition(b"\r\n\r\n")
    whole = head.startswith(b"HTTP/1.1 200") and body == BODY
    fleet.record.note("client got for %s: %s, %d of %d bytes, %s"
                      % (attempt, head.split(b"\r\n")[0].decode(), len(body), len(BODY), end))
    # A refusal is an answer too.
    return whole or (bool(head) and not head.startswith(b"HTTP/1.1 200"))


async def main(record, trouble):
    fleet = standins.Fleet(record, standins.ZONES[:2])
    try:
        for number in range(4):
            fleet.workers.append(standins.Worker(fleet, number, SERVICE, 6, work))
        services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}]
        await fleet.start([standins.route("r-m82thhk", "/cufi504/", "safe", SERVICE)], services)
        gateway = fleet.gateways[0]
        asked = [asyncio.ensure_future(fetch(fleet, gateway, "a%05d" % number)) for number in range(CLIENTS)]
        await asyncio.sleep(WORK_S / 2)
        if trouble:
            record.note("%s gets SIGTERM" % gateway.name)
            gateway.signal(signal.SIGTERM)
        results = await asyncio.gather(*asked)
        record.note("%d requests, %d whole answers" % (len(results), sum(results)))
        return not all(results)
    finally:
        fleet.stop()


standins.run_case(main, HERE)
