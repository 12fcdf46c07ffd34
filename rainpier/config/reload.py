"""Reads the platform's configuration again on SIGHUP and applies what can change while the process runs."""

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import fields

from ..membership.platform import Discovery
from ..observe.events import record
from ..sinks.http import HttpSink
from ..startup import LOG_INTERVAL, RETRY_PAUSE
from .platform import Config, ConfigError, ConfigUnavailable, load

log = logging.getLogger(__name__)
LIVE_FIELDS = ("discovery",)  # fields of Config that are applied while the process runs
# Used only at startup or for the next reload, so that a change of them is not reported.
STARTUP_FIELDS = ("seed", "known", "file_keys")
PARTIAL_WRITE_TIMEOUT = 0.5  # s for which an invalid file is read again, since it may still be being written


class Reload:
    """Reads the configuration on request. An invalid configuration leaves the current one in force.

    A file is also invalid if it lacks a key of the one in force: what would stand in for it, the environment
    of the start, is older.
    """

    def __init__(self, env: Mapping[str, str]) -> None:
        self.env, self.requested = env, asyncio.Event()

    def request(self) -> None:
        """Requests a reload. A signal handler calls it, also before `run` starts or several times."""
        self.requested.set()

    async def run(self, config: Config, discovery: Discovery, sink: HttpSink) -> None:
        """Waits for requests and applies each configuration that could be read, until cancelled."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            new = await self.read(config.file_keys)
            if new is not None:
                config = self.apply(config, new, discovery, sink)

    async def read(self, required: frozenset[str]) -> Config | None:
        """Returns the configuration once readable; None if it stays invalid for PARTIAL_WRITE_TIMEOUT.

        `required`: keys that the file has to have.
        """
        loop = asyncio.get_running_loop()
        started, last_logged = loop.time(), -LOG_INTERVAL
        while True:
            try:
                return load(self.env, required)
            except ConfigUnavailable as error:
                failure = error
            except ConfigError as error:
                if loop.time() - started >= PARTIAL_WRITE_TIMEOUT:
                    log.error("configuration not applied, keeping the current one: %s", error)
                    return None
                failure = error
            if loop.time() - last_logged >= LOG_INTERVAL:
                last_logged = loop.time()
                record("reload_delayed", level=logging.WARNING, error=failure)
            await asyncio.sleep(RETRY_PAUSE)

    def apply(self, old: Config, new: Config, discovery: Discovery, sink: HttpSink) -> Config:
        """Moves discovery and sink to the new address and returns `new`; logs what needs a restart."""
        changed = [f.name for f in fields(Config) if getattr(old, f.name) != getattr(new, f.name)]
        not_applied = [name for name in changed if name not in LIVE_FIELDS + STARTUP_FIELDS]
        if not_applied:
            log.warning("configuration: changes that need a restart, not applied: %s", ", ".join(not_applied))
        if new.discovery != discovery.address:
            discovery.move(new.discovery)
            sink.move(new.discovery)
        log.info("configuration reloaded: discovery at %s:%d", *new.discovery)
        return new
