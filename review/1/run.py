"""A rolling restart of all gateways, two at a time, while clients book. See claim.txt."""

import asyncio
import pathlib
import random
import signal
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ZONES = {"cdf-neuadd-a": "caerdydd", "cdf-neuadd-b": "caerdydd", "swa-neuadd-a": "abertawe", "swa-neuadd-b": "abertawe"}
BOUNDS = {
    "contact": "4000ms", "drain": "2500ms", "grace": "6s", "lookup_cache": "5s", "retry_window": "10s",
    "retry_ratio": 0.2, "retry_slack": 60, "greatest_shift": 0.15,
}
GRACE = 6.0
# Of a booking, in seconds; the longest work of the site file is 1.92 s.
WORK = 1.9
TIMEOUT = 3.0
CLIENTS = 80
SLOTS = 24
# Seconds since the start: first request, first SIGTERM, last request.
TRAFFIC, STOP, END = 5.0, 12.0, 23.0
# Between two pairs of gateways that are stopped; the shortest gap of the site file.
GAP = 1.0
RESTART = 0.5


async def restart(gateway, record, stops, processes):
    """Stops a gateway as the platform does, and starts it again."""
    stops[gateway.name] = record.now()
    record.write(f"{gateway.name} gets SIGTERM")
    gateway.signal(signal.SIGTERM)
    ends = record.now() + GRACE
    while gateway.process.poll() is None and record.now() < ends:
        await asyncio.sleep(0.02)
    gateway.signal(signal.SIGKILL)
    record.write(f"{gateway.name} has ended")
    await asyncio.sleep(RESTART)
    gateway.start()
    processes.append(gateway.process)
    record.write(f"{gateway.name} is started again")


def lost(clients, instances, stops):
    """Returns the requests that the rule LOST counts: sent over 3 s after the SIGTERM of their gateway, passed on to
    an instance, and closed with no answer although neither their time was over nor the instance broke off."""
    runs = {name: (instance, run) for instance in instances for name, run in instance.runs.items()}
    found = []
    for client in clients:
        for name, gateway, sent, ended, status in client.results:
            stopped = stops.get(gateway.name)
            is_late = stopped is not None and sent > stopped + 3.0 and ended < stopped + GRACE + 1.0
            is_in_time = ended < sent + TIMEOUT - 0.1
            if status == 0 and is_late and is_in_time and name in runs:
                found.append((name, gateway.name, sent - stopped, ended - stopped, runs[name][1][3]))
    return found


async def play(folder):
    record = standins.Record(FOLDER / "record.txt")
    store = standins.Store()
    await store.start()
    instances = [standins.Instance(f"i-{n:04d}", "archeb", list(ZONES)[n % 4], SLOTS, lambda _: WORK, record) for n in range(4)]
    for instance in instances:
        await instance.start()
        await store.put(f"servers/{instance.name}", instance.entry())
    route = ["bridge-booking", "bridge.example", "/booking/", "non_idempotent", f"{TIMEOUT}s", "2s", 1, "archeb", 2]
    await store.put("op/config", standins.configuration([route], [["archeb", "/health", 360, "3s", 9.2]]))
    gateways = [standins.Gateway(f"front-{zone}-1", zone, ZONES, BOUNDS, folder) for zone in ZONES]
    processes = []
    try:
        for gateway in gateways:
            gateway.configure(store, gateways[:3])
            gateway.start()
            processes.append(gateway.process)
        while record.now() < TRAFFIC:
            await asyncio.sleep(0.05)
        if not all([await gateway.is_ready() for gateway in gateways]):
            record.write("not all gateways are ready")
            return 2
        clients = [
            standins.Client(
                n, "bridge.example", "/booking/new", list(ZONES)[n % 4], gateways, int(TIMEOUT * 1000), record,
                hold=3 if n % 3 == 0 else 1)
            for n in range(CLIENTS)
        ]
        tasks = [asyncio.create_task(client.run(random.uniform(0, WORK), END)) for client in clients]
        stops = {}
        if standins.has_trouble():
            while record.now() < STOP:
                await asyncio.sleep(0.01)
            order = random.sample(gateways, len(gateways))
            for pair in (order[:2], order[2:]):
                tasks += [asyncio.create_task(restart(gateway, record, stops, processes)) for gateway in pair]
                await asyncio.sleep(GAP)
        await asyncio.gather(*tasks)
    finally:
        standins.end(processes)
    found = lost(clients, instances, stops)
    served = sum(1 for client in clients for result in client.results if result[4] == 200)
    record.write(f"requests served: {served}; LOST: {len(found)}")
    for name, gateway, sent, ended, run in found:
        record.write(
            f"LOST: {name} was sent to {gateway} {sent:.2f} s after its SIGTERM, and closed with no answer after "
            f"{ended:.2f} s; at its instance: {run}")
    print(f"served {served}, lost {len(found)}; see {FOLDER / 'record.txt'}")
    if served == 0:
        return 2
    return 1 if found else 0


def main():
    if not standins.PROGRAM.exists():
        print(f"{standins.PROGRAM} is missing; build it first")
        return 2
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(pathlib.Path(folder)))


sys.exit(main())
