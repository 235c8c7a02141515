"""Callers over real sockets: slow, malformed, oversized and encrypted requests."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
import socket
import ssl
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any, ClassVar

import openai
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError

from fakes._local_fleet import HOST, fetch
from fakes.tests._fleet_case import KEY, FleetCase

MEGABYTE = 1024 * 1024
GET_HEAD = f"GET /proofs/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"


def queued_bytes(ports: set[int]) -> int:
    """Return the bytes in the kernel's queues of this host's connections from or to ports."""
    queued = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        near, far, _, queues = line.split()[1:5]
        if ports & {int(end.rpartition(":")[2], 16) for end in (near, far)}:
            queued += sum(int(each, 16) for each in queues.split(":"))
    return queued


class CallerLimitTest(FleetCase):
    HALLS = ("recife-1",)
    ENGINES = 1
    SETTINGS: ClassVar[dict[str, Any]] = {
        "limits": {
            "chat_body_bytes": 4096,
            "header_bytes": 2048,
            "header_seconds": 1.0,
            "idle_seconds": 2.0,
        }
    }

    def port_of(self, url: str) -> int:
        return int(url.rsplit(":", 1)[1])

    def connect(self) -> socket.socket:
        port = self.port_of(self.fleet.routers[0].callers)
        connected = socket.create_connection((HOST, port), timeout=10)
        self.addCleanup(connected.close)
        return connected

    def response_to(self, sent: bytes) -> bytes:
        """Return all bytes until the router closes; raises TimeoutError after 10 s of silence."""
        connected = self.connect()
        connected.sendall(sent)
        return self.read_all(connected)

    def read_all(self, connected: socket.socket) -> bytes:
        received = b""
        try:
            while part := connected.recv(65536):
                received += part
        except ConnectionResetError:
            pass
        return received

    def test_malformed_heads_are_refused(self) -> None:
        cases = [
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET /x HTTP/1.1\r\nbad header\r\n\r\n", b"400"),
            (GET_HEAD.encode() + b"X-Long: " + b"x" * 4000 + b"\r\n\r\n", b"431"),
            (b"POST /proofs/x HTTP/1.1\r\nContent-Length: -5\r\n\r\n", b"400"),
            (
                b"POST /proofs/x HTTP/1.1\r\nContent-Length: 5\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"400",
            ),
        ]
        for sent, status in cases:
            with self.subTest(sent=sent[:60]):
                received = self.response_to(sent)
                self.assertTrue(received == b"" or status in received.split(b"\r\n")[0], received)

    def test_a_head_sent_too_slowly_is_cut(self) -> None:
        connected = self.connect()
        started = time.monotonic()
        received = b""
        try:
            for letter in GET_HEAD + "X-More: " + "y" * 60:
                connected.sendall(letter.encode())
                time.sleep(0.1)
        except OSError:
            pass
        else:
            received = self.read_all(connected)
        self.assertLess(time.monotonic() - started, 5)
        self.assertTrue(received == b"" or received.startswith(b"HTTP/1.1 408"))

    def test_a_stalled_body_is_cut(self) -> None:
        head = GET_HEAD.replace("GET", "POST") + "Content-Length: 100\r\n\r\nhalf"
        started = time.monotonic()
        self.response_to(head.encode())
        self.assertLess(time.monotonic() - started, 9)

    def test_a_chat_body_that_is_too_large_is_refused(self) -> None:
        path = "POST /v1/chat/completions HTTP/1.1\r\n"
        head = path + GET_HEAD.split("\r\n", 1)[1]
        sized = (head + "Content-Length: 9000\r\n\r\n").encode() + b" " * 9000
        chunk = b"1000\r\n" + b" " * 4096 + b"\r\n"
        chunked = (head + "Transfer-Encoding: chunked\r\n\r\n").encode() + chunk * 3
        for sent in (sized, chunked):
            received = self.response_to(sent)
            self.assertTrue(received.startswith(b"HTTP/1.1 413"), received[:80])
            self.assertIn(b"body-too-large", received)

    def test_pipelined_requests_are_answered_in_turn(self) -> None:
        one = (GET_HEAD + "\r\n").encode()
        last = (GET_HEAD + "Connection: close\r\n\r\n").encode()
        received = self.response_to(one + one + last)
        self.assertEqual(received.count(b"portal-0 GET /proofs/x"), 3)

    def test_a_slow_caller_does_not_grow_the_routers_memory(self) -> None:
        path = f"/proofs/large/{64 * MEGABYTE}"
        connected = self.connect()
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        before = self.fleet.routers[0].state()["memory_kb"]
        connected.sendall((GET_HEAD.replace("/proofs/x", path) + "\r\n").encode())
        time.sleep(3)
        ports = {self.port_of(self.portal.url), self.port_of(self.fleet.routers[0].callers)}
        written = fetch(f"{self.portal.url}/calls")["written"]
        in_kernel = queued_bytes(ports)
        grown = self.fleet.routers[0].state()["memory_kb"] - before
        # The kernel may hold tens of megabytes of one connection, as it is set up.
        self.assertLess(written - in_kernel, MEGABYTE)
        self.assertLess(grown, 2048)
        total = 0
        while total < 64 * MEGABYTE:
            part = connected.recv(MEGABYTE)
            if not part:
                break
            total += len(part)
        self.assertGreaterEqual(total, 64 * MEGABYTE)

    def test_a_request_body_is_streamed_not_buffered(self) -> None:
        connected = self.connect()
        size = 32 * MEGABYTE
        head = GET_HEAD.replace("GET", "POST") + f"Content-Length: {size}\r\n"
        connected.sendall((head + "Connection: close\r\n\r\n").encode())
        before = self.fleet.routers[0].state()["memory_kb"]
        sent = 0
        received = bytearray()
        while sent < size:
            connected.sendall(b"z" * MEGABYTE)
            sent += MEGABYTE
        grown = self.fleet.routers[0].state()["memory_kb"] - before
        while part := connected.recv(MEGABYTE):
            received += part
        self.assertLess(grown, 4096)
        self.assertGreater(len(received), size)


class PeerPortTest(FleetCase):
    """Routers ignore peers that lack the fleet key."""

    HALLS = ("recife-1",)
    ENGINES = 1

    def peer_port(self) -> int:
        name = self.fleet.routers[0].name
        vm = fetch(f"{self.fleet.platform_url}/v1/objects/vm/{name}")
        return int(vm["value"]["address"].rsplit(":", 1)[1])

    def test_a_call_without_the_token_is_refused(self) -> None:
        from pondhatch.transport import _wire as wire

        async def call() -> None:
            channel = Channel(HOST, self.peer_port(), codec=wire.MessagePackCodec())
            pull = UnaryUnaryMethod(channel, wire.PULL_METHOD, wire.PullRequest, wire.PullReply)
            try:
                for metadata in ({}, {wire.TOKEN_METADATA: "guess"}):
                    with self.assertRaisesRegex(GRPCError, "fleet key"):
                        await pull(wire.PullRequest(0, 0), metadata=metadata)
            finally:
                channel.close()

        asyncio.run(call())

    def test_unauthenticated_packets_are_counted_and_dropped(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(3):
                sender.sendto(b"x" * 40, (HOST, self.peer_port()))
        self.eventually(lambda: self.fleet.routers[0].state()["gossip_unsealed"] == 3)

    def test_a_caller_cannot_name_itself_another_account(self) -> None:
        answer = self.call_plain("/proofs/x", X_Account="studio-aurora", X_Priority="0")
        self.assertEqual(answer.status, 200)
        decision = self.fleet.routers[0].state()["decisions"][0]
        self.assertEqual(decision["account"], "visualisers-pina")


def write_certificate(folder: Path) -> None:
    """Write a self-signed certificate for loopback and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "pondhatch test")])
    today = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(today - datetime.timedelta(days=1))
        .not_valid_after(today + datetime.timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address(HOST))]),
            critical=False,
        )
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    (folder / "callers.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (folder / "callers.key").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


class TlsTest(FleetCase):
    """Callers use TLS with the stock client; routers use mutual TLS among themselves."""

    HALLS = ("recife-1", "recife-1")
    ENGINES = 2
    folder: ClassVar[Path]

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        write_certificate(cls.folder)
        super().setUpClass()

    @classmethod
    def caller_settings(cls) -> dict[str, Any]:
        return {
            "certificate": str(cls.folder / "callers.pem"),
            "private_key": str(cls.folder / "callers.key"),
        }

    @classmethod
    def peer_settings(cls) -> dict[str, Any]:
        tls_settings = cls.caller_settings()
        return {**tls_settings, "authority": tls_settings["certificate"]}

    def test_a_call_between_routers_without_a_certificate_is_refused(self) -> None:
        from pondhatch.transport import _wire as wire

        async def call(tls: ssl.SSLContext | None) -> None:
            port = self.fleet.routers[0].peer_port
            channel = Channel(HOST, port, codec=wire.MessagePackCodec(), ssl=tls)
            pull = UnaryUnaryMethod(channel, wire.PULL_METHOD, wire.PullRequest, wire.PullReply)
            try:
                async with asyncio.timeout(5):
                    await pull(wire.PullRequest(0, 0))
            finally:
                channel.close()

        no_certificate = ssl.create_default_context(cafile=str(self.folder / "callers.pem"))
        for tls in (None, no_certificate):
            with self.assertRaises((OSError, StreamTerminatedError, TimeoutError)):
                asyncio.run(call(tls))

    def test_the_stock_client_works_over_tls(self) -> None:
        trusted = ssl.create_default_context(cafile=str(self.folder / "callers.pem"))
        http = openai.DefaultHttpxClient(verify=trusted)
        self.addCleanup(http.close)
        for router in self.fleet.routers:
            # For each engine one router is not the owner, so its requests use TLS to the peer, too.
            base = f"{router.callers}/v1"
            self.assertTrue(base.startswith("https://"))
            client = openai.OpenAI(base_url=base, api_key=KEY, max_retries=0, http_client=http)
            for index in range(4):
                messages: Any = [{"role": "user", "content": f"tls {index}"}]
                stream: Any = client.chat.completions.create(
                    model="scene-writer", messages=messages, stream=True
                )
                text = "".join(part.choices[0].delta.content or "" for part in stream)
                self.assertTrue(self.is_whole_answer(text), text)


if __name__ == "__main__":
    unittest.main()
