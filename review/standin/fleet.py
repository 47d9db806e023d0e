"""Stand-ins for a small deployment on loopback: the programs as processes, and minions, platform,
operator and clients that speak the users' pages. Uses the standard library only."""
import asyncio
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
import traceback

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "ConnectivityWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4,
          "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000,
          "RollbackSlackMs": 250, "MaxStretchMs": 5000, "RecoveryS": 12, "HoldMaxMs": 10000,
          "StopMs": 900, "GangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
          "finish_s": 14, "status_s": 120, "CrossRackFactor": 3, "SaveS": 2, "RestoreMs": 250,
          "NoticeMs": 4500, "MoveS": 1.5, "MaintenanceS": 2, "EnforceFencing": False,
          "LeaseMs": 3000, "ThawSlackMs": 300, "PaceMs": 100, "HarmMs": 4000}
STARTED = time.monotonic()


def now_ms():
    return int((time.monotonic() - STARTED) * 1000)


class Record:
    """What was sent, answered and run; one line each."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now_ms():7d} {what} {text}\n")
        self.file.flush()


# HTTP ------------------------------------------------------------------------------------------

async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line.decode().strip(), headers, body


class Server:
    """HTTP/1.1 server with kept connections. `handle` returns (status, object or None)."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.connections, self.server = set(), None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                await self.write(writer, *await self.handle(method, target, message[1], message[2]))
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def write(self, writer, status, value):
        body = b"" if value is None else json.dumps(value).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    def crash(self):
        """As the death of the process: the port closes and all connections are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            if sock:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                except OSError:
                    pass
            writer.transport.abort()
        self.connections.clear()


async def call(address, method, target, body=None, headers=None, timeout=1.0):
    """Returns (status, object or None); status 0 if there was no answer."""
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in {"Host": address, "Content-Type": "application/json",
                                               "Connection": "close", "Content-Length": len(data),
                                               **(headers or {})}.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            message = await read_message(reader)
            if message is None:
                return 0, None
            try:
                value = json.loads(message[2]) if message[2] else None
            except ValueError:
                value = None
            return int(message[0].split(" ")[1]), value
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, None


class Proxy:
    """Relays connections to `target`. While cut, the bytes of open connections are held back in both
    directions, and the opening packets of new ones are dropped: the queue of connections that wait to
    be accepted is kept full."""

    def __init__(self, ip, port, target):
        self.ip, self.port, self.target = ip, port, target
        self.open = asyncio.Event()
        self.open.set()
        self.fillers, self.tasks = [], set()

    async def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind((self.ip, self.port))
        self.socket.listen(8)
        asyncio.get_running_loop().add_reader(self.socket, self.accept)

    def cut(self):
        self.open.clear()
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.ip, self.port))
            self.fillers.append(filler)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.socket.listen(8)
        asyncio.get_running_loop().add_reader(self.socket, self.accept)
        self.open.set()

    def accept(self):
        try:
            connection, _ = self.socket.accept()
        except OSError:
            return
        task = asyncio.get_running_loop().create_task(self.relay(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def relay(self, connection):
        try:
            reader, writer = await asyncio.open_connection(sock=connection)
        except OSError:
            connection.close()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    await self.open.wait()
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            await self.open.wait()
            writer.transport.abort()
            up_writer.transport.abort()
        await asyncio.gather(pump(reader, up_writer), pump(up_reader, writer), return_exceptions=True)


# Minions ---------------------------------------------------------------------------------------

class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task, self.number, self.spec, self.checkpoint = task, number, spec, checkpoint
        self.worked = 0
        if checkpoint:
            self.worked = int(checkpoint[:8], 16)
        self.saved = checkpoint
        self.started = now_ms()
        self.stopping_at = None

    def percent(self):
        if self.spec.get("lasts"):
            return 100 if self.worked >= 300 else self.worked // 3
        return min(100, 100 * self.worked // max(1, self.spec.get("ms", 500)))


class World:
    """All minions; what runs where."""

    def __init__(self, record):
        self.record, self.minions = record, {}
        self.starts = []        # (ms, task, run, minion life, checkpoint)
        self.ends = []          # (ms, task, run, minion life, how)
        self.double = []        # (ms, task, [(life, run)...]): two runs of a task at once

    def running(self, task):
        return [(m.life, r.number) for m in self.minions.values() if m.up
                for r in m.runs.values() if r.task == task]

    def members(self, run):
        """Runs of the same gang and number, on any minion."""
        step = run.task.rsplit(".", 1)[0]
        return [(m, r) for m in self.minions.values() if m.up for r in m.runs.values()
                if r.task.rsplit(".", 1)[0] == step and r.number == run.number]


class Minion:
    """One machine's minion. The spec of a job is JSON: ms (work of a task), lasts (true: until it is stopped), fail (true: fails at
    the end), gang (tasks in the gang), save (ms of work between checkpoints)."""

    def __init__(self, world, fleet, ident, service, ip, cpu=16000, announce=None):
        self.world, self.fleet, self.id, self.service, self.ip = world, fleet, ident, service, ip
        self.cpu, self.announce = cpu, announce
        self.lives, self.up, self.tasks = 0, False, []
        self.state, self.beats_on = "ready", True
        world.minions[ident] = self

    @property
    def life(self):
        return f"{self.id}/{self.lives}"

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    async def start(self):
        self.lives += 1
        self.born, self.born_at = int(time.time() * 1000), time.monotonic()
        self.runs, self.ended, self.next_end, self.highest = {}, [], 1, {}
        self.fence, self.lease, self.sequence, self.state = 0, 0, 0, "ready"
        self.changed = asyncio.Event()
        self.server = Server(self.ip, self.fleet.minion_port, self.handle)
        await self.server.start()
        self.up = True
        self.world.record("minion-up", life=self.life, born=self.born)
        self.tasks = [asyncio.create_task(self.work()), asyncio.create_task(self.beat())]

    def crash(self):
        self.world.record("minion-crash", life=self.life, runs=len(self.runs))
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.crash()
        gone, self.runs = list(self.runs.values()), {}
        for run in gone:
            if run.spec.get("gang"):
                for minion, other in self.world.members(run):
                    minion.end(other, "broken")

    async def leave(self, first_node, drain_s=2.2):
        """A planned end: drains, sends DELETE (to `first_node` first) until it is acknowledged, ends."""
        self.state = "draining"
        self.world.record("minion-drains", life=self.life)
        await self.send_beat(first_node + 1)
        await asyncio.sleep(drain_s)
        node, acknowledged = first_node, False
        for _ in range(4):
            status, _ = await call(self.fleet.control(node), "DELETE",
                                   f"/clementineroad/instances/{self.id}", timeout=1.0)
            self.world.record("delete", life=self.life, node=self.fleet.cores[node % len(self.fleet.cores)],
                              status=status)
            if 200 <= status < 300:
                acknowledged = True
                break
            node += 1
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.crash()
        self.runs = {}
        self.world.record("minion-ended", life=self.life, acknowledged=acknowledged)

    async def send_beat(self, node):
        self.sequence += 1
        body = {"Service": self.service, "Address": self.announce or f"{self.ip}:{self.fleet.minion_port}",
                "Zone": "z", "Version": "v1", "Slots": 8, "State": self.state,
                "ColdRemainingMs": 0, "Capacity": {"Cpu": self.cpu, "MemMb": 65536, "Gpu": 0},
                "Labels": ["a", "r1-1"], "ClockMs": self.clock(), "Sequence": self.sequence,
                "born": self.born}
        if self.state == "draining":
            body["DrainRemainingMs"] = 2000
        for _ in range(3):
            status, _ = await call(self.fleet.control(node), "PUT",
                                   f"/clementineroad/instances/{self.id}", body)
            if 200 <= status < 300:
                self.acknowledged_at = now_ms()
                break
            node += 1
            await asyncio.sleep(0.1)
        return node

    async def beat(self):
        node = random.randrange(100)
        while True:
            if self.beats_on:
                node = await self.send_beat(node)
            await asyncio.sleep(1.5 + random.uniform(-.1, .1))

    def end(self, run, how):
        self.runs.pop((run.task, run.number), None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        saved = run.saved if how != "done" else ""
        self.ended.append([self.next_end, run.task, run.number, how, saved])
        self.next_end += 1
        self.world.ends.append((now_ms(), run.task, run.number, self.life, how))
        self.world.record("end", life=self.life, task=run.task, run=run.number, how=how, saved=saved or "-")
        self.changed.set()
        self.changed = asyncio.Event()
        if run.spec.get("gang") and how not in ("done", "broken"):
            for minion, other in self.world.members(run):
                minion.end(other, "broken")

    def save(self, run):
        run.saved = f"{run.worked:08x}{random.getrandbits(32):08x}"

    async def work(self):
        last = self.clock()
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            passed, last = now - last, now
            for run in list(self.runs.values()):
                if (run.task, run.number) not in self.runs:
                    continue
                if now >= self.lease:
                    self.end(run, "lapsed")
                    continue
                if run.stopping_at is not None:
                    if now >= run.stopping_at:
                        self.save(run)
                        self.end(run, "stopped")
                    continue
                gang = run.spec.get("gang", 0)
                if gang:
                    if len(self.world.members(run)) < gang and not getattr(run, "together", False):
                        if now_ms() - run.started > BOUNDS["GangMs"]:
                            self.end(run, "alone")
                        continue
                    run.together = True
                before = run.worked
                run.worked += passed
                save = run.spec.get("save", 0)
                if save and run.worked // save > before // save:
                    self.save(run)
                if not run.spec.get("lasts") and run.worked >= run.spec.get("ms", 500):
                    how = "failed" if run.spec.get("fail") else "done"
                    if gang and how == "done":
                        for minion, other in self.world.members(run):
                            minion.end(other, "done")
                    else:
                        self.end(run, how)

    async def handle(self, method, target, headers, body):
        def answer(status, **fields):
            return status, {"ClockMs": self.clock(), "born": self.born, **fields}
        if headers.get("target-instance") != self.id:
            return 421, {"ClockMs": self.clock(), "born": self.born}
        value = json.loads(body) if body else {}
        fence = value.get("Fence", 0)
        if fence < self.fence:
            return answer(409, Reason="fence")
        self.fence = fence

        def extend():
            if "UntilMs" in value:
                self.lease = max(self.lease, min(value["UntilMs"], self.clock() + BOUNDS["HoldMaxMs"]))
        if target == "/clementineroad/run-start":
            task, number = value["Task"], value["Run"]
            if (task, number) in self.runs:
                extend()
                return answer(200)
            if number <= self.highest.get(task, 0):
                extend()
                return answer(409, Reason="old")
            if value["UntilMs"] <= self.clock():
                return answer(409, Reason="late")
            extend()
            try:
                spec = json.loads(value["Spec"])
            except ValueError:
                spec = None
            run = Run(task, number, spec if isinstance(spec, dict) else {}, value.get("Checkpoint", ""))
            self.runs[(task, number)] = run
            self.world.starts.append((now_ms(), task, number, self.life, run.checkpoint))
            self.world.record("start", life=self.life, task=task, run=number, fence=fence,
                              checkpoint=run.checkpoint or "-")
            others = [x for x in self.world.running(task) if x != (self.life, number)]
            if others:
                self.world.double.append((now_ms(), task, others + [(self.life, number)]))
                self.world.record("TWO-RUNS", task=task, at=others + [(self.life, number)])
            return answer(200)
        if target == "/clementineroad/run-stop":
            task, number = value["Task"], value["Run"]
            self.world.record("stop-order", life=self.life, task=task, run=number)
            run = self.runs.get((task, number))
            if run and run.stopping_at is None:
                run.stopping_at = self.clock() + 100
            elif not run:
                self.highest[task] = max(self.highest.get(task, 0), number)
            return answer(200)
        if target == "/clementineroad/pace":
            return answer(200)
        if target == "/clementineroad/hold":
            extend()
            self.ended = [e for e in self.ended if e[0] > value.get("LastSeen", 0)]
            if not self.ended and value.get("WaitMs", 0) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(value["WaitMs"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [[r.task, r.number, r.saved, r.percent(), 0] for r in self.runs.values()]
            return answer(200, Running=running, Ended=self.ended[:500])
        return answer(400)


# The system ------------------------------------------------------------------------------------

def free_port(ip, taken):
    while True:
        with socket.socket() as s:
            s.bind((ip, 0))
            port = s.getsockname()[1]
        if port not in taken and port < 60000:
            taken.add(port)
            return port


class Fleet:
    """The programs as processes, and the platform's list of machines."""

    def __init__(self, record, controls=3, entries=1):
        self.record = record
        self.data = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        self.processes = {}
        taken = set()
        base = self.net + ".1"
        self.front, self.ready, self.control_port, self.minion_port, self.cloud_port = (
            free_port(base, taken) for _ in range(5))
        self.internal = random.randrange(20000, 30000)
        self.cores = [f"core-{i}" for i in range(controls)]
        self.edges = [f"edge-{i}" for i in range(entries)]
        self.bootstrap = True
        self.world = World(record)
        self.version = 0
        self.service, self.host, self.prefix = "svc-a", "a.example", "/q/"

    def ip(self, node):
        kind, index = node.split("-")
        return f"{self.net}.{(10 if kind == 'core' else 60) + int(index)}"

    def minion_ip(self, index):
        return f"{self.net}.{100 + index}"

    def control(self, i):
        return f"{self.ip(self.cores[i % len(self.cores)])}:{self.control_port}"

    def entry(self, i=0):
        return f"{self.ip(self.edges[i % len(self.edges)])}:{self.front}"

    def start(self, node):
        ip, core = self.ip(node), node.startswith("core")
        folder = os.path.join(self.data, node)
        os.makedirs(folder, exist_ok=True)
        settings = {
            "Node": node, "Role": "controld" if core else "entryd", "MachineClass": "core" if core else "edge",
            "Serves": ["control_plane"] if core else ["edge"], "Ip": ip, "Zone": "z", "Region": "r",
            "Zones": {"z": "r"}, "InternalPortRange": [self.internal, self.internal + 15],
            "ListenAddrs": {"Control": f"{ip}:{self.control_port}"} if core else
            {"Front": f"{ip}:{self.front}", "Ready": f"{ip}:{self.ready}"},
            "Seeds": [self.control(i) for i in range(min(3, len(self.cores)))],
            "Bootstrap": self.bootstrap, "CountsAsLoss": core,
            "Limits": {"CpuShare": 0.35, "Cores": 1, "MemoryMb": 256, "MaxFds": 4096, "LinkMbps": 200.0,
                       "DiskMb": 128 if core else 0},
            "DataDir": folder if core else None, "Discovery": "registry", "Entry": "vip",
            "HeartbeatMs": 1500,
            "Contracts": ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS,
            "config_mode": "highest", "Orders": "push", "Advice": None,
            "CloudApi": {"Address": f"{self.net}.1:{self.cloud_port}", "RatePerS": 64.0, "Duties": [],
                         "DutyPerS": 64.0}}
        path = os.path.join(self.data, node + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        program = os.path.join("target", "bin", "platform-controld" if core else "platform-entryd")
        log = open(os.path.join(self.data, node + ".log"), "a")
        self.processes[node] = subprocess.Popen(
            [program], cwd=REPOSITORY, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"CLEMENTINEROAD_CONFIG": path, "PATH": os.environ.get("PATH", ""),
                 "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8"})
        self.record("process-start", node=node, pid=self.processes[node].pid)

    def signal(self, node, number):
        self.record("signal", node=node, signal=signal.Signals(number).name)
        self.processes[node].send_signal(number)

    def dead(self):
        """Processes that ended by themselves."""
        return {n: p.returncode for n, p in self.processes.items() if p.poll() is not None}

    async def start_all(self):
        self.cloud = Server(f"{self.net}.1", self.cloud_port, self.handle_cloud)
        await self.cloud.start()
        for node in self.cores + self.edges:
            self.start(node)
        await asyncio.sleep(0.5)

    async def handle_cloud(self, method, target, headers, body):
        if target.startswith("/clementineroad/machines"):
            return 200, {"Machines": [
                {"Machine": "m-" + m.id, "Pool": m.service, "State": "up" if m.up else "down", "Zone": "z",
                 "Labels": ["a", "r1-1"], "Capacity": {"Cpu": m.cpu, "MemMb": 65536, "Gpu": 0},
                 **({"Id": m.id} if m.up else {})} for m in self.world.minions.values()], "NextToken": ""}
        return 409, {"Reason": "busy"}

    async def configure(self, routes=None, timeout=20, **route):
        """The operator's first configuration, sent again until it is acknowledged."""
        self.version += 1
        self.routes = routes or [{"Name": "r-1", "Host": self.host, "PathPrefix": self.prefix,
                                  "Type": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 600000,
                                  "Priority": 0, "Service": self.service, "Attempts": 3, "Stretch": 50.0, **route}]
        body = {"Version": self.version, "Routes": self.routes,
                "Services": [{"Name": self.service, "HealthPath": "/health", "MaxConnections": 64,
                              "Protocol": "h1", "Tls": False, "RejectsOverload": False, "Standby": False}],
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                           "IdleTimeoutMs": 15000}}
        end = time.monotonic() + timeout
        node = 0
        while time.monotonic() < end:
            status, _ = await call(self.control(node), "PUT", "/clementineroad/config", body)
            self.record("config", version=self.version, status=status)
            if status == 200:
                return True
            node += 1
            await asyncio.sleep(0.3)
        return False

    async def request(self, method, job="", body=None, entry=0, timeout=3.0):
        status, value = await call(self.entry(entry), method, self.prefix + job, body,
                                   {"Host": self.host, "Request-Deadline": "3000"}, timeout)
        self.record("client", method=method, job=job or "-", status=status, value=json.dumps(value))
        return status, value

    async def submit(self, steps, spec, job=None, tries=10):
        """Hands a job in, again until it is accepted. Returns its id, or None."""
        job = job or f"{random.getrandbits(64):016x}"
        body = {"Spec": json.dumps(spec), "Steps": steps}
        for i in range(tries):
            status, _ = await self.request("POST", job, body, entry=i)
            if status in (200, 201, 202):
                return job
            await asyncio.sleep(1.0)
        return None

    async def state(self, job):
        status, value = await self.request("GET", job)
        return value.get("State") if status == 200 and value else None

    async def wait_state(self, job, states, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            state = await self.state(job)
            if state in states:
                return state
            await asyncio.sleep(0.3)
        return None

    async def leader(self):
        for node in self.cores:
            if self.processes[node].poll() is not None:
                continue
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip(node), self.internal + 1), 1)
                writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                text = (await asyncio.wait_for(reader.read(-1), 2)).decode()
                writer.close()
                if "clementine_replica_leader{} 1" in text:
                    return node
            except (OSError, asyncio.TimeoutError):
                pass
        return None

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for minion in self.world.minions.values():
            if minion.up:
                minion.crash()
        if os.environ.get("KEEP"):
            print("data kept in", self.data, file=sys.stderr)
        else:
            shutil.rmtree(self.data, ignore_errors=True)


def main(case, folder):
    """Runs `case(record, trouble)`: returns 1 (rule broken), 0 (held) or 2 (could not run)."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # The case ends its processes when it is cancelled.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, trouble), 110)

    code = 2
    try:
        code = asyncio.run(run())
    except (asyncio.TimeoutError, asyncio.CancelledError):
        record("timeout")
    except Exception as error:  # the case could not run
        traceback.print_exc()
        record("error", error=repr(error))
    record("result", code=code)
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.exit(code)
