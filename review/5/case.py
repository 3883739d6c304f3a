"""FLOW: routes are added while the entry nodes of a zone are stopped and started in turn."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b"]
# From the sheet of the small deployment (`sites/amrau-foi.toml`).
BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 4000, "ack-ms": 5000, "catch-up-s": 4,
          "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 3000,
          "downgrade-slack-ms": 250, "max-stretch-ms": 12000, "recovery-s": 12, "flow-ms": 2000,
          "flow-max-s": 60}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "flows", "platform"]
ROLL_GAP_S = 1.2
STORM_GAP_S, STORM_S = 0.33, 4.0
FLOWS_PER_ROUTE = 10
ROUNDS = 3


class Flows:
    """Consumers' flows on one route: one opened every 60 ms after its ack, a request every 100 ms.
    A consumer whose opening is refused tries again with a new flow."""

    def __init__(self, world, consumers):
        self.world, self.consumers, self.all, self.lock = world, consumers, [], threading.Lock()

    def start(self, port, seconds):
        for index in range(FLOWS_PER_ROUTE):
            threading.Thread(target=self.run, args=(port, seconds, 0.06 * index),
                             daemon=True).start()

    def run(self, port, seconds, delay):
        time.sleep(delay)
        for _ in range(4):
            flow = self.consumers.open("198.18.0.1", port)
            if flow.state == "open":
                break
            time.sleep(0.1)
        until = time.monotonic() + seconds
        with self.lock:
            self.all.append(flow)
        answered = 0
        while flow.state == "open" and time.monotonic() < until:
            answer = self.consumers.request(flow, 2.5, b"GET / HTTP/1.1\r\n\r\n")
            answered += answer is not None
            time.sleep(0.1)
        names, record = self.world.names, self.world.record
        if flow.state == "reset after open":
            opened = self.world.opened.get(flow.key)
            where = names[opened[1].ip] if opened else "no target"
            record.line(f"consumer: flow {flow.key[1]} to port {port}, open since "
                        f"{flow.opened_at:.3f} at {where}, {answered} requests answered, is reset "
                        f"by {names.get(flow.reset_by, flow.reset_by)}")
        elif flow.state == "open":
            self.consumers.send(flow, standin.FIN | standin.ACK, flow.seq, flow.ack)
            flow.state = "closed"
        else:
            record.line(f"consumer: flow {flow.key[1]} to port {port}: {flow.state}")


def main():
    world = standin.World(FOLDER, ZONES, BOUNDS, CONTRACTS)
    try:
        fronts = [world.address(10 + index) for index in range(5)]
        world.seeds = [fronts[3], fronts[4], fronts[0]]
        routes, version = [standin.route("r-1", 443, "desk")], 1

        def configure():
            text = standin.configuration(version, routes, ["desk"])
            world.store.operate([("op/config", text)])

        configure()
        for index, ip in enumerate(fronts):
            zone = ZONES[0] if index < 3 else ZONES[1]
            world.start(ip, zone, f"frontend-{zone}-{index + 1 if index < 3 else index - 2}")
        for index in range(6):
            ip, zone = world.address(50 + index), ZONES[index % 2]
            world.start(ip, zone, f"side-{zone}-{index // 2 + 1}", "desk")
            world.start_target(ip, zone, "desk")
        world.wait_until_ready(fronts)
        world.first_start = False
        time.sleep(5)
        routers = standin.Routers(world, fronts[:3])
        consumers = standin.Consumers(world, world.address(200), routers)
        flows = Flows(world, consumers)
        flows.start(443, 3)
        time.sleep(4)
        if not any(flow.state == "closed" for flow in flows.all):
            raise standin.CannotRun("no flow opens")

        def roll():
            for ip in fronts[:3]:
                world.terminate(ip)
                threading.Thread(target=world.restart_when_ended, args=(ip, 0.5),
                                 daemon=True).start()
                time.sleep(ROLL_GAP_S)

        for turn in range(ROUNDS):
            world.record.line(f"round {turn + 1}")
            if TROUBLE:
                threading.Thread(target=roll, daemon=True).start()
            time.sleep(0.4 + 0.1 * turn)
            until = time.monotonic() + STORM_S
            while time.monotonic() < until:
                version += 3
                port = 1000 + version
                routes.append(standin.route(f"r-{version}", port, "desk"))
                configure()
                world.record.line(f"operator: version {version} adds the route to port {port} "
                                  "(acked)")
                flows.start(port, 4)
                time.sleep(STORM_GAP_S)
            time.sleep(14)
        reset = [flow for flow in flows.all
                 if flow.state == "reset after open" and flow.key in world.opened]
        served = [flow for flow in flows.all if flow.state == "closed"]
        world.record.line(f"{len(flows.all)} flows: {len(served)} kept to their end, "
                          f"{len(reset)} open ones reset by the system")
        world.record.line("FLOW is broken" if reset else "FLOW held")
        return 1 if reset else 0
    finally:
        world.end()


if __name__ == "__main__":
    try:
        code = main()
    except standin.CannotRun as error:
        print(f"cannot run: {error}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
