"""Stand-ins of the platform's store, of servers and of clients, and the start of the entry hosts.

All of it runs on loopback addresses. A case imports this module, builds a small deployment with
`Deployment`, plays its traffic and exits by `Deployment.finish`.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "berylknot-entry")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
ROLE_SWITCH_S = 6.0


def loopback():
    """A loopback address that no other program uses."""
    while True:
        address = f"127.{random.randint(100, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((address, 0))
                return address
            except OSError:
                continue


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Request:
    def __init__(self, method, target, headers, raw_head):
        self.method = method
        self.target = target
        self.headers = headers
        self.raw_head = raw_head
        self.body = b""

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    def query(self, name, default=None):
        if "?" not in self.target:
            return default
        for pair in self.target.split("?", 1)[1].split("&"):
            key, _, value = pair.partition("=")
            if key == name:
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Request(method, target, headers, raw)


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(body, None)
            size = int(line.split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: topics of one partition, keyed ones included."""

    def __init__(self, record):
        self.record = record
        self.address = (loopback(), 0)
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address[0], 0)
        self.address = self.server.sockets[0].getsockname()

    def log(self, topic):
        return self.topics.setdefault(topic, [])

    async def append(self, topic, records):
        log = self.log(topic)
        offset = len(log)
        log.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, topic, key, value):
        name = key.encode()
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        await self.append(topic, [bytes([len(name)]) + name + value])

    async def remove(self, topic, key):
        await self.put(topic, key, b"")

    def newest(self, topic):
        found = {}
        for offset, record in enumerate(self.log(topic)):
            key = record[1 : 1 + record[0]].decode("utf-8", "replace")
            value = record[1 + record[0] :]
            if value:
                found[key] = (value, offset)
            else:
                found.pop(key, None)
        return found

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request.headers)
                status, kind, body = await self.answer(request)
                await asyncio.sleep(0.004)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def answer(self, request):
        as_json = "application/json"
        path = request.target.split("?", 1)[0]
        topic = request.query("topic", "")
        if path == "/-/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, as_json, b"{}"
            log = self.log(topic)
            at = request.query("at")
            if at is not None and int(at) != len(log):
                return 412, as_json, json.dumps({"endOffset": len(log)}).encode()
            records, body = [], request.body
            while len(body) >= 4:
                (size,) = struct.unpack(">I", body[:4])
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            offset = await self.append(topic, records)
            answer = {"offset": offset, "endOffset": len(self.log(topic))}
            return 200, as_json, json.dumps(answer).encode()
        if path == "/-/log-read":
            start = int(request.query("from", "0"))
            wait = int(request.query("waitMs", "0")) / 1000
            if start > len(self.log(topic)):
                return 410, as_json, b'{"first":0}'
            if wait > 0 and len(self.log(topic)) <= start:

                async def grown():
                    async with self.changed:
                        await self.changed.wait_for(lambda: len(self.log(topic)) > start)

                try:
                    await asyncio.wait_for(grown(), wait)
                except asyncio.TimeoutError:
                    pass
            log = self.log(topic)
            body = struct.pack(">QQ", len(log), 0)
            for record in log[start:]:
                body += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", body
        if path == "/-/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(self.newest(topic).items())
            ]
            answer = {"items": items, "hasMore": False, "endOffset": len(self.log(topic))}
            return 200, as_json, json.dumps(answer).encode()
        return 400, as_json, b"{}"


class Server:
    """A server of a service. `handle` is a coroutine that gets the server, a request and the writer."""

    def __init__(self, record, name, service, handle, slots=12, stage=None, version="v1", zone="z-a"):
        self.record = record
        self.name = name
        self.service = service
        self.handle = handle
        self.slots = slots
        self.stage = stage
        self.version = version
        self.zone = zone
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.address = None
        self.listener = None
        self.received = []
        self.active = 0
        self.handles = {}
        self.leaving = False
        self.writes = None
        self.fence = 0
        self.order = None
        self.store = None

    async def start(self, store):
        self.store = store
        self.listener = await asyncio.start_server(self.serve, loopback(), 0, limit=1 << 20)
        self.address = self.listener.sockets[0].getsockname()
        await self.write(store)
        self.writes = asyncio.ensure_future(self.heartbeat(store))

    async def write(self, store):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        await store.put("keyed.servers", self.name, entry)

    async def change_stage(self, stage):
        while self.active:
            await asyncio.sleep(0.05)
        await asyncio.sleep(ROLE_SWITCH_S)
        self.stage = stage
        self.order = None
        await self.write(self.store)

    async def heartbeat(self, store):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write(store)

    async def leave(self, store):
        """Begins to leave, as a server whose place another one takes."""
        self.state = "draining"
        self.leaving = True
        await self.write(store)
        self.record(f"{self.name} reports draining")

    def head(self, request, status, framing, extra=""):
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {request.get('request-id', '')}"]
        if "Not-Executed" not in extra:
            lines.append("Server-Stamp: s.1.2.3")
        if self.leaving:
            lines.append("Server-Leaving: 1")
        if extra:
            lines.append(extra)
        if framing:
            lines.append(framing)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def whole(self, request, status, body, extra=""):
        return self.head(request, status, f"Content-Length: {len(body)}", extra) + body

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request.headers)
                if request.target.startswith("/-/") or request.target == "/healthz":
                    writer.write(self.own(request))
                    await writer.drain()
                    continue
                expected = request.get("expect-instance")
                if expected and expected != self.name:
                    writer.write(self.whole(request, "421 Misdirected Request", b"", "Not-Executed: 1"))
                    await writer.drain()
                    continue
                if self.order:
                    writer.write(self.whole(request, "503 Service Unavailable", b"", "Not-Executed: 1"))
                    await writer.drain()
                    continue
                self.received.append((time.monotonic(), request))
                self.active += 1
                try:
                    goes_on = await self.handle(self, request, writer, reader)
                finally:
                    self.active -= 1
                if goes_on is False:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    def own(self, request):
        body = b""
        if request.target == "/-/report":
            body = json.dumps(
                {
                    "stage": self.stage,
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False,
                    "sequence": 0,
                    "queued": 0,
                    "active": self.active,
                    "kvUsed": 0,
                    "kvTotal": 90000,
                    "kvHandles": 0,
                }
            ).encode()
        elif request.target == "/-/kv-list":
            body = b'{"epoch":1,"next":0,"held":[]}'
        status = "200 OK"
        if request.target == "/-/order":
            order = json.loads(request.body)
            self.record(f"{self.name} gets the order {order}")
            if order["fencingToken"] < self.fence:
                status = "412 Precondition Failed"
            elif self.order:
                status = "409 Conflict"
            elif order["stage"] != self.stage:
                self.fence = order["fencingToken"]
                status = "202 Accepted"
                self.order = asyncio.ensure_future(self.change_stage(order["stage"]))
        head = f"HTTP/1.1 {status}\r\nInstance-Id: {self.name}\r\nContent-Type: application/json\r\n"
        return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Host:
    """An entry host, started as the deploy file says."""

    def __init__(self, deployment, number, memory_mb, max_fds):
        self.deployment = deployment
        self.name = f"edge-{number}"
        self.ip = loopback()
        self.callers = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.process = None
        self.path = os.path.join(deployment.folder, f"{self.name}.json")

    def write_settings(self, first_start):
        peers = self.deployment.hosts
        settings = {
            "host": self.name,
            "data_centre": "z-a",
            "regions": {"z-a": "r"},
            "address": self.ip,
            "first_start": first_start,
            "listen": {
                "callers": f"{self.ip}:{self.callers}",
                "ready": f"{self.ip}:{self.ready}",
                "peer_port": self.deployment.peer_port,
                "metrics_port": self.deployment.metrics_port,
            },
            "seeds": [f"{peer.ip}:8367" for peer in peers[:3]],
            "store": {"address": "%s:%d" % self.deployment.store.address},
            "bounds": self.deployment.bounds,
            "capabilities": self.deployment.capabilities,
            "resources": {"memory_mb": self.memory_mb, "max_files": self.max_fds},
            "log": {"json": True},
        }
        with open(self.path, "w") as file:
            json.dump(settings, file)

    def start(self, first_start=True):
        self.write_settings(first_start)
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM],
            cwd=ROOT,
            env={"PATH": os.environ["PATH"], "BERYLKNOT_CONFIG": self.path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    def signal(self, number):
        self.deployment.record(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                status, _, _ = await asyncio.wait_for(
                    fetch((self.ip, self.ready), b"GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), 1
                )
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def memory_mb_used(self, field="VmRSS"):
        """Resident memory in MiB; `RssAnon` leaves out the pages of the program's file."""
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
        return 0


class Deployment:
    """A small deployment: a store, servers and entry hosts."""

    def __init__(self, case):
        self.case = case
        self.started = time.monotonic()
        self.file = open(os.path.join(case, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="berylknot-review-")
        self.store = Store(self.record)
        self.hosts = []
        self.servers = []
        self.peer_port = random.randint(20000, 29000)
        self.metrics_port = self.peer_port + 1
        self.bounds = {
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 54,
            "quota_window_s": 8,
            "drain_ms": 2000,
            "grace_s": 8,
            "lease_ms": 3000,
            "config_apply_ms": 2000,
        }
        self.capabilities = [
            "base", "drain", "config", "cost", "retry", "recover", "split", "stream",
            "engine", "tenants", "quota", "platform",
        ]
        self.record(f"trouble: {TROUBLE}")

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    async def start(self, configuration, servers, hosts=1, memory_mb=110, max_fds=4100):
        await self.store.start()
        self.configuration = configuration
        await self.store.put("keyed.op", "config", configuration)
        self.servers = servers
        for server in servers:
            await server.start(self.store)
        self.hosts = [Host(self, number, memory_mb, max_fds) for number in range(hosts)]
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_ready()
        await asyncio.sleep(3)  # the first leader has heard from its peers by then

    def stop(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()

    def finish(self, broken, summary):
        self.record(f"result: {summary}")
        self.stop()
        print(summary)
        sys.stdout.flush()
        keep = os.environ.get("KEEP")
        if keep:
            print(self.folder)
        else:
            subprocess.run(["rm", "-rf", self.folder], check=False)
        os._exit(1 if broken else 0)


async def fetch(address, data):
    """Sends a request on a new connection; returns status, headers and whole body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Reads a whole answer; raises IncompleteReadError if the channel ends before."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return status, headers, await read_body(reader, headers)


def streams_configuration(target_ms=900, gap_ms=300):
    """The configuration of a deployment with one service of engines and one resumable route."""
    route = {
        "name": "draft", "host": "h.example", "pathPrefix": "/draft/", "kind": "streaming",
        "timeoutMs": 14000, "targetLatencyMs": target_ms, "gapTargetMs": gap_ms, "priority": 1,
        "service": "writers", "maxAttempts": 2, "public": False, "sticky": True, "resumable": True,
    }
    engine = {
        "slots": 12, "kvCapacity": 135015, "kvTokenBytes": 18432, "linkMbps": 2200000.0, "stride": 1,
        "most": 12, "kvHoldS": 0.5, "roleSwitchS": 6.0, "models": [{"name": "m"}],
    }
    service = {
        "name": "writers", "healthPath": "/healthz", "maxConnections": 150, "protocol": "h1", "tls": False,
        "engine": engine,
    }
    return configuration(route, service, rate=200000)


def configuration(route, service, rate=0):
    """A configuration with one route, one service and one tenant."""
    return {
        "version": 3,
        "routes": [route],
        "services": [service],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "t", "apiKeys": ["k1"], "priority": 1, "unit": "token_stream", "plainTokens": 200,
             "ratePerS": rate, "burst": rate}
        ],
    }


def prefilled(server, request):
    """The answer of an engine that has read a prompt."""
    return server.whole(request, "200 OK", b'{"kvHandle":"%x","tokens":1000,"version":1}' % len(server.received))


async def stream(deployment, number, events):
    """Sends a generation to the first host; returns how many events came, and whether the answer looks complete."""
    host = deployment.hosts[0]
    reader, writer = await asyncio.open_connection(host.ip, host.callers)
    name = f"{number:016x}"
    writer.write(
        (
            f"POST /draft/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {name}\r\nModel: m\r\n"
            f"Token-Count: 1000,{events}\r\nPrefix-Hash: aa:200,{number:x}:800\r\nDeadline-Ms: 14000\r\n"
            f"Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
        ).encode()
    )
    deployment.record(f"caller sends {name}")
    try:
        status, _, body = await read_answer(reader)
        came, complete = body.count(b"id: "), status == 200
        deployment.record(f"caller got {name}: {status}, {came} events, whole answer")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        came, complete = getattr(error, "partial", b"").count(b"id: "), False
        deployment.record(f"caller got {name}: {came} events, channel ended without the end of the answer")
    finally:
        writer.close()
    return came, complete


def run(case, main):
    """Runs a case; exits with 2 if it could not run."""

    async def play():
        deployment = Deployment(case)
        try:
            await asyncio.wait_for(main(deployment), 110)
        except Exception as error:  # the case could not run
            deployment.record(f"could not run: {error!r}")
            deployment.stop()
            import traceback

            traceback.print_exc()
            os._exit(2)

    asyncio.run(play())
