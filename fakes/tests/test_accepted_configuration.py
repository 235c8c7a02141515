"""Router processes apply a configuration that the platform accepts, even an unexpected one.

Guards against the incident described in `pondhatch/platform/tests/test_accepted_configuration.py`.
"""

from __future__ import annotations

import signal
from typing import Any

from fakes._machines_fleet import MachinesRouter, eventually, with_version
from fakes.tests.test_prepared_machines import MachinesCase
from pondhatch.platform.tests._wire import CONFIGURATION

#: Seconds until a change is in force, and until started routers serve. The users' limits are 2
#: and 12 s, on machines that run nothing else.
IN_FORCE_SECONDS = 5.0
RESTART_SECONDS = 12.0


def with_more_keys(version: int) -> dict[str, Any]:
    """Return a configuration with an account of 17 keys, a new account and a new route."""
    newer = with_version(CONFIGURATION, version)
    newer["Tenants"][1]["ApiKeys"] = [f"rosa-{index}" for index in range(17)]
    newer["Tenants"].append({"Name": "nova", "ApiKeys": ["key-nova"]})
    newer["Routes"].append({**newer["Routes"][2], "Name": "r-new", "Host": "new.example"})
    return newer


class AcceptedConfigurationTest(MachinesCase):
    def test_takes_effect_and_is_in_force_again_after_a_power_loss(self) -> None:
        self.fleet.put_object("config", "main", with_more_keys(20))
        for router in self.fleet.machine_routers:
            eventually(lambda router=router: self.is_in_force(router), IN_FORCE_SECONDS)  # type: ignore[misc]
        for router in self.fleet.machine_routers:
            router.process.send_signal(signal.SIGKILL)
        for router in self.fleet.machine_routers:
            router.process.wait(10)
        self.fleet.machine_routers.clear()
        restarted = [self.fleet.add_router(hall) for hall in ("hall-1", "hall-2")]
        for router in restarted:
            eventually(lambda router=router: self.is_in_force(router), RESTART_SECONDS)  # type: ignore[misc]

    def is_in_force(self, router: MachinesRouter) -> bool:
        if not router.is_ready():
            return False
        authorizations = ("Bearer key-nova", "Bearer rosa-16")
        answers = [
            self.send_request(router, "/proofs/a", b"x", Host="new.example", Authorization=key)
            for key in authorizations
        ]
        return [answer.status for answer in answers] == [200, 200]
