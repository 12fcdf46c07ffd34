"""Reads the platform's JSON: the policy's settings, also for the simulator, and a sender's `Config`."""

import json
import math
import os
import stat
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

from .. import interface
from ..membership.source import AddressError, parse_address
from ..startup import Unavailable, is_transient
from . import build
from . import model as schema

Config = build.Config
MEGABYTE = 1_000_000  # bytes
DEFAULT_MEMORY_MB = 192  # where the configuration gives no limit
EFFECTS_BY_SEMANTICS = {"free": "safe", "guarded": "keyed", "single_shot": "unsafe"}


class ConfigError(Exception):
    """The configuration can't be used; the text says why in one line."""


class ConfigUnavailable(ConfigError, Unavailable):
    """The configuration can't be read because of an error that may pass, so reading can be tried again."""


def read_classes(rows: list[dict]) -> dict[str, schema.Class]:
    """Reads the message classes, in order; a repeated name gets "#" and its index, so no class is lost."""
    classes: dict[str, schema.Class] = {}
    for index, row in enumerate(rows):
        name = row.get("name", "")
        classes[name if name not in classes else f"{name}#{index}"] = schema.Class(
            worth=row.get("worth", 1.0), aim=row.get("objective", 1000.0),
            deadline=row.get("hard-limit", 10000.0),
            late_worth=row.get("late-worth", 0.0), effect=EFFECTS_BY_SEMANTICS[row.get("semantics", "free")],
            remembered_by=row.get("group", "all"), repeat_window=row.get("repeat-window", 0.0),
            order=row.get("keep-order", False),
        )  # fmt: skip
    return classes


def read_kinds(names: list[str], batch: list[int], apart: list[bool]) -> dict[str, schema.Kind]:
    """Reads the kinds of endpoints from parallel lists; short lists are filled up with 1 and False."""
    return {
        name: schema.Kind(
            batch=batch[index] if index < len(batch) else 1,
            apart=apart[index] if index < len(apart) else False,
        )
        for index, name in enumerate(names)
    }


def read_model(raw: dict, sidecar: schema.Sidecar, resp: schema.Resp) -> schema.Model:
    """Converts the platform's settings to a model; absent keys take the defaults of its format."""
    info, limits, rules = raw.get("family-info", {}), raw.get("policy-limits", {}), raw.get("rules", {})
    kinds = read_kinds(raw.get("kinds", []), info.get("per-call", []), info.get("kind-apart", []))
    return schema.Model(
        sidecar=sidecar, resp=resp, amqp=schema.Amqp(), sink=schema.Sink(kind="http"),
        limits=schema.Limits(
            slots=info.get("workers", 1_000_000), held=limits.get("open-cap", 1_000_000),
            attempts=limits.get("max-attempts", 1_000_000),
        ),
        calls=schema.Calls(
            connect_timeout=limits.get("connect-timeout", 1000.0),
            keep_alive=limits.get("keepalive", 15000.0), cancel=limits.get("cancelling", False),
        ),
        rules=schema.Rules(
            tick=raw.get("tick", 1.0), answer_grace=rules.get("grace-to-answer", 0.0),
            drain_grace=rules.get("drain-grace", 0.0), overload_factor=rules.get("overload-factor", 2.0),
            fall=rules.get("fall", 3000.0), cold_from=rules.get("cold-from", 0.2),
            cold=rules.get("cold", 10000.0), turn_gap=rules.get("turn-gap", 0.0),
        ),
        fleet=schema.Fleet(
            senders=raw.get("fleet-size", 1), ordinal=raw.get("ordinal", 0),
            zones=tuple(raw.get("zones", [])), rough_rates=raw.get("weights") == "rough",
        ),
        classes=read_classes(raw.get("classes", [])), kinds=kinds, destinations={},
        platform=schema.Platform(
            tenants=tuple(
                (tenant.get("name", ""), tenant.get("quota-per-s", 0.0)) for tenant in raw.get("tenants", [])
            ),
            late_halves=info.get("late") == "by_half", over_share_worth=raw.get("over-share-worth", 1.0),
            must_ask=raw.get("membership-mode") == "subscribe", may_probe=limits.get("may-probe", False),
            parallel_tries=limits.get("parallel-tries", False), zone=raw.get("zone", 0),
            zone_fee=tuple(info.get("zone-fee", [])),
            report_fields=tuple(raw.get("report", {}).get("fields", [])),
            rated=raw.get("weights", "off") != "off",
        ),
    )  # fmt: skip


def settings(raw: dict) -> interface.Settings:
    """Builds the policy's settings from the platform's; raises ValueError if they contradict each other."""
    return build.settings(read_model(raw, schema.Sidecar(name="", state=""), schema.Resp(listen=("", 0))))


def require_address(text: object, name: str) -> tuple[str, int]:
    """Parses an address; raises ConfigError naming the setting."""
    try:
        return parse_address(text, name)
    except AddressError as error:
        raise ConfigError(str(error)) from error


def read_limit(limits: Mapping, name: str, default: float) -> float:
    """Reads one of the process's limits; raises ConfigError unless it is a finite number above 0."""
    value = limits.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ConfigError(f"limits.{name}: not a number above 0: {value!r}")
    return value


def read_error(name: str, error: OSError) -> ConfigError:
    """Returns the error to raise: ConfigUnavailable if the cause is transient, else ConfigError."""
    return ConfigUnavailable(f"{name}: {error}") if is_transient(error) else ConfigError(f"{name}: {error}")


def check_folder(state: Path) -> None:
    """Raises ConfigError unless the state folder is there; whether it is writable is left to the store."""
    try:
        mode = os.stat(state).st_mode
    except OSError as error:
        raise read_error("EDGE_STATE", error) from error
    if not stat.S_ISDIR(mode):
        raise ConfigError(f"EDGE_STATE: not a folder: {str(state)!r}")


def load(env: Mapping[str, str], required: frozenset[str] = frozenset()) -> Config:
    """Reads the configuration that the environment names; raises ConfigError or ConfigUnavailable.

    `required`: keys that the file has to have. The environment stands in for other keys that it lacks.
    """
    for name in ("EDGE_CONFIG", "EDGE_STATE"):
        if not env.get(name):
            raise ConfigError(f"{name} is not set")
    try:
        raw = json.loads(Path(env["EDGE_CONFIG"]).read_bytes())
    except OSError as error:
        raise read_error("EDGE_CONFIG", error) from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {error}") from error
    state = Path(env["EDGE_STATE"])
    check_folder(state)
    if not isinstance(raw, dict):
        raise ConfigError("EDGE_CONFIG: not a JSON object")
    if missing := required - raw.keys():
        raise ConfigError(f"EDGE_CONFIG: missing, and in the file in force: {', '.join(sorted(missing))}")
    try:
        return decode(raw, env, state)
    except KeyError as error:
        raise ConfigError(f"EDGE_CONFIG: missing or unknown: {error}") from error
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"EDGE_CONFIG: {error}") from error


def decode(raw: dict, env: Mapping[str, str], state: Path) -> Config:
    """Builds the configuration from parsed JSON.

    Raises ConfigError; JSON of an unexpected type may raise KeyError, TypeError, ValueError, AttributeError
    or OverflowError.
    """
    limits, raw_settings, known = raw.get("limits", {}), raw["settings"], raw.get("known", {"hosts": []})
    if not isinstance(known, dict) or not isinstance(known.get("hosts"), list):
        raise ConfigError('known: not an object with a list "hosts"')
    sidecar = schema.Sidecar(name=str(raw.get("name", env.get("EDGE_NAME", ""))), state=str(state))
    model = read_model(
        raw_settings,
        sidecar,
        schema.Resp(listen=require_address(raw.get("listen", env.get("EDGE_LISTEN")), "listen")),
    )
    assert model.platform is not None
    model.platform.discovery = require_address(raw.get("discovery", env.get("EDGE_DISCOVERY")), "discovery")
    model.platform.known = known
    model.limits.sockets = int(read_limit(limits, "sockets", 1024))
    model.limits.disk = int(read_limit(limits, "disk_mb", 3) * MEGABYTE)
    model.limits.memory = int(read_limit(limits, "memory_mb", DEFAULT_MEMORY_MB) * MEGABYTE)
    config = build.build_config(model, int(str(raw.get("seed", "0")), 16))
    return replace(config, file_keys=frozenset(raw))
