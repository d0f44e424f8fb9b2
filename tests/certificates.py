"""Create certificates for tests of TLS."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

Key = ec.EllipticCurvePrivateKey


class Authority:
    """Sign certificates for hosts on loopback."""

    def __init__(self, folder: Path, name: str = 'authority') -> None:
        """Create the authority and write its certificate."""
        self.path = folder / f'{name}.pem'
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        basics = x509.BasicConstraints(ca=True, path_length=None)
        builder = self._start_builder(self._name, self._key)
        certificate = builder.add_extension(basics, critical=True).sign(
            self._key, hashes.SHA256()
        )
        self.path.write_bytes(_encode_pem(certificate))

    def issue(self, folder: Path, name: str = 'host') -> tuple[Path, Path]:
        """Write a certificate for 127.0.0.1 and its key; return both paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
        names = x509.SubjectAlternativeName([address])
        certificate = (
            self._start_builder(subject, key)
            .add_extension(names, critical=False)
            .sign(self._key, hashes.SHA256())
        )
        paths = folder / f'{name}.pem', folder / f'{name}.key'
        paths[0].write_bytes(_encode_pem(certificate))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return paths

    def _start_builder(
        self, subject: x509.Name, key: Key
    ) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        hour = datetime.timedelta(hours=1)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - hour)
            .not_valid_after(now + hour)
        )


def _encode_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
