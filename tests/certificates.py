"""Certificate authorities and host certificates for tests."""

import datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

DAY = datetime.timedelta(days=1)


def _name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _sign(subject, public, issuer, key, is_authority):
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(_name(issuer))
        .public_key(public)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        .sign(key, hashes.SHA256())
    )


def _write(path, key, certificate):
    key_path, certificate_path = path.with_suffix(".key"), path.with_suffix(".pem")
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return key_path, certificate_path


def write_certificates(folder, authority="fleet"):
    """Write an authority and a host certificate; return their settings section."""
    authority_key = ec.generate_private_key(ec.SECP256R1())
    root = _sign(authority, authority_key.public_key(), authority, authority_key, True)
    _, root_path = _write(folder / f"{authority}-root", authority_key, root)
    key = ec.generate_private_key(ec.SECP256R1())
    leaf = _sign("host", key.public_key(), authority, authority_key, False)
    key_path, leaf_path = _write(folder / f"{authority}-host", key, leaf)
    return (
        f"[peer-tls]\ncertificate = {leaf_path}\nkey = {key_path}\n"
        f"authority = {root_path}\n"
    )
