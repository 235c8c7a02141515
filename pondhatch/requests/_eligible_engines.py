"""The engines that may take one request, and the plans that order them."""

from __future__ import annotations

from pondhatch.placement import Plan
from pondhatch.requests._entry_view import EnginePreference, EntryView
from pondhatch.requests._messages import RequestHead
from pondhatch.requests._outcomes import NotRun
from pondhatch.requests._stream_binding import StreamBinding


class EligibleEngines:
    """The engines that may take one request, as currently listed."""

    def __init__(
        self,
        view: EntryView,
        head: RequestHead,
        binding: StreamBinding,
        preference: EnginePreference,
    ) -> None:
        self._view = view
        self._head = head
        self._binding = binding
        self._preference = preference
        #: Key by which engines are ranked: the chat's, or the request's id without a chat.
        self.ranking_key = str(head.chat) if head.chat else head.request_id

    def names(self) -> tuple[str, ...]:
        """Return the engines that may take the request now."""
        engines = self._live()
        unregistered = self._binding.unregistered_versions()
        if not unregistered:
            return engines
        registered = tuple(
            each for each in engines if self._software_version(each) not in unregistered
        )
        return registered if registered or not self._binding.may_begin_unregistered() else engines

    def _live(self) -> tuple[str, ...]:
        """Return the engines that may take the request once streams may begin at their versions."""
        head = self._head
        return self._view.live_upstreams(head.service, head.regions, self._binding.software_version)

    async def await_registered(self) -> bool:
        """Wait until the request's stream may begin somewhere; return whether that took time."""
        return await self._binding.await_registered(self._live_versions)

    def unregistered_refusal(self) -> NotRun | None:
        """Return the refusal of a stream that may begin nowhere yet, though engines are live."""
        return self._binding.unregistered_refusal() if self._live() and not self.names() else None

    def _live_versions(self) -> frozenset[str]:
        found = {self._software_version(each) for each in self._live()}
        return frozenset(each for each in found if each is not None)

    def preferred_plan(self) -> Plan:
        """Return a plan that asks preferred engines first if the request has no chat."""
        plan = self.plan()
        if not self._head.chat:
            plan.prefer(self._preference.preferred(self._head.service, plan.order))
        return plan

    def plan(self) -> Plan:
        """Return a plan in the rendezvous order."""
        return Plan(self.ranking_key, self.names())

    def plan_without(self, engine: str) -> Plan:
        """Return a plan that asks an engine only if there is no other."""
        engines = self.names()
        others = tuple(name for name in engines if name != engine)
        return Plan(self.ranking_key, others or engines)

    def bound_wait(self) -> float:
        """Return the least wait in seconds that a stream bound to one of several versions bears."""
        every = self._view.live_upstreams(self._head.service, self._head.regions)
        return self._binding.least_queue_seconds(self.names(), every)

    def _software_version(self, engine: str) -> str | None:
        target = self._view.target(engine)
        return target.software_version if target is not None else None
