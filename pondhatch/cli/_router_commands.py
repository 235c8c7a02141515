"""The commands that ask a running router by its admin port."""

from __future__ import annotations

import sys

import msgspec

from pondhatch.cli._event_loop import run_on_reactor
from pondhatch.cli._reports import EXIT_DONE, EXIT_UNREACHABLE
from pondhatch.kernel import as_future, install_reactor

#: Seconds to wait for a router's admin port.
ADMIN_SECONDS = 5


def dump(*, admin: str, json: bool = False) -> int:
    """Show a router's state: members, engines, limits, the last decisions and why.

    :param admin: the router's admin address, as "IP:port"
    :param json: as JSON
    """
    content = _ask_router(admin, "state.json" if json else "state")
    if content is None:
        return EXIT_UNREACHABLE
    print(content.decode(), end="")
    return EXIT_DONE


def where(*, admin: str) -> int:
    """Show which version of the configuration each router has in force, the slowest first.

    :param admin: any router's admin address, as "IP:port"
    """
    content = _ask_router(admin, "state.json")
    if content is None:
        return EXIT_UNREACHABLE
    state = msgspec.json.decode(content)
    for member in sorted(state["members"], key=lambda each: (each["configuration"], each["name"])):
        print(f"{member['configuration']}  {member['name']}  {member['hall']}  {member['status']}")
    return EXIT_DONE


def _ask_router(admin: str, path: str) -> bytes | None:
    """Return a page of a router's admin port, or None where it cannot be reached."""
    install_reactor()

    async def work() -> bytes | None:
        import treq

        try:
            response = await as_future(treq.get(f"http://{admin}/{path}", timeout=ADMIN_SECONDS))
            content: bytes = await as_future(response.content())
        except Exception as error:
            print(f"cannot reach {admin}: {error}", file=sys.stderr)
            return None
        return content

    return run_on_reactor(work())
