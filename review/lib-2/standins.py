"""Stand-ins of the users' platform for the scripts of the second review.

They follow PROTOCOL.md and DEPLOY.md: the store with its keyed topics, minions under
leases and fencing tokens, clients, and the processes of the entry VMs. Each address is
a loopback address. Only the standard library of Python is used.
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
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The command of the role `entry` in deploy/system.toml.
PROGRAM = [os.path.join(ROOT, "target", "release", "pomelopost"), "--platform"]
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 1000
CONTACT_S = 3.0
# Interval at which waiting calls look whether they can be answered.
POLL_S = 0.003
# Time that a stop takes; the pages allow 50 ms.
STOP_S = 0.045


def now():
    return time.monotonic()


async def wait_until(done, wait_ms):
    """Waits until `done` returns true, for at most `wait_ms`."""
    until = now() + wait_ms / 1000
    while not done() and now() < until:
        await asyncio.sleep(POLL_S)


class Record:
    """What was sent, answered and run, with times since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def time(self):
        return now() - self.start

    def note(self, text):
        self.file.write("%8.3f  %s\n" % (self.time(), text))
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message: its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve_http(ip, handler, port=0, connections=None):
    """Serves HTTP on an address. `handler` gets method, path, headers and body, and
    returns the status and the body. Open connections are added to `connections`."""
    connections = set() if connections is None else connections

    async def connection(reader, writer):
        connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                status, reply = await handler(method, path, headers, body)
                if not isinstance(reply, bytes):
                    reply = json.dumps(reply).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(reply))).encode() + reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    return await asyncio.start_server(connection, ip, port)


class Store:
    """The platform's store: topics with one partition, of which nothing expires during
    a script."""

    def __init__(self):
        self.topics = {}

    async def start(self, ip):
        self.server = await serve_http(ip, self.handle)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    async def put(self, topic, key, value):
        self.records(topic).append((key, value))

    async def handle(self, method, path, headers, body):
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        topic = query.get("topic", "")
        if path == "/api/log-newest":
            return 200, self.newest(topic, query.get("depends-on"))
        if path == "/api/log-read":
            return 200, await self.read(topic, int(query["from"]), int(query.get("wait-ms", "0")))
        if path == "/api/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, {}
            return 200, await self.append(topic, body)
        return 404, {}

    def newest(self, topic, after):
        items = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            items.pop(key, None)
            if value:
                value = base64.b64encode(value).decode()
                items[key] = {"key": key, "value": value, "offset": offset}
        keys = sorted(key for key in items if after is None or key > after)
        page = [items[key] for key in keys[:500]]
        end = len(self.records(topic))
        return {"items": page, "has-more": len(keys) > 500, "end": end}

    async def read(self, topic, start, wait_ms):
        records = self.records(topic)
        await wait_until(lambda: len(records) > start, wait_ms)
        reply = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            reply += struct.pack(">I", len(content)) + content
        return reply

    async def append(self, topic, body):
        offset = len(self.records(topic))
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4 : 4 + size], body[4 + size :]
            key_size = content[0]
            await self.put(topic, content[1 : 1 + key_size].decode(), content[1 + key_size :])
        return {"offset": offset, "end": len(self.records(topic))}


class Minion:
    """A minion that starts what it is told to start, whatever its capacity is. The
    payload of a task is `ms=TIME cpu=THOUSANDTHS`."""

    def __init__(self, site, name, zone, rack, cpu):
        self.site, self.name, self.zone, self.rack, self.cpu = site, name, zone, rack, cpu
        self.started = now() - 1.0
        self.born = int(time.time() * 1000) - 1000
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.ended = []
        self.count = 0
        self.last = {}
        self.sequence = 0

    def clock(self):
        return int((now() - self.started) * 1000)

    async def start(self, ip):
        self.connections = set()
        self.dark = False
        self.server = await serve_http(ip, self.handle, 0, self.connections)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.site.service, "address": self.addr, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 131072, "gpus": 0},
                "labels": ["a", self.rack], "clock-ms": self.clock(),
                "sequence": self.sequence, "born": self.born,
            }
        ).encode()

    def free(self):
        return self.cpu - sum(run["cpu"] for run in self.running.values())

    async def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        self.count += 1
        self.ended.append([self.count, key[0], key[1], how, ""])
        self.last[key[0]] = max(self.last.get(key[0], 0), key[1])
        self.site.ended(self, key, how)

    async def run(self, key, ms):
        """Ends a run when its time is over or the lease has lapsed."""
        until = now() + ms / 1000
        while key in self.running and now() < until:
            await asyncio.sleep(min(0.005, max(0.0, until - now())))
            if self.clock() > self.lease:
                await self.end(key, "lapsed")
        await self.end(key, "done")

    def renew(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))

    def reply(self, **more):
        return dict({"clock-ms": self.clock()}, **more)

    async def handle(self, method, path, headers, body):
        if self.dark:
            while self.dark:
                await asyncio.sleep(0.01)
            raise ConnectionResetError
        if path == "/healthz":
            return 200, b""
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        order = json.loads(body)
        token = order.get("fencing-token", 0)
        if token < self.fence:
            return 409, self.reply(reason="fence")
        self.fence = token
        if path == "/api/run-start":
            return self.start_run(order)
        if path == "/api/run-stop":
            key = (order["task"], order["run"])
            if key in self.running:
                asyncio.get_running_loop().create_task(self.stop_run(key))
            else:
                self.last[key[0]] = max(self.last.get(key[0], 0), key[1])
            return 200, self.reply()
        if path == "/api/hold":
            return 200, await self.hold(order)
        return 404, {}

    async def cut(self, span):
        """Cuts the minion off for a time, in which it runs on and answers nothing."""
        self.site.record.note("%s is cut off" % self.name)
        self.dark = True
        await asyncio.sleep(span)
        ip, port = self.addr.split(":")
        self.drop_connections()
        self.dark = False
        self.server = await serve_http(ip, self.handle, int(port), self.connections)
        self.site.record.note("%s is reached again" % self.name)

    def drop_connections(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def stop_run(self, key):
        await asyncio.sleep(STOP_S)
        await self.end(key, "stopped")

    def start_run(self, order):
        key = (order["task"], order["run"])
        if key in self.running:
            return 200, self.reply()
        if self.clock() > order["deadline-ms"]:
            return 409, self.reply(reason="late")
        self.renew(order["deadline-ms"])
        if order["run"] <= self.last.get(order["task"], 0):
            return 409, self.reply(reason="old")
        work = dict(part.split("=") for part in order["spec"].split())
        self.running[key] = {"cpu": int(work["cpu"])}
        self.site.begun(self, key)
        asyncio.get_running_loop().create_task(self.run(key, int(work["ms"])))
        return 200, self.reply()

    async def hold(self, order):
        if "deadline-ms" in order:
            self.renew(order["deadline-ms"])
        seen = order.get("last-seen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        await wait_until(lambda: self.ended, order.get("wait-ms", 0))
        running = [[task, run, "", 50, 0] for task, run in self.running]
        lists = {"running": running, "finished-runs": self.ended[:500], "born": self.born}
        return self.reply(**lists)

    async def restart(self, pause, dark=False, renamed=False):
        """Ends the minion's process, which loses all that it runs, and starts it again
        at the same address, and under the same id unless it is `renamed`. The connections
        are reset when the process ends or, if it goes `dark`, when it is back."""
        ip, port = self.addr.split(":")
        self.dark = dark
        if not dark:
            self.drop_connections()
        for key in list(self.running):
            self.running.pop(key)
            self.site.ended(self, key, "lost with the minion's process")
        self.site.record.note("%s ends" % self.name)
        self.fence = self.lease = self.count = self.sequence = 0
        self.ended, self.last = [], {}
        await asyncio.sleep(pause)
        if dark:
            self.drop_connections()
            self.dark = False
        if renamed:
            asyncio.get_running_loop().create_task(self.site.expire(self.name))
            self.name = "i-%08x" % random.randrange(1 << 32)
        self.started = now()
        self.born = int(time.time() * 1000)
        self.server = await serve_http(ip, self.handle, int(port), self.connections)
        await self.site.store.put("keyed.servers", self.name, self.entry())
        self.site.record.note("%s starts again" % self.name)


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Vm:
    """An entry VM: a process of the project's program with its settings file."""

    def __init__(self, site, index, zone, ports):
        self.site, self.zone = site, zone
        self.name = "front-%s-%d" % (zone, index + 1)
        self.ip = site.ip(10 + index)
        self.front, self.ready, self.control = ports[:3]
        self.range = ports[3]
        self.process = None

    def settings(self, seeds):
        site = self.site
        lines = [
            "node-name=" + self.name, "role=entry", "machine-class=front",
            "serves=front,control", "ip=" + self.ip, "zone=" + self.zone, "region=region-a",
        ]
        lines += ["zones.%s=region-a" % zone for zone in site.zones]
        lines += [
            "listen.front=%s:%d" % (self.ip, self.front),
            "listen.readiness-address=%s:%d" % (self.ip, self.ready),
            "listen.control=%s:%d" % (self.ip, self.control),
            "port-range=%d,%d" % (self.range, self.range + 15),
            "seeds=" + ",".join(seeds), "bootstrap=true", "in-fault-budget=false",
            "limits.cpu-share=0.25", "limits.cores=1", "limits.memory-mb=260",
            "limits.max-fds=4100", "limits.link-mbps=1000.0", "limits.disk-mb=0",
            "discovery=platform", "entry=vip", "heartbeat-ms=1500",
            "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
            "fault-tolerance.machines=1", "fault-tolerance.zones=1", "fault-tolerance.regions=0",
            "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.drain-ms=2000",
            "bounds.grace-s=6", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2000",
            "bounds.max-hold-ms=%d" % MAX_HOLD_MS, "bounds.stop-timeout-ms=50",
            "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.retransmit-ms=1300",
            "control-mode=request", "platform.address=" + site.store.addr,
            "platform.form=log", "platform.writes-per-s=600", "platform.reads-per-s=2000",
            "platform.parts=12", "platform.record-bytes=262144", "platform.keep_s=300",
        ]
        return "\n".join(lines) + "\n"

    async def start(self):
        path = os.path.join(self.site.folder, self.name + ".conf")
        seeds = ["%s:%d" % (vm.ip, vm.control) for vm in self.site.vms[:3]]
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(seeds))
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["POMELOPOST_NODE_FILE"] = path
        self.process = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.site.record.note("%s starts, process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.site.record.note("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _ = await call(self.ip, self.ready, "GET", "/api/readyz", {}, b"", 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


async def call(ip, port, method, path, headers, body, wait):
    """Makes a request on a connection of its own, which is closed when the answer is
    there or `wait` is over. Returns the status and the body."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), wait)
    try:
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        for name, value in headers.items():
            head += "%s: %s\r\n" % (name, value)
        head += "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(head.encode() + body)
        line, headers, body = await asyncio.wait_for(read_message(reader), wait)
        return int(line.split(" ")[1]), body
    finally:
        writer.close()


class Site:
    """A small deployment: entry VMs and minions in some zones."""

    def __init__(self, record, zones, minions, cpu):
        self.record, self.zones = record, zones
        self.service = "svc" + "%04x" % random.randrange(1 << 16)
        self.net = (random.randrange(16, 240), random.randrange(1, 250))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.vms = []
        self.minions = []
        self.shape = minions, cpu
        self.host, self.prefix = "host%04x.example" % random.randrange(1 << 16), "/queue-a/"
        self.version = 0
        self.on_begin = []
        # Rows of time, minion, task and run.
        self.starts = []
        self.ends = []

    def ip(self, last):
        return "127.%d.%d.%d" % (self.net[0], self.net[1], last)

    def begun(self, minion, key):
        self.starts.append((self.record.time(), minion.name, key[0], key[1]))
        self.record.note("%s starts %s run %d" % (minion.name, key[0], key[1]))

    def ended(self, minion, key, how):
        self.ends.append((self.record.time(), minion.name, key[0], key[1], how))
        self.record.note("%s ends %s run %d: %s" % (minion.name, key[0], key[1], how))

    def routes(self):
        return [
            {
                "name": "r-a", "host": self.host, "path-prefix": self.prefix, "kind": "unsafe",
                "timeout-ms": 1500, "target-latency-ms": 60, "priority": 0,
                "service": self.service, "max-attempts": 4, "slack-factor": 1.6,
            }
        ]

    async def configure(self):
        self.version += 3
        config = {
            "version": self.version, "routes": self.routes(),
            "services": [
                {
                    "name": self.service, "health-path": "/healthz", "max-conns": 64,
                    "protocol": "h1", "tls": False, "enforces-capacity": False, "standby": False,
                }
            ],
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 262144,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
            },
        }
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.note("the operator sends configuration %d" % self.version)

    async def start(self):
        await self.store.start(self.ip(2))
        count, cpu = self.shape
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            name = "i-%08x" % random.randrange(1 << 32)
            minion = Minion(self, name, zone, "r%d-1" % (index % len(self.zones)), cpu)
            await minion.start(self.ip(100 + index))
            self.minions.append(minion)
        await self.configure()
        self.beats = asyncio.get_running_loop().create_task(self.heartbeat())
        await asyncio.sleep(0.1)
        probe = self.ip(10)
        ports = free_ports(probe, 4)
        self.vms = [Vm(self, i, zone, ports) for i, zone in enumerate(self.zones)]
        for vm in self.vms:
            await vm.start()

    async def expire(self, name):
        """Removes the entry of a minion that is gone, after three heartbeat intervals."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.put("keyed.servers", name, b"")
        self.record.note("the entry of %s expires" % name)

    async def heartbeat(self):
        while True:
            for minion in self.minions:
                await self.store.put("keyed.servers", minion.name, minion.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def settle(self):
        """Waits until all VMs are ready, and then until they have been in touch."""
        until = now() + 20
        while not all([await vm.is_ready() for vm in self.vms]):
            if now() > until:
                raise RuntimeError("the VMs do not become ready")
            await asyncio.sleep(0.1)
        self.record.note("all VMs are ready")
        await asyncio.sleep(CONTACT_S + 1)

    async def request(self, vm, method, job, body=b"", deadline_ms=None):
        """Makes a request for a job. Returns the status (0: the connection ended without
        an answer, -1: no answer in time) and the body, with the time of the answer."""
        headers = {"Host": self.host, "Content-Type": "application/json"}
        if deadline_ms:
            headers["X-Request-Deadline"] = deadline_ms
        self.record.note("client sends %s %s to %s" % (method, job, vm.name))
        wait = (deadline_ms or 4000) / 1000
        try:
            status, reply = await call(
                vm.ip, vm.front, method, self.prefix + job, headers, body, wait
            )
        except asyncio.TimeoutError:
            status, reply = -1, b""
        except (OSError, asyncio.IncompleteReadError):
            status, reply = 0, b""
        text = {0: "its connection ended without an answer", -1: "no answer in time"}
        text = text.get(status, "answer %d %s" % (status, reply.decode("latin-1")))
        self.record.note("client of %s %s: %s" % (method, job, text))
        return status, reply, self.record.time()

    async def stop(self):
        for vm in self.vms:
            await vm.end()
        self.beats.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    return "%016x" % random.randrange(1 << 64)


def job_body(phases, ms, cpu):
    """A job whose outcome is only returned to its submission. All tasks take `ms`."""
    rows = [dict({"cpu": cpu, "mem-mb": 64, "estimated-ms": ms}, **phase) for phase in phases]
    job = {"spec": "ms=%d cpu=%d" % (ms, cpu), "phases": rows, "preemptible": True}
    return json.dumps(job).encode()


def main(case, folder):
    """Runs a case, which gets the record and whether there is trouble, and returns
    whether the rule held. Exits as run.sh must."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.note("trouble: %s" % ("yes" if trouble else "no"))
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except Exception as e:  # The case could not run.
        record.note("could not run: %r" % e)
        print("could not run: %r" % e)
        raise SystemExit(2)
    text = "the rule held" if held else "the rule was broken"
    record.note(text)
    print(text)
    raise SystemExit(0 if held else 1)
