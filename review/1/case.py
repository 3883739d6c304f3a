"""A balancer is added while an agent of its zone is stopped and started again.

The agent's target lives and is left alone. Open flows that it holds are reset by the new balancer.
"""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from standin import CannotRun, Client, Target, main  # noqa: E402

# Time between the exit of the agent and its start, in seconds: the platform's "short delay".
RESTART_DELAY_S = 1.5
FLOWS = 60


def play(record, fleet, trouble):
    balancers = [(fleet.ip(2, 1), "osu-hall"), (fleet.ip(2, 2), "osu-hall"),
                 (fleet.ip(2, 3), "kaneshie-hall")]
    added = fleet.ip(2, 4)
    sides = [(fleet.ip(3, 1), "osu-hall"), (fleet.ip(3, 2), "osu-hall"),
             (fleet.ip(3, 3), "kaneshie-hall")]
    fleet.seeds = [ip for ip, _ in balancers]
    fleet.configure([(443, "desk", "unsafe")])
    for ip, zone in balancers:
        fleet.start(ip, zone, first=True)
    targets = {}
    for number, (ip, zone) in enumerate(sides, 1):
        app = (ip, fleet.base + 4)
        fleet.start(ip, zone, side=True, first=True, app=app, service="desk")
        targets[ip] = Target(record, f"T{number}", "desk", app, (ip, fleet.base + 3),
                             (ip, fleet.base + 2), zone)
    fleet.wait_ready(list(targets.values()))
    time.sleep(5)

    client = Client(record, fleet.ip(5, 1), fleet.base, fleet.routers, fleet.ip(9, 9))
    flows = []
    for _ in range(FLOWS):
        flow = client.open(443)
        _, answer = client.request(flow, "POST")
        if flow.stage != "open" or not answer:
            raise CannotRun("a flow did not open before the planned work")
        flow.target = answer.split()[-2]
        flows.append(flow)
    rolled = sides[1][0]
    target = targets[rolled]
    own = [flow for flow in flows if flow.target == target.id]
    record.line(f"{len(own)} of {len(flows)} flows are at target {target.name}")
    if not own:
        raise CannotRun("no flow at the target")
    time.sleep(4.5)

    if trouble:
        fleet.signal(rolled, signal.SIGTERM)
        fleet.wait_exit(rolled)
    fleet.start(added, "osu-hall")
    back = threading.Timer(RESTART_DELAY_S, fleet.again, (rolled,))
    if trouble:
        back.start()
    until = time.monotonic() + 3
    while added not in fleet.routers.ready() and time.monotonic() < until:
        time.sleep(0.01)
    if added not in fleet.routers.ready():
        raise CannotRun("the new balancer is not in rotation")

    # The consumers go on with their flows, by the node that the routers select.
    results = {}

    def ask(flow):
        results[flow] = client.request(flow, "POST", within=4.0)

    threads = [threading.Thread(target=ask, args=(flow,)) for flow in own]
    for thread in threads:
        thread.start()
        time.sleep(0.01)
    for thread in threads:
        thread.join()
    if trouble:
        back.join()
    time.sleep(1)
    if target.stopped.is_set() or fleet.ended():
        raise CannotRun("a target or a process ended")
    answered = sum(1 for _, answer in results.values() if answer)
    record.line(f"{answered} of {len(own)} requests on flows of {target.name} were answered")
    return [f"FLOW: {flow.tag()} was open at target {target.name}, which lives; reset by {sender}"
            for flow in flows for _, sender, stage in flow.resets
            if sender == "the system" and stage == "open"]


main(1, HERE, play)
