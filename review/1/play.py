"""The store forgets its history once, after the configuration has grown by many routes; see claim.txt."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import now, run_case  # noqa: E402

GROWTH, STEPS = 1400, 4  # big_config of the site, four times.


async def watch_user(client, route, until):
    """A long flow of safe requests, so that there is traffic all the while."""
    flow = None
    while now() < until:
        if flow is None or flow["over"]:
            flow = await client.open(route)
        if flow:
            request = client.site.next_request("GET", b"")
            outcome = await client.request(flow, request, "GET", b"", 600, 1.0)
            client.site.answered += outcome == "answered"
        await asyncio.sleep(1.0)


async def attempt(site, client, name, route):
    """One request on a flow of its own: "answered" or what became of the attempt."""
    flow = await client.open(route)
    outcome = "not opened"
    if flow:
        outcome = await client.request(flow, site.next_request("GET", b""), "GET", b"", 600, 1.0)
        client.close(flow)
        site.answered += outcome == "answered"
    site.record.write("attempt", route=name, outcome=outcome.replace(" ", "_"))
    return outcome


async def play(site):
    site.add_service("trading-floor")
    site.add_servers("trading-floor", 14)
    main = site.add_route("lot-watch", "198.18.0.1", 443, "trading-floor")
    old = site.add_route("old", "198.18.6.1", 443, "trading-floor")
    for number in range(240):
        site.add_route(f"idle-{number}", f"198.18.1.{1 + number % 250}", 8080, "trading-floor")
    # Each host has a link of 10 Mbit/s, as 54 of the 62 machines of the site.
    site.store.link_bytes_per_s = 10e6 / 8
    await site.start()
    await asyncio.sleep(6)  # Every machine is in touch.
    end = now() + 66
    users = [asyncio.ensure_future(watch_user(c, main, end)) for c in site.clients for _ in range(3)]
    site.tasks += users
    for step in range(STEPS):
        for number in range(GROWTH):
            site.add_route(f"more-{step}-{number}", f"198.19.{10 * step + number // 250}.{1 + number % 250}", 8080,
                           "trading-floor")
        site.publish()
        await asyncio.sleep(4)

    def change():
        site.config["Limits"]["HeaderTimeoutMs"] += 1
        site.publish()
    if site.trouble:
        await site.store.forget_history(change)
        site.core_disturbed_at = now()
    else:
        change()
    await asyncio.sleep(site.settle + 4)  # Every machine is in touch, and the core is stable.
    # A route is dropped, and another one comes.
    site.config["Routes"] = [r for r in site.config["Routes"] if r["Name"] != "old"]
    new = site.add_route("new", "198.18.6.2", 443, "trading-floor")
    site.publish()
    confirmed = now()
    await asyncio.sleep(site.apply_within + 2)
    while now() < end - 3:
        for client in site.clients:
            late = round(now() - confirmed, 1)
            dropped, added = await asyncio.gather(attempt(site, client, "old", old), attempt(site, client, "new", new))
            if dropped == "answered":
                site.broken("CONFIG", cause="run with a dropped route", seconds_after_confirmation=late)
            if added != "answered":
                site.broken("CONFIG", cause="refused though the route is there", seconds_after_confirmation=late)
        await asyncio.sleep(2)
    await asyncio.gather(*users)


# The bounds of the site ezo-offcut-grown.
run_case(Path(__file__).parent, play, "CONFIG", settle=5.0, apply_within=5.0)
