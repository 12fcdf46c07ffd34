"""A sidecar on a small disk, killed again and again under load: each message taken on gets its one end."""

import asyncio

from peers import Client, HttpPeer, drive, put
from sidecars import Sidecar, text

KILLS, SPAN = 3, 1.0  # times killed; s of traffic before each
BODY = b"x" * 1500


def test_killed_under_load_on_a_small_disk_no_message_is_lost_and_no_unsafe_one_runs_twice(tmp_path):
    """Several times 46 messages a second on 512 KiB: the log is compacted many times over between the kills."""

    async def story():
        ran, order, handed, refused = {}, {}, set(), 0

        async def takes(request, body):
            name = dict(request.headers)[b"x-call-id"].decode()
            ran[name] = ran.get(name, 0) + 1
            if name.startswith("k") and ran[name] == 1:
                key, _, n = name.partition("-")
                order.setdefault(key, []).append(int(n))
            await asyncio.sleep(0.01)
            return 200, [], b""

        async with HttpPeer(takes) as one, HttpPeer(takes) as two:
            written = text({"a": (1, [one.dial, two.dial], "2000/s")}).replace("slots = 8\nheld = 200", (
                'slots = 8\nheld = 40\ndisk = "512 KiB"\ntypical_body = "1500 B"\nlargest_body = "2 KiB"'))  # fmt: skip
            sequence = dict.fromkeys(range(6), 0)

            async def client(number, port):
                nonlocal refused
                cls = ("keyed", "safe", "unsafe")[number % 3]
                async with Client(port) as peer:
                    while not stop.is_set():
                        sequence[number] += 1
                        name = f"{cls[0]}{number}-{sequence[number]}"
                        try:
                            told = await peer.ask(
                                put(name, cls=cls, dest=1, key=f"{number + 1:x}", body=BODY)
                            )
                        except OSError:
                            return
                        if told == "OK":
                            handed.add(name)
                        elif told is None:
                            return
                        else:
                            refused += 1
                            await asyncio.sleep(0.01)

            starts, stop = 0, asyncio.Event()
            for turn in range(KILLS + 1):
                async with Sidecar(tmp_path, written) as sidecar:
                    starts += 1
                    clients = [asyncio.create_task(client(n, sidecar.port)) for n in range(6)]
                    await asyncio.sleep(SPAN)
                    assert (await sidecar.status())["store_bytes"] <= 512 << 10
                    if turn < KILLS:
                        await sidecar.kill()
                    else:
                        stop.set()
                        await asyncio.gather(*clients)
                        await sidecar.until(lambda told: not told["held"] and not told["ends_waiting"])
                    await asyncio.gather(*clients, return_exceptions=True)
                assert b"Traceback" not in sidecar.log and b"damaged" not in sidecar.log, sidecar.log.decode()
            segments = [int(path.stem) for path in (tmp_path / "state").glob("*.seg")]
            assert max(segments) > 4 * starts, "the log was not compacted"  # 16 segments fill the disk
            ends = [end["message"] for end in sidecar.ends()]
            given_up = [end["message"] for end in sidecar.ends() if end["outcome"] == "given_up"]
            assert len(ends) == len(set(ends)), "an end was told twice"
            assert handed <= ran.keys() | set(ends), "a message is lost"
            assert {name for name, count in ran.items() if count > 1 and name.startswith("u")} == set()
            assert all(name.startswith("u") for name in given_up), given_up  # the others can be sent again
            handed_back = set(ends) - set(given_up)
            assert (
                not {name for name in handed_back if name.startswith("u")} & ran.keys()
            ), "handed back, yet it ran"
            assert all(numbers == sorted(numbers) for numbers in order.values())
            assert len(handed) > 46 * SPAN * KILLS

    drive(story())
