"""Reply codes, and the exceptions that carry one.

The codes are those of the AMQP 0-9-1 specification, 1.3.1, and later additions of brokers.
"""

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
MAX_TEXT_BYTES = 255  # of a reply text, which is a short string


class AmqpException(Exception):
    """A protocol error of the peer, or a request of it that is not allowed.

    `code`, `text` and `method`, the class and method ID that caused it (0, 0: none), go into the close
    method.
    """

    def __init__(self, code: int, text: str, method: tuple[int, int] = (0, 0)) -> None:
        super().__init__(text)
        self.code, self.method = code, method

    @property
    def text(self) -> str:
        """The reply text, which begins with the name of the code."""
        return reply_text(self.code, str(self))


class ConnectionException(AmqpException):
    """Error that closes the connection (a hard error of section 1.3.1)."""


class ChannelException(AmqpException):
    """Error that closes only its channel (a soft error)."""


def reply_text(code: int, text: str) -> str:
    """Returns `NAME - text`, or the name alone for "", in printable ASCII and at most MAX_TEXT_BYTES long."""
    full_text = f"{NAMES.get(code, code)} - {text}" if text else str(NAMES.get(code, code))
    ascii_text = full_text.encode("ascii", "replace").decode()
    return "".join(char if char.isprintable() else "?" for char in ascii_text)[:MAX_TEXT_BYTES]
