"""The zones of endpoints, which operators and endpoint discovery name, and the policy numbers. Does no I/O.

Only names are stored or compared with what an earlier process recorded: a number is valid in one process, for
the list of zones that this process was started with.
"""

from collections import Counter

from ..interface import UNKNOWN_ZONE

MAX_UNUSED_ZONES = 1024  # zones outside the list that are known although none of their endpoints is


class ZoneNumbers:
    """The numbers of zones in this process, by name.

    A zone of the configured list has its position there, by which settings refer to it. Any other name is a
    zone of its own, with a number from the length of that list up. No number is given to a second name.
    """

    def __init__(self, configured: tuple[str, ...]) -> None:
        self.configured_count = len(configured)
        self.names = dict(enumerate(configured))
        self.numbers: dict[str, int] = {}
        for number, name in self.names.items():
            self.numbers.setdefault(name, number)
        self.next_number = self.configured_count
        self.endpoint_counts: Counter[int] = Counter()  # known endpoints by number of their zone
        # Zones outside the list without endpoints, the longest unused first.
        self.unused: dict[int, None] = {}

    def number(self, name: str | None) -> int:
        """Returns the number of a zone; UNKNOWN_ZONE for None."""
        if name is None:
            return UNKNOWN_ZONE
        if name not in self.numbers:
            self.numbers[name] = self.next_number
            self.names[self.next_number] = name
            self.next_number += 1
        return self.numbers[name]

    def name(self, number: int) -> str:
        """Returns the name of a zone that has an endpoint, or is configured."""
        return self.names[number]

    def add_endpoint(self, number: int) -> None:
        """Counts an endpoint of the zone with this number."""
        self.endpoint_counts[number] += 1
        self.unused.pop(number, None)

    def remove_endpoint(self, number: int) -> None:
        """Counts an endpoint less, and drops the zone longest unused beyond MAX_UNUSED_ZONES.

        A message that is bound to a dropped zone is not sent again, also if the zone comes back.
        """
        self.endpoint_counts[number] -= 1
        if self.endpoint_counts[number]:
            return
        del self.endpoint_counts[number]
        if number >= self.configured_count:
            self.unused[number] = None
        if len(self.unused) > MAX_UNUSED_ZONES:
            oldest = next(iter(self.unused))
            del self.unused[oldest], self.numbers[self.names.pop(oldest)]
