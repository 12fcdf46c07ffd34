"""What RESP clients send by themselves when they connect: HELLO, AUTH, CLIENT, INFO and so on. No I/O.

A session belongs to one connection. Replies are RESP2 until HELLO 3 asks for RESP3 (Redis serialization
protocol specification, "Client handshake"); messages are handed in the same way in both.
"""

import hmac
import itertools
from collections.abc import Callable
from typing import ClassVar

from .requests import BadRequest, error, shown

LEVEL = "6.2.0"  # the Redis version whose handshake this is: clients choose their opening by it
OK, NULL2, NULL3 = b"+OK\r\n", b"$-1\r\n", b"_\r\n"
NOAUTH = b"-NOAUTH Authentication required.\r\n"
WRONGPASS = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"
NOPROTO = b"-NOPROTO unsupported protocol version\r\n"
MOST_WRONG = 8  # wrong passwords of one connection, then it is closed: guards against guessing without end
MAX_NAME = 128  # bytes of a connection's name
COMMANDS = {  # arity as Redis counts it: the name included, negative: at least
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
IDS = itertools.count(1)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(value), value)


def text(value: str) -> bytes:
    return bulk(value.encode())


def array(items: list[bytes]) -> bytes:
    return b"*%d\r\n%s" % (len(items), b"".join(items))


def need(args: list[bytes], least: int, most: int, name: str) -> None:
    if not least <= len(args) <= most:
        raise BadRequest(f"wrong number of arguments for '{name}'")


class Session:
    """One connection's protocol version, name and whether it may hand in messages."""

    __slots__ = ("allowed", "id", "name", "password", "protocol", "quit", "wrong")

    def __init__(self, password: str = "") -> None:
        self.password, self.id = password, next(IDS)
        self.quit, self.wrong = False, 0
        self.renew()

    def renew(self) -> None:
        self.protocol, self.name, self.allowed = 2, b"", not self.password

    def answer(self, name: bytes, args: list[bytes]) -> bytes | None:
        """The reply; None: it is none of the session's commands. BadRequest: what is wrong with it."""
        known = self.HANDLERS.get(name.upper())
        if not self.allowed and name.upper() not in self.OPEN:
            return NOAUTH
        return known(self, args) if known else None

    def map(self, pairs: list[tuple[str, bytes]]) -> bytes:
        flat = [part for key, value in pairs for part in (text(key), value)]
        return b"%%%d\r\n%s" % (len(pairs), b"".join(flat)) if self.protocol == 3 else array(flat)

    @property
    def null(self) -> bytes:
        return NULL3 if self.protocol == 3 else NULL2

    # --- who it is ---

    def check(self, user: bytes, password: bytes) -> bool:
        right = hmac.compare_digest(password, self.password.encode())
        if user == b"default" and right:
            self.allowed = True
            return True
        self.wrong += 1
        self.quit = self.wrong >= MOST_WRONG
        return False

    def auth(self, args: list[bytes]) -> bytes:
        need(args, 1, 2, "AUTH")
        if not self.password:
            return error(
                "AUTH called without any password configured. Are you sure your configuration is correct?"
            )
        user = args[0] if len(args) == 2 else b"default"
        return OK if self.check(user, args[-1]) else WRONGPASS

    def hello(self, args: list[bytes]) -> bytes:
        if args and args[0] not in (b"2", b"3"):
            return (
                NOPROTO if args[0].isdigit() else error("Protocol version is not an integer or out of range")
            )
        protocol, rest, name = int(args[0]) if args else self.protocol, args[1:], None
        while rest:
            option, *rest = rest
            if option.upper() == b"AUTH" and len(rest) >= 2:
                if self.password and not self.check(rest[0], rest[1]):
                    return WRONGPASS
                rest = rest[2:]
            elif option.upper() == b"SETNAME" and rest:
                name, rest = self.good_name(rest[0]), rest[1:]
            else:
                raise BadRequest(f"syntax error in HELLO option {shown(option)}")
        if not self.allowed:
            return (
                b"-NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO "
                b"<proto> AUTH <user> <pass> option can be used\r\n"
            )
        self.protocol, self.name = protocol, self.name if name is None else name
        return self.map(
            [
                ("server", text("rainpier")),
                ("version", text(LEVEL)),
                ("proto", b":%d\r\n" % protocol),
                ("id", b":%d\r\n" % self.id),
                ("mode", text("standalone")),
                ("role", text("master")),
                ("modules", array([])),
            ]
        )

    @staticmethod
    def good_name(name: bytes) -> bytes:
        if len(name) > MAX_NAME or any(not 33 <= byte <= 126 for byte in name):
            raise BadRequest("Client names cannot contain spaces, newlines or special characters.")
        return name

    # --- what it asks ---

    def client(self, args: list[bytes]) -> bytes:
        need(args, 1, 16, "CLIENT")
        command, rest = args[0].upper(), args[1:]
        if command == b"SETNAME":
            need(rest, 1, 1, "CLIENT SETNAME")
            self.name = self.good_name(rest[0])
            return OK
        if command == b"SETINFO":
            need(rest, 2, 2, "CLIENT SETINFO")
            if rest[0].upper() not in (b"LIB-NAME", b"LIB-VER"):
                raise BadRequest(f"Unrecognized option {shown(rest[0])}")
            self.good_name(rest[1])
            return OK
        if command in (b"NO-EVICT", b"NO-TOUCH"):
            return OK
        if command == b"ID":
            return b":%d\r\n" % self.id
        if command == b"GETNAME":
            return bulk(self.name) if self.name else self.null
        if command == b"INFO":
            return text(f"id={self.id} name={self.name.decode()} resp={self.protocol}\n")
        raise BadRequest(f"unknown subcommand {shown(args[0])} of 'CLIENT'")

    def info(self, args: list[bytes]) -> bytes:
        rows = [
            "# Server",
            f"redis_version:{LEVEL}",
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
        told = "\r\n".join(rows).encode()
        return b"=%d\r\ntxt:%s\r\n" % (len(told) + 4, told) if self.protocol == 3 else bulk(told)

    def command(self, args: list[bytes]) -> bytes:
        what = args[0].upper() if args else b""
        if what == b"COUNT":
            return b":%d\r\n" % len(COMMANDS)
        if what == b"DOCS":
            return self.map([])
        if what == b"LIST":
            return array([text(name) for name in COMMANDS])
        names = (
            [arg.decode("latin-1").lower() for arg in args[1:]] if what == b"INFO" and args[1:] else COMMANDS
        )
        if what not in (b"", b"INFO"):
            raise BadRequest(f"unknown subcommand {shown(args[0])} of 'COMMAND'")
        return array([self.described(name) for name in names])

    def described(self, name: str) -> bytes:
        if name not in COMMANDS:
            return b"*-1\r\n" if self.protocol == 2 else NULL3
        numbers = [b":%d\r\n" % (1 if name == "msg.put" else 0)] * 3  # first key, last key, step
        return array([text(name), b":%d\r\n" % COMMANDS[name], array([]), *numbers])

    def config(self, args: list[bytes]) -> bytes:
        if args and args[0].upper() == b"GET":  # some clients ask for settings of a cache: there are none
            return self.map([])
        raise BadRequest("CONFIG is not for clients here")

    def select(self, args: list[bytes]) -> bytes:
        need(args, 1, 1, "SELECT")
        return OK if args[0] == b"0" else error("DB index is out of range")

    def echo(self, args: list[bytes]) -> bytes:
        need(args, 1, 1, "ECHO")
        return bulk(args[0])

    def reset(self, args: list[bytes]) -> bytes:
        need(args, 0, 0, "RESET")
        self.renew()
        return b"+RESET\r\n"

    def end(self, args: list[bytes]) -> bytes:
        self.quit = True
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
        b"QUIT": end,
    }
    OPEN: ClassVar[tuple[bytes, ...]] = (b"AUTH", b"HELLO", b"QUIT", b"RESET")  # before AUTH
