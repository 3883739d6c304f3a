"""Stand-ins for the second review: store, target, consumers, routers and the processes themselves.

Python 3, standard library only. All addresses are loopback addresses. The stand-ins follow the
users' pages: PROTOCOL.md (packets, flows, targets, heartbeats, store), DEPLOY.md (settings).
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse
import http.client
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "release", "nutmegkeel")

FIN, ACK, SYN, RST, BOUNCED = 2, 4, 8, 16, 64
HEAD = struct.Struct(">IIIHBB4sH4s4sH")
RESET_WINDOW = 76_800


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


def free_port_block(ip, count):
    """Returns the first of `count` consecutive ports that are free on an address."""
    for _ in range(200):
        first = random.randrange(21_000, 31_000)
        held = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    one = socket.socket(socket.AF_INET, kind)
                    held.append(one)
                    one.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise CannotRun("no free ports")


def free_net():
    """Returns the first two bytes of loopback addresses at which the metrics port is free."""
    for _ in range(100):
        net = f"127.{random.randrange(192, 250)}"
        try:
            for last in (10, 50):
                probe = socket.socket()
                probe.bind((f"{net}.0.{last}", 9464))
                probe.close()
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# --- packets -------------------------------------------------------------------------------------


def pack(src, sport, dst, dport, flags, seq, ack, data=b"", echo=0, total=1):
    return HEAD.pack(seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, len(data), flags, 0,
                     struct.pack(">I", total), dport, socket.inet_aton(dst),
                     socket.inet_aton(src), sport) + data


class Packet:
    def __init__(self, raw):
        (self.seq, self.ack, self.echo, self.len, self.flags, self.pad, total, self.dport, dst,
         src, self.sport) = HEAD.unpack(raw[:32])
        self.sum = struct.unpack(">I", total)[0]
        self.dst, self.src = socket.inet_ntoa(dst), socket.inet_ntoa(src)
        self.data = raw[32:]


# --- the platform's store ------------------------------------------------------------------------


class Store:
    """Items with revisions, leases, watches. A transaction is one change: it has one revision,
    which its answer names and all its items and events carry."""

    def __init__(self, address):
        self.cond = threading.Condition()
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.next_lease = 100, 7000
        # Age of what a read with `stale-ok` shows, in seconds; the states of that time.
        self.stale_s, self.states = 0.0, []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                self.answer(*store.get(url.path, query))

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"{}")
                self.answer(*store.post(self.path, body))

        class Server(ThreadingHTTPServer):
            daemon_threads, request_queue_size = True, 128

            def handle_error(self, *_):
                """A caller that was killed or gave up reads no answer."""

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.cond:
                now = time.monotonic()
                for lease in [one for one, (until, _) in self.leases.items() if until < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.change([], keys)

    def change(self, writes, deletes):
        self.revision += 1
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        for row in writes:
            key = row["key"]
            made = self.items.get(key, {}).get("create-revision", self.revision)
            item = {"key": key, "value": row["value"], "revision": self.revision,
                    "create-revision": made, "lease": row.get("lease", 0)}
            self.items[key] = item
            self.history.append(item)
        self.states.append((time.monotonic(), self.revision, dict(self.items)))
        while len(self.states) > 1 and self.states[1][0] < time.monotonic() - 30:
            self.states.pop(0)
        self.cond.notify_all()
        return self.revision

    def state(self, query):
        """Returns the items and the revision that a read sees."""
        if query.get("stale-ok") == "1" and self.stale_s > 0:
            then = time.monotonic() - self.stale_s
            for at, revision, items in reversed(self.states):
                if at <= then:
                    return items, revision
            return (self.states[0][2], self.states[0][1]) if self.states else ({}, 0)
        return self.items, self.revision

    def operate(self, writes=(), deletes=()):
        """The operator's call: one transaction. Returns its revision; the return is the ack."""
        rows = [{"key": key, "value": base64.b64encode(value.encode()).decode(), "lease": 0}
                for key, value in writes]
        with self.cond:
            return self.change(rows, list(deletes))

    def get(self, path, query):
        with self.cond:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"as-of": self.revision}
                return 200, dict(item, **{"as-of": self.revision})
            if path == "/kv-range":
                after = query.get("after", "")
                items, revision = self.state(query)
                keys = sorted(key for key in items
                              if key.startswith(query["prefix"]) and key > after)
                page = [items[key] for key in keys[:500]]
                return 200, {"items": page, "truncated": len(keys) > 500, "as-of": revision}
            if path == "/kv-watch":
                after, until = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
                while True:
                    events = [one for one in self.history if one["revision"] > after
                              and one["key"].startswith(query["prefix"])]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "as-of": self.revision}
                    self.cond.wait(left)
        return 404, {}

    def post(self, path, body):
        with self.cond:
            if path == "/kv-lease":
                self.next_lease += 1
                ttl = max(1000, min(int(body["ttl-ms"]), 600_000))
                self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": self.next_lease, "ttl-ms": ttl}
            if path.startswith("/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttl-ms": ttl}
            if path == "/kv-txn":
                rows = body.get("expected-rev", [])
                current = {row["key"]: self.items.get(row["key"]) for row in rows}
                if any((current[row["key"]] or {"revision": 0})["revision"] != row["revision"]
                       for row in rows):
                    return 412, {"items": [item for item in current.values() if item]}
                writes = body.get("writes", [])
                if any(row["key"].startswith(("op/", "servers/")) for row in writes):
                    return 403, {}
                if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
                    return 404, {}
                return 200, {"revision": self.change(writes, body.get("deletes", []))}
        return 404, {}


# --- a target ------------------------------------------------------------------------------------


class Target:
    """Holds flows and answers each request with its id. Sends heartbeats to the process beside it.

    Its first number of a flow is random. A packet of a flow that it does not hold is returned with
    BOUNCED set."""

    def __init__(self, world, ip, service, zone, work_s=0.02, beat_s=1.2):
        self.world, self.ip, self.service, self.zone = world, ip, service, zone
        self.work_s, self.beat_s = work_s, beat_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.flows, self.lock = {}, threading.Lock()
        self.acked, self.stopped = False, False
        port = world.ports["app"]
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.udp.bind((ip, port))
        self.tcp = socket.socket()
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind((ip, port))
        self.tcp.listen(64)
        self.outbound = (ip, world.ports["outbound"])
        for work in (self.serve, self.beat, self.health):
            threading.Thread(target=work, daemon=True).start()

    def health(self):
        while True:
            try:
                connection, _ = self.tcp.accept()
            except OSError:
                return
            connection.close()

    def beat(self):
        seq = 0
        while not self.stopped:
            seq += 1
            body = json.dumps({"service": self.service,
                               "address": f"{self.ip}:{self.world.ports['app']}",
                               "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                               "warmup-left-ms": 0, "seq": seq, "born": self.born})
            try:
                call = http.client.HTTPConnection(self.ip, self.world.ports["control"], timeout=1)
                call.request("POST", f"/instances/{self.id}/heartbeat", body,
                             {"Content-Type": "application/json"})
                self.acked = call.getresponse().status // 100 == 2 or self.acked
                call.close()
                pause = self.beat_s
            except OSError:
                pause = 0.3
            time.sleep(pause)

    def send(self, packet, flags, seq, ack, data=b""):
        raw = pack(packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, data)
        self.udp.sendto(raw, self.outbound)

    def serve(self):
        while True:
            raw = self.udp.recv(2048)
            packet = Packet(raw)
            flow = (packet.src, packet.sport, packet.dst, packet.dport)
            with self.lock:
                self.handle(packet, flow, raw)

    def handle(self, packet, flow, raw):
        known = self.flows.get(flow)
        if packet.flags & SYN:
            if known is None:
                known = self.flows[flow] = {"seq": random.getrandbits(32), "open": False,
                                            "next": (packet.seq + 1) & 0xFFFFFFFF, "last": None}
                self.world.took_opening(self, flow)
            self.send(packet, SYN | ACK, known["seq"], known["next"])
            return
        first = known and (known["seq"] + 1) & 0xFFFFFFFF
        if known is None or (not known["open"] and packet.ack != first):
            bounced = bytearray(raw)
            bounced[14] |= BOUNCED
            bounced[15] = 0
            self.udp.sendto(bytes(bounced), self.outbound)
            return
        if not known["open"]:
            known["open"], known["seq"] = True, first
            self.world.flow_opened(self, flow)
        if packet.flags & RST:
            del self.flows[flow]
        elif packet.data:
            self.request(packet, known, flow)
        elif packet.flags & FIN:
            self.send(packet, FIN | ACK, known["seq"], (packet.seq + 1) & 0xFFFFFFFF)
            del self.flows[flow]

    def request(self, packet, known, flow):
        if packet.seq == known["next"]:
            known["next"] = (packet.seq + packet.len) & 0xFFFFFFFF
            answer = self.id.encode()
            known["last"] = (packet.seq, known["seq"], known["next"], answer)
            known["seq"] = (known["seq"] + len(answer)) & 0xFFFFFFFF
            self.world.ran(self, flow, packet.data)
        if known["last"] and packet.seq == known["last"][0]:
            _, seq, ack, answer = known["last"]
            timer = threading.Timer(self.work_s, self.send, (packet, ACK, seq, ack, answer))
            timer.daemon = True
            timer.start()


# --- consumers and routers -----------------------------------------------------------------------


class Routers:
    """Forward each packet to an entry node of the consumers' zone: a hash over the nodes in
    rotation. Two missed readiness checks, two a second, take a node out; one 200 takes it in. If
    fewer than half are in rotation, all of the zone's nodes are used."""

    def __init__(self, world, nodes):
        self.world, self.nodes = world, list(nodes)
        self.misses = {node: 2 for node in nodes}
        self.in_use = list(nodes)
        for index, node in enumerate(nodes):
            threading.Thread(target=self.check, args=(node, index * 0.11), daemon=True).start()

    def check(self, node, phase):
        time.sleep(phase)
        while True:
            began = time.monotonic()
            try:
                call = http.client.HTTPConnection(node, self.world.ports["ready"], timeout=0.45)
                call.request("GET", "/readiness")
                ready = call.getresponse().status == 200
                call.close()
            except OSError:
                ready = False
            self.misses[node] = 0 if ready else self.misses[node] + 1
            self.update()
            time.sleep(max(0.0, 0.5 - (time.monotonic() - began)))

    def update(self):
        rotation = [node for node in self.nodes if self.misses[node] < 2]
        in_use = rotation if 2 * len(rotation) >= len(self.nodes) else list(self.nodes)
        if in_use != self.in_use:
            self.in_use = in_use
            names = ", ".join(self.world.names[node] for node in in_use)
            self.world.record.line(f"routers: {len(rotation)} in rotation, packets go to {names}")

    def node_for(self, flow):
        in_use = self.in_use
        return in_use[hash(flow) % len(in_use)]


class Flow:
    """One flow of a consumer."""

    def __init__(self, consumers, sport, dst, dport):
        self.consumers, self.key = consumers, (consumers.ip, sport, dst, dport)
        self.state, self.seq, self.ack = "new", random.getrandbits(32), 0
        self.event = threading.Event()
        self.answer, self.reset_by, self.via = None, None, None
        self.opened_at = None


class Consumers:
    """A consumer with many flows at one address."""

    def __init__(self, world, ip, routers):
        self.world, self.ip, self.routers = world, ip, routers
        self.flows, self.lock, self.next_port = {}, threading.Lock(), 40_000
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.udp.bind((ip, world.ports["datagram"]))
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while True:
            raw, sender = self.udp.recvfrom(2048)
            packet = Packet(raw)
            flow = self.flows.get((packet.dst, packet.dport, packet.src, packet.sport))
            if flow is not None:
                self.handle(flow, packet, sender[0])

    def handle(self, flow, packet, sender):
        with self.lock:
            if packet.flags & RST:
                ahead = (packet.seq - flow.ack) & 0xFFFFFFFF
                near = min(ahead, (1 << 32) - ahead) <= RESET_WINDOW
                if flow.state == "opening" or (flow.state == "open" and near):
                    flow.state, flow.reset_by = "reset after " + flow.state, sender
                    flow.event.set()
            elif packet.flags & SYN and flow.state == "opening":
                flow.state = "open"
                flow.ack = (packet.seq + 1) & 0xFFFFFFFF
                flow.seq = (flow.seq + 1) & 0xFFFFFFFF
                flow.opened_at = self.world.record.now()
                flow.event.set()
            elif packet.data and packet.seq == flow.ack and flow.state == "open":
                flow.ack = (packet.seq + packet.len) & 0xFFFFFFFF
                flow.answer = packet.data
                flow.event.set()

    def send(self, flow, flags, seq, ack, data=b""):
        src, sport, dst, dport = flow.key
        node = self.routers.node_for(flow.key)
        flow.via = node
        raw = pack(src, sport, dst, dport, flags, seq, ack, data)
        self.udp.sendto(raw, (node, self.world.ports["datagram"]))

    def open(self, dst, dport):
        """Opens a flow: the opening, and copies after 200 ms and 600 ms; ends after 1.4 s."""
        with self.lock:
            self.next_port += 1
            flow = Flow(self, self.next_port, dst, dport)
            self.flows[flow.key] = flow
            flow.state = "opening"
        for copy, wait in ((0, 0.2), (1, 0.4), (2, 0.8)):
            self.send(flow, SYN, flow.seq, copy)
            if flow.event.wait(wait):
                break
        flow.event.clear()
        if flow.state == "opening":
            flow.state = "never opened"
        return flow

    def request(self, flow, limit_s, data):
        """Sends a request on an open flow until it is answered, or the time limit has passed."""
        flow.answer = None
        seq, pause, until = flow.seq, 0.2, time.monotonic() + limit_s
        while time.monotonic() < until and flow.state == "open":
            self.send(flow, ACK, seq, flow.ack, data)
            if flow.event.wait(min(pause, max(0.0, until - time.monotonic()))):
                flow.event.clear()
                if flow.answer is not None:
                    flow.seq = (seq + len(data)) & 0xFFFFFFFF
                    return flow.answer
            pause = min(1.6, pause * 2)
        return None


# --- the processes -------------------------------------------------------------------------------


def stop(*_):
    """Ends the case and its processes when it is told to stop."""
    raise SystemExit(2)


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, zones, bounds, contracts):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, stop)
        if not os.path.exists(BINARY):
            raise CannotRun(f"{BINARY} is missing; build it with the command of the deploy file")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="nutmegkeel-review-")
        self.zones, self.bounds, self.contracts = zones, bounds, contracts
        self.net = free_net()
        self.names, self.processes, self.targets, self.roles = {}, {}, {}, {}
        self.openings, self.runs, self.opened = [], [], {}
        first = free_port_block(self.address(10), 24)
        names = ("datagram", "ready", "control", "outbound", "app", "store")
        self.ports = {name: first + index for index, name in enumerate(names)}
        self.ports["internal"] = first + 8
        self.store = Store((self.address(1), self.ports["store"]))
        self.seeds, self.first_start = [], True

    def address(self, last, third=0):
        return f"{self.net}.{third}.{last}"

    def took_opening(self, target, flow):
        self.openings.append((self.record.now(), target, flow))
        self.record.line(f"{self.names[target.ip]} ({target.zone}) took the opening of "
                         f"{flow[1]} to port {flow[3]}")

    def flow_opened(self, target, flow):
        self.opened[flow] = (self.record.now(), target)

    def ran(self, target, flow, data):
        self.runs.append((self.record.now(), target, flow, data))

    def settings(self, ip, zone, service=None):
        at = lambda name: f"{ip}:{self.ports[name]}"
        side = service is not None
        body = {
            "node": self.names[ip], "role": "agent" if side else "balancer",
            "machine-class": "side" if side else "frontend",
            "serves": ["side"] if side else ["frontend", "control_plane"],
            "ip": ip, "zone": zone, "region": "all", "zones": {one: "all" for one in self.zones},
            "listen": {"datagram-addr": at("datagram"), "ready": at("ready"),
                       "control": at("control")},
            "internal-ports": [self.ports["internal"], self.ports["internal"] + 15],
            "seeds": [f"{seed}:{self.ports['control']}" for seed in self.seeds],
            "bootstrap": self.first_start, "in-fault-budget": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "local", "entry-kind": "announce",
            "heartbeat-ms": 1200, "contracts": self.contracts,
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": self.bounds, "hash-scheme": "mod", "deploy-mode": "agent",
            "platform": {"address": f"{self.address(1)}:{self.ports['store']}",
                         "deploy-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000,
                         "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
        }
        if side:
            body["listen"]["outbound"] = at("outbound")
            body["app"], body["service"] = at("app"), service
        return body

    def start(self, ip, zone, name, service=None):
        """Starts a process with the command of the deploy file."""
        self.names[ip] = name
        self.roles[ip] = (zone, name, service)
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(ip, zone, service), file)
        role = "balancer" if service is None else "agent"
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[ip] = subprocess.Popen(
            [BINARY, "platform", role], stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT, env=dict(os.environ, NUTMEGKEEL_CONFIG=path), cwd=ROOT)
        log.close()
        self.record.line(f"{name} is started")

    def start_target(self, ip, zone, service, **options):
        self.targets[ip] = Target(self, ip, service, zone, **options)

    def terminate(self, ip):
        self.record.line(f"SIGTERM to {self.names[ip]}")
        self.processes[ip].send_signal(signal.SIGTERM)

    def restart_when_ended(self, ip, delay_s):
        """Waits for the end of a process that was told to stop, and starts it again."""
        try:
            self.processes[ip].wait(self.bounds["grace-s"])
        except subprocess.TimeoutExpired:
            self.record.line(f"SIGKILL to {self.names[ip]}")
            self.processes[ip].kill()
            self.processes[ip].wait()
        self.record.line(f"{self.names[ip]} has ended")
        time.sleep(delay_s)
        self.start(ip, *self.roles[ip])

    def wait_until_ready(self, nodes, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(target.acked for target in self.targets.values()) and all(
                    self.is_ready(node) for node in nodes):
                return
            time.sleep(0.1)
        raise CannotRun(f"the processes are not ready; logs in {self.folder}")

    def is_ready(self, node):
        try:
            call = http.client.HTTPConnection(node, self.ports["ready"], timeout=0.5)
            call.request("GET", "/readiness")
            status = call.getresponse().status
            call.close()
            return status == 200
        except OSError:
            return False

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, port, service, kind="safe"):
    return {"name": name, "host": "198.18.0.1", "prefix": f"/{port}/", "type": kind,
            "timeout-ms": 2500, "aim-ms": 250, "priority": 2, "service": service,
            "max-attempts": 2}


def configuration(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "health-path": "/health", "max-conns": 2000,
                      "protocol": "h1", "tls": False, "warmup-s": 2.0, "warmup-per-s": 0.0}
                     for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000}})
