"""Configurations come in quick succession while the configuration is large.

The balancers that watch the store can no longer read the answer of their watch, and all balancers
stay with an old version until the store drops its history.
"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from standin import CannotRun, Client, Target, main  # noqa: E402

# 110 idle routes of the sheet and ten times big_config of 380.
IDLE = 110 + 10 * 380
# config_storm of the site file: gap_s 0.06, for_s 1.5.
GAP_S, FOR_S = 0.06, 1.5
APPLY_S = 3.0


def play(record, fleet, trouble):
    balancers = [(fleet.ip(2, 1), "osu-hall"), (fleet.ip(2, 2), "osu-hall"),
                 (fleet.ip(2, 3), "kaneshie-hall")]
    sides = [(fleet.ip(3, 1), "osu-hall", "desk"), (fleet.ip(3, 2), "kaneshie-hall", "desk"),
             (fleet.ip(3, 3), "osu-hall", "vault")]
    fleet.seeds = [ip for ip, _ in balancers]
    before = [(443, "desk", "unsafe"), (450, "desk", "unsafe")]
    after = [(443, "desk", "unsafe"), (450, "vault", "unsafe")]
    fleet.configure(before, IDLE)
    for ip, zone in balancers:
        fleet.start(ip, zone, first=True)
    targets = []
    for number, (ip, zone, service) in enumerate(sides, 1):
        app = (ip, fleet.base + 4)
        fleet.start(ip, zone, side=True, first=True, app=app, service=service)
        targets.append(Target(record, f"T{number}", service, app, (ip, fleet.base + 3),
                              (ip, fleet.base + 2), zone))
    fleet.wait_ready(targets)
    time.sleep(6)
    client = Client(record, fleet.ip(5, 1), fleet.base, fleet.routers, fleet.ip(9, 9))
    flow = client.open(450)
    _, answer = client.request(flow, "POST")
    if not answer:
        raise CannotRun("the route does not work before the change")

    if trouble:
        # The changes before the last one add nothing that is judged: the routes stay the same.
        values = [fleet.configuration(before, IDLE) for _ in range(int(FOR_S / GAP_S) - 1)]
    last = fleet.configuration(after, IDLE)
    if trouble:
        due = time.monotonic()
        for value in values:
            fleet.configure(before, IDLE, value)
            due += GAP_S
            time.sleep(max(0, due - time.monotonic()))
    fleet.configure(after, IDLE, last)
    acknowledged, version = time.monotonic(), fleet.version
    time.sleep(APPLY_S + 0.1)
    late, broken = 0, []
    old = {target.id: target for target in targets if target.service == "desk"}
    while time.monotonic() < acknowledged + 30:
        sent = time.monotonic() - acknowledged
        flow = client.open(450)
        if flow.stage == "open":
            ident, answer = client.request(flow, "POST")
            if answer and answer.split()[-2] in old:
                broken.append(f"CONFIG: request {ident}, whose flow was opened {sent:.1f} s after the "
                              f"acknowledgement of version {version}, was run by the old service")
        time.sleep(0.5)
    if fleet.ended():
        raise CannotRun("a process ended")
    return broken


main(2, HERE, play)
