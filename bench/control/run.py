#!/usr/bin/env python3
"""Measures what control costs a node: fleets of daemons and the platform's stand-in on loopback, no callers.

Usage: bench/control/run.py [NODES...]   (IBISFORK_BIN names the folder of the programs, default build)
"""

import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from datetime import datetime, timezone

BIN = os.environ.get("IBISFORK_BIN", "build")
DOMAINS = ["a", "b", "c"]
SETTLE_S = 6
QUIET_S = 15
CHANGES = 12
CHANGE_GAP_S = 1.0
PUBLIC = "8>TUr@{]tfDKSv3jYDj9[&X<Uh/nRp:h^g[4(SDT"
SECRET = "m&#ktr+6SH[v(&]w7rUGqIP-mpuLYwPGQXA(y1Xi"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for held in sockets:
        held.bind(("127.0.0.1", 0))
    ports = [held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return ports


def call(address, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(urllib.request.Request(f"http://{address}{path}", data), timeout=10) as answer:
        return answer.read().decode()


class Node:
    def __init__(self, folder, index, platform):
        callers, operators, peers = free_ports(3)
        self.operators = f"127.0.0.1:{operators}"
        self.log = f"{folder}/node-{index}.log"
        settings = f"{folder}/node-{index}.yaml"
        with open(settings, "w") as file:
            file.write(
                f"node: {{name: node-{index}, failure_domain: {DOMAINS[index % len(DOMAINS)]}, region: r1}}\n"
                f"listen: {{callers: 127.0.0.1:{callers}, operators: {self.operators}, peers: 127.0.0.1:{peers}}}\n"
                f"peers: {{public_key: '{PUBLIC}', secret_key: '{SECRET}', fleet_key: '{PUBLIC}'}}\n"
                f"platform: {{address: {platform}}}\n")
        with open(self.log, "w") as log:
            self.process = subprocess.Popen([f"{BIN}/ibisforkd", "--settings", settings], stderr=log)

    def cpu_seconds(self):
        fields = open(f"/proc/{self.process.pid}/stat").read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mib(self):
        return int(re.search(r"VmRSS:\s+(\d+)", open(f"/proc/{self.process.pid}/status").read())[1]) / 1024

    def metric(self, name):
        found = re.search(rf"^{name} (\d+)", call(self.operators, "/metrics"), re.M)
        return int(found[1]) if found else 0

    def in_force_at(self):
        """Wall time at which this node took each revision; all processes share one clock here."""
        times = {}
        for line in open(self.log):
            found = re.match(r"time=(\S+)Z .*event=config revision=(\d+)", line)
            if found:
                at = datetime.fromisoformat(found[1]).replace(tzinfo=timezone.utc).timestamp()
                times.setdefault(int(found[2]), at)
        return times


def quantile(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def usage(nodes, platform):
    counts = json.loads(call(platform, "/counts"))
    return {
        "cpu": [node.cpu_seconds() for node in nodes],
        "sent": [node.metric("ibisfork_peer_bytes_sent_total") for node in nodes],
        "received": [node.metric("ibisfork_peer_bytes_received_total") for node in nodes],
        "relay": [node.metric("ibisfork_fleet_relay") for node in nodes],
        "reads": counts["reads"],
        "writes": counts["commits"],
    }


def submit_all(nodes):
    """Commits changes one after the other; gives the delays until in force at each node and until accepted."""
    committed, accepted = {}, []
    for number in range(CHANGES):
        node = nodes[number % len(nodes)]
        row = {"key": f"config/failure-domain/x{number}", "value": '{"region": "r1"}'}
        start = time.time()
        change = {"id": f"bench-{number}", "author": "bench", "reason": "bench", "rows": [row]}
        answer = json.loads(call(node.operators, "/v1/changes", change))
        committed[answer["revision"]] = start
        while answer["state"] == "pending" and time.time() < start + 15:
            time.sleep(0.02)
            answer = json.loads(call(node.operators, f"/v1/changes/bench-{number}"))
        accepted.append(time.time() - start if answer["state"] == "accepted" else float("inf"))
        time.sleep(CHANGE_GAP_S)
    delays = [at - committed[revision] for node in nodes for revision, at in node.in_force_at().items()
              if revision in committed]
    missing = len(committed) * len(nodes) - len(delays)
    return delays + [float("inf")] * missing, accepted


def measure(count):
    folder = tempfile.mkdtemp(prefix="ibisfork-bench-")
    platform_process = subprocess.Popen([f"{BIN}/standin-platform"], stdout=subprocess.PIPE, text=True)
    nodes = []
    try:
        platform = platform_process.stdout.readline().split()[1]
        nodes = [Node(folder, index, platform) for index in range(count)]
        time.sleep(SETTLE_S)
        while any(node.metric("ibisfork_fleet_members") != count for node in nodes):
            time.sleep(0.5)
        before, start = usage(nodes, platform), time.time()
        time.sleep(QUIET_S)
        cpu = [node.cpu_seconds() for node in nodes]
        after, seconds = usage(nodes, platform), time.time() - start
        share = [(late - early) / seconds for late, early in zip(cpu, before["cpu"])]
        traffic = [(after["sent"][i] + after["received"][i] - before["sent"][i] - before["received"][i]) / seconds
                   for i in range(count)]
        delays, accepted = submit_all(nodes)
        print(f"{count:5} {sum(after['relay']):6} {100 * sum(share) / count:8.2f} {100 * max(share):7.2f} "
              f"{sum(traffic) / count / 1024:9.2f} {max(traffic) / 1024:8.2f} "
              f"{max(node.memory_mib() for node in nodes):7.1f} "
              f"{(after['reads'] - before['reads']) / seconds:8.1f} {(after['writes'] - before['writes']) / seconds:8.1f} "
              f"{1000 * quantile(delays, 0.5):7.0f} {1000 * quantile(delays, 0.99):7.0f} "
              f"{1000 * quantile(accepted, 0.5):7.0f} {1000 * max(accepted):7.0f}", flush=True)
    finally:
        for node in nodes:
            node.process.kill()
        for node in nodes:
            node.process.wait()
        platform_process.kill()
        platform_process.wait()


print("nodes relays cpu%mean cpu%max KiB/s_avg KiB/s_mx MiB_max reads/s writes/s inf_p50 inf_p99 acc_p50 acc_max")
for size in [int(argument) for argument in sys.argv[1:]] or [3, 7, 14, 28]:
    measure(size)
