"""State machine of a router's part in a lease: following, holding or stepping down."""

from __future__ import annotations

from typing import Protocol

import msgspec
from automat import TypeMachineBuilder


class LeaseState(Protocol):
    """Whether this router holds the lease."""

    def acquired(self) -> None:
        """A write of this router that makes it the holder, or renews its lease, took effect."""

    def lost(self) -> None:
        """Another router holds the lease, or none does."""

    def step_down(self) -> None:
        """Stop giving new orders, before the lease is released."""

    def may_order(self) -> bool:
        """Return whether orders may be given while the lease is valid."""

    def is_holder(self) -> bool:
        """Return whether the lease is this router's to renew or release."""


class _NoData(msgspec.Struct):
    """The state machine has no data beyond its state."""


_builder = TypeMachineBuilder(LeaseState, _NoData)
_following = _builder.state("following")
_holding = _builder.state("holding")
_stepping_down = _builder.state("stepping down")

_following.upon(LeaseState.acquired).to(_holding).returns(None)
_following.upon(LeaseState.lost).loop().returns(None)
_following.upon(LeaseState.step_down).loop().returns(None)
_following.upon(LeaseState.may_order).loop().returns(False)
_following.upon(LeaseState.is_holder).loop().returns(False)
_holding.upon(LeaseState.acquired).loop().returns(None)
_holding.upon(LeaseState.lost).to(_following).returns(None)
_holding.upon(LeaseState.step_down).to(_stepping_down).returns(None)
_holding.upon(LeaseState.may_order).loop().returns(True)
_holding.upon(LeaseState.is_holder).loop().returns(True)
_stepping_down.upon(LeaseState.acquired).loop().returns(None)
_stepping_down.upon(LeaseState.lost).to(_following).returns(None)
_stepping_down.upon(LeaseState.step_down).loop().returns(None)
_stepping_down.upon(LeaseState.may_order).loop().returns(False)
_stepping_down.upon(LeaseState.is_holder).loop().returns(True)
_build_machine = _builder.build()


def new_lease_state() -> LeaseState:
    """Return a state machine in its first state, following."""
    return _build_machine(_NoData())
