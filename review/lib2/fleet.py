"""Stand-ins and process control for the scripts of the second review.

One event loop plays the platform's store, the platform's API, the workers and the clients, each on its own loopback
address. The gateways are the project's program, started with the command of the deploy file. The stand-ins follow
PROTOCOL.md; where it is silent they behave like a sound peer.
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
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ID, DEADLINE, STAMP = "X-Beacongate-Request-Attempt-Id", "X-Beacongate-Deadline-Ms", "X-Beacongate-Server-Stamp"
NOT_RUN, TARGET, INSTANCE = "X-Beacongate-Not-Executed", "X-Beacongate-Target-Instance", "X-Beacongate-Instance-Id"
TENANT, LOAD = "X-Beacongate-Tenant-Id", "X-Beacongate-Instance-Load"
HEARTBEAT_S = 1.2


class Message:
    """The head and the body of an HTTP message."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Returns the next chunk; b"" for the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, head, until_close=False):
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    length = head.get("Content-Length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if until_close else b""


def format_answer(status, headers=(), body=b"", length=True):
    lines = [f"HTTP/1.1 {status} X"] + [f"{key}: {value}" for key, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value):
    return format_answer(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Server:
    """An HTTP server that calls handle(message, reader, writer) for each request."""

    def __init__(self):
        self.server, self.writers = None, set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                message.body = await read_body(reader, message)
                keep = await self.handle(message, reader, writer)
                if keep is False or (message.get("Connection") or "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends like a process that was killed: the port refuses, and all connections are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet, self.items, self.revision, self.leases, self.events = fleet, {}, 0, {}, []
        self.last_lease, self.changed, self.down = 0, asyncio.Event(), None

    def now(self):
        return time.monotonic()

    def expire(self):
        for lease in [key for key, (until, _) in self.leases.items() if until <= self.now()]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.commit([], keys)

    def commit(self, puts, removes):
        self.revision += 1
        for put in puts:
            old = self.items.get(put["key"])
            item = {"key": put["key"], "value": put["value"], "revision": self.revision,
                    "made": old["made"] if old else self.revision, "lease": put.get("lease", 0)}
            self.items[put["key"]] = item
            self.events.append((self.revision, dict(item)))
        for key in removes:
            if self.items.pop(key, None):
                self.events.append((self.revision, {"key": key, "revision": self.revision, "gone": True}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        """A write of the operator or of a worker; it is acknowledged when this returns."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.commit([{"key": key, "value": text}], [])

    async def handle(self, message, reader, writer):
        if self.down == "silent":
            await asyncio.sleep(3600)
        if self.down == "busy":
            writer.write(json_answer(503, {}))
            return True
        self.expire()
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        body = json.loads(message.body) if message.body else {}
        await asyncio.sleep(0.002)
        writer.write(await self.call(method, path, args, body))
        await writer.drain()
        return True

    async def call(self, method, path, args, body):
        if path == "/kv-key":
            item = self.items.get(args["key"])
            return json_answer(200, dict(item, at=self.revision)) if item else json_answer(404, {})
        if path == "/kv-range":
            after = args.get("sinceRevision", "")
            keys = sorted(key for key in self.items if key.startswith(args.get("pathPrefix", "")) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return json_answer(200, {"items": items, "more": len(keys) > 500, "at": self.revision})
        if path == "/kv-watch":
            return await self.watch(args)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl = min(max(int(body["ttl_ms"]), 1000), 600000)
            self.leases[self.last_lease] = (self.now() + ttl / 1000, ttl)
            return json_answer(200, {"lease": self.last_lease, "ttl_ms": ttl})
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return json_answer(404, {})
            ttl = self.leases[lease][1]
            self.leases[lease] = (self.now() + ttl / 1000, ttl)
            return json_answer(200, {"ttl_ms": ttl})
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return json_answer(200, {})
        return json_answer(404, {})

    async def watch(self, args):
        prefix, since = args.get("pathPrefix", ""), int(args["sinceRevision"])
        until = self.now() + int(args["waitMs"]) / 1000
        while True:
            found = [item for revision, item in self.events if revision > since and item["key"].startswith(prefix)]
            left = until - self.now()
            if found or left <= 0:
                return json_answer(200, {"events": found, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                self.expire()

    def transact(self, body):
        conditions = body.get("expectedRevision", [])
        for row in conditions:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                items = [self.items.get(one["key"], {"key": one["key"], "revision": 0}) for one in conditions]
                return json_answer(412, {"items": items})
        puts, removes = body.get("put", []), body.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in [put["key"] for put in puts] + removes):
            return json_answer(403, {})
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return json_answer(404, {})
        return json_answer(200, {"revision": self.commit(puts, removes)})


class Cloud(Server):
    """The receiver of singleton duties."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet, self.calls = fleet, []

    async def handle(self, message, reader, writer):
        self.calls.append((time.monotonic(), message.first, message.get("X-Beacongate-Duty-Holder"),
                           message.get("X-Beacongate-Fencing-Token"), message.body.decode()))
        writer.write(json_answer(200, {}))
        await writer.drain()
        return True


class Worker(Server):
    """A worker. The method work() does the work of one request and may be replaced."""

    def __init__(self, fleet, service, name, host, port, zone, slots=6, work=None):
        super().__init__()
        self.fleet, self.service, self.name, self.zone, self.slots = fleet, service, name, zone, slots
        self.host, self.port, self.running, self.sequence, self.state = host, port, 0, 0, "ready"
        self.work, self.beating = work or plain_work, None
        self.silent = False

    async def start(self):
        await self.listen(self.host, self.port)
        self.beating = asyncio.create_task(self.beat())

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence}

    async def beat(self):
        while True:
            self.fleet.store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def kill(self):
        """A crash: the record stays for three heartbeats."""
        self.beating.cancel()
        self.stop()
        key = f"servers/{self.name}"
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, lambda: self.fleet.store.commit([], [key]))

    def load(self):
        return (LOAD, f"{self.running},0,{self.slots}")

    async def handle(self, message, reader, writer):
        method, target, _ = message.first.split(" ")
        if target == "/health":
            writer.write(format_answer(200, [(INSTANCE, self.name), self.load()]))
            return True
        attempt = message.get(ID, "")
        echo = [(ID, attempt), self.load()]
        if message.get(TARGET) not in (None, self.name):
            writer.write(format_answer(421, echo + [(INSTANCE, self.name)]))
            return True
        if self.running >= self.slots:
            self.fleet.note("turned-away", attempt=attempt, worker=self.name)
            writer.write(format_answer(503, echo + [(NOT_RUN, "1")]))
            return True
        self.running += 1
        self.fleet.note("run", attempt=attempt, worker=self.name, method=method, target=target,
                        tenant=message.get(TENANT), deadline=message.get(DEADLINE),
                        after=message.get("Last-Event-Id"))
        try:
            return await self.work(self, message, reader, writer)
        finally:
            self.running -= 1


async def plain_work(worker, message, reader, writer, status=200, seconds=0.06, body=b"done"):
    await asyncio.sleep(seconds)
    writer.write(format_answer(status, [(ID, message.get(ID)), (STAMP, f"{worker.name}.{message.get(ID)}"),
                                        worker.load()], body))
    await writer.drain()
    return True


class Fleet:
    """A small deployment, and the record of what was seen."""

    def __init__(self, folder, gateways=2, bounds=None, zones=("iasi-hala", "cluj-hala")):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder, self.started = folder, time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.work_dir = tempfile.mkdtemp(prefix="beacongate-review-")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.zones, self.count, self.processes, self.starts, self.ended = zones, gateways, {}, {}, []
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store, self.cloud, self.workers = Store(self), Cloud(self), {}
        self.events, self.last_id, self.stopping = [], random.getrandbits(32), False
        self.program = os.path.join(ROOT, "target", "beacongate-gateway")

    def note(self, what, **fields):
        at = time.monotonic() - self.started
        self.events.append((at, what, fields))
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record.write(f"{at:8.3f} {what} {text}\n")
        self.record.flush()

    def seen(self, what, **fields):
        return [(at, found) for at, name, found in self.events
                if name == what and all(found.get(key) == value for key, value in fields.items())]

    def host(self, gateway):
        return f"{self.net}.{10 + gateway}"

    def settings(self, gateway):
        host = self.host(gateway)
        return {"nodeName": f"frontend-{gateway}", "role": "gateway", "machineClass": "frontend",
                "serves": ["frontend", "control"], "ip": host, "zone": self.zones[gateway % len(self.zones)],
                "region": "ro-nord", "zones": {zone: "ro-nord" for zone in self.zones},
                "listen": {"frontend": f"{host}:8221", "readiness": f"{host}:8224", "control": f"{host}:8229"},
                "internalPortRange": [7600, 7615], "seeds": [f"{self.host(n)}:8229" for n in range(min(3, self.count))],
                "bootstrap": self.starts.get(gateway, 0) == 0, "countsAsLoss": False,
                "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                           "diskMb": 0}, "dataDir": None, "discovery": "platform", "entryMode": "vip",
                "heartbeatMs": 1200, "contracts": CONTRACTS,
                "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": self.bounds,
                "platform": {"address": f"{self.net}.2:8225", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                             "historyS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
                "cloudApi": {"address": f"{self.net}.3:8225", "ratePerS": 50.0,
                             "duties": ["usage_reporting", "autoscaling"], "dutyPerS": 50.0}}

    async def start_platform(self, config):
        if not os.access(self.program, os.X_OK):
            raise CannotRun("the program of the deploy file's build is missing")
        await self.store.listen(f"{self.net}.2", 8225)
        await self.cloud.listen(f"{self.net}.3", 8225)
        self.configure(config)

    def configure(self, config):
        self.store.put("op/config", config)
        self.note("config-acknowledged", version=config["version"])

    async def add_worker(self, service, slots=6, work=None, name=None):
        number = len(self.workers)
        name = name or f"i-{number:02d}{random.getrandbits(24):06x}"
        worker = Worker(self, service, name, f"{self.net}.{100 + number}", 8080, self.zones[number % len(self.zones)],
                        slots, work)
        self.workers[name] = worker
        await worker.start()
        return worker

    def start_gateway(self, gateway):
        path = os.path.join(self.work_dir, f"boot-{gateway}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(gateway), file)
        log = open(os.path.join(self.work_dir, f"gateway-{gateway}.log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.work_dir, "LANG": "C", "BEACONGATE_BOOT": path}
        for extra in ("ASAN_OPTIONS", "UBSAN_OPTIONS"):
            if extra in os.environ:
                env[extra] = os.environ[extra]
        program = os.environ.get("REVIEW_PROGRAM", self.program)
        self.starts[gateway] = self.starts.get(gateway, 0) + 1
        self.processes[gateway] = subprocess.Popen([program, "--metrics-port", "9464"], cwd=ROOT, env=env, stdout=log,
                                                   stderr=log, stdin=subprocess.DEVNULL)
        self.note("gateway-started", gateway=gateway, pid=self.processes[gateway].pid)

    def check_processes(self):
        """Notes processes that ended by themselves and starts them again, as the platform does."""
        for gateway, process in list(self.processes.items()):
            if process.poll() is not None and not self.stopping:
                self.ended.append(gateway)
                self.note("gateway-ended-by-itself", gateway=gateway, code=process.returncode)
                self.start_gateway(gateway)

    async def ready(self, gateway):
        try:
            reader, writer = await asyncio.open_connection(self.host(gateway), 8224)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in head.first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def start_all(self):
        for gateway in range(self.count):
            self.start_gateway(gateway)
        await self.all_ready()

    async def all_ready(self, seconds=20):
        until = time.monotonic() + seconds
        for gateway in range(self.count):
            while not await self.ready(gateway):
                if time.monotonic() > until:
                    raise CannotRun(f"gateway {gateway} does not become ready")
                await asyncio.sleep(0.1)

    def new_id(self):
        self.last_id += 1
        return f"{self.last_id:016x}"

    def format_request(self, attempt, method, path, key, deadline, body=b"", headers=(), host="ficu95.example"):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"{ID}: {attempt}", f"{DEADLINE}: {deadline}"]
        lines += [f"Api-Key: {key}"] if key else []
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}"] if method != "GET" else []
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def request(self, gateway, method, path, key, deadline=1500, body=b"", headers=(), attempt=None):
        """Sends one request on a new connection and notes its answer. Returns (status, answer)."""
        attempt = attempt or self.new_id()
        self.note("sent", attempt=attempt, gateway=gateway, method=method, path=path, deadline=deadline)
        status, answer, writer = None, None, None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host(gateway), 8221), 1)
            writer.write(self.format_request(attempt, method, path, key, deadline, body, headers))
            answer = await asyncio.wait_for(read_head(reader), deadline / 1000 + 2)
            status = int(answer.first.split(" ")[1])
            answer.body = await asyncio.wait_for(read_body(reader, answer, True), deadline / 1000 + 2)
        except asyncio.TimeoutError:
            status = "no-answer"
        except (OSError, asyncio.IncompleteReadError) as error:
            status = f"connection-ended({type(error).__name__})"
        if writer:
            writer.close()
        self.note("answered", attempt=attempt, gateway=gateway, status=status,
                  stamp=answer.get(STAMP) if answer else None)
        return status, answer

    def end(self):
        self.stopping = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(self.work_dir)
        else:
            shutil.rmtree(self.work_dir, ignore_errors=True)
        self.record.close()


class CannotRun(Exception):
    """The case could not run."""


CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader",
             "platform"]
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True,
          "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "quotaWindowS": 8,
          "quotaTolerance": 0.1, "quotaSlack": 140000, "enforceFencing": False, "leaseMs": 3000, "thawSlackMs": 300,
          "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12, "passMs": 120,
          "retryAfterS": 10}


def route(name, prefix, kind, service, **more):
    made = {"name": name, "host": "ficu95.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 15000,
            "targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 1, "allowAnonymous": False}
    return dict(made, **more)


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def service(name, connections=110, **more):
    return dict({"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls": False},
                **more)


def tenant(name, key, rate=76302, burst=85740):
    return {"name": name, "apiKeys": [key], "priority": 1, "unit": "generation", "plainTokens": 200, "ratePerS": rate,
            "burst": burst}


def main(folder, case, **options):
    """Runs a case. It returns True if the rule held. The exit codes are 0, 1 and 2."""

    async def run():
        fleet = Fleet(folder, **options)
        # Connections that are open at the end are cancelled, which is no fault.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            async with asyncio.timeout(110) if hasattr(asyncio, "timeout") else Nothing():
                held = await case(fleet)
            fleet.note("result", rule="held" if held else "broken")
            return 0 if held else 1
        except Exception as error:  # Also the time limit: what could not run shows nothing.
            fleet.note("cannot-run", cause=repr(error))
            return 2
        finally:
            fleet.end()

    raise SystemExit(asyncio.run(run()))


class Nothing:
    async def __aenter__(self):
        return None

    async def __aexit__(self, *_):
        return None
