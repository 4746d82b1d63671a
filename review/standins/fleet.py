"""Stand-ins for the platform, the workers and the clients, and the gateways as processes.

Everything runs on loopback addresses and the real clock. The stand-ins follow PROTOCOL.md of the users' pages; where a
page is silent they behave like a sound server, client or platform. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DEPLOY_RUN = [os.path.join(ROOT, "target", "beacongate-gateway"), "--metrics-port"]

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

HOST = "depot.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
ZONES = ("iasi-hala", "suceava-hala", "bacau-hala", "cluj-hala")

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "quotaWindowS": 8,
    "quotaTolerance": 0.1, "quotaSlack": 140000, "enforceFencing": False, "leaseMs": 3000, "thawSlackMs": 300,
    "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12, "passMs": 120, "retryAfterS": 10,
}


class CannotRun(Exception):
    """The case could not be brought about; the script exits with 2."""


class Record:
    """Writes to record.txt what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, text):
        self.file.write("%9.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


class Head:
    """The head of an HTTP message."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name, default=""):
        for known, value in self.fields:
            if known == name.lower():
                return value
        return default


async def read_head(reader):
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_chunked(reader, on_piece=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += piece
        if on_piece:
            on_piece(piece)


async def read_request_body(head, reader):
    if head.get("transfer-encoding").lower() == "chunked":
        return await read_chunked(reader)
    return await reader.readexactly(int(head.get("content-length", "0")))


class Store:
    """The platform's store, as PROTOCOL.md tells it: 4 ms an answer, all calls linearizable."""

    DELAY = 0.004

    def __init__(self):
        self.items = {}
        self.history = []
        self.leases = {}
        self.revision = 1
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.server = None
        self.links = []
        self.era = 0        # 0: no drill so far, and no Store-Era in the answers
        self.away = False

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.expirer = asyncio.ensure_future(self.expire())

    async def start_link(self, host, port, addresses):
        """Serves a machine that reaches the workers at other addresses, see Link."""
        async def serve(reader, writer):
            await self.serve(reader, writer, addresses)
        self.links.append(await asyncio.start_server(serve, host, port))

    def copy(self):
        """Returns a copy of the store, for a drill."""
        return {key: dict(item) for key, item in self.items.items()}, self.revision, dict(self.leases)

    async def come_back_from(self, copy, away_s):
        """A drill: the store is away for a moment and comes back from a copy.

        What the system wrote since is gone, leases too; what the operator and the workers wrote is written again.
        """
        self.away = True
        await asyncio.sleep(away_s)
        kept = {key: base64.b64decode(item["value"]) for key, item in self.items.items()
                if key.startswith(("op/", "servers/"))}
        items, self.revision, leases = copy
        self.items = {key: dict(item) for key, item in items.items()}
        now = time.monotonic()
        # A lease of the copy goes on; time does not run for it while the store is away.
        self.leases = {lease: (now + span / 1000, span) for lease, (_, span) in leases.items()}
        self.history = [item for item in self.history if item["revision"] <= self.revision]
        self.era += 1
        for key, value in kept.items():
            if key not in self.items or base64.b64decode(self.items[key]["value"]) != value:
                self.put(key, value)
        for key in [key for key in self.items if key.startswith(("op/", "servers/")) and key not in kept]:
            self.remove(key)
        self.wake()
        self.away = False

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "made": made, "lease": lease}
        self.history.append(dict(self.items[key]))
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "gone": True})
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [known for known, (until, _) in self.leases.items() if until < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer, addresses=None):
        try:
            while True:
                head = await read_head(reader)
                body = await read_request_body(head, reader)
                await asyncio.sleep(self.DELAY)
                method, target, _ = head.first.split(" ")
                if self.away:
                    return
                status, answer = await self.answer(method, target, body)
                if self.away:
                    return
                for name in ("items", "events") if addresses else ():
                    if name in answer:
                        answer[name] = [with_address(item, addresses) for item in answer[name]]
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                             b"Content-Length: %d\r\n\r\n%s" % (status, self.era, len(text), text))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        text = {name: unquote(value) for name, value in fields.items()}
        if path == "/kv-key":
            item = self.items.get(text.get("key", ""))
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(text.get("pathPrefix", "")) and key > text.get("sinceRevision", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "more": len(keys) > 500,
                         "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(text.get("pathPrefix", ""), int(text.get("sinceRevision", "0")),
                                    int(text.get("waitMs", "0")))
        if path == "/kv-txn":
            return self.transact(json.loads(body))
        if path == "/kv-lease":
            span = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + span / 1000, span)
            return 200, {"lease": self.next_lease, "ttl_ms": span}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            span = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + span / 1000, span)
            return 200, {"ttl_ms": span}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, prefix, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [item for item in self.history if item["revision"] > since and item["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        rows = call.get("expectedRevision", [])
        if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in rows):
            return 412, {"items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
        for put in call.get("put", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in call.get("put", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def with_address(item, addresses):
    """Returns a worker's entry with the address of the link that leads to it."""
    if not item["key"].startswith("servers/") or "value" not in item:
        return item
    entry = json.loads(base64.b64decode(item["value"]))
    entry["address"] = addresses[entry["address"]]
    return dict(item, value=base64.b64encode(json.dumps(entry).encode()).decode())


def unquote(text):
    out = bytearray()
    index = 0
    while index < len(text):
        if text[index] == "%":
            out.append(int(text[index + 1:index + 3], 16))
            index += 3
        else:
            out += text[index].encode()
            index += 1
    return out.decode()


async def serve_duties(fleet, reader, writer):
    """The platform's API: takes every call."""
    try:
        while True:
            head = await read_head(reader)
            body = await read_request_body(head, reader)
            fleet.on_duty_call(head, body)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


def number_zone(host):
    return int(host.rsplit(".", 1)[1]) % len(ZONES)


class Worker:
    """A worker. handle(worker, head, body, reader, writer) answers one request; the connection then closes."""

    def __init__(self, fleet, number, service, slots, handle, version="v1"):
        self.fleet = fleet
        self.version = version
        self.id = "i-%08x" % random.getrandbits(32)
        self.host = fleet.host(100 + number)
        self.port = fleet.ports["worker"]
        self.service = service
        self.slots = slots
        self.handle = handle
        self.socket = None
        self.server = None
        self.limit = None  # SO_RCVBUF of accepted connections, for a worker that reads slowly

    async def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.limit:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.limit)
        self.socket.bind((self.host, self.port))
        self.socket.setblocking(False)
        self.server = await asyncio.start_server(self.serve, sock=self.socket, backlog=256, limit=1 << 16)
        entry = {"service": self.service, "address": "%s:%d" % (self.host, self.port), "zone": ZONES[number_zone(self.host)], "version": self.version,
                 "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
                 "born": int(time.time() * 1000)}
        self.fleet.store.put("servers/" + self.id, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        try:
            head = await read_head(reader)
            if head.get("x-beacongate-target-instance", self.id) != self.id:
                writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            else:
                await self.handle(self, head, reader, writer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def stamp(self):
        return "%s.%06x" % (self.id, random.getrandbits(24))


class Link:
    """One machine's path to one worker: a forwarding proxy that can be cut without touching other machines."""

    def __init__(self, fleet, number, worker):
        self.fleet = fleet
        self.worker = worker
        self.host = fleet.host(150 + number)
        self.port = fleet.ports["worker"]
        self.fillers = []
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, self.port))
        self.socket.setblocking(False)
        self.server = await asyncio.start_server(self.serve, sock=self.socket, backlog=256)

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(self.worker.host, self.worker.port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pass_on(reader, to_writer), self.pass_on(to_reader, writer))

    async def pass_on(self, reader, writer):
        try:
            while True:
                data = await reader.read(1 << 16)
                await self.is_open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def cut(self):
        """Nothing passes any more: packets of new connections are dropped, bytes of open ones are held."""
        self.is_open.clear()
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.listen(0)
        # With a full queue of connections that nobody accepts, the kernel drops the packets of further ones.
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)


class Gateway:
    """One gateway, started with the command of the deploy file."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.zone = zone
        self.name = "frontend-%s-%d" % (zone, number)
        self.host = fleet.host(number)
        self.store_host = fleet.host(250)
        self.process = None
        self.folder = os.path.join(fleet.folder, self.name)
        os.mkdir(self.folder)

    def address(self, name):
        return "%s:%d" % (self.host, self.fleet.ports[name])

    def settings(self):
        return {
            "nodeName": self.name, "role": "gateway", "machineClass": "frontend", "serves": ["frontend", "control"],
            "ip": self.host, "zone": self.zone, "region": "ro-nord",
            "zones": {zone: "ro-nord" for zone in self.fleet.zones},
            "listen": {"frontend": self.address("frontend"), "readiness": self.address("readiness"),
                       "control": self.address("control")},
            "internalPortRange": [self.fleet.ports["internal"], self.fleet.ports["internal"] + 15],
            "seeds": ["%s:%d" % (self.fleet.host(n + 1), self.fleet.ports["control"])
                      for n in range(min(3, self.fleet.gateway_count))],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entryMode": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "quota", "leader", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % (self.store_host, self.fleet.ports["store"]), "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000, "historyS": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000},
            "cloudApi": {"address": "%s:%d" % (self.fleet.store_host, self.fleet.ports["cloud"]), "ratePerS": 50.0,
                         "duties": ["usage_reporting"], "dutyPerS": 50.0},
        }

    def start(self, first=True):
        """Starts the process; first is the very first start of the whole system."""
        if self.process:
            self.process.wait()
        path = os.path.join(self.folder, "boot.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(dict(self.settings(), bootstrap=first), file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BEACONGATE_BOOT"] = path
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(DEPLOY_RUN + [str(self.fleet.ports["metrics"])], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def get(self, port, path):
        """GETs a page of this gateway; returns its status and body, or (0, b"")."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.fleet.ports[port]), 1)
            writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path.encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            body = await asyncio.wait_for(reader.read(), 1)
            writer.close()
            return int(head.first.split(" ")[1]), body
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, EOFError):
            return 0, b""

    async def metric(self, name):
        _, body = await self.get("control", "/metrics")
        for line in body.decode().split("\n"):
            if line.startswith(name + " "):
                return float(line.split(" ")[1])
        return 0.0

    def resident_mb(self):
        """Memory in use, as the platform counts it; 0 once the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


class Fleet:
    """The stand-in of the platform with gateways and workers."""

    PORTS = ("frontend", "readiness", "control", "metrics", "store", "cloud", "worker", "internal")

    def __init__(self, record, zones):
        """zones names the zone of each gateway."""
        self.record = record
        self.zones = sorted(set(zones))
        self.gateway_count = len(zones)
        self.prefix = "127.%d.%d." % (random.randint(64, 250), random.randint(1, 250))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = self.free_ports()
        self.store = Store()
        self.store_host = self.host(250)
        self.gateways = [Gateway(self, number + 1, zone) for number, zone in enumerate(zones)]
        self.workers = []

    def on_duty_call(self, head, body):
        """Called for each call that the platform's API takes; a case may replace it."""

    def host(self, number):
        return self.prefix + str(number)

    def free_ports(self):
        for _ in range(100):
            base = random.randint(12000, 28000)
            probes = []
            try:
                for offset in range(32):
                    probe = socket.socket()
                    probes.append(probe)
                    probe.bind(("0.0.0.0", base + offset))
                return dict({name: base + index for index, name in enumerate(self.PORTS[:-1])}, internal=base + 10)
            except OSError:
                continue
            finally:
                for probe in probes:
                    probe.close()
        raise CannotRun("no free ports")

    async def start(self, routes, services):
        await self.store.start(self.store_host, self.ports["store"])
        self.cloud = await asyncio.start_server(lambda reader, writer: serve_duties(self, reader, writer),
                                                self.store_host, self.ports["cloud"])
        self.store.put("op/config", json.dumps({
            "version": 7, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "unit": "generation", "plainTokens": 200,
                         "ratePerS": 0, "burst": 0}]}).encode())
        for worker in self.workers:
            await worker.start()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await self.until_ready(gateway)
        # Members learn of each other through the store.
        await asyncio.sleep(4)

    async def until_ready(self, gateway):
        until = time.monotonic() + 15
        while (await gateway.get("readiness", "/ready"))[0] != 200:
            if time.monotonic() > until or gateway.process.poll() is not None:
                raise CannotRun("%s does not become ready" % gateway.name)
            await asyncio.sleep(0.1)
        self.record.note("%s is ready" % gateway.name)

    def stop(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
        for gateway in self.gateways:
            if gateway.process:
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print("logs are kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    return dict({"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 15000,
                 "targetLatencyMs": 1200, "priority": 1, "service": service, "maxAttempts": 2,
                 "allowAnonymous": False, "sessionAffinity": False, "streamResume": False, "targetGapMs": 500}, **more)


def request_bytes(method, path, attempt, body=b"", deadline_ms=15000, more=()):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST, "X-Beacongate-Request-Attempt-Id: " + attempt,
             "X-Beacongate-Deadline-Ms: %d" % deadline_ms, "Api-Key: " + KEY]
    lines += list(more)
    if method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def quiet(main, record, trouble, limit_s):
    # Handlers that are still open at the end are cancelled, which is no error.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(main(record, trouble), limit_s)


def run_case(main, folder, limit_s=110):
    """Runs a case and exits with its result. main(record, trouble) returns True where the rule was broken."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("disruption: %s" % ("yes" if trouble else "no"))
    try:
        broken = asyncio.run(quiet(main, record, trouble, limit_s))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.note("could not run: %s %s" % (type(error).__name__, error))
        print("could not run:", type(error).__name__, error)
        sys.exit(COULD_NOT_RUN)
    record.note("result: the rule %s" % ("was broken" if broken else "held"))
    print("the rule", "was broken" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
