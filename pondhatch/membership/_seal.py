"""Authentication of gossip packets: only packets of holders of the fleet key are accepted."""

from __future__ import annotations

import hashlib
import hmac

#: Bytes of the seal, a keyed digest, in front of each packet.
SEAL_BYTES = 8
#: Longest key that blake2b takes, in bytes.
KEY_BYTES = 64


class Seal:
    """Signs and verifies packets with keyed digests.

    Replayed packets are harmless, since they hold nothing new.
    """

    def __init__(self, fleet_key: bytes) -> None:
        self._key = hashlib.blake2b(fleet_key, digest_size=KEY_BYTES).digest()

    def sign(self, payload: bytes) -> bytes:
        """Return the payload with its seal in front."""
        return self._digest(payload) + payload

    def verify(self, datagram: bytes) -> bytes | None:
        """Return the payload, or None if the seal is wrong."""
        seal, payload = datagram[:SEAL_BYTES], datagram[SEAL_BYTES:]
        if not hmac.compare_digest(seal, self._digest(payload)):
            return None
        return payload

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, digest_size=SEAL_BYTES, key=self._key).digest()
