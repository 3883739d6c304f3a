"""Stand-ins for the platform, as the users' pages describe it, for the cases of the review.

Everything runs on loopback addresses: a store, targets, a client, the routers that choose a
balancer, and the project's own programs as child processes. Python's standard library only.
"""

import base64
import hashlib
import http.client
import http.server
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
import traceback
import urllib.parse
import zlib

SYN, ACK, FIN, RST, BOUNCED = 8, 4, 2, 16, 64
HEAD = 32
HEARTBEAT_MS = 1200
HISTORY_S = 20
VALUE_BYTES = 1048576
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "nutmegkeel")


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with times since the start; goes to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


# ---------------------------------------------------------------- packets


def checksum(data):
    """Sum over everything but echo, pad, BOUNCED and the sum itself."""
    head = bytearray(data[:HEAD])
    head[8:12] = bytes(4)
    head[14] &= ~BOUNCED
    head[15] = 0
    head[16:20] = bytes(4)
    return zlib.crc32(b"key of the consumers and targets" + bytes(head) + data[HEAD:]) or 1


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq % 2**32, ack % 2**32, data
        self.echo, self.sum = 0, None

    def encode(self):
        head = struct.pack(
            ">IIIHBBIH4s4sH", self.seq, self.ack, self.echo, len(self.data), self.flags, 0, 0,
            self.dport, socket.inet_aton(self.dst), socket.inet_aton(self.src), self.sport)
        whole = head + self.data
        return whole[:16] + struct.pack(">I", checksum(whole)) + whole[20:]

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD:
            return None
        seq, ack, echo, length, flags, _, total, dport, dst, src, sport = struct.unpack(
            ">IIIHBBIH4s4sH", raw[:HEAD])
        if len(raw) != HEAD + length:
            return None
        one = Packet(socket.inet_ntoa(src), sport, socket.inet_ntoa(dst), dport, flags, seq, ack,
                     raw[HEAD:])
        one.echo, one.sum = echo, total
        one.is_own = total == checksum(raw)
        return one

    def names(self):
        parts = [(SYN, "SYN"), (ACK, "ACK"), (FIN, "FIN"), (RST, "RST"), (BOUNCED, "BOUNCED")]
        return "+".join(name for bit, name in parts if self.flags & bit) or "-"


# ---------------------------------------------------------------- store


class Store:
    """The platform's store: items with revisions, leases and watches; loses nothing."""

    def __init__(self, address):
        self.items, self.leases, self.events = {}, {}, []
        self.revision, self.last_lease, self.compacted = 100, 0, 0
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def reply(self, status, body):
                data = body if isinstance(body, bytes) else json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                self.reply(*store.read(url.path, query))  # bodies of watches come encoded

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                self.reply(*store.write(self.path, json.loads(body or b"{}")))

            def do_DELETE(self):
                with store.changed:
                    store.end_lease(int(self.path.rsplit("/", 1)[1]))
                self.reply(200, {})

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                """A process that was killed has reset its connection."""

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value, lease=0):
        """Writes a key; the caller holds the lock or is the operator."""
        with self.changed:
            self.revision += 1
            old = self.items.get(key)
            self.items[key] = {
                "key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "create-revision": old["create-revision"] if old else self.revision,
                "lease": lease}
            self.events.append((self.revision, key, json.dumps(self.items[key]).encode(),
                                time.monotonic()))
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.events.append((self.revision, key, json.dumps(event).encode(),
                                    time.monotonic()))
                self.changed.notify_all()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def expire(self):
        now = time.monotonic()
        for lease in [one for one, (until, _) in self.leases.items() if until < now]:
            self.end_lease(lease)

    def read(self, path, query):
        with self.changed:
            self.expire()
            if path == "/kv-key":
                item = self.items.get(query.get("key", ""))
                return (200, item) if item else (404, {})
            prefix = query.get("prefix", "")
            if path == "/kv-range":
                keys = sorted(k for k in self.items
                              if k.startswith(prefix) and k > query.get("after", ""))
                return 200, {"items": [self.items[k] for k in keys[:500]],
                             "truncated": len(keys) > 500, "as-of": self.revision}
            if path == "/kv-watch":
                after = int(query["after"])
                old = time.monotonic() - HISTORY_S
                while self.events and self.events[0][3] < old:
                    self.compacted = self.events.pop(0)[0]
                if after < self.compacted:
                    return 410, {}
                until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
                while True:
                    events = [one for revision, key, one, _ in self.events
                              if revision > after and key.startswith(prefix)]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return 200, (b'{"events":[' + b",".join(events) +
                                     b'],"as-of":%d}' % self.revision)
                    self.changed.wait(left)
        return 404, {}

    def write(self, path, body):
        with self.changed:
            self.expire()
            if path == "/kv-lease":
                self.last_lease += 1
                ttl = max(1000, int(body["ttl-ms"]))
                self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": self.last_lease, "ttl-ms": ttl}
            if path.startswith("/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttl-ms": ttl}
            if path == "/kv-txn":
                rows = body.get("expected-rev") or []
                current = lambda key: self.items.get(key, {}).get("revision", 0)
                if any(current(row["key"]) != row["revision"] for row in rows):
                    return 412, {"items": [self.items[r["key"]] for r in rows
                                           if r["key"] in self.items]}
                writes = body.get("writes") or []
                if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
                    return 404, {}
                if any(w["key"].startswith(("op/", "servers/")) for w in writes):
                    return 403, {}
                for one in writes:
                    self.put(one["key"], base64.b64decode(one["value"]), one.get("lease") or 0)
                for key in body.get("deletes") or []:
                    self.delete(key)
                return 200, {"revision": self.revision}
        return 404, {}


# ---------------------------------------------------------------- targets


class Target:
    """A target beside an agent: flows over UDP at `app`, health over TCP, liveness reports.

    `control` and `outbound` are where it sends to; `app` is what it binds. It runs each request of
    an open flow once, after `work_s`.
    """

    last = 0

    def __init__(self, record, name, service, app, outbound, control, zone, work_s=0.25, slots=7):
        Target.last += 1
        self.record, self.name, self.service = record, name, service
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.app, self.outbound, self.control, self.zone = app, outbound, control, zone
        self.work_s, self.slots = work_s, slots
        self.state, self.seq, self.stopped = "ready", 0, threading.Event()
        self.flows, self.runs, self.foreign, self.acked = {}, [], 0, 0
        self.lock = threading.RLock()
        self.beat_at = None
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.udp.bind(app)
        self.udp.settimeout(0.05)
        self.tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind(app)
        self.tcp.listen(64)
        self.tcp.settimeout(0.05)
        self.threads = [threading.Thread(target=one, daemon=True)
                        for one in (self.serve, self.health, self.beats)]
        self.connection = None
        record.line(f"target {name} starts: id {self.id}, service {service}, at {app[0]}:{app[1]}")
        for thread in self.threads:
            thread.start()

    def crash(self):
        """Ends at once: its ports close, nothing more is sent by it."""
        self.stopped.set()
        for thread in self.threads[:2]:
            thread.join()
        self.udp.close()
        self.tcp.close()
        self.record.line(f"target {self.name} has crashed")

    def health(self):
        while not self.stopped.is_set():
            try:
                peer, _ = self.tcp.accept()
            except (socket.timeout, OSError):
                continue
            threading.Thread(target=self.check, args=(peer,), daemon=True).start()

    def check(self, peer):
        try:
            peer.settimeout(1)
            if peer.recv(4096):
                status = "200 OK" if self.state == "ready" else "503 Leaving"
                peer.sendall(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
        except OSError:
            pass
        peer.close()

    def body(self, seq):
        return {"service": self.service, "address": f"{self.app[0]}:{self.app[1]}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "warmup-left-ms": 0, "seq": seq, "born": self.born}

    def beats(self):
        """Sends a liveness report about each heartbeat-ms over a connection that it keeps."""
        due = time.monotonic()
        while not self.stopped.is_set():
            self.beat()
            due = max(due + HEARTBEAT_MS / 1000 * random.uniform(0.95, 1.05), time.monotonic())
            self.stopped.wait(due - time.monotonic())

    def beat(self):
        self.seq += 1
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(*self.control, timeout=1)
            self.connection.request(
                "POST", f"/instances/{self.id}/heartbeat", json.dumps(self.body(self.seq)),
                {"Content-Type": "application/json"})
            self.beat_at = time.monotonic()
            answer = self.connection.getresponse()
            answer.read()
            if answer.status // 100 == 2:
                self.acked = self.seq
            self.record.line(f"target {self.name}: report {self.seq} ({self.service}, "
                             f"{self.state}) -> {answer.status}")
        except OSError as error:
            if not self.stopped.is_set():
                self.record.line(f"target {self.name}: report {self.seq} has no answer ({error})")
            if self.connection and not self.stopped.is_set():
                self.connection.close()
                self.connection = None

    def serve(self):
        while not self.stopped.is_set():
            try:
                raw, _ = self.udp.recvfrom(2048)
            except socket.timeout:
                continue
            except OSError:
                return
            packet = Packet.decode(raw)
            if packet is not None:
                with self.lock:
                    self.handle(packet, raw)

    def send(self, flow, flags, seq, ack, data=b""):
        (src, sport, dst, dport) = flow
        packet = Packet(dst, dport, src, sport, flags, seq, ack, data)
        try:
            self.udp.sendto(packet.encode(), self.outbound)
        except OSError:
            pass

    def handle(self, packet, raw):
        if not packet.is_own:
            self.foreign += 1
            self.record.line(f"target {self.name}: packet that its sender did not write so")
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        held = self.flows.get(flow)
        if packet.flags & SYN:
            if held is None:
                held = {"seq": random.getrandbits(32), "open": False, "next": packet.seq + 1,
                        "sent": 1, "last": None, "over": False}
                self.flows[flow] = held
                self.record.line(f"target {self.name} ({self.service}) takes the SYN of flow "
                                 f"{packet.sport} to port {packet.dport}")
            self.send(flow, SYN | ACK, held["seq"], packet.seq + 1)
            return
        begins = held and not held["open"] and packet.ack == (held["seq"] + 1) % 2**32
        if held is None or not (held["open"] or begins):
            bounced = bytearray(raw)
            bounced[14] |= BOUNCED
            bounced[15] = 0
            self.udp.sendto(bytes(bounced), self.outbound)
            return
        if begins:
            held["open"] = True
            self.record.line(f"target {self.name}: flow {packet.sport} is open")
        own = (held["seq"] + held["sent"]) % 2**32
        if packet.flags & RST:
            del self.flows[flow]
            return
        if packet.data:
            if packet.seq == held["next"] % 2**32:
                held["next"] = packet.seq + len(packet.data)
                self.send(flow, ACK, own, held["next"])
                threading.Thread(target=self.run, args=(flow, held, packet.data),
                                 daemon=True).start()
            else:
                self.send(flow, ACK, own, held["next"])
                if held["last"]:
                    self.send(*held["last"])
        if packet.flags & FIN:
            self.send(flow, FIN | ACK, own, packet.seq + len(packet.data) + 1)
            held["over"] = True

    def run(self, flow, held, data):
        line, request = data.split(b"\r\n")[0].decode(), None
        for head in data.split(b"\r\n"):
            if head.lower().startswith(b"x-request-id:"):
                request = head.split(b":")[1].strip().decode()
        self.runs.append((request, flow))
        self.record.line(f"target {self.name} ({self.service}) runs request {request} ({line}) of "
                         f"flow {flow[1]} to port {flow[3]}")
        if self.stopped.wait(self.work_s):
            return
        body = f"{self.id} {request}\n"
        answer = (f"HTTP/1.1 200 OK\r\nX-Server-Seal: {self.id}\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        with self.lock:
            seq = (held["seq"] + held["sent"]) % 2**32
            held["sent"] += len(answer)
            held["last"] = (flow, ACK, seq, held["next"], answer)
            self.send(*held["last"])


# ---------------------------------------------------------------- consumers and routers


class Routers:
    """The platform's routers: readiness checks twice a second, `mod` hash over those in rotation."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.misses, self.stopped = {}, threading.Event()

    def add(self, host):
        self.misses[host] = 2
        threading.Thread(target=self.check, args=(host,), daemon=True).start()

    def check(self, host):
        while not self.stopped.is_set():
            began = time.monotonic()
            try:
                link = http.client.HTTPConnection(host, self.port, timeout=0.5)
                link.request("GET", "/readiness")
                good = link.getresponse().status == 200
                link.close()
            except OSError:
                good = False
            was = self.misses[host] < 2
            self.misses[host] = 0 if good else self.misses[host] + 1
            if was != (self.misses[host] < 2):
                self.record.line(f"routers: {host} is {'out of' if was else 'in'} rotation")
            self.stopped.wait(max(0.01, 0.5 - (time.monotonic() - began)))

    def ready(self):
        return sorted(host for host, misses in self.misses.items() if misses < 2)

    def pick(self, flow):
        hosts = self.ready() or sorted(self.misses)
        digest = hashlib.sha256(repr(flow).encode()).digest()
        return hosts[int.from_bytes(digest[:8], "big") % len(hosts)]


class Flow:
    def __init__(self, client, sport, dst, dport):
        self.client, self.key = client, (client.ip, sport, dst, dport)
        self.seq, self.ack = random.getrandbits(32), 0
        self.stage, self.inbox = "new", []
        self.resets, self.answers = [], []
        self.changed = threading.Condition()

    def tag(self):
        return f"flow {self.key[1]} to port {self.key[3]}"


class Client:
    """A consumer with its own address."""

    def __init__(self, record, ip, port, routers, service):
        self.record, self.ip, self.port, self.routers = record, ip, port, routers
        self.service, self.flows, self.next_port = service, {}, 40000
        self.foreign, self.lock = 0, threading.Lock()
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((ip, port))
        threading.Thread(target=self.listen, daemon=True).start()

    def send(self, flow, flags, seq, ack, data=b"", via=None):
        via = via or self.routers.pick(flow.key)
        packet = Packet(*flow.key[:2], *flow.key[2:], flags, seq, ack, data)
        self.record.line(f"client: {flow.tag()} sends {packet.names()} len {len(data)} by {via}")
        self.udp.sendto(packet.encode(), (via, self.port))
        return via

    def listen(self):
        while True:
            raw, _ = self.udp.recvfrom(2048)
            packet = Packet.decode(raw)
            if packet is None:
                continue
            flow = self.flows.get((packet.dst, packet.dport, packet.src, packet.sport))
            if flow is None:
                continue
            is_reset = packet.flags & RST and packet.sum == 0
            if not is_reset and not packet.is_own:
                self.foreign += 1
                self.record.line(f"client: {flow.tag()} gets a packet its sender did not write so")
            with flow.changed:
                self.handle(flow, packet, is_reset)
                flow.changed.notify_all()

    def handle(self, flow, packet, is_reset):
        if packet.flags & RST:
            distance = (packet.seq - flow.ack) % 2**32
            counts = flow.stage == "new" or min(distance, 2**32 - distance) <= 76800
            sender = "the system" if is_reset else "the target"
            self.record.line(f"client: {flow.tag()} gets RST of {sender}, stage {flow.stage}, "
                             f"{'counts' if counts else 'outside the window'}")
            if counts:
                flow.resets.append((time.monotonic(), sender, flow.stage))
                flow.stage = "reset"
            return
        if packet.flags & SYN:
            if flow.stage == "new":
                flow.stage, flow.ack, flow.seq = "open", (packet.seq + 1) % 2**32, flow.seq + 1
                self.record.line(f"client: {flow.tag()} gets SYN+ACK")
            return
        if packet.data and flow.stage == "open":
            if packet.seq == flow.ack:
                flow.ack = (packet.seq + len(packet.data)) % 2**32
                flow.answers.append(packet.data.decode())
                self.record.line(f"client: {flow.tag()} gets an answer: "
                                 f"{packet.data.decode().splitlines()[-1]}")
            self.send(flow, ACK, flow.seq, flow.ack)

    def open(self, dport, via=None):
        """Sends a SYN and its copies; returns the flow, whose stage tells what became of it."""
        with self.lock:
            self.next_port += 1
            flow = Flow(self, self.next_port, self.service, dport)
        self.flows[flow.key] = flow
        for copies, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(flow, SYN, flow.seq, copies, via=via)
            with flow.changed:
                flow.changed.wait_for(lambda: flow.stage != "new", pause)
                if flow.stage != "new":
                    break
        return flow

    def request(self, flow, method="GET", within=3.0, via=None, wait=True):
        """Sends a request on an open flow and retransmits it; returns (id, answer or None)."""
        ident = f"{random.getrandbits(64):016x}"
        data = (f"{method} /case HTTP/1.1\r\nHost: here\r\nX-Request-Id: {ident}\r\n"
                "Content-Length: 0\r\n\r\n").encode()
        had, seq = len(flow.answers), flow.seq
        flow.seq = (flow.seq + len(data)) % 2**32
        until, pause = time.monotonic() + within, 0.2
        self.record.line(f"client: {flow.tag()}: request {ident}")
        while flow.stage == "open" and time.monotonic() < until:
            self.send(flow, ACK, seq, flow.ack, data, via=via)
            if not wait:
                return ident, None
            with flow.changed:
                flow.changed.wait_for(lambda: len(flow.answers) > had or flow.stage != "open",
                                      min(pause, max(0.01, until - time.monotonic())))
                if len(flow.answers) > had:
                    return ident, flow.answers[-1]
            pause = min(1.6, pause * 2)
        return ident, None


# ---------------------------------------------------------------- the system


class Fleet:
    """The project's programs as processes, one host an address, all with the same ports."""

    ZONES = {"osu-hall": "greater-accra", "kaneshie-hall": "greater-accra",
             "tema-hall": "greater-accra"}

    def __init__(self, record, case):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix=f"nutmegkeel-review-{case}-")
        self.block = self.claim()
        self.base = random.randrange(21000, 29000, 40)
        self.processes, self.zones, self.agents = {}, {}, {}
        self.store = Store((self.ip(1, 1), self.base + 5))
        self.routers = Routers(record, self.base + 1)
        self.seeds = []
        self.version = 0

    def claim(self):
        """Returns the second byte of loopback addresses that no other program uses."""
        for block in random.sample(range(192, 250), 40):
            one = socket.socket()
            try:
                one.bind((f"127.{block}.0.1", 20999))
                one.listen(1)
                self.claimed = one
                return block
            except OSError:
                one.close()
        raise CannotRun("no free block of loopback addresses")

    def ip(self, net, host):
        return f"127.{self.block}.{net}.{host}"

    def settings(self, ip, zone, side, first, app=None, service=None):
        at = lambda port: f"{ip}:{self.base + port}"
        listen = {"datagram-addr": at(0), "ready": at(1), "control": at(2)}
        if side:
            listen["outbound"] = at(3)
        body = {
            "node": f"{'side' if side else 'frontend'}-{zone}-{ip}",
            "role": "agent" if side else "balancer",
            "machine-class": "side" if side else "frontend",
            "serves": ["side"] if side else ["frontend", "control_plane"],
            "ip": ip, "zone": zone, "region": self.ZONES[zone], "zones": self.ZONES,
            "listen": listen, "internal-ports": [self.base + 10, self.base + 25],
            "seeds": [f"{seed}:{self.base + 2}" for seed in self.seeds],
            "bootstrap": first, "in-fault-budget": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "local", "entry-kind": "announce",
            "heartbeat-ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 4000, "ack-ms": 5000,
                       "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
                       "config-apply-ms": 3000, "downgrade-slack-ms": 250,
                       "max-stretch-ms": 12000, "recovery-s": 12, "flow-ms": 2000,
                       "flow-max-s": 60},
            "hash-scheme": "mod", "deploy-mode": "agent",
            "platform": {"address": f"{self.ip(1, 1)}:{self.base + 5}", "deploy-mode": "kv",
                         "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
                         "value-bytes": 1048576, "ttl-min-ms": 1000}}
        if side:
            body["service"], body["app"] = service, f"{app[0]}:{app[1]}"
        return body

    def configuration(self, routes, idle=0):
        """Returns the next version: rows of port, service and type, and idle routes.

        The names of idle routes are as long as people give them, so that a route takes some 260
        bytes.
        """
        self.version += 3
        named = [(f"route-{port}", self.ip(9, 9), port, service, kind)
                 for port, service, kind in routes]
        for number in range(idle):
            name = (f"greater-accra-freedom-of-information-gateway-released-records-download-"
                    f"district-office-{number:04}")
            named.append((name, self.ip(9, 10 + number // 1000), 10000 + number % 1000,
                          routes[0][1], routes[0][2]))
        return json.dumps({
            "version": self.version,
            "routes": [{"name": name, "host": host, "prefix": f"/{port}/", "type": kind,
                        "timeout-ms": 3000, "aim-ms": 300, "priority": 1, "service": service,
                        "max-attempts": 2} for name, host, port, service, kind in named],
            "services": [{"name": name, "health-path": "/health", "max-conns": 2000,
                          "protocol": "h1", "tls": False}
                         for name in sorted({row[1] for row in routes})],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}).encode()

    def configure(self, routes, idle=0, value=None):
        """The operator writes a configuration; `value` is one made before."""
        value = value or self.configuration(routes, idle)
        if len(value) > VALUE_BYTES:
            raise CannotRun("the configuration is larger than value-bytes")
        self.store.put("op/config", value)
        version = value[12:24].split(b",")[0].decode().strip()
        self.record.line(f"operator: version {version} of {len(value)} bytes is acknowledged: "
                         f"{routes} and {idle} idle routes")

    def start(self, ip, zone, side=False, first=False, app=None, service=None):
        role = "agent" if side else "balancer"
        self.zones[ip] = (zone, side, app, service)
        path = os.path.join(self.folder, f"{ip}.json")
        with open(path, "w") as file:
            json.dump(self.settings(ip, zone, side, first, app, service), file)
        log = open(os.path.join(self.folder, f"{ip}.log"), "a")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["NUTMEGKEEL_CONFIG"] = path
        self.processes[ip] = subprocess.Popen(
            [PROGRAM, "platform", role], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log, start_new_session=True)
        self.record.line(f"{role} on {ip} ({zone}) is started")
        if not side and ip not in self.routers.misses:
            self.routers.add(ip)

    def again(self, ip):
        zone, side, app, service = self.zones[ip]
        self.start(ip, zone, side, False, app, service)

    def signal(self, ip, number):
        self.record.line(f"{signal.Signals(number).name} to the process on {ip}")
        self.processes[ip].send_signal(number)

    def wait_exit(self, ip, within=6.0):
        try:
            self.processes[ip].wait(within)
        except subprocess.TimeoutExpired:
            self.signal(ip, signal.SIGKILL)
            self.processes[ip].wait()
        self.record.line(f"the process on {ip} has exited")

    def ended(self):
        return [ip for ip, one in self.processes.items() if one.poll() is not None]

    def wait_ready(self, targets, within=15):
        until = time.monotonic() + within
        while time.monotonic() < until:
            balancers = [ip for ip, (_, side, _, _) in self.zones.items() if not side]
            if set(balancers) <= set(self.routers.ready()) and all(t.acked for t in targets):
                return
            time.sleep(0.05)
        raise CannotRun("the system did not get ready")

    def close(self):
        self.routers.stopped.set()
        for one in self.processes.values():
            if one.poll() is None:
                one.send_signal(signal.SIGCONT)
                one.kill()
                one.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder, play):
    """Runs `play(record, fleet, trouble)`, which returns the broken rule's lines, and exits."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"case {case}, TROUBLE={'1' if trouble else '0'}")
    fleet = None
    code = 2

    def stop(number, _):
        raise CannotRun(f"stopped by {signal.Signals(number).name}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    watchdog = threading.Timer(110, lambda: (record.line("took too long"),
                                             fleet and fleet.close(), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    try:
        fleet = Fleet(record, case)
        broken = play(record, fleet, trouble)
        for line in broken:
            record.line(f"BROKEN: {line}")
        record.line("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        record.line(f"could not run: {error}")
    except Exception as error:  # a fault of the case itself
        record.line(f"could not run: {type(error).__name__}: {error}")
        traceback.print_exc()
    finally:
        if fleet:
            fleet.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code], flush=True)
    sys.stdout.flush()
    os._exit(code)
