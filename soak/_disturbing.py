"""Stops processes for a while, and disturbs the connections through a relay."""

from __future__ import annotations

import asyncio
import signal

from fakes._local_fleet import Backend
from fakes._machines_fleet import MachinesRouter
from soak._relay import Relay

#: Seconds by which a relay delays every chunk.
RELAY_DELAY = 0.2


async def freeze(target: MachinesRouter | Backend, seconds: float) -> None:
    """Have a process stand still for some seconds."""
    target.process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(seconds)
    finally:
        target.process.send_signal(signal.SIGCONT)


async def disturb_relay(relay: Relay, effect: str, seconds: float) -> None:
    """Reset, silence, delay or hold back a relay's connections."""
    if effect == "reset":
        relay.reset()
        return
    if effect == "silent":
        relay.silence()
        return
    if effect == "delayed":
        relay.delay = RELAY_DELAY
    else:
        relay.block(1)
    try:
        await asyncio.sleep(seconds)
    finally:
        relay.delay = 0.0
        relay.unblock(1)
