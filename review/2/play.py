"""Servers crash and start again at once under the ids that they had: two of fourteen, three times. See claim.txt."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import now, run_case  # noqa: E402


async def play(site):
    site.add_service("trading-floor")
    site.add_servers("trading-floor", 14)
    watch = site.add_route("lot-watch", "198.18.0.1", 443, "trading-floor")
    bid = site.add_route("bid", "198.18.0.1", 8443, "trading-floor", kind="unsafe")
    await site.start()
    await asyncio.sleep(5)  # Every machine is in touch.
    end = now() + 48
    users = []
    for number in range(900):
        client = site.clients[number % len(site.clients)]
        route, method, body = (bid, "POST", b"b" * 900) if number % 4 == 0 else (watch, "GET", b"")
        users.append(site.long_flows(client, route, method, lambda: random.uniform(3.0, 10.0), end, body=body))
    traffic = asyncio.gather(*users)
    await asyncio.sleep(14)
    crashing = random.sample(site.servers, 6)
    for _ in range(3):
        if site.trouble:
            first, second = crashing.pop(), crashing.pop()
            first.crash()
            second.crash()
            await asyncio.sleep(0.25)
            await first.restart()
            await asyncio.sleep(0.03)
            await second.restart()
        await asyncio.sleep(8)
    await traffic


run_case(Path(__file__).parent, play, "FLOW")
