"""Commands that RESP clients send on their own when they connect, such as HELLO, AUTH and INFO. No I/O.

A session belongs to one connection. Replies are RESP2 until HELLO 3 asks for RESP3 (Redis serialization
protocol specification, "Client handshake"); messages are submitted in the same way in both.
"""

import functools
import itertools
from collections.abc import Callable
from typing import ClassVar

from .requests import BadRequest, error_reply, printable

EMULATED_REDIS_VERSION = "6.2.0"  # Redis version reported to clients, which choose their handshake by it
# Encoded replies.
OK, NULL_RESP2, NULL_RESP3 = b"+OK\r\n", b"$-1\r\n", b"_\r\n"
NOAUTH = b"-NOAUTH Authentication required.\r\n"
WRONGPASS = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"
NOPROTO = b"-NOPROTO unsupported protocol version\r\n"
MAX_WRONG_PASSWORDS = 8  # of one connection, which is then closed: limits the guessing of passwords
MAX_NAME_BYTES = 128  # of a connection's name, see CLIENT SETNAME
COMMANDS = {  # by name: arity as Redis counts it, including the command; negative: at least that many
    "auth": -2,
    "client": -2,
    "command": -1,
    "config": -2,
    "echo": 2,
    "hello": -1,
    "info": -1,
    "msg.put": 5,
    "ping": -1,
    "quit": -1,
    "reset": 1,
    "select": 2,
}
CONNECTION_IDS = itertools.count(1)  # unique in this process


def bulk(value: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%s\r\n" % (len(value), value)


def bulk_text(value: str) -> bytes:
    """Encodes text as a bulk string."""
    return bulk(value.encode())


def array(items: list[bytes]) -> bytes:
    """Encodes an array of encoded items."""
    return b"*%d\r\n%s" % (len(items), b"".join(items))


def encode_command(name: str) -> bytes:
    """Encodes the COMMAND INFO entry of a known command."""
    numbers = [b":%d\r\n" % (1 if name == "msg.put" else 0)] * 3  # first key, last key, step
    return array([bulk_text(name), b":%d\r\n" % COMMANDS[name], array([]), *numbers])


@functools.cache
def all_commands() -> bytes:
    """Returns the reply to COMMAND, which is the same for all clients."""
    return array([encode_command(name) for name in COMMANDS])


def check_argument_count(args: list[bytes], minimum: int, maximum: int, name: str) -> None:
    """Raises BadRequest unless the number of arguments is within the limits."""
    if not minimum <= len(args) <= maximum:
        raise BadRequest(f"wrong number of arguments for '{name}'")


class Session:
    """State of one connection: protocol version, name, and whether it may submit messages.

    `password`: of AUTH; "": none is needed.
    """

    __slots__ = (
        "authenticated",
        "close_after_reply",
        "id",
        "name",
        "password",
        "protocol",
        "wrong_passwords",
    )

    def __init__(self, password: str = "") -> None:
        self.password, self.id = password, next(CONNECTION_IDS)
        self.close_after_reply, self.wrong_passwords = False, 0
        self.reset_state()

    def reset_state(self) -> None:
        """Sets the state of a new connection, also for RESET, which keeps the count of wrong passwords."""
        self.protocol, self.name, self.authenticated = 2, b"", not self.password

    def handle(self, name: bytes, args: list[bytes]) -> bytes | None:
        """Returns the reply to a session command, None for another command.

        Before authentication, every command that does not serve it gets an error. Raises BadRequest for
        invalid arguments.
        """
        handler = self.HANDLERS.get(name.upper())
        if not self.authenticated and name.upper() not in self.ALLOWED_BEFORE_AUTH:
            return NOAUTH
        return handler(self, args) if handler else None

    def encode_map(self, pairs: list[tuple[str, bytes]]) -> bytes:
        """Encodes a map: as such in RESP3, as a flat array in RESP2."""
        items = [part for key, value in pairs for part in (bulk_text(key), value)]
        return b"%%%d\r\n%s" % (len(pairs), b"".join(items)) if self.protocol == 3 else array(items)

    @property
    def null(self) -> bytes:
        """The encoded null of the session's protocol version."""
        return NULL_RESP3 if self.protocol == 3 else NULL_RESP2

    # --- authentication and handshake ---

    def check_password(self, user: bytes, password: bytes) -> bool:
        """Authenticates the connection and returns whether that succeeded.

        After MAX_WRONG_PASSWORDS failures it is closed.
        """
        import hmac  # loads OpenSSL, which a process without a password does not need

        password_matches = hmac.compare_digest(password, self.password.encode())
        if user == b"default" and password_matches:
            self.authenticated = True
            return True
        self.wrong_passwords += 1
        self.close_after_reply = self.wrong_passwords >= MAX_WRONG_PASSWORDS
        return False

    def auth(self, args: list[bytes]) -> bytes:
        """Handles AUTH with a password or with user and password."""
        check_argument_count(args, 1, 2, "AUTH")
        if not self.password:
            return error_reply(
                "AUTH called without any password configured. Are you sure your configuration is correct?"
            )
        user = args[0] if len(args) == 2 else b"default"
        return OK if self.check_password(user, args[-1]) else WRONGPASS

    def hello(self, args: list[bytes]) -> bytes:
        """Handles HELLO with protocol version, AUTH and SETNAME; replies with the server's properties.

        The version and the name change only if all of it is valid.
        """
        if args and args[0] not in (b"2", b"3"):
            return (
                NOPROTO
                if args[0].isdigit()
                else error_reply("Protocol version is not an integer or out of range")
            )
        protocol, rest, name = int(args[0]) if args else self.protocol, args[1:], None
        while rest:
            option, *rest = rest
            if option.upper() == b"AUTH" and len(rest) >= 2:
                if self.password and not self.check_password(rest[0], rest[1]):
                    return WRONGPASS
                rest = rest[2:]
            elif option.upper() == b"SETNAME" and rest:
                name, rest = self.valid_name(rest[0]), rest[1:]
            else:
                raise BadRequest(f"syntax error in HELLO option {printable(option)}")
        if not self.authenticated:
            return (
                b"-NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO "
                b"<proto> AUTH <user> <pass> option can be used\r\n"
            )
        self.protocol, self.name = protocol, self.name if name is None else name
        return self.encode_map(
            [
                ("server", bulk_text("rainpier")),
                ("version", bulk_text(EMULATED_REDIS_VERSION)),
                ("proto", b":%d\r\n" % protocol),
                ("id", b":%d\r\n" % self.id),
                ("mode", bulk_text("standalone")),
                ("role", bulk_text("master")),
                ("modules", array([])),
            ]
        )

    @staticmethod
    def valid_name(name: bytes) -> bytes:
        """Returns the name if it consists of visible ASCII characters; raises BadRequest otherwise."""
        if len(name) > MAX_NAME_BYTES or any(not 33 <= byte <= 126 for byte in name):
            raise BadRequest("Client names cannot contain spaces, newlines or special characters.")
        return name

    # --- other commands ---

    def client(self, args: list[bytes]) -> bytes:
        """Handles the subcommands of CLIENT that client libraries send when they connect."""
        check_argument_count(args, 1, 16, "CLIENT")
        command, rest = args[0].upper(), args[1:]
        if command == b"SETNAME":
            check_argument_count(rest, 1, 1, "CLIENT SETNAME")
            self.name = self.valid_name(rest[0])
            return OK
        if command == b"SETINFO":
            check_argument_count(rest, 2, 2, "CLIENT SETINFO")
            if rest[0].upper() not in (b"LIB-NAME", b"LIB-VER"):
                raise BadRequest(f"Unrecognized option {printable(rest[0])}")
            self.valid_name(rest[1])
            return OK
        if command in (b"NO-EVICT", b"NO-TOUCH"):
            return OK
        if command == b"ID":
            return b":%d\r\n" % self.id
        if command == b"GETNAME":
            return bulk(self.name) if self.name else self.null
        if command == b"INFO":
            return bulk_text(f"id={self.id} name={self.name.decode()} resp={self.protocol}\n")
        raise BadRequest(f"unknown subcommand {printable(args[0])} of 'CLIENT'")

    def info(self, args: list[bytes]) -> bytes:
        """Handles INFO: replies with the fields that client libraries check."""
        lines = [
            "# Server",
            f"redis_version:{EMULATED_REDIS_VERSION}",
            "redis_mode:standalone",
            "server_name:rainpier",
            "# Replication",
            "role:master",
            "connected_slaves:0",
            "# Persistence",
            "loading:0",
            "# Cluster",
            "cluster_enabled:0",
            "",
        ]
        section = "\r\n".join(lines).encode()
        return b"=%d\r\ntxt:%s\r\n" % (len(section) + 4, section) if self.protocol == 3 else bulk(section)

    def command(self, args: list[bytes]) -> bytes:
        """Handles COMMAND and its subcommands COUNT, DOCS, LIST and INFO."""
        subcommand = args[0].upper() if args else b""
        if subcommand == b"COUNT":
            return b":%d\r\n" % len(COMMANDS)
        if subcommand == b"DOCS":
            return self.encode_map([])
        if subcommand == b"LIST":
            return array([bulk_text(name) for name in COMMANDS])
        if subcommand not in (b"", b"INFO"):
            raise BadRequest(f"unknown subcommand {printable(args[0])} of 'COMMAND'")
        if not args[1:]:
            return all_commands()
        return array([self.command_info(arg.decode("latin-1").lower()) for arg in args[1:]])

    def command_info(self, name: str) -> bytes:
        """Encodes the COMMAND INFO entry of one command, null if it is unknown."""
        if name not in COMMANDS:
            return b"*-1\r\n" if self.protocol == 2 else NULL_RESP3
        return encode_command(name)

    def config(self, args: list[bytes]) -> bytes:
        """Handles CONFIG GET with an empty map; raises BadRequest for anything else."""
        if args and args[0].upper() == b"GET":  # some clients ask for Redis settings; none exist here
            return self.encode_map([])
        raise BadRequest("CONFIG is not for clients here")

    def select(self, args: list[bytes]) -> bytes:
        """Handles SELECT; only database 0 exists."""
        check_argument_count(args, 1, 1, "SELECT")
        return OK if args[0] == b"0" else error_reply("DB index is out of range")

    def echo(self, args: list[bytes]) -> bytes:
        """Handles ECHO."""
        check_argument_count(args, 1, 1, "ECHO")
        return bulk(args[0])

    def reset(self, args: list[bytes]) -> bytes:
        """Handles RESET: sets the state of a new connection."""
        check_argument_count(args, 0, 0, "RESET")
        self.reset_state()
        return b"+RESET\r\n"

    def quit(self, args: list[bytes]) -> bytes:
        """Handles QUIT: the connection closes after the reply."""
        self.close_after_reply = True
        return OK

    HANDLERS: ClassVar[dict[bytes, Callable[["Session", list[bytes]], bytes]]] = {
        b"AUTH": auth,
        b"HELLO": hello,
        b"CLIENT": client,
        b"INFO": info,
        b"COMMAND": command,
        b"CONFIG": config,
        b"SELECT": select,
        b"ECHO": echo,
        b"RESET": reset,
        b"QUIT": quit,
    }
    ALLOWED_BEFORE_AUTH: ClassVar[tuple[bytes, ...]] = (b"AUTH", b"HELLO", b"QUIT", b"RESET")
