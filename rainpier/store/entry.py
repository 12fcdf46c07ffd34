"""An accepted message and its progress."""

from dataclasses import dataclass

from ..attempt.rules import RULES
from ..interface import Outcome


@dataclass(slots=True, frozen=True)
class AttemptPlace:
    """Where an attempt was made, in terms that no edit of the configuration changes.

    `zone`: name of the endpoint's zone; None: not known, so that no endpoint is known to be in it.
    `endpoint`: CRC-32 of the endpoint's name; 0: not known.
    """

    zone: str | None = None
    endpoint: int = 0


UNKNOWN_PLACE = AttemptPlace()


@dataclass(slots=True)
class Entry:
    """One message that is not completed yet. Times are Unix time in ms, on the timeline of clock.py."""

    number: int  # ascending in order of acceptance; identifies the message inside the sidecar
    id: str
    cls: str  # name of its class
    destination: int  # id of the destination, see destinations.py
    key: int  # 0: unordered
    token: str  # idempotency key
    deadline: float
    body: bytes
    attempts: int = 0  # begun so far
    begun: float = 0.0  # start of the attempt that has no outcome yet; 0: none
    begun_place: AttemptPlace = UNKNOWN_PLACE  # of that attempt
    risky_at: float = 0.0  # start of the first attempt that may have run; 0: none
    risky_place: AttemptPlace = UNKNOWN_PLACE  # of that attempt
    end: str = ""  # the decided final status, which the completion notification carries
    retry: int = 0  # ms after which the client may submit again, sent with the final status
    effect: int = 0  # the strictest Effect that its class had since acceptance, with its group and window
    group: str = "all"  # which endpoints remember keys together, one of interface.GROUPS
    window: float = 0.0  # how long a receiver remembers a key, ms
    reply_to: str = ""  # the reply queue for the final status
    correlation: str = ""  # the correlation id to use there
    tenant: str = ""  # whose quota it counts against
    told: bool = False  # the final status has been sent to the reply queue

    def record_outcome(self, outcome: Outcome) -> None:
        """Closes the open attempt with this outcome."""
        if RULES.risky(False, outcome) and not self.risky_at:
            self.risky_at, self.risky_place = self.begun, self.begun_place
        self.begun = 0.0

    @property
    def class_terms(self) -> tuple[str, int, str, float]:
        """The class's name, and the effect, group and window that apply to this message."""
        return self.cls, self.effect, self.group, self.window
