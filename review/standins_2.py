"""Stand-ins of the second review: the platform's store, instances and clients, and the gateways under test.

Everything runs on loopback addresses and the real clock. The gateways are the project's own processes, started with
the command of the deploy file and with settings laid out as its template lays them out. Needs Python 3.9 or later and
nothing else.
"""

import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target", "release", "yokespoked")

# The bounds of the small deployment taf-galw.
BOUNDS = {
    "contact": "4000ms", "drain": "2500ms", "grace": "6s", "lookup_cache": "5s", "retry_window": "10s",
    "retry_ratio": "0.2", "retry_slack": "60", "greatest_shift": "0.15", "cold_overage": "1.5", "cold_slack": "5",
}
CONTACT, DRAIN, CONFIG_APPLY = 4.0, 2.5, 2.5

# The store of that deployment: 4 ms an answer, 20 s of history, values of 1,048,576 bytes at most.
ANSWER_S, HISTORY_S, VALUE_BYTES = 0.004, 20.0, 1_048_576

START = time.monotonic()

# Every deployment that was started, so that its processes are ended whatever happens.
STARTED = []


def now():
    return time.monotonic() - START


class Head:
    """First line and headers of a message."""

    def __init__(self, raw):
        lines = raw.decode("latin1").split("\r\n")
        self.first = lines[0]
        self.fields = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                self.fields.setdefault(name.strip().lower(), value.strip())

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    return Head(await reader.readuntil(b"\r\n\r\n"))


async def read_body(reader, head):
    if "chunked" in (head.get("transfer-encoding") or "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while await reader.readline() not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(head.get("content-length") or 0))


CLOSED = (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError)


class Store:
    """The platform's metadata store, as PROTOCOL.md tells it."""

    def __init__(self):
        self.revision, self.lease = 1, 100
        self.items, self.leases = {}, {}
        self.events = collections.deque()  # time, revision, key, JSON text
        self.known_after = 0
        self.changed = asyncio.Event()
        self.slow = 1.0
        self.is_down = False
        self.servers, self.writers = [], set()

    async def listen(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def _note(self, key, text):
        self.events.append((time.monotonic(), self.revision, key, text))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, key, value, lease):
        assert len(value) <= VALUE_BYTES and len(key) <= 200
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "made": made,
                "lease": lease}
        item["text"] = json.dumps(item)
        self.items[key] = item
        self._note(key, item["text"])

    def _remove(self, key):
        if self.items.pop(key, None):
            self._note(key, json.dumps({"key": key, "revision": self.revision, "gone": True}))

    def write(self, key, value):
        """A write of the operator or of an instance; the store holds it when this returns."""
        self.revision += 1
        self._put(key, value if isinstance(value, bytes) else json.dumps(value).encode(), 0)
        self._wake()

    def remove(self, key):
        self.revision += 1
        self._remove(key)
        self._wake()

    def _age(self):
        time_now = time.monotonic()
        while self.events and self.events[0][0] < time_now - HISTORY_S:
            self.known_after = self.events.popleft()[1]
        for lease in [number for number, (end, _) in self.leases.items() if end < time_now]:
            self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def go_down(self):
        """Every connection is reset, and every call until `come_back` too (`platform_down` with `reset`)."""
        self.is_down = True
        for writer in self.writers:
            writer.transport.abort()

    def come_back(self, leases_ran_out):
        """Ends the outage; `leases_ran_out` says whether leases ran out meanwhile (`lapse`) or waited."""
        self.is_down = False
        if leases_ran_out:
            for lease in list(self.leases):
                self._end(lease)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if self.is_down:
                    writer.transport.abort()
                    return
                method, target, _ = head.first.split(" ")
                url = urllib.parse.urlparse(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                status, text = await self._answer(url.path, query, body)
                # The answer says what held when the call was read, and takes its time from there.
                await asyncio.sleep(ANSWER_S * self.slow)
                data = text.encode()
                writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)))
                for start in range(0, len(data), 1 << 18):
                    writer.write(data[start:start + (1 << 18)])
                    await writer.drain()
        except CLOSED:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path, query, body):
        self._age()
        call = path.removeprefix("/yokespoke/") if hasattr(path, "removeprefix") else path[len("/yokespoke/"):]
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (200, self._with_at(item["text"])) if item else (404, json.dumps({"at": self.revision}))
        if call == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["path_prefix"]) and k > query.get("after", ""))
            texts, size = [], 0
            for key in keys:
                if len(texts) >= 500 or size >= 1_000_000:
                    break
                texts.append(self.items[key]["text"])
                size += len(self.items[key]["value"])
            more = "true" if len(texts) < len(keys) else "false"
            return 200, '{"items":[%s],"more":%s,"at":%d}' % (",".join(texts), more, self.revision)
        if call == "kv-watch":
            return await self._watch(query["path_prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if call == "kv-txn":
            return self._transact(json.loads(body))
        if call == "kv-lease":
            ttl = json.loads(body)["ttl_time"]
            ttl = float(ttl[:-2]) / 1000 if ttl.endswith("ms") else float(ttl[:-1])
            ttl = max(ttl, 1.0)
            self.lease += 1
            self.leases[self.lease] = (time.monotonic() + ttl, ttl)
            return 200, json.dumps({"lease": self.lease, "ttl_time": "%dms" % (ttl * 1000)})
        number = int(call.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, "{}"
        if call.startswith("kv-keep/"):
            ttl = self.leases[number][1]
            self.leases[number] = (time.monotonic() + ttl, ttl)
            return 200, json.dumps({"ttl_time": "%dms" % (ttl * 1000)})
        self._end(number)
        return 200, "{}"

    def _with_at(self, text):
        return text[:-1] + ',"at":%d}' % self.revision

    async def _watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            self._age()
            if after < self.known_after:
                return 410, "{}"
            texts = [text for _, revision, key, text in self.events if revision > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if texts or left <= 0:
                return 200, '{"events":[%s],"at":%d}' % (",".join(texts), self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, write):
        def held(key):
            return self.items[key]["revision"] if key in self.items else 0
        expected = write.get("expected_rev") or []
        if any(held(row["key"]) != row["revision"] for row in expected):
            items = [self.items[row["key"]]["text"] for row in expected if row["key"] in self.items]
            return 412, '{"items":[%s]}' % ",".join(items)
        puts, removed = write.get("put") or [], write.get("remove") or []
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return 403, "{}"
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, "{}"
        self.revision += 1
        for put in puts:
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease") or 0)
        for key in removed:
            self._remove(key)
        self._wake()
        return 200, json.dumps({"revision": self.revision})


class Instance:
    """An instance of a service, which keeps its entry in the store and records what reaches it."""

    def __init__(self, store, name, service, zone, slots=6, work_s=0.02, queue=18, cold_s=0.0):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.slots, self.work_s, self.queue = slots, work_s, queue
        self.state, self.calls = "ready", 0
        self.running, self.free = 0, asyncio.Semaphore(slots)
        self.cold_until = now() + cold_s
        self.arrived = []  # time, request id, whether it ran

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heart = asyncio.ensure_future(self._heartbeat())
        return self

    def cold_left_ms(self):
        return max(0, int((self.cold_until - now()) * 1000))

    def announce(self):
        if self.store.is_down:
            return
        self.calls += 1
        self.store.write("servers/" + self.name, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left": "%dms" % self.cold_left_ms(),
            "call_seq": self.calls})

    async def _heartbeat(self):
        while True:
            self.announce()
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head.first.split(" ")[1] == "/health":
                    status = 200 if self.state == "ready" else 503
                    cold = self.cold_left_ms()
                    cold = "Yokespoke-Cold-Remaining-Ms: %d\r\n" % cold if cold else ""
                    writer.write(("HTTP/1.1 %d -\r\nYokespoke-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
                                  % (status, self.name, cold)).encode())
                    continue
                body = await read_body(reader, head)
                request = head.get("yokespoke-request-id")
                if head.get("yokespoke-target-instance") not in (None, self.name):
                    self.arrived.append((now(), request, False))
                    writer.write(("HTTP/1.1 421 -\r\nYokespoke-Request-Id: %s\r\nYokespoke-Not-Executed: 1\r\n"
                                  "Yokespoke-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                  % (request, self.name)).encode())
                    continue
                if self.running >= self.slots + self.queue:
                    self.arrived.append((now(), request, False))
                    writer.write(("HTTP/1.1 503 -\r\nYokespoke-Request-Id: %s\r\nYokespoke-Not-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n" % request).encode())
                    continue
                self.arrived.append((now(), request, True))
                self.running += 1
                try:
                    async with self.free:
                        await asyncio.sleep(self.work_s)
                finally:
                    self.running -= 1
                answer = ("%s|%s|%d" % (self.name, request, len(body))).encode()
                # An instance that is leaving puts `Connection: close` in its answers.
                close = "Connection: close\r\n" if self.state == "draining" else ""
                writer.write(("HTTP/1.1 200 OK\r\nYokespoke-Request-Id: %s\r\nYokespoke-Response-Seal: %s.%s\r\n"
                              "%sContent-Length: %d\r\n\r\n"
                              % (request, self.name, request, close, len(answer))).encode() + answer)
                await writer.drain()
                if close:
                    return
        except CLOSED:
            pass
        finally:
            writer.close()


class Gateway:
    """A gateway process."""

    def __init__(self, name, zone, zones, store_port, folder):
        self.name, self.zone, self.zones, self.store_port, self.folder = name, zone, zones, store_port, folder
        self.process = None
        sockets = [socket.socket() for _ in range(4)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        ports = [one.getsockname()[1] for one in sockets]
        for one in sockets:
            one.close()
        self.ports = dict(zip(("callers", "ready", "directory", "peers"), ports))

    def write_settings(self, seeds):
        lines = ["role: gateway", "node: " + self.name, "region: " + self.zones[self.zone], "hall: " + self.zone,
                 "halls:"]
        lines += ["  %s: %s" % pair for pair in self.zones.items()]
        lines += ["listen:"] + ["  %s: 127.0.0.1:%d" % pair for pair in self.ports.items()]
        lines += ["seeds: " + json.dumps(seeds), "store: 127.0.0.1:%d" % self.store_port]
        lines += ["processor:", "  cores: 1", "  share: 0.2", "bounds:"]
        lines += ["  %s: %s" % pair for pair in BOUNDS.items()]
        lines += ["  quota_slack: ", "  expose_share: ", "  expose_slack: "]
        self.settings = os.path.join(self.folder, self.name + ".yaml")
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        self.output = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([GATEWAY, "--settings", self.settings], cwd=ROOT, stdout=self.output,
                                        stderr=subprocess.STDOUT)

    def log(self):
        with open(os.path.join(self.folder, self.name + ".log"), errors="replace") as file:
            return file.read().splitlines()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Gateways, one in each zone, beside a store."""

    def __init__(self):
        self.folder = tempfile.mkdtemp()
        self.store, self.gateways, self.instances = Store(), [], []
        STARTED.append(self)

    async def start(self, zones, config):
        self.store.write("op/config", config)
        for index, zone in enumerate(zones):
            port = await self.store.listen()
            self.gateways.append(Gateway("front-%s-%d" % (zone, index + 1), zone, zones, port, self.folder))
        seeds = ["127.0.0.1:%d" % gateway.ports["peers"] for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            gateway.start()
        end = now() + 20
        for gateway in self.gateways:
            while True:
                try:
                    answer = await exchange(gateway.ports["ready"],
                                            b"GET /yokespoke/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1)
                    if answer[0] == 200:
                        break
                except (asyncio.TimeoutError, *CLOSED):
                    pass
                if now() > end:
                    raise RuntimeError("%s did not become ready" % gateway.name)
                await asyncio.sleep(0.1)

    async def instance(self, *args, **kwargs):
        instance = await Instance(self.store, *args, **kwargs).start()
        self.instances.append(instance)
        return instance

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        shutil.rmtree(self.folder, ignore_errors=True)


async def exchange(port, request, timeout):
    """Sends one request on a connection of its own; returns status, head and body."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        try:
            writer.write(request)
            while True:
                head = await read_head(reader)
                status = int(head.first.split(" ")[1])
                if status >= 200:
                    return status, head, await read_body(reader, head)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


def request(host, path, request_id, deadline_ms, method="GET", body=b""):
    head = ("%s %s HTTP/1.1\r\nHost: %s\r\nYokespoke-Request-Id: %s\r\nYokespoke-Deadline-Ms: %d\r\n"
            % (method, path, host, request_id, deadline_ms))
    if method != "GET":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


def request_id():
    return "%016x" % random.getrandbits(64)


def run(case, time_limit):
    """Runs a case, which returns whether the rule held, and exits as the issue asks."""
    async def limited():
        return await asyncio.wait_for(case(), time_limit)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    asyncio.set_event_loop(loop)
    try:
        held = loop.run_until_complete(limited())
    except (Exception, SystemExit) as error:
        print("could not run: %r" % (error,), file=sys.stderr)
        held = None
    for deployment in STARTED:
        deployment.end()
    sys.stdout.flush()
    if held is None:
        os._exit(2)
    os._exit(0 if held else 1)
