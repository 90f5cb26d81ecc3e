import asyncio
import datetime
import ipaddress
import shutil
import tempfile
import unittest
from pathlib import Path

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from agatethread.cli import ControlTarget, dump_instance
from agatethread.exceptions import UnavailableError
from agatethread.rpc import AdminServer
from agatethread.settings import Settings, TlsSettings, format_address
from tests.fakes import free_port


def make_x509_name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def make_certificate(subject, key, issuer, issuer_key, is_authority):
    now = datetime.datetime.now(datetime.UTC)
    hosts = x509.SubjectAlternativeName(
        [x509.IPAddress(ipaddress.IPv4Address("127.0.0.1"))]
    )
    return (
        x509.CertificateBuilder()
        .subject_name(make_x509_name(subject))
        .issuer_name(make_x509_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(hosts, critical=False)
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        .sign(issuer_key, hashes.SHA256())
    )


def write_keys(folder):
    """Write an authority, a certificate and its key; return the paths."""
    folder.mkdir()
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority = make_certificate("ca", authority_key, "ca", authority_key, True)
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = make_certificate("agatethread", key, "ca", authority_key, False)
    encoding = serialization.Encoding.PEM
    (folder / "ca.pem").write_bytes(authority.public_bytes(encoding))
    (folder / "cert.pem").write_bytes(certificate.public_bytes(encoding))
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    files = (folder / name for name in ("cert.pem", "key.pem", "ca.pem"))
    return TlsSettings(*map(str, files))


class TestTls(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.own = write_keys(self.folder / "own")
        self.foreign = write_keys(self.folder / "foreign")
        self.address = format_address(("127.0.0.1", free_port()))

    def dump(self, tls):
        return dump_instance(ControlTarget((), 2.0, tls), self.address)

    def run_server(self, scenario):
        settings = Settings("e", "a", ("entry",), self.address, tls=self.own)

        async def main():
            server = AdminServer(settings, lambda: {"instance": "e"})
            await server.start()
            try:
                await scenario()
            finally:
                await server.stop()

        asyncio.run(main())

    def test_serves_only_peers_with_certificate_of_own_authority(self):
        """A peer without a certificate of the own authority is rejected."""

        async def scenario():
            self.assertEqual(await self.dump(self.own), {"instance": "e"})
            for tls in (self.foreign, None):
                with self.assertRaises(UnavailableError):
                    await self.dump(tls)
            channel = grpc.aio.secure_channel(
                self.address,
                grpc.ssl_channel_credentials(
                    Path(self.own.authority_file).read_bytes()
                ),
            )
            async with channel:
                with self.assertRaises(grpc.aio.AioRpcError):
                    call = channel.unary_unary("/agatethread.wire.Inspection/Dump")
                    await call(b"", timeout=2)

        self.run_server(scenario)

    def test_reads_replaced_key_files_without_restart(self):
        """After the key files are replaced, only the new authority is accepted."""

        async def scenario():
            await self.dump(self.own)
            old_folder = self.folder / "old"
            shutil.copytree(self.folder / "own", old_folder)
            for path in (self.folder / "foreign").iterdir():
                shutil.copy(path, self.folder / "own" / path.name)
            self.assertEqual(await self.dump(self.foreign), {"instance": "e"})
            names = ("cert.pem", "key.pem", "ca.pem")
            old_tls = TlsSettings(*(str(old_folder / name) for name in names))
            with self.assertRaises(UnavailableError):
                await self.dump(old_tls)

        self.run_server(scenario)
