"""The store gives three of nine hosts no response for 9 s, then the configuration changes; twice. See claim.txt."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import ip_number, now, run_case  # noqa: E402

TURNED_AWAY_S = 9.0
WATCH_AGE = 2.97  # Of the hosts' watches when it begins; a quiet watch ends after 3.0 s.


async def watch_user(client, route, until):
    flow = None
    while now() < until:
        if flow is None or flow["over"]:
            flow = await client.open(route)
        if flow:
            outcome = await client.request(flow, client.site.next_request("GET", b""), "GET", b"", 600, 1.0)
            client.site.answered += outcome == "answered"
        await asyncio.sleep(0.5)


async def attempt(site, client, name, route, host):
    """One request on a flow of its own, whose packets are sent directly to one host."""
    sent = now()
    flow = await client.open(route, host)
    outcome = "not opened"
    if flow:
        outcome = await client.request(flow, site.next_request("GET", b""), "GET", b"", 600, 1.0)
        client.close(flow)
    site.record.write("attempt", sent=round(sent, 3), route=name, host=host.name, outcome=outcome.replace(" ", "_"))
    return sent, outcome


async def turn_away(site, number):
    """Three hosts get no response for a while; then a route is dropped and another one comes."""
    hosts = site.hosts[:3]  # One of each zone; 0.35 of the machines at most.
    name, next_name = f"route-{number}", f"route-{number + 1}"
    old = next((ip_number(r["Host"]), 443) for r in site.config["Routes"] if r["Name"] == name)
    site.config["Limits"]["HeaderTimeoutMs"] += 1
    site.publish()
    await asyncio.sleep(2.5)  # All hosts wait in the watch that followed this change.
    await asyncio.sleep(max(0, site.store.watch_began[hosts[0].name] + WATCH_AGE - now()))
    if site.trouble:
        site.store.turned_away = {host.name for host in hosts}
        site.record.write("store_turns_away", hosts=",".join(host.name for host in hosts))
    await asyncio.sleep(TURNED_AWAY_S)
    site.store.turned_away = set()
    answers_again = now()
    site.record.write("store_answers_all")
    await asyncio.sleep(0.3)
    site.config["Routes"] = [r for r in site.config["Routes"] if r["Name"] != name]
    new = site.add_route(next_name, f"198.18.6.{2 + number}", 443, "trading-floor")
    site.publish()
    # All machines are in touch, and the core is stable, SettleWindowMs after the store answers all again.
    judged_from = max(answers_again + site.settle, now() + site.apply_within)
    site.record.write("judged", from_s=round(judged_from, 3))
    await asyncio.sleep(judged_from + 0.02 - now())
    attempts = []
    while now() < judged_from + 2:
        for index, host in enumerate(hosts):
            client = site.clients[index]
            attempts.append((True, asyncio.ensure_future(attempt(site, client, name, old, host))))
            attempts.append((False, asyncio.ensure_future(attempt(site, client, next_name, new, host))))
        await asyncio.sleep(0.05)
    for dropped, task in attempts:
        sent, outcome = await task
        if dropped and outcome == "answered":
            site.broken("CONFIG", cause="run with a dropped route", sent=round(sent, 3))
        if not dropped and outcome != "answered":
            site.broken("CONFIG", cause="refused though the route is there", sent=round(sent, 3))


async def play(site):
    site.add_service("trading-floor")
    site.add_servers("trading-floor", 14)
    main = site.add_route("lot-watch", "198.18.0.1", 443, "trading-floor")
    site.add_route("route-0", "198.18.6.1", 443, "trading-floor")
    await site.start()
    await asyncio.sleep(6)
    users = [asyncio.ensure_future(watch_user(c, main, now() + 80)) for c in site.clients for _ in range(3)]
    for number in range(2):
        await turn_away(site, number)
        await asyncio.sleep(4)
    for user in users:
        user.cancel()


run_case(Path(__file__).parent, play, "CONFIG")
