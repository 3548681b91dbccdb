"""Stand-ins for the scripts of this review: the platform's store, instances of a service and clients, as
PROTOCOL.md describes them, and the project's gateways as processes of their own. Python's standard library only."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target/release/yokespoked"


def free_ports(count):
    """Returns ports of 127.0.0.1 that nothing uses."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def read_head(reader):
    """Reads the head of a request or response: the first line and the headers by lower-case name."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    """Reads a body with a length."""
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Record:
    """The file record.txt: one line for each event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision, self.items, self.events = 1, {}, []
        self.leases, self.next_lease = {}, 1
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.reaper = asyncio.create_task(self.reap())

    async def reap(self):
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease in [n for n, (ttl, renewed) in self.leases.items() if now > renewed + ttl]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    async def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        text = base64.b64encode(data).decode()
        item = {"key": key, "value": text, "revision": self.revision, "made": made, "lease": lease}
        self.items[key] = item
        self.events.append(item)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "gone": True})
            async with self.changed:
                self.changed.notify_all()

    async def connection(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, answer = await self.answer(line, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        _, target, _ = line.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        call = url.path.removeprefix("/yokespoke/")
        if call == "kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return 200, {"items": found[:500], "more": len(found) > 500, "at": self.revision}
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if call == "kv-watch":
            return await self.watch(query)
        if call == "kv-txn":
            return await self.write(json.loads(body))
        if call == "kv-lease":
            text = json.loads(body)["ttl_time"]
            ttl = float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic())
            return 200, {"lease": lease, "ttl_time": text}
        if call.startswith("kv-keep/"):
            lease = int(call.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = (self.leases[lease][0], time.monotonic())
            return 200, {}
        if call.startswith("kv-lease-end/"):
            await self.end_lease(int(call.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def write(self, call):
        for wanted in call.get("expected_rev", []):
            item = self.items.get(wanted["key"])
            if (item["revision"] if item else 0) != wanted["revision"]:
                return 412, {"items": [item] if item else []}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in call.get("put", [])):
            return 404, {}
        for put in call.get("put", []):
            await self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in call.get("remove", []):
            await self.remove(key)
        return 200, {"revision": self.revision}


class Instance:
    """An instance of a service: runs up to `slots` requests at a time and queues the rest; its health check waits for a
    slot like a request. `work` gives the seconds that a request takes, by its first line."""

    def __init__(self, name, service, zone, slots, work, record):
        self.name, self.service, self.zone, self.slots, self.work = name, service, zone, slots, work
        self.record, self.running = record, asyncio.Semaphore(slots)
        self.load = [0, 0]
        # By request: [arrival, start of its run, end of its run or None, how it ended]
        self.runs = {}

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "cold_left": "0ms", "call_seq": 1,
        }

    async def connection(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.serve(line, headers, body, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, line, headers, body, reader, writer):
        request = headers.get("yokespoke-request-id", "")
        if line.startswith("GET /health "):
            async with self.running:
                await self.send(writer, 200, [f"Yokespoke-Instance-Id: {self.name}"])
            return
        if headers.get("yokespoke-target-instance", self.name) != self.name:
            await self.send(writer, 421, [f"Yokespoke-Request-Id: {request}"])
            return
        now = self.record.now
        run = self.runs[request] = [now(), None, None, "waits"]
        self.record.write(f"request {request} reaches {self.name} ({line.split(' ')[0]}, {len(body)} bytes)")
        self.load[1] += 1
        try:
            async with self.running:
                self.load = [self.load[0] + 1, self.load[1] - 1]
                run[1], run[3] = now(), "runs"
                self.record.write(f"request {request} is begun by {self.name}")
                try:
                    closed = await self.run(reader, self.work(line))
                finally:
                    self.load[0] -= 1
        except asyncio.CancelledError:
            raise
        run[2], run[3] = now(), "cut" if closed else "done"
        self.record.write(f"request {request} ends at {self.name}: {run[3]}")
        if closed:
            raise ConnectionResetError
        head = [f"Yokespoke-Request-Id: {request}", f"Yokespoke-Response-Seal: seal.{request}",
                f"Yokespoke-Server-Load: {self.load[0]},{self.load[1]},{self.slots}"]
        await self.send(writer, 200, head, b"done " + request.encode())

    @staticmethod
    async def run(reader, seconds):
        """Works; returns early, with true, when the connection is closed."""
        closed = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait([closed], timeout=seconds)
        if done:
            # A reset is an end like any other.
            closed.exception()
            return True
        closed.cancel()
        try:
            await closed
        except (asyncio.CancelledError, ConnectionError):
            pass
        return False

    @staticmethod
    async def send(writer, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} -", *headers, f"Content-Length: {len(body)}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


def configuration(routes, services):
    """The operator's configuration, version 1."""
    return {
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout", "target_latency", "priority",
                        "service", "max_attempts"],
            "rows": routes,
        },
        "services": {
            "columns": ["name", "health_path", "max_conns", "cold_start", "cold_per_s"],
            "rows": services,
        },
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout": "3s",
                   "idle_timeout": "15s"},
    }


class Gateway:
    """A process of the deploy file's only role, with settings as its template makes them."""

    def __init__(self, name, zone, zones, bounds, folder):
        self.name, self.zone, self.region = name, zone, zones[zone]
        self.zones, self.bounds, self.folder = zones, bounds, folder
        self.front, self.ready, self.directory, self.control = free_ports(4)
        self.process = None

    def configure(self, store, seeds):
        lines = [
            "role: gateway", f"node: {self.name}", f"region: {self.region}", f"hall: {self.zone}", "halls:",
            *[f"  {zone}: {region}" for zone, region in self.zones.items()], "listen:",
            f"  callers: 127.0.0.1:{self.front}", f"  ready: 127.0.0.1:{self.ready}",
            f"  directory: 127.0.0.1:{self.directory}", f"  peers: 127.0.0.1:{self.control}",
            f"seeds: {json.dumps([f'127.0.0.1:{seed.control}' for seed in seeds])}",
            f"store: 127.0.0.1:{store.port}", "processor:", "  cores: 1", "  share: 0.2", "bounds:",
            *[f"  {name}: {value}" for name, value in self.bounds.items()],
        ]
        self.file = self.folder / f"{self.name}.yaml"
        self.file.write_text("\n".join(lines) + "\n")

    def start(self):
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "--settings", str(self.file)], cwd=ROOT, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(get(self.ready, "/yokespoke/ready"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def get(port, path):
    """One GET on a new connection; returns status, headers and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n".encode())
        line, headers = await read_head(reader)
        return int(line.split(" ")[1]), headers, await read_body(reader, headers)
    finally:
        writer.close()


class Client:
    """A client that looks up where to go, and sends one request after the other, each on a new connection. It holds on to
    an answer for `hold` times its time to live: some clients do so for three times that."""

    def __init__(self, number, host, path, zone, gateways, deadline_ms, record, hold=1):
        self.number, self.host, self.path, self.zone = number, host, path, zone
        # Nearer directories first.
        region = next(g.region for g in gateways if g.zone == zone)
        rank = {g.name: (g.zone != zone, g.region != region, random.random()) for g in gateways}
        self.directories = sorted(gateways, key=lambda g: rank[g.name])[:3]
        self.region, self.deadline_ms, self.record, self.hold = region, deadline_ms, record, hold
        self.by_address = {f"127.0.0.1:{g.front}": g for g in gateways}
        self.addresses, self.expires, self.count = [], 0.0, 0
        self.results = []

    async def look_up(self):
        """Asks up to three directories; the old answer stays in use while no new one can be obtained."""
        if time.monotonic() < self.expires:
            return
        query = urllib.parse.urlencode({"name": self.host, "region": self.region, "zone": self.zone})
        for directory in self.directories:
            try:
                call = get(directory.directory, f"/yokespoke/resolve?{query}")
                status, _, body = await asyncio.wait_for(call, 1)
                answer = json.loads(body)
            except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            if status == 200 and answer.get("addresses"):
                self.addresses = answer["addresses"]
                text = answer["ttl"]
                ttl = float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])
                self.expires = time.monotonic() + ttl * self.hold
                return

    async def run(self, delay, until):
        await asyncio.sleep(delay)
        while self.record.now() < until:
            await self.look_up()
            if not self.addresses:
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(await self.request())

    async def request(self, path=None, gateway=None):
        """Sends one request; returns the time until the next one."""
        self.count += 1
        name = f"{self.number:03d}-{self.count:04d}"
        gateway = gateway or self.by_address[random.choice(self.addresses)]
        try:
            opening = asyncio.open_connection("127.0.0.1", gateway.front)
            reader, writer = await asyncio.wait_for(opening, 1)
        except (OSError, asyncio.TimeoutError):
            self.record.write(f"request {name} finds no connection to {gateway.name}")
            return 0.1
        body = b"booking " + name.encode()
        head = [f"POST {path or self.path} HTTP/1.1", f"Host: {self.host}", f"Yokespoke-Request-Id: {name}",
                f"Yokespoke-Deadline-Ms: {self.deadline_ms}", f"Content-Length: {len(body)}"]
        sent = self.record.now()
        self.record.write(f"request {name} is sent to {gateway.name}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        status, wait = None, 0.0
        try:
            answer = self.answer(reader, writer)
            status, wait = await asyncio.wait_for(answer, self.deadline_ms / 1000)
            outcome = f"gets {status}"
        except asyncio.TimeoutError:
            outcome = "gives up at its deadline"
        except (asyncio.IncompleteReadError, ConnectionError):
            status, outcome = 0, "has its connection closed with no whole answer"
        finally:
            writer.close()
        ended = self.record.now()
        self.record.write(f"request {name} {outcome}")
        self.results.append((name, gateway, sent, ended, status))
        return wait

    @staticmethod
    async def answer(reader, writer):
        await writer.drain()
        line, headers = await read_head(reader)
        await read_body(reader, headers)
        return int(line.split(" ")[1]), float(headers.get("retry-after", "0"))


def end(processes):
    """Ends the processes that a script started."""
    for process in processes:
        if process and process.poll() is None:
            process.send_signal(signal.SIGKILL)
    for process in processes:
        if process:
            process.wait()


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"
