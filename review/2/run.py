"""A gateway is stopped as planned while all slots of a service run long bookings. See claim.txt."""

import asyncio
import pathlib
import signal
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ZONES = {"cdf-neuadd-a": "caerdydd", "cdf-neuadd-b": "caerdydd"}
BOUNDS = {
    "contact": "4000ms", "drain": "2500ms", "grace": "6s", "lookup_cache": "5s", "retry_window": "10s",
    "retry_ratio": 0.2, "retry_slack": 60, "greatest_shift": 0.15,
}
GRACE, TIMEOUT = 6.0, 3.0
INSTANCES, SLOTS = 3, 2
# Work of a usual booking and of a long one, in seconds. In the site file bookings take 0.64 s, 0.19 s where their object
# is warm, and 1.92 s at most.
SHORT, LONG = 0.2, 1.9
# Seconds since the start: first booking, SIGTERM, first long booking, end.
TRAFFIC, STOP, CROWD, END = 5.0, 13.0, 13.5, 19.0
USUAL_CLIENTS = 4


def work(line):
    return LONG if "/long" in line else SHORT


def lost(clients, instances, stopped):
    """Returns the requests that the rule LOST counts: after the SIGTERM of their gateway it gave an answer of its own
    while the instance that it had sent them to was at work, before their time was over and before the last sixth
    of the grace time."""
    runs = {name: run for instance in instances for name, run in instance.runs.items()}
    found = []
    for client in clients:
        for name, gateway, sent, ended, status in client.results:
            run = runs.get(name)
            is_at_work = run is not None and run[1] is not None and run[3] == "cut"
            is_answered = status not in (200, 0, None)
            in_time = ended < sent + TIMEOUT - 0.1 and ended < stopped.get(gateway.name, -99) + GRACE * 5 / 6
            if is_at_work and is_answered and in_time and sent > stopped.get(gateway.name, 1e9):
                found.append((name, gateway.name, status, sent - stopped[gateway.name], ended - run[1]))
    return found


async def play(folder):
    record = standins.Record(FOLDER / "record.txt")
    store = standins.Store()
    await store.start()
    instances = [
        standins.Instance(f"i-{n:04d}", "archeb", list(ZONES)[n % 2], SLOTS, work, record) for n in range(INSTANCES)
    ]
    for instance in instances:
        await instance.start()
        await store.put(f"servers/{instance.name}", instance.entry())
    route = ["bridge-booking", "bridge.example", "/booking/", "non_idempotent", f"{TIMEOUT}s", "1s", 1, "archeb", 2]
    await store.put("op/config", standins.configuration([route], [["archeb", "/health", 360, "3s", 9.2]]))
    gateways = [standins.Gateway(f"front-{zone}-1", zone, ZONES, BOUNDS, folder) for zone in ZONES]
    try:
        for gateway in gateways:
            gateway.configure(store, gateways)
            gateway.start()
        while record.now() < TRAFFIC:
            await asyncio.sleep(0.05)
        if not all([await gateway.is_ready() for gateway in gateways]):
            record.write("not all gateways are ready")
            return 2

        def client(number):
            zone = list(ZONES)[number % 2]
            return standins.Client(number, "bridge.example", "/booking/new", zone, gateways, int(TIMEOUT * 1000), record)

        usual = [client(n) for n in range(USUAL_CLIENTS)]
        tasks = [asyncio.create_task(one.run(0.05 * one.number, STOP - 0.5)) for one in usual]
        while record.now() < STOP:
            await asyncio.sleep(0.01)
        # These have an answer of the directory that is younger than its time to live when the gateway is stopped.
        late = [client(100 + n) for n in range(INSTANCES * SLOTS)]
        for one in late:
            await one.look_up()
        stopped = {}
        if standins.has_trouble():
            stopped[gateways[0].name] = record.now()
            record.write(f"{gateways[0].name} gets SIGTERM")
            gateways[0].signal(signal.SIGTERM)
        while record.now() < CROWD:
            await asyncio.sleep(0.01)
        tasks += [asyncio.create_task(one.request("/booking/long", gateways[0])) for one in late]
        await asyncio.gather(*tasks)
        while record.now() < END:
            await asyncio.sleep(0.05)
    finally:
        standins.end([gateway.process for gateway in gateways])
    found = lost(usual + late, instances, stopped)
    served = sum(1 for one in usual + late for result in one.results if result[4] == 200)
    broken = sum(1 for one in late for result in one.results if result[4] != 200)
    record.write(f"requests served: {served}; long bookings not served: {broken}; LOST: {len(found)}")
    for name, gateway, status, sent, worked in found:
        record.write(
            f"LOST: {name} was sent to {gateway} {sent:.2f} s after its SIGTERM, and got {status} of its own while the "
            f"instance had been at work for {worked:.2f} s")
    print(f"served {served}, long bookings not served {broken}, lost {len(found)}; see {FOLDER / 'record.txt'}")
    if served == 0:
        return 2
    return 1 if found else 0


def main():
    if not standins.PROGRAM.exists():
        print(f"{standins.PROGRAM} is missing; build it first")
        return 2
    with tempfile.TemporaryDirectory() as folder:
        outcome = asyncio.run(play(pathlib.Path(folder)))
        if len(sys.argv) > 1:
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                print(log.name, log.read_text(), sep="\n")
        return outcome


sys.exit(main())
