"""Stand-ins of the platform's store, its workers and the receiver of duty calls, and processes of the gateway.

They speak what the platform's pages say and behave as sound parts do. Everything listens on loopback addresses:
gateway N has the address 127.0.BLOCK.N, since all gateways of a deployment use the same ports.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "beacongate-gateway")
HOST = "frontier.example"


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length, or chunks.

    Returns its first line, its headers by lower-case name and its body; None at the end of the connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += part[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def answer_bytes(status, headers, body=b""):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.events = []
        self.revision = 0
        self.next_lease = random.randrange(1000, 9000)
        self.changed = asyncio.Event()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address[0], address[1])
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[0] < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "made": made, "lease": lease}
        self.note(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "gone": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, body):
        for condition in body.get("expectedRevision", []):
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                items = [self.items.get(c["key"], {"key": c["key"], "revision": 0}) for c in body["expectedRevision"]]
                return 412, {"items": items}
        for put in body.get("put", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("put", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def call(self, method, path, query, body):
        if path == "/kv-range":
            prefix = query.get("pathPrefix", [""])[0]
            after = query.get("sinceRevision", [""])[0]
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]], "more": len(keys) > 500, "at": self.revision}
        if path == "/kv-key":
            item = self.items.get(query["key"][0])
            return (200, dict(item, at=self.revision)) if item else (404, {})
        if path == "/kv-watch":
            prefix, since = query.get("pathPrefix", [""])[0], int(query.get("sinceRevision", ["0"])[0])
            until = time.monotonic() + int(query.get("waitMs", ["0"])[0]) / 1000
            while True:
                events = [e for e in self.events if e["revision"] > since and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            return self.transact(json.loads(body))
        if path == "/kv-lease":
            span = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + span / 1000, span]
            return 200, {"lease": self.next_lease, "ttl_ms": span}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[0] = time.monotonic() + lease[1] / 1000
            return 200, {"ttl_ms": lease[1]}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ")
                parts = urlsplit(target)
                status, body = await self.call(method, parts.path, parse_qs(parts.query), message[2])
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class DutyApi:
    """The receiver of duty calls: notes each call and accepts it."""

    def __init__(self):
        self.calls = []

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address[0], address[1])

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                self.calls.append((time.monotonic(), message[0], message[1], message[2]))
                writer.write(answer_bytes(200, []))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Worker:
    """A worker that answers each call after a fixed time, and notes each request that it runs."""

    def __init__(self, identity, service, zone, slots=64, call_s=0.02):
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.call_s = call_s
        self.runs = []
        self.state = "ready"

    async def start(self, address, store, beat_s=1.2):
        self.address = address
        self.server = await asyncio.start_server(self.serve, address[0], address[1], backlog=1000)
        self.store = store
        self.sequence = 0
        self.beat()
        asyncio.get_running_loop().create_task(self.beats(beat_s))

    def beat(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
                 "sequence": self.sequence}
        self.store.put("servers/" + self.identity, json.dumps(entry).encode())

    async def beats(self, beat_s):
        while True:
            await asyncio.sleep(beat_s)
            self.beat()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.run(message, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def run(self, message, writer):
        first, headers, body = message
        identity = headers.get("x-beacongate-request-attempt-id", "")
        if headers.get("x-beacongate-target-instance") != self.identity:
            writer.write(answer_bytes(421, [("X-Beacongate-Request-Attempt-Id", identity),
                                            ("X-Beacongate-Instance-Id", self.identity),
                                            ("X-Beacongate-Not-Executed", "1")]))
            await writer.drain()
            return
        self.runs.append((time.monotonic(), identity, first, headers, body))
        await self.answer(identity, first, headers, writer)

    async def answer(self, identity, first, headers, writer):
        await asyncio.sleep(self.call_s)
        writer.write(answer_bytes(200, [("X-Beacongate-Request-Attempt-Id", identity),
                                        ("X-Beacongate-Server-Stamp", f"{self.identity}.{identity}")],
                                  ("answer to " + identity).encode()))
        await writer.drain()


class Gateway:
    """A process of the gateway."""

    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.number = number
        self.zone = zone
        self.name = f"frontend-{zone}-{number}"
        self.host = f"127.0.{deployment.block}.{number}"
        self.process = None

    def settings(self, first_start):
        deployment = self.deployment
        port = deployment.port
        return {
            "nodeName": self.name, "role": "gateway", "machineClass": "frontend", "serves": ["frontend", "control"],
            "ip": self.host, "zone": self.zone, "region": "r", "zones": {zone: "r" for zone in deployment.zones},
            "listen": {"frontend": f"{self.host}:{port}", "readiness": f"{self.host}:{port + 1}",
                       "control": f"{self.host}:{port + 2}"},
            "internalPortRange": [port + 4, port + 19],
            "seeds": [f"{g.host}:{port + 2}" for g in deployment.gateways[:3]],
            "bootstrap": first_start, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entryMode": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "quota", "leader", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                       "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
                       "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True, "revokeMs": 5000,
                       "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "quotaWindowS": 8,
                       "quotaTolerance": 0.1, "quotaSlack": 140000, "enforceFencing": False, "leaseMs": 3000,
                       "thawSlackMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10,
                       "recoveryS": 12, "passMs": 120, "retryAfterS": 10},
            "platform": {"address": f"{deployment.platform}:{port}", "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "historyS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
            "cloudApi": {"address": f"{deployment.platform}:{port + 1}", "ratePerS": 50.0,
                         "duties": ["usage_reporting", "autoscaling"], "dutyPerS": 50.0},
        }

    def start(self, first_start=False):
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(first_start), file)
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([PROGRAM, "--metrics-port", "9464"], cwd=ROOT, stdout=log, stderr=log,
                                        env={"PATH": os.environ["PATH"], "BEACONGATE_BOOT": path})
        log.close()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def log(self):
        with open(os.path.join(self.deployment.folder, self.name + ".log"), errors="replace") as file:
            return file.read()

    async def ready(self):
        try:
            status, _, _ = await request((self.host, self.deployment.port + 1), "GET", "/ready", [], b"", 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False

    async def await_ready(self, span=15):
        until = time.monotonic() + span
        while time.monotonic() < until:
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def request(address, method, path, headers, body, timeout, host=HOST):
    """Sends one request on a new connection; returns status, headers and body. Raises ConnectionError at its end."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("closed without an answer")
            return int(message[0].split(" ")[1]), message[1], message[2]
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def free_block():
    """Finds a port and the third number of loopback addresses at which nothing listens."""
    for _ in range(200):
        block, port = random.randrange(2, 250), random.randrange(20000, 31000)
        try:
            for offset in list(range(0, 20)):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    probe.bind((f"127.0.{block}.1", port + offset))
                    probe.close()
            return block, port
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Deployment:
    """A small deployment: its stand-ins and its gateways."""

    def __init__(self, zones):
        self.block, self.port = free_block()
        self.folder = tempfile.mkdtemp(prefix="beacongate-review-")
        self.zones = sorted(set(zones))
        self.platform = f"127.0.{self.block}.200"
        self.gateways = []
        signal.signal(signal.SIGTERM, self.on_terminated)
        for number, zone in enumerate(zones, 1):
            self.gateways.append(Gateway(self, number, zone))
        self.workers = []

    def on_terminated(self, _number, _frame):
        """Ends what this deployment has started when the script's time is over."""
        self.stop()
        os._exit(2)

    async def start_platform(self):
        self.store = Store()
        self.duties = DutyApi()
        await self.store.start((self.platform, self.port))
        await self.duties.start((self.platform, self.port + 1))

    async def add_worker(self, worker):
        self.workers.append(worker)
        await worker.start((f"127.0.{self.block}.{100 + len(self.workers)}", self.port + 10), self.store)

    def configure(self, config):
        self.store.put("op/config", json.dumps(config).encode())

    async def start_gateways(self):
        for gateway in self.gateways:
            gateway.start(first_start=True)
        for gateway in self.gateways:
            if not await gateway.await_ready():
                return False
        return True

    def stop(self):
        """Ends the processes that this deployment has started, and removes its folder."""
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
