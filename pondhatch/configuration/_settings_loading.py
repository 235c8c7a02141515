"""Reads the settings of one router process from YAML, and the files that they name."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from pondhatch.configuration._problems import ConfigurationError
from pondhatch.configuration._settings import Settings
from pondhatch.configuration._validation import validate
from pondhatch.configuration._yaml import YamlDocument, load_yaml

#: A number in a form that JSON has and YAML 1.1 reads as text, such as 1e-05.
EXPONENT_PATTERN = re.compile(r"-?[0-9]+(\.[0-9]+)?[eE][+-]?[0-9]+")
#: Sections whose fields are numbers that the platform fills in.
NUMERIC_SECTIONS = ("retries", "cold", "memory", "vm")

#: Shortest fleet key that is accepted, in bytes.
MIN_FLEET_KEY_BYTES = 16


def load_settings(path: Path) -> Settings:
    """Read a settings file. Raises ConfigurationError with every problem."""
    document = load_yaml(path)
    settings = validate(Settings, _with_parsed_numbers(_with_split_addresses(document.data)))
    if not isinstance(settings, Settings):
        raise ConfigurationError(
            tuple(document.problem(each.path, each.expected) for each in settings)
        )
    _check_tls(document, settings)
    return settings


def _with_split_addresses(data: Any) -> Any:
    """Return settings with each ``address: IP:port`` replaced by ``host`` and ``port``."""
    if not isinstance(data, dict):
        return data
    return {name: _with_split_address(value) for name, value in data.items()}


def _with_split_address(section: Any) -> Any:
    address = section.get("address") if isinstance(section, dict) else None
    host, _, port = str(address).rpartition(":")
    if not host or not port.isdigit():
        return section
    others = {name: value for name, value in section.items() if name != "address"}
    return {"host": host.strip("[]"), "port": int(port), **others}


def _with_parsed_numbers(data: Any) -> Any:
    """Return settings with numbers in exponent form, which YAML reads as text, converted."""
    sections = {name: data.get(name) for name in NUMERIC_SECTIONS} if isinstance(data, dict) else {}
    parsed = {
        section: {name: _parse_exponent_number(value) for name, value in values.items()}
        for section, values in sections.items()
        if isinstance(values, dict)
    }
    return {**data, **parsed} if parsed else data


def _parse_exponent_number(value: Any) -> Any:
    is_number = isinstance(value, str) and EXPONENT_PATTERN.fullmatch(value)
    return float(value) if is_number else value


def load_fleet_key(settings: Settings) -> bytes | None:
    """Read the fleet key; None if the settings name no file for it.

    Raises ConfigurationError if the file cannot be read or the key is too short.
    """
    if settings.fleet_key_file is None:
        return None
    path = Path(settings.fleet_key_file)
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise _fleet_key_error(settings, f"expected a readable file, {error.strerror}") from error
    if len(key) < MIN_FLEET_KEY_BYTES:
        raise _fleet_key_error(settings, f"expected at least {MIN_FLEET_KEY_BYTES} bytes in {path}")
    return key


def _check_tls(document: YamlDocument, settings: Settings) -> None:
    callers = settings.callers
    if (callers.certificate is None) != (callers.private_key is None):
        problem = document.problem(("callers",), "expected both certificate and private_key")
        raise ConfigurationError((problem,))
    peers = settings.peers
    files = (peers.certificate, peers.private_key, peers.authority)
    if any(files) and not all(files):
        expected = "expected all of certificate, private_key and authority, or none"
        raise ConfigurationError((document.problem(("peers",), expected),))


def _fleet_key_error(settings: Settings, expected: str) -> ConfigurationError:
    document = YamlDocument(settings.name, {}, {(): 0})
    return ConfigurationError((document.problem(("fleet_key_file",), expected),))
