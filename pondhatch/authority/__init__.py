"""Authority: who may give a service's engines orders, and which orders are due."""

from pondhatch.authority._engine import (
    EngineOrders,
    EngineState,
    NotTaken,
    OldNumber,
    OrderOutcome,
    OrderUnknown,
    Reported,
    Silent,
    Taken,
    Wanted,
)
from pondhatch.authority._lease import LeaseKeeper
from pondhatch.authority._lease_record import LEASE_KIND, LeaseRecord, Read, Terms, Write
from pondhatch.authority._orderer import Orderer, OrdererStatus
from pondhatch.authority._orders import Due, due_orders, wanted_by_engine

__all__ = [
    "Due",
    "EngineOrders",
    "EngineState",
    "LEASE_KIND",
    "LeaseKeeper",
    "LeaseRecord",
    "NotTaken",
    "OldNumber",
    "OrderOutcome",
    "OrderUnknown",
    "Orderer",
    "OrdererStatus",
    "Read",
    "Reported",
    "Silent",
    "Taken",
    "Terms",
    "Wanted",
    "Write",
    "due_orders",
    "wanted_by_engine",
]
