"""The commands that send requests to the admin port of a running router."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from pondhatch.cli._event_loop import run_on_reactor
from pondhatch.cli._reports import EXIT_DONE, EXIT_INPUT, EXIT_UNREACHABLE
from pondhatch.kernel import as_future, install_reactor

HTTP_OK = 200
#: Timeout in seconds for a request to a router's admin port.
ADMIN_SECONDS = 5
#: Maximum bytes of a page: several times the state of a router in a fleet of the largest size.
MAX_PAGE_BYTES = 64 * 1024 * 1024


def dump(*, admin: str, json: bool = False) -> int:
    """Show a router's state: members, engines, limits and the last decisions with their reasons.

    :param admin: the router's admin address, as "IP:port"
    :param json: print JSON
    """
    content = _get_page(admin, "state.json" if json else "state")
    if content is None:
        return EXIT_UNREACHABLE
    print(content.decode(), end="")
    return EXIT_DONE


def where(*, admin: str) -> int:
    """Show the version of the configuration in force at each router, the oldest version first.

    :param admin: any router's admin address, as "IP:port"
    """
    content = _get_page(admin, "state.json")
    if content is None:
        return EXIT_UNREACHABLE
    try:
        state = msgspec.json.decode(content, type=_State)
    except (msgspec.DecodeError, RecursionError) as error:
        print(f"{admin} answered what is no router's state: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    for member in sorted(state.members, key=lambda each: (each.configuration, each.name)):
        print(f"{member.configuration}  {member.name}  {member.hall}  {member.status}")
    return EXIT_DONE


def lift(digest: str, *, admin: str) -> int:
    """Lift the quarantine of a request that engines ended on, so that all routers run it again.

    :param digest: the request's digest, as shown in the dump and in the routers' log lines
    :param admin: any router's admin address, as "IP:port"
    """
    reply = _call_router(admin, "POST", f"lift/{digest}")
    if reply is None:
        return EXIT_UNREACHABLE
    if reply.status != HTTP_OK:
        print(f"no evidence of crashes is held against request {digest}", file=sys.stderr)
        return EXIT_INPUT
    print(f"{digest} may run again")
    return EXIT_DONE


def _get_page(admin: str, path: str) -> bytes | None:
    """Return a page of a router's admin port, or None if it cannot be had there."""
    reply = _call_router(admin, "GET", path)
    if reply is None:
        return None
    if reply.status != HTTP_OK:
        print(f"{admin} answered {reply.status} for /{path}", file=sys.stderr)
        return None
    return reply.content


class _Member(msgspec.Struct, frozen=True):
    """A router, as another one knows it."""

    name: str
    hall: str
    status: str
    #: Version of the configuration in force there.
    configuration: int


class _State(msgspec.Struct, frozen=True):
    """The part of a router's state that commands read."""

    members: tuple[_Member, ...]


class _AdminReply(msgspec.Struct, frozen=True):
    """A reply of a router's admin port."""

    status: int
    content: bytes


def _call_router(admin: str, method: str, path: str) -> _AdminReply | None:
    """Send a request to a router's admin port; return the reply, or None if it is unreachable."""
    install_reactor()

    async def work() -> _AdminReply | None:
        import treq

        from pondhatch.standard import limited_agent, read_content

        url = f"http://{admin}/{path}"
        try:
            async with asyncio.timeout(ADMIN_SECONDS):
                call = treq.request(method, url, agent=limited_agent(), unbuffered=True)
                response = await as_future(call)
                content = await read_content(response, MAX_PAGE_BYTES)
        except Exception as error:
            print(f"cannot reach {admin}: {error}", file=sys.stderr)
            return None
        return _AdminReply(response.code, content)

    return run_on_reactor(work())
