"""Authority: which router may give orders to a service's engines, and which orders are due."""

from pondhatch.authority._engine import (
    DesiredState,
    EngineOrders,
    EngineState,
    NoReply,
    NotTaken,
    OldNumber,
    OrderOutcome,
    OrderUnknown,
    StateReported,
    Taken,
)
from pondhatch.authority._lease import LeaseKeeper
from pondhatch.authority._lease_record import (
    LEASE_KIND,
    LeaseRecord,
    LeaseTimings,
    ReadLease,
    WriteLease,
)
from pondhatch.authority._orderer import Orderer, OrdererStatus
from pondhatch.authority._orders import DueOrder, desired_by_engine, due_orders

__all__ = [
    "DueOrder",
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
    "ReadLease",
    "StateReported",
    "NoReply",
    "Taken",
    "LeaseTimings",
    "DesiredState",
    "WriteLease",
    "due_orders",
    "desired_by_engine",
]
