"""Random histories in which upstreams send a refusal twice, also before another answer."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.requests import EngineRefusal
from pondhatch.requests._leases import LEASE_SECONDS
from pondhatch.requests.tests._history import (
    PACKET_FAULTS,
    SURPLUS,
    UPSTREAM_FAULTS,
    Fleet,
    violations,
)
from pondhatch.requests.tests.test_histories import PROFILE, REQUEST

#: Refusals, and second copies of them, more often than other faults.
FAULTS = st.one_of(
    st.just(SURPLUS),
    st.sampled_from((EngineRefusal.FULL, EngineRefusal.DECLINED, EngineRefusal.LEAVING)),
    st.sampled_from(UPSTREAM_FAULTS),
)


class SurplusHistoryTest(unittest.TestCase):
    # Guards against an unrepeatable request that runs twice, or that runs and is refused with the
    # promise that it did not: an earlier request's refusal was taken for its own.
    @settings(PROFILE, max_examples=PROFILE.max_examples // 2)
    @given(
        st.lists(REQUEST, min_size=2, max_size=12),
        st.lists(FAULTS, min_size=4, max_size=24),
        st.lists(st.sampled_from(PACKET_FAULTS), max_size=4),
        st.booleans(),
        st.booleans(),
    )
    def test_a_second_refusal_is_never_believed(
        self,
        requests: list[tuple[bool, bool, float]],
        upstream_faults: list[str],
        packet_faults: list[str],
        resumes: bool,
        same_chat: bool,
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, packet_faults, resumes)
            fleet.same_chat = same_chat
            # All by one router, whose connections then carry many of them.
            sent = [
                fleet.request_later(len(fleet.names) * at, *request)
                for at, request in enumerate(requests)
            ]
            await asyncio.gather(*sent)
            await asyncio.sleep(2 * LEASE_SECONDS)
            repeatable = {f"q{len(fleet.names) * at}": each[0] for at, each in enumerate(requests)}
            is_unheard = bool({"lost", "very-late"} & set(packet_faults))
            return violations(fleet, repeatable, 1 + is_unheard)

        self.assertEqual(run_virtually(history()), [])
