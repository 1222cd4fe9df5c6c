"""Reads the settings file of a process on the users' platform."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path

import msgspec
from msgspec import Struct, field

from crocusvalve.base import DomainId, NodeId
from crocusvalve.exceptions import SettingsError
from crocusvalve.gateway.base import Address, GatewayBounds, GatewaySettings

__all__ = ["SETTINGS_VARIABLE", "load_boot_settings"]

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "CROCUSVALVE_BOOT"
#: Step that errors of this module name.
STEP = "settings"


class _Listen(Struct):
    front: str
    ready: str
    control: str = ""


class _Bounds(Struct):
    contact_ms: float = field(name="contactMs", default=3000.0)
    drain_ms: float = field(name="drainMs", default=2000.0)
    grace_s: float = field(name="graceS", default=8.0)
    retry_ratio: float = field(name="retryRatio", default=0.1)
    retry_window_s: float = field(name="retryWindowS", default=10.0)
    #: Extra attempts of the whole system per window, independent of the number of requests.
    retry_slack: float = field(name="retrySlack", default=0.0)
    exposure_share: float = field(name="exposureShare", default=0.1)
    session_s: float = field(name="sessionS", default=5.0)


class _Store(Struct):
    address: str


class _Boot(Struct):
    node_name: str = field(name="nodeName")
    ip: str
    zone: str
    listen: _Listen
    #: Address of the store only, despite the name of the field.
    platform: _Store
    internal_ports: tuple[int, int] = field(name="internalPorts")
    #: Addresses of other gateways' control listeners; some may be out of date.
    seeds: tuple[str, ...] = ()
    bounds: _Bounds = field(default_factory=_Bounds)
    #: Whether prompts are placed by the prefixes that upstreams have cached.
    prefix_cache: bool = field(name="prefixCache", default=True)
    #: Gateways per failure domain that follow the store's tables; 0 if all do.
    table_readers: int = field(name="tableReaders", default=2)


def load_boot_settings(environ: Mapping[str, str] = os.environ) -> GatewaySettings:
    """Read the settings file at the path in the environment variable ``CROCUSVALVE_BOOT``.

    Unknown fields are ignored.

    Raises
    ------
    SettingsError
        If the variable or the file is missing, the file isn't TOML, or a field is missing or
        invalid.
    """
    path = environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError([f"the variable {SETTINGS_VARIABLE} is not set"], step=STEP)
    try:
        boot = msgspec.convert(tomllib.loads(Path(path).read_text()), _Boot, strict=False)
    except OSError as exc:
        raise SettingsError([f"{path} can't be read: {exc.strerror}"], step=STEP) from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError([f"{path} isn't TOML: {exc}"], step=STEP) from exc
    except msgspec.ValidationError as exc:
        raise SettingsError([f"{path}: {exc}"], step=STEP) from exc
    return _make_settings(boot, path)


def _make_settings(boot: _Boot, path: str) -> GatewaySettings:
    bounds = boot.bounds
    return GatewaySettings(
        node_id=NodeId(boot.node_name),
        domain=DomainId(boot.zone),
        front=_read_address(boot.listen.front, "listen.front", path),
        ready=_read_address(boot.listen.ready, "listen.ready", path),
        peer=Address(boot.ip, boot.internal_ports[0]),
        seeds=tuple(_read_address(seed, "seeds", path) for seed in boot.seeds),
        store=_read_address(boot.platform.address, "platform.address", path),
        uses_prefix_cache=boot.prefix_cache,
        bounds=GatewayBounds(
            contact_s=bounds.contact_ms / 1000,
            drain_s=bounds.drain_ms / 1000,
            grace_s=bounds.grace_s,
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            exposure_share=bounds.exposure_share,
            session_s=bounds.session_s,
        ),
        n_table_readers=boot.table_readers,
    )


def _read_address(text: str, name: str, path: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError([f"{path}: {name} must be HOST:PORT, got {text!r}"], step=STEP)
    return Address(host, int(port))
