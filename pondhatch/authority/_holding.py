"""Whether a router holds a lease, as a state machine: following, holding, stepping down."""

from __future__ import annotations

from typing import Protocol

import msgspec
from automat import TypeMachineBuilder


class Holding(Protocol):
    """Whether this router holds the lease."""

    def won(self) -> None:
        """A write that makes this router the holder took effect."""

    def lost(self) -> None:
        """Another router holds the lease, or nobody."""

    def step_down(self) -> None:
        """Begin to give the lease up: no new orders."""

    def may_order(self) -> bool:
        """Return whether orders may be given, if the lease is valid."""

    def is_holder(self) -> bool:
        """Return whether the lease is this router's to renew or release."""


class _Nothing(msgspec.Struct):
    """The machine itself remembers nothing more."""


_builder = TypeMachineBuilder(Holding, _Nothing)
_following = _builder.state("following")
_holding = _builder.state("holding")
_stepping_down = _builder.state("stepping down")

_following.upon(Holding.won).to(_holding).returns(None)
_following.upon(Holding.lost).loop().returns(None)
_following.upon(Holding.step_down).loop().returns(None)
_following.upon(Holding.may_order).loop().returns(False)
_following.upon(Holding.is_holder).loop().returns(False)
_holding.upon(Holding.won).loop().returns(None)
_holding.upon(Holding.lost).to(_following).returns(None)
_holding.upon(Holding.step_down).to(_stepping_down).returns(None)
_holding.upon(Holding.may_order).loop().returns(True)
_holding.upon(Holding.is_holder).loop().returns(True)
_stepping_down.upon(Holding.won).loop().returns(None)
_stepping_down.upon(Holding.lost).to(_following).returns(None)
_stepping_down.upon(Holding.step_down).loop().returns(None)
_stepping_down.upon(Holding.may_order).loop().returns(False)
_stepping_down.upon(Holding.is_holder).loop().returns(True)
_new_holding = _builder.build()


def new_holding() -> Holding:
    """Return a machine that does not hold the lease."""
    return _new_holding(_Nothing())
