"""What a sender is told at start: the settings, which the simulator's adapter shares, and its own place."""

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from .. import interface as i

SPARE = 24  # descriptors kept for files, the platform's connections, and what is just being closed
EFFECT = {"free": i.Effect.SAFE, "guarded": i.Effect.KEYED, "single_shot": i.Effect.UNSAFE}


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


def settings(raw: dict) -> i.Settings:
    """The raw settings in the interface's terms; absent keys take their plain meaning."""
    info, limits, rules = raw.get("family-info", {}), raw.get("policy-limits", {}), raw.get("rules", {})
    names = raw.get("kinds", [])
    batch, apart = info.get("per-call", []), info.get("kind-apart", [])
    return i.Settings(
        classes=tuple(
            i.MessageClass(
                name=c.get("name", ""), worth=c.get("worth", 1.0), aim=c.get("objective", 1000.0),
                deadline=c.get("hard-limit", 10000.0), late_worth=c.get("late-worth", 0.0),
                effect=EFFECT[c.get("semantics", "free")], group=c.get("group", "all"),
                repeat_window=c.get("repeat-window", 0.0), in_order=c.get("keep-order", False),
            )
            for c in raw.get("classes", [])
        ),
        tenants=tuple(i.Tenant(t.get("name", ""), t.get("quota-per-s", 0.0)) for t in raw.get("tenants", [])),
        kinds=tuple(
            i.Kind(name, batch[n] if n < len(batch) else 1, apart[n] if n < len(apart) else False)
            for n, name in enumerate(names)
        ) or (i.Kind(),),
        senders=raw.get("fleet-size", 1), ordinal=raw.get("ordinal", 0), zone=raw.get("zone", 0),
        slots=info.get("workers", 1_000_000), max_open=limits.get("open-cap", 1_000_000),
        max_attempts=limits.get("max-attempts", 1_000_000), late_halves=info.get("late") == "by_half",
        over_share_worth=raw.get("over-share-worth", 1.0), must_ask=raw.get("membership-mode") == "subscribe",
        may_probe=limits.get("may-probe", False), may_cancel=limits.get("cancelling", False),
        parallel_tries=limits.get("parallel-tries", False),
        connect_timeout=limits.get("connect-timeout", 1000.0), keep_alive=limits.get("keepalive", 15000.0),
        tick=raw.get("tick", 1.0), answer_grace=rules.get("grace-to-answer", 0.0),
        drain_grace=rules.get("drain-grace", 0.0), overload_factor=rules.get("overload-factor", 2.0),
        fall=rules.get("fall", 3000.0), cold_from=rules.get("cold-from", 0.2),
        cold=rules.get("cold", 10000.0),
        turn_gap=rules.get("turn-gap", 0.0), zone_fee=tuple(info.get("zone-fee", [])),
        report_fields=tuple(raw.get("report", {}).get("fields", [])),
        rates_rough=raw.get("weights") == "rough",
    )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Config:
    """One sender's configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: Path
    seed: int
    sockets: int  # file descriptors it may hold
    disk: int  # bytes that the state folder may hold
    settings: i.Settings
    zones: tuple[str, ...]
    rated: bool  # the list's shares are rates
    known: dict  # the receivers as last had, in discovery's form

    @property
    def for_calls(self) -> int:
        """Descriptors for calls and idle connections to receivers."""
        return max(min(self.settings.slots, self.sockets // 2), self.sockets - self.sockets // 2 - SPARE)

    @property
    def for_clients(self) -> int:
        """Descriptors for clients: what is left beside receivers, files and the platform's connections."""
        return max(1, self.sockets - SPARE - self.for_calls)


def address(text: object, name: str) -> tuple[str, int]:
    """HOST:PORT."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{name}: not HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


def limit(limits: Mapping, name: str, default: float) -> float:
    value = limits.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ConfigError(f"limits.{name}: not a number above 0: {value!r}")
    return value


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment names."""
    for name in ("EDGE_CONFIG", "EDGE_STATE"):
        if not env.get(name):
            raise ConfigError(f"{name} is not set")
    try:
        raw = json.loads(Path(env["EDGE_CONFIG"]).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {error}") from error
    state = Path(env["EDGE_STATE"])
    if not state.is_dir() or not os.access(state, os.W_OK):
        raise ConfigError(f"EDGE_STATE: not a writable folder: {str(state)!r}")
    if not isinstance(raw, dict):
        raise ConfigError("EDGE_CONFIG: not a JSON object")
    try:
        return decode(raw, env, state)
    except KeyError as error:
        raise ConfigError(f"EDGE_CONFIG: missing or unknown: {error}") from error
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"EDGE_CONFIG: {error}") from error


def decode(raw: dict, env: Mapping[str, str], state: Path) -> Config:
    limits, told, known = raw.get("limits", {}), raw["settings"], raw.get("known", {"hosts": []})
    if not isinstance(known, dict) or not isinstance(known.get("hosts"), list):
        raise ConfigError("known: not a list of receivers")
    return Config(
        name=str(raw.get("name", env.get("EDGE_NAME", ""))),
        listen=address(raw.get("listen", env.get("EDGE_LISTEN")), "listen"),
        discovery=address(raw.get("discovery", env.get("EDGE_DISCOVERY")), "discovery"),
        state=state,
        seed=int(str(raw.get("seed", "0")), 16),
        sockets=int(limit(limits, "sockets", 1024)),
        disk=int(limit(limits, "disk_mb", 3) * 1_000_000),
        settings=settings(told),
        zones=tuple(told.get("zones", [])),
        rated=told.get("weights", "off") != "off",
        known=known,
    )
