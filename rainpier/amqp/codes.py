"""Reply codes (AMQP 0-9-1 specification, 1.3.1, and what brokers added since), and errors that carry one."""

SUCCESS = 200
CONTENT_TOO_LARGE, NO_ROUTE, NO_CONSUMERS = 311, 312, 313
CONNECTION_FORCED, INVALID_PATH, ACCESS_REFUSED, NOT_FOUND = 320, 402, 403, 404
RESOURCE_LOCKED, PRECONDITION_FAILED = 405, 406
FRAME_ERROR, SYNTAX_ERROR, COMMAND_INVALID, CHANNEL_ERROR = 501, 502, 503, 504
UNEXPECTED_FRAME, RESOURCE_ERROR, NOT_ALLOWED = 505, 506, 530
NOT_IMPLEMENTED, INTERNAL_ERROR = 540, 541
NAMES = {
    200: "REPLY_SUCCESS", 311: "CONTENT_TOO_LARGE", 312: "NO_ROUTE", 313: "NO_CONSUMERS",
    320: "CONNECTION_FORCED", 402: "INVALID_PATH", 403: "ACCESS_REFUSED", 404: "NOT_FOUND",
    405: "RESOURCE_LOCKED", 406: "PRECONDITION_FAILED", 501: "FRAME_ERROR", 502: "SYNTAX_ERROR",
    503: "COMMAND_INVALID", 504: "CHANNEL_ERROR", 505: "UNEXPECTED_FRAME", 506: "RESOURCE_ERROR",
    530: "NOT_ALLOWED", 540: "NOT_IMPLEMENTED", 541: "INTERNAL_ERROR",
}  # fmt: skip
MOST_TEXT = 255  # bytes of a reply text: a short string


class Refusal(Exception):
    """A peer's mistake; the code and the method that it was made in go into the close."""

    def __init__(self, code: int, text: str, method: tuple[int, int] = (0, 0)) -> None:
        super().__init__(text)
        self.code, self.method = code, method

    @property
    def text(self) -> str:
        return reply_text(self.code, str(self))


class ConnectionRefusal(Refusal):
    """Ends the connection (a hard error of section 1.3.1)."""


class ChannelRefusal(Refusal):
    """Ends its channel only (a soft error)."""


def reply_text(code: int, text: str) -> str:
    """`NAME - text` in printable ASCII, short enough for a short string."""
    told = f"{NAMES.get(code, code)} - {text}" if text else str(NAMES.get(code, code))
    safe = told.encode("ascii", "replace").decode()
    return "".join(c if c.isprintable() else "?" for c in safe)[:MOST_TEXT]
