"""State shared by all components of a node: settings, store, clock, and access to the queue of events."""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from .. import interface as i
from ..config.build import Config
from ..observe.events import record
from ..store.clock import ClockReading
from ..store.commit import GroupCommit
from ..store.files import Folder
from ..store.store import Store
from .zones import ZoneNumbers


class Core:
    """Settings, store and clock of one process.

    `push` queues an event for the policy's next round.
    """

    def __init__(self, config: Config, push: Callable[[i.Event], None]) -> None:
        """Opens the store in the folder `config.state`."""
        self.config, self.push = config, push
        self.loop = asyncio.get_running_loop()
        # The policy blocks a key until EndAnswered, which completions.py pushes for each final status.
        self.settings = replace(config.settings, ends_answered=True)
        reading, wall = ClockReading.now(), time.time() * 1000
        self.store = Store(Folder(config.state), config.disk, wall, config.machine, reading)
        self.epoch = self.store.opened_at - reading.monotonic  # ms; `now` at loop time 0
        ahead = self.store.opened_at - wall
        record("clock", "wall" if not reading.boot else "monotonic", ahead_of_wall_ms=round(ahead))
        self.commit = GroupCommit(self.store)
        self.zones = ZoneNumbers(config.zones)
        self.classes: dict[str, int] = {}  # class numbers by name
        self.index_classes()
        # By number and by name, of the configured destinations; empty on the platform, which has no names.
        self.destination_ids: dict[int, int] = {}
        self.destination_ids_by_name: dict[str, int] = {}
        self.record_destinations()
        self.tenants = {tenant.name: number for number, tenant in enumerate(self.settings.tenants)}
        self.stalled = False  # whether the policy was last told that attempts can't be recorded

    @property
    def now(self) -> float:
        """Current time in ms, on the clock that successive processes share (store/clock.py)."""
        return self.loop.time() * 1000 + self.epoch

    def index_classes(self) -> None:
        """Rebuilds the class numbers by name from the settings."""
        self.classes = {cls.name: number for number, cls in enumerate(self.settings.classes)}

    def record_destinations(self, used: Iterable[int] = ()) -> None:
        """Records the configured destinations, and indexes their ids. `used`: see the store."""
        self.store.record_destination_names(self.config.destinations, used)
        recorded = self.store.state.destinations
        self.destination_ids_by_name = {name: recorded[name].id for name in self.config.destinations}
        self.destination_ids = {recorded[name].number: recorded[name].id for name in self.config.destinations}

    def destination_id(self, number: int) -> int | None:
        """Returns the id of the destination that clients call `number`; None if none is configured as it."""
        return self.destination_ids.get(number) if self.config.destinations else number

    def destination_number(self, destination_id: int) -> int:
        """Returns the number by which clients call a destination, also one that was removed."""
        return self.store.state.numbers_by_destination_id.get(destination_id, destination_id)

    def reconfigure(self, config: Config, used: Iterable[int]) -> None:
        """Replaces the configuration. Of the policy's settings only the classes are replaced.

        `used`: ids of destinations of messages that are not in the store yet.
        """
        self.config, self.settings = config, replace(self.settings, classes=config.settings.classes)
        self.index_classes()
        self.record_destinations(used)
