"""A small site on loopback for the cases of this review: a store, minions, VM
processes and clients, as the users' pages describe them. It shares no code with
the project."""

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
import threading
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The deploy file's `run` of the role that carries the traffic.
COMMAND = ["target/release/pomelopost", "--platform"]

RETRANSMIT_S = 1.3
DRAIN_S = 2.0
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_TIMEOUT_S = 0.05
MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        words = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.4f} {what} {words}\n")


# HTTP


async def read_message(reader):
    """Reads the head and the body of a request or a response."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server. A handler that returns `None` never answers."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, backlog=1024)
        self.addr = self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    await reader.read()
                    break
                status, kind, data = answer
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def as_json(status, value):
    return status, "application/json", json.dumps(value).encode()


# The platform's store


class Log:
    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}

    def end(self):
        return self.first + len(self.records)

    def append(self, record):
        offset = self.end()
        self.records.append(record)
        if record:
            size = record[0]
            key = record[1 : 1 + size].decode()
            value = record[1 + size :]
            if value:
                self.newest[key] = (offset, value)
            else:
                self.newest.pop(key, None)


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self):
        self.logs = {}
        self.changed = asyncio.Event()
        # Time of each VM's last read of the register, by the VM's name.
        self.register_reads = {}

    async def open(self, ip, name):
        """Opens an address for one VM, so that its reads can be told apart."""

        async def handle(method, target, headers, body):
            if "keyed.servers" in target:
                self.register_reads[name] = time.monotonic()
            return await self.handle(method, target, headers, body)

        return (await Server(handle).start(ip)).addr

    def log(self, topic):
        return self.logs.setdefault(topic, Log())

    def put(self, topic, key, value):
        data = json.dumps(value).encode() if value is not None else b""
        self.append(topic, bytes([len(key)]) + key.encode() + data)

    def append(self, topic, record):
        self.log(topic).append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        log = self.log(query.get("topic", ""))
        await asyncio.sleep(0.004)
        if path == "/api/log-append":
            offset = log.end()
            if query["topic"] in ("keyed.op", "keyed.servers"):
                return as_json(403, {})
            while body:
                (size,) = struct.unpack(">I", body[:4])
                self.append(query["topic"], body[4 : 4 + size])
                body = body[4 + size :]
            return as_json(200, {"offset": offset, "end": log.end()})
        if path == "/api/log-newest":
            keys = sorted(log.newest)
            after = query.get("depends-on")
            keys = [k for k in keys if after is None or k > after]
            items = [
                {
                    "key": k,
                    "value": base64.b64encode(log.newest[k][1]).decode(),
                    "offset": log.newest[k][0],
                }
                for k in keys[:500]
            ]
            more = len(keys) > 500
            return as_json(200, {"items": items, "has-more": more, "end": log.end()})
        if path == "/api/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
            while log.end() <= start and time.monotonic() < until:
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            data = struct.pack(">QQ", log.end(), log.first)
            for record in log.records[start - log.first :]:
                data += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", data
        return as_json(404, {})


# Minions


class Minion:
    """A minion that doesn't guard its capacity. `spec` is the run time in ms."""

    def __init__(self, site, ident, zone, rack, cores):
        self.site = site
        self.id = ident
        self.zone = zone
        self.rack = rack
        self.cores = cores
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.drain_acked = None
        self.up = True
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.count = 0
        self.ended = asyncio.Event()

    async def start(self, ip):
        self.server = await Server(self.handle).start(ip)
        self.task = asyncio.create_task(self.beat())
        self.watch = asyncio.create_task(self.watch_lease())
        return self

    def publish(self):
        self.sequence += 1
        host, port = self.server.addr
        entry = {
            "service": "engine", "address": f"{host}:{port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
            "sequence": self.sequence, "born": self.born, "labels": ["a", self.rack],
            "capacity": {"cpu": self.cores * 1000, "mem-mb": 131072, "gpus": 0},
        }
        if self.state == "draining":
            entry["remaining-ms"] = 2000
        self.site.store.put("keyed.servers", self.id, entry)

    async def beat(self):
        while self.up:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        """Reports that the minion leaves. It serves on for a while."""
        self.state = "draining"
        self.publish()
        self.drain_acked = self.site.record.now()
        self.site.record.add("draining", minion=self.id)

    def leave(self):
        """Ends the minion; all that runs on it ends."""
        self.up = False
        self.site.store.put("keyed.servers", self.id, None)
        for key in list(self.running):
            self.end(key, "lost")
        self.server.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()
        self.site.record.add("left", minion=self.id)

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    async def watch_lease(self):
        while self.up:
            await asyncio.sleep(0.005)
            if self.running and self.clock() > self.lease:
                for key in list(self.running):
                    self.end(key, "lapsed")

    def extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run["timer"].cancel()
        run["end"] = self.site.record.now()
        run["how"] = how
        task, number = key
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.count += 1
        listed = "failed" if how == "lost" else how
        self.ends.append([self.count, task, number, listed, ""])
        self.ended.set()
        self.ended = asyncio.Event()
        self.site.record.add("end", task=task, run=number, minion=self.id, how=how)

    async def handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return as_json(421, {})
        if method != "POST":
            return as_json(200, {})
        order = json.loads(body)
        fault = self.site.order_fault
        if fault is not None and fault(self, target, order):
            delay = random.uniform(2, 12)
            self.site.record.add("order-late", minion=self.id, path=target,
                                 task=order.get("task"), run=order.get("run"), delay_s=f"{delay:.1f}")
            asyncio.get_running_loop().call_later(delay, self.apply_late, target, order)
            return None
        if target == "/api/hold":
            return await self.hold(order)
        return self.apply(target, order)

    def apply_late(self, target, order):
        if self.up and target != "/api/hold":
            answer = self.apply(target, order)
            self.site.record.add("order-applied", minion=self.id, path=target,
                                 task=order.get("task"), run=order.get("run"), status=answer[0])

    def fenced(self, order):
        token = order.get("fencing-token", 0)
        if token < self.fence:
            return as_json(409, {"clock-ms": self.clock(), "reason": "fence"})
        self.fence = token
        return None

    def apply(self, target, order):
        refused = self.fenced(order)
        if refused:
            return refused
        now = {"clock-ms": self.clock()}
        key = (order["task"], order["run"])
        if target == "/api/run-stop":
            if key in self.running:
                asyncio.get_running_loop().call_later(0.02, self.end, key, "stopped")
            else:
                self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            return as_json(200, now)
        if target != "/api/run-start":
            return as_json(404, now)
        if key in self.running:
            return as_json(200, now)
        if self.clock() > order["deadline-ms"]:
            return as_json(409, dict(now, reason="late"))
        self.extend(order["deadline-ms"])
        if key[1] <= self.highest.get(key[0], 0):
            return as_json(409, dict(now, reason="old"))
        span = float(json.loads(order["spec"])["ms"]) / 1000
        loop = asyncio.get_running_loop()
        run = {
            "task": key[0], "run": key[1], "minion": self, "spec": order["spec"],
            "start": self.site.record.now(), "end": None, "how": None,
            "token": order.get("fencing-token", 0),
            "timer": loop.call_later(span, self.end, key, "done"),
        }
        self.running[key] = run
        self.site.runs.append(run)
        self.site.on_start(run)
        self.site.record.add("start", task=key[0], run=key[1], minion=self.id, zone=self.zone,
                             state=self.state, fence=run["token"])
        return as_json(200, now)

    async def hold(self, order):
        refused = self.fenced(order)
        if refused:
            return refused
        self.extend(order.get("deadline-ms"))
        self.ends = [e for e in self.ends if e[0] > order["last-seen"]]
        until = time.monotonic() + order.get("wait-ms", 0) / 1000
        while not self.ends and time.monotonic() < until and self.up:
            ended = self.ended
            try:
                await asyncio.wait_for(ended.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
            refused = self.fenced(order)
            if refused:
                return refused
        running = [[t, n, "", 100] for t, n in self.running]
        return as_json(200, {
            "clock-ms": self.clock(), "born": self.born, "running": running,
            "finished-runs": self.ends[:500],
        })


# VMs


def free_port(ips, kind=socket.SOCK_STREAM):
    """Returns a port that is free on all these addresses."""
    while True:
        port = random.randrange(20000, 32000)
        try:
            for ip in ips:
                with socket.socket(socket.AF_INET, kind) as s:
                    s.bind((ip, port))
            return port
        except OSError:
            continue


class Vm:
    def __init__(self, site, name, zone, ip, control_ip):
        self.site = site
        self.name = name
        self.zone = zone
        self.ip = ip
        self.control_ip = control_ip
        self.process = None
        self.disturbed = None

    def write_settings(self):
        site = self.site
        lines = {
            "node-name": self.name, "role": "entry", "machine-class": "front",
            "serves": "front,control", "ip": self.ip, "zone": self.zone, "region": "region",
            "listen.front": f"{self.ip}:{site.front_port}",
            "listen.readiness-address": f"{self.ip}:{site.ready_port}",
            "listen.control": f"{self.control_ip}:{site.control_port}",
            "port-range": f"{site.range_port},{site.range_port}",
            "seeds": ",".join(f"{v.control_ip}:{site.control_port}" for v in site.vms[:3]),
            "bootstrap": "true", "limits.cpu-share": "0.25", "limits.cores": "1",
            "limits.memory-mb": "260", "limits.max-fds": "4100", "limits.link-mbps": "1000.0",
            "limits.disk-mb": "0", "discovery": "platform", "entry": "vip",
            "heartbeat-ms": "1500",
            "contracts": "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
            "fault-tolerance.machines": "1", "fault-tolerance.zones": "1",
            "fault-tolerance.regions": "0", "bounds.contact-ms": "3000",
            "bounds.ack-ms": "4000", "bounds.drain-ms": "2000", "bounds.grace-s": "6",
            "bounds.loss-slack-ms": "200", "bounds.config-apply-ms": "2000",
            "bounds.max-hold-ms": str(MAX_HOLD_MS), "bounds.stop-timeout-ms": "50",
            "bounds.cancel_ms": "3000", "bounds.retransmit-ms": "1300",
            "control-mode": "request",
            "platform.address": "%s:%d" % self.store_addr, "platform.form": "log",
            "platform.writes-per-s": "600", "platform.reads-per-s": "2000",
            "platform.parts": "12", "platform.keep_s": "300",
        }
        for zone in site.zones:
            lines[f"zones.{zone}"] = "region"
        self.file = os.path.join(site.folder, f"{self.name}.conf")
        with open(self.file, "w") as f:
            f.writelines(f"{k}={v}\n" for k, v in lines.items())

    def start(self):
        self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["POMELOPOST_NODE_FILE"] = self.file
        self.log = os.path.join(self.site.folder, f"{self.name}.log")
        out = open(self.log, "ab")
        self.process = subprocess.Popen(COMMAND, cwd=REPO, env=env, stdin=subprocess.DEVNULL,
                                        stdout=out, stderr=subprocess.STDOUT)
        out.close()
        self.disturbed = self.site.record.now()
        self.site.record.add("vm-start", vm=self.name)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)
            self.disturbed = self.site.record.now()
            self.site.record.add("vm-signal", vm=self.name, signal=signal.Signals(number).name)

    def log_lines(self):
        with open(self.log, "rb") as f:
            for line in f:
                try:
                    yield json.loads(line)
                except ValueError:
                    pass

    def owns(self):
        """Returns the shards that the log of the running process says it owns."""
        owned = set()
        for line in self.log_lines():
            message, shard = line.get("message"), line.get("shard")
            if message == "started":
                owned = set()
            if message in ("shard taken", "shard accepted"):
                owned.add(shard)
            if message in ("shard handed over", "shard yielded to another VM", "handover request not answered"):
                owned.discard(shard)
        return owned

    def token_bits(self):
        """Returns the part of the VM's fencing tokens that tells it from others."""
        return int.from_bytes(socket.inet_aton(self.control_ip), "big") & ((1 << 22) - 1)

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call((self.ip, self.site.ready_port), "GET", "/api/readyz"), 0.5)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def call(addr, method, path, body=b"", headers=None, breaks=None):
    """Makes one request on a connection of its own, which is reset after `breaks`
    seconds."""
    reader, writer = await asyncio.open_connection(*addr)
    if breaks is not None:
        asyncio.get_running_loop().call_later(breaks, reset, writer)
    try:
        head = f"{method} {path} HTTP/1.1\r\n"
        fields = {"Host": "%s:%d" % addr, "Content-Length": str(len(body))}
        fields.update(headers or {})
        head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(head.encode() + b"\r\n" + body)
        first, got, data = await read_message(reader)
        return int(first.split(" ")[1]), got, data
    finally:
        writer.close()


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Site:
    def __init__(self, folder, record, zones, minions_each, cores=32, relays=False):
        """`zones` maps each zone to its number of VMs."""
        self.folder = folder
        self.record = record
        self.zones = list(zones)
        self.runs = []
        self.order_fault = None
        self.on_start = lambda run: None
        self.minions = []
        self.vms = []
        self.relays = relays
        self.minions_each = minions_each
        self.cores = cores
        net = os.getpid()
        self.prefix = f"127.{1 + (net >> 8) % 60}.{net % 256}"
        host = 10
        for zone, count in zones.items():
            for i in range(count):
                ip = f"{self.prefix}.{host}"
                control = f"{self.prefix}.{host + 100}" if relays else ip
                self.vms.append(Vm(self, f"{zone}-{i + 1}", zone, ip, control))
                host += 1

    async def start(self):
        self.store = Store()
        for vm in self.vms:
            vm.store_addr = await self.store.open(f"{self.prefix}.1", vm.name)
        ips = [v.ip for v in self.vms] + [v.control_ip for v in self.vms]
        self.front_port = free_port(ips)
        self.ready_port = free_port(ips)
        self.control_port = free_port(ips)
        self.range_port = free_port(ips, socket.SOCK_DGRAM)
        for zone in self.zones:
            for i in range(self.minions_each):
                minion = Minion(self, f"m-{zone}-{i}", zone, f"r-{zone}-{i // 8}", self.cores)
                self.minions.append(await minion.start(f"{self.prefix}.2"))
        route = {
            "name": "estimate", "host": "site.example", "path-prefix": "/estimate/",
            "kind": "unsafe", "timeout-ms": 1500, "target-latency-ms": 60, "priority": 0,
            "service": "engine", "max-attempts": 4, "slack-factor": 1.6,
        }
        self.store.put("keyed.op", "config", {
            "version": 3, "routes": [route], "services": [{"name": "engine"}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        })
        if self.relays:
            for vm in self.vms:
                vm.relay = await Relay(self, vm).start()
        for vm in self.vms:
            vm.start()

    def vm(self, name):
        return next(v for v in self.vms if v.name == name)

    async def wait_ready(self, limit=15.0):
        """Waits until all VMs are ready and each zone has an owner."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            ready = [await v.ready() for v in self.vms]
            owned = {s.split("/")[0] for v in self.vms for s in v.owns()}
            if all(ready) and owned >= set(self.zones):
                return True
            await asyncio.sleep(0.2)
        return False

    def owner(self, zone):
        return next((v for v in self.vms if v.running()
                     and any(s.split("/")[0] == zone for s in v.owns())), None)

    async def submit(self, vm, ident, ms, tasks, estimate, deadline, breaks=None, cpu=14000):
        """Submits a job and returns the status, 'deadline' or 'broken'."""
        body = json.dumps({
            "spec": json.dumps({"ms": ms}), "preemptible": True,
            "phases": [{"count": tasks, "cpu": cpu, "mem-mb": 64, "estimated-ms": estimate}],
        }).encode()
        headers = {"Host": "site.example", "Content-Type": "application/json",
                   "X-Request-Deadline": str(deadline)}
        self.record.add("send", job=ident, vm=vm.name, ms=ms, tasks=tasks, deadline_ms=deadline)
        try:
            status, _, data = await asyncio.wait_for(
                call((vm.ip, self.front_port), "POST", f"/estimate/{ident}", body, headers, breaks),
                deadline / 1000)
            answer = f"{status}"
            self.record.add("answer", job=ident, vm=vm.name, status=status,
                            body=data.decode(errors="replace").replace(" ", ""))
        except asyncio.TimeoutError:
            answer = "deadline"
            self.record.add(answer, job=ident, vm=vm.name)
        except (OSError, asyncio.IncompleteReadError):
            answer = "broken"
            self.record.add(answer, job=ident, vm=vm.name)
        return answer

    def starter(self, run):
        """Returns the VM that ordered a run."""
        return next(v for v in self.vms if v.token_bits() == run["token"] & ((1 << 22) - 1))

    def stop(self):
        for vm in self.vms:
            if vm.running():
                vm.process.kill()
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()

    def twice(self):
        """Returns pairs of runs of one task that ran at the same time."""
        pairs = []
        tasks = {}
        for run in self.runs:
            tasks.setdefault(run["task"], []).append(run)
        for runs in tasks.values():
            runs.sort(key=lambda r: r["start"])
            for i, a in enumerate(runs):
                for b in runs[i + 1:]:
                    if a["end"] is None or b["start"] < a["end"]:
                        pairs.append((a, b))
        return pairs


class Relay:
    """Forwards calls and heartbeats of other VMs to a VM.

    While the VM is cut off, what was sent on open connections is held and arrives
    when the cut ends, as TCP sends it again; a close arrives a round trip later.
    Connections opened meanwhile never reach the other end."""

    ROUND_TRIP_S = 0.0028

    def __init__(self, site, vm):
        self.site = site
        self.vm = vm
        self.pipes = []
        self.cut = False
        # Addresses of VMs whose heartbeats are dropped.
        self.deaf_to = set()
        self.healed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(
            self.accept, self.vm.control_ip, self.site.control_port, backlog=1024)
        loop = asyncio.get_running_loop()
        target = (self.vm.ip, self.site.range_port)
        relay = self

        class Forward(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self.out.setblocking(False)

            def datagram_received(self, data, addr):
                if relay.cut or addr[0] in relay.deaf_to:
                    return
                try:
                    self.out.sendto(data, target)
                except OSError:
                    pass

        self.udp, _ = await loop.create_datagram_endpoint(
            Forward, local_addr=(self.vm.control_ip, self.site.range_port))
        return self

    async def accept(self, reader, writer):
        if self.cut:
            await self.healed.wait()
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.vm.ip, self.site.control_port)
        except OSError:
            writer.transport.abort()
            return
        pipe = {"silent": False}
        self.pipes.append(pipe)
        await asyncio.gather(self.pump(reader, far_writer, pipe), self.pump(far_reader, writer, pipe))
        self.pipes.remove(pipe)

    async def pump(self, reader, writer, pipe):
        try:
            while True:
                data = await reader.read(65536)
                if pipe["silent"]:
                    if data:
                        continue
                    # Neither end is told that the other has closed.
                    await asyncio.sleep(3600)
                if self.cut:
                    await self.healed.wait()
                    if not data:
                        await asyncio.sleep(self.ROUND_TRIP_S)
                elif not data and pipe.get("held"):
                    await asyncio.sleep(self.ROUND_TRIP_S)
                if not data:
                    break
                pipe["held"] = not self.cut and self.healed.is_set()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            if pipe["silent"]:
                await asyncio.sleep(3600)
        writer.close()

    def silence(self):
        """Loses track of the open connections; new ones work."""
        for pipe in self.pipes:
            pipe["silent"] = True
        return len(self.pipes)

    def begin_cut(self):
        self.cut = True
        self.healed.clear()
        for vm in self.site.vms:
            if vm is not self.vm:
                vm.relay.deaf_to.add(self.vm.ip)

    def end_cut(self):
        self.cut = False
        for vm in self.site.vms:
            vm.relay.deaf_to.discard(self.vm.ip)
        self.healed.set()


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(case):
    """Runs `case(site_factory, trouble, record)` and exits with its verdict: 1 if
    the rule was broken, 0 if it held, 2 if the case could not run."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(here, "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-")
    sites = []

    def factory(*args, **kwargs):
        site = Site(folder, record, *args, **kwargs)
        sites.append(site)
        return site

    def finish(code):
        """Ends all processes and exits."""
        for site in sites:
            site.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs kept in", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
        record.add("exit", code=code)
        sys.stdout.flush()
        os._exit(code)

    async def run():
        code = 2
        try:
            code = await asyncio.wait_for(case(factory, trouble, record), 110)
        except asyncio.TimeoutError:
            print("the case took too long")
        except Exception as e:
            print("the case could not run:", repr(e))
        finish(code)

    if not os.path.exists(os.path.join(REPO, COMMAND[0])):
        print("target/release/pomelopost is missing: run the build of the deploy file")
        finish(2)
    watchdog = threading.Timer(116, finish, (2,))
    watchdog.daemon = True
    watchdog.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: finish(2))
    asyncio.run(run())
