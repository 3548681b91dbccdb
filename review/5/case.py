"""After an outage in which leases ran out, each region has an owner of its own for a cold instance."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_2 as rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = {"cdf-a": "caerdydd", "swa-a": "abertawe", "wxm-a": "wrecsam",
         "cdf-b": "caerdydd", "swa-b": "abertawe", "wxm-b": "wrecsam"}

# `platform_down` with `reset lapse`: the store is down for 4.5 s, and leases run out meanwhile.
DOWN_S = 4.5
# The service of the site file: cold for 3 s, 9.2 requests a second while cold.
COLD_S, COLD_PER_S, COLD_OVERAGE, COLD_SLACK = 3.0, 9.2, 1.5, 5
ALLOWED = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
# Requests a second at each gateway; two warm instances can work on 60 a second together.
RATE, SLOTS, WORK_S = 10, 6, 0.2


def config():
    return json.dumps({
        "version": 7,
        "routes": {"columns": ["name", "host", "path_prefix", "kind", "timeout", "target_latency", "priority",
                               "service", "max_attempts"],
                   "rows": [["lookup", "hall.example", "/lookup/", "idempotent", "2500ms", "400ms", 1, "roster", 2]]},
        "services": {"columns": ["name", "health_path", "max_conns", "cold_start", "cold_per_s"],
                     "rows": [["roster", "/health", 360, "3s", COLD_PER_S]]},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout": "3s",
                   "idle_timeout": "10s"},
    }).encode()


async def case():
    record = open(os.path.join(HERE, "record.txt"), "w")

    def note(text):
        record.write("%8.3f %s\n" % (rig.now(), text))
        record.flush()

    deployment = rig.Deployment()
    store = deployment.store
    old = await deployment.instance("i-old", "roster", "cdf-a", slots=SLOTS, work_s=WORK_S)
    await deployment.instance("i-other", "roster", "cdf-b", slots=SLOTS, work_s=WORK_S)
    await deployment.start(ZONES, config())
    note("%d gateways are ready" % len(ZONES))
    await asyncio.sleep(4)

    sent, tasks = {}, []  # request id: time, gateway

    async def ask(gateway):
        name = rig.request_id()
        sent[name] = (rig.now(), gateway.name)
        try:
            status, _, body = await rig.exchange(gateway.ports["callers"],
                                                 rig.request("hall.example", "/lookup/x", name, 2500), 3)
            result = "%d %s" % (status, body.decode(errors="replace").split("|")[0].strip())
        except (asyncio.TimeoutError, *rig.CLOSED) as error:
            result = "no answer (%s)" % type(error).__name__
        note("answered request=%s gateway=%s sent=%.3f: %s" % (name, gateway.name, sent[name][0], result))

    async def load(gateway, until, offset):
        await asyncio.sleep(offset)
        while rig.now() < until():
            tasks.append(asyncio.ensure_future(ask(gateway)))
            await asyncio.sleep(1 / RATE)

    end = [float("inf")]
    loads = [asyncio.ensure_future(load(gateway, lambda: end[0], index / RATE / len(ZONES)))
             for index, gateway in enumerate(deployment.gateways)]
    await asyncio.sleep(2)
    if TROUBLE:
        store.go_down()
        note("the store is down")
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        store.come_back(leases_ran_out=True)
        note("the store is back; leases ran out meanwhile")
    await asyncio.sleep(0.5)

    # A release: the new instance starts first, and the old one drains.
    new = await deployment.instance("i-new", "roster", "cdf-a", slots=SLOTS, work_s=WORK_S, cold_s=COLD_S)
    note("i-new has started, cold for %.1f s" % COLD_S)
    note("keys of gateways in the store: %s" % (sorted(key for key in store.items if key.startswith("nodes/")) or "none"))
    await asyncio.sleep(0.3)
    old.state = "draining"
    old.announce()
    note("i-old is draining")
    await asyncio.sleep(COLD_S)
    note("keys of gateways in the store: %s" % (sorted(key for key in store.items if key.startswith("nodes/")) or "none"))
    end[0] = 0
    await asyncio.gather(*loads)
    await asyncio.gather(*tasks)

    # Arrivals while cold of requests that were sent and arrived within the same second.
    arrivals = [(at, name) for at, name, _ in new.arrived if at < new.cold_until]
    most, where = 0, None
    for at, _ in arrivals:
        within = [name for other, name in arrivals if at <= other < at + 1 and sent[name][0] >= at]
        if len(within) > most:
            most, where = len(within), (at, within)
    for at, name, has_run in new.arrived:
        note("arrived request=%s instance=i-new at=%.3f from=%s ran=%s" % (name, at, sent[name][1], has_run))
    by_gateway = {}
    for name in where[1] if where else []:
        by_gateway[sent[name][1]] = by_gateway.get(sent[name][1], 0) + 1
    held = most <= ALLOWED and len(arrivals) > 0
    text = "FAILBACK: i-new got %d requests within one second while cold, %.1f are allowed; by gateway: %s: %s" % (
        most, ALLOWED, json.dumps(by_gateway, sort_keys=True), "held" if held else "broken")
    note(text)
    for gateway in deployment.gateways:
        for line in gateway.log():
            if "registration" in line or "store-" in line or "lease" in line:
                note("%s: %s" % (gateway.name, line[:200]))
    print(text)
    record.close()
    return held


rig.run(case, 110)
