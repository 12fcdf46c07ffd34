"""What all rooms of a node share: its settings, its store, one clock, and the way into the next round."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from .. import interface as i
from ..config.place import Config
from ..store.commit import Commit
from ..store.files import Folder
from ..store.store import Store


class Core:
    """`push` takes an event to the next round; the store is written ahead of every step."""

    def __init__(self, config: Config, push: Callable[[i.Event], None]) -> None:
        self.config, self.push = config, push
        self.loop = asyncio.get_running_loop()
        self.s = replace(config.settings, ends_answered=True)
        self.epoch = time.time() * 1000 - self.loop.time() * 1000  # one clock for all processes
        self.store = Store(Folder(config.state), config.disk, self.now, config.machine)
        self.commit = Commit(self.store)
        self.classes: dict[str, int] = {}  # numbers by name
        self.name_classes()
        self.tenants = {tenant.name: number for number, tenant in enumerate(self.s.tenants)}
        self.stalled = False  # the module was told that no attempt can be recorded

    @property
    def now(self) -> float:
        """Unix time, ms."""
        return self.loop.time() * 1000 + self.epoch

    def name_classes(self) -> None:
        self.classes = {cls.name: number for number, cls in enumerate(self.s.classes)}

    def reconfigure(self, config: Config) -> None:
        """Only classes differ while the process runs, and what is not a setting of the policy."""
        self.config, self.s = config, replace(self.s, classes=config.settings.classes)
        self.name_classes()
