"""Sends evidence of what crashes engines, and claims of suspects' runs, to the other routers.

What is new goes to all others at once, and again 0.1 s later. Every two seconds a sample of all
known evidence goes to one random router, and three routers send all of it to a router that is new
or back. Without evidence nothing is sent.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator, Sequence

import msgspec

from pondhatch.membership import Datagram, Member
from pondhatch.quarantine import Evidence, EvidencePacket, RunClaim, RunClaimPacket
from pondhatch.router._new_members import NewMembers
from pondhatch.router._state import RouterState

#: First byte of a packet on suspected requests; no membership or grant packet begins with it.
CRASH_PACKET_PREFIX = b"\x02"
#: Maximum number of pieces of evidence in one packet: with names of 25 bytes it fits into an
#: Ethernet frame.
EVIDENCE_PER_PACKET = 24
#: Seconds between two samples of the known evidence: 0.5 KB/s at most, and a few samples contain
#: what a router missed.
SAMPLE_INTERVAL_SECONDS = 2.0

SendAll = Callable[[Iterable[Datagram]], None]


class CrashEvidenceSender:
    """Sends one router's evidence and claims."""

    def __init__(self, state: RouterState, send: SendAll, rng: random.Random) -> None:
        self._suspects = state.suspects
        self._state = state
        self._send = send
        self._rng = rng
        #: Evidence, and ended claims, to be sent to all routers once more.
        self._to_repeat: list[Evidence] = []
        self._ended_claims: list[RunClaim] = []
        self._sampled_at = float("-inf")
        self._new_members = NewMembers(state)
        self._encoder = msgspec.msgpack.Encoder()

    def broadcast(self, evidence: tuple[Evidence, ...]) -> None:
        """Send evidence to all other routers, now and once more in the next round."""
        self._to_repeat += evidence
        self.send_evidence(evidence)

    def send_evidence(self, evidence: Sequence[Evidence]) -> None:
        """Send evidence to all other routers, once."""
        self._send_evidence(evidence, self._state.other_members())

    def send_claim(self, claim: RunClaim) -> None:
        """Send the claim of a run to all other routers."""
        self._send_to_all(RunClaimPacket(claim))

    def send_ended(self, claim: RunClaim) -> None:
        """Tell all other routers that a claim has ended, now and once more in the next round."""
        self._send_to_all(RunClaimPacket(claim, has_ended=True))
        self._ended_claims.append(claim)

    def tick(self) -> None:
        """Run the periodic work of one round."""
        if self._to_repeat:
            self._repeat_evidence()
        ended, self._ended_claims = self._ended_claims, []
        for claim in ended:
            self._send_to_all(RunClaimPacket(claim, has_ended=True))
        self._send_to_new_members()
        self._send_sample()

    def _repeat_evidence(self) -> None:
        """Send evidence once more, with its age as of now."""
        to_repeat, self._to_repeat = self._to_repeat, []
        now = self._state.clock()
        current = [(each, self._suspects.current(each, now)) for each in to_repeat]
        self._send_evidence(
            [
                found
                for sent, found in current
                if found is not None and (sent.cleared or not found.cleared)
            ],
            self._state.other_members(),
        )

    def _send_to_new_members(self) -> None:
        """Send all known evidence to routers that are new or back."""
        new_members = self._new_members.to_inform(bool(self._suspects.suspect_by_digest))
        if new_members:
            evidence = self._suspects.all_evidence(self._state.clock())
            self._send_evidence(evidence, new_members)

    def _send_sample(self) -> None:
        """Send a sample of the known evidence to one random router, if that is due."""
        now = self._state.clock()
        if now - self._sampled_at < SAMPLE_INTERVAL_SECONDS or not self._suspects.suspect_by_digest:
            return
        self._sampled_at = now
        others = self._state.other_members()
        evidence = self._suspects.sample_evidence(now, self._rng, EVIDENCE_PER_PACKET)
        if others and evidence:
            self._send_evidence(evidence, [self._rng.choice(others)])

    def _send_evidence(self, evidence: Sequence[Evidence], to: list[Member]) -> None:
        for batch in _in_packets(evidence):
            self._send_packet(EvidencePacket(batch), to)

    def _send_to_all(self, packet: RunClaimPacket) -> None:
        self._send_packet(packet, self._state.other_members())

    def _send_packet(self, packet: EvidencePacket | RunClaimPacket, to: list[Member]) -> None:
        payload = CRASH_PACKET_PREFIX + self._encoder.encode(packet)
        self._send(Datagram(member.address, payload) for member in to)


def _in_packets(evidence: Sequence[Evidence]) -> Iterator[tuple[Evidence, ...]]:
    """Yield evidence in batches that each fit into a packet."""
    for offset in range(0, len(evidence), EVIDENCE_PER_PACKET):
        yield tuple(evidence[offset : offset + EVIDENCE_PER_PACKET])
