"""Which software version began each stream: records of it, and what follows without one."""

from pondhatch.router.streams._exchange import StreamOriginExchange
from pondhatch.router.streams._packets import ORIGIN_PACKET_PREFIX

__all__ = ["ORIGIN_PACKET_PREFIX", "StreamOriginExchange"]
