"""Identifies a request's chat from the body of a chat completion."""

from __future__ import annotations

import hashlib

import msgspec

#: Length of a chat's key in bytes.
CHAT_KEY_BYTES = 8


class _Message(msgspec.Struct):
    role: str
    content: msgspec.Raw = msgspec.Raw(b'""')


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool = False
    prompt_cache_key: str | None = None


class ChatRequest(msgspec.Struct, frozen=True):
    """The parts of a chat completion's body that routing needs."""

    model: str
    #: 64-bit key of the chat, never 0.
    chat: int
    stream: bool
    #: Whether an earlier turn was answered, so that some engine holds its context.
    is_followup: bool


class MalformedChat(Exception):
    """The body is not a valid chat completion; the message says what was expected."""


def read_chat(account: str, body: bytes) -> ChatRequest:
    """Read a body. Raises MalformedChat.

    A caller may name its chat in ``prompt_cache_key``; otherwise the messages up
    to the first user message identify it, since every later turn repeats them.
    """
    try:
        parsed = msgspec.json.decode(body, type=_ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedChat(str(error)) from error
    if not parsed.messages:
        raise MalformedChat("Expected at least one message - at `$.messages`")
    key = hashlib.blake2b(account.encode(), digest_size=CHAT_KEY_BYTES)
    key.update(b"\0" + parsed.model.encode())
    if parsed.prompt_cache_key is not None:
        key.update(b"\0key\0" + parsed.prompt_cache_key.encode())
    else:
        _add_first_messages(key, parsed.messages)
    is_followup = any(message.role == "assistant" for message in parsed.messages)
    chat = int.from_bytes(key.digest(), "big") or 1
    return ChatRequest(parsed.model, chat, parsed.stream, is_followup)


def _add_first_messages(key: hashlib.blake2b, messages: list[_Message]) -> None:
    for message in messages:
        key.update(b"\0" + message.role.encode() + b"\0" + bytes(message.content))
        if message.role == "user":
            return
