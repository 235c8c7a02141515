"""Seals on gossip packets: only holders of the fleet key are heard."""

from __future__ import annotations

import hashlib
import hmac

#: Bytes of the seal in front of each packet.
SEAL_BYTES = 8
#: Longest key that blake2b takes, in bytes.
KEY_BYTES = 64


class Seal:
    """Keyed digests over packets; replayed packets are harmless, being old news."""

    def __init__(self, fleet_key: bytes) -> None:
        self._key = hashlib.blake2b(fleet_key, digest_size=KEY_BYTES).digest()

    def sign(self, payload: bytes) -> bytes:
        """Return the payload with its seal in front."""
        return self._digest(payload) + payload

    def verify(self, datagram: bytes) -> bytes | None:
        """Return the payload, or None where the seal does not fit."""
        seal, payload = datagram[:SEAL_BYTES], datagram[SEAL_BYTES:]
        if not hmac.compare_digest(seal, self._digest(payload)):
            return None
        return payload

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, digest_size=SEAL_BYTES, key=self._key).digest()
