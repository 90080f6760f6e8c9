"""Ed25519 keys of people and hosts, stored in files as hex."""

from pathlib import Path

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from .exceptions import ApricotshoreError


def load_key(path: Path) -> Ed25519PrivateKey:
    """Read a private key from a file.

    Raises
    ------
    ApricotshoreError
        When the file cannot be read or does not contain a key.
    """
    try:
        return Ed25519PrivateKey.from_private_bytes(bytes.fromhex(path.read_text()))
    except (OSError, ValueError):
        raise ApricotshoreError(f"{path}: expected a key from 'key new'") from None


def save_key(path: Path, key: Ed25519PrivateKey) -> None:
    """Write a private key to a new file that only its owner can read.

    Raises
    ------
    ApricotshoreError
        When the file already exists.
    """
    raw = key.private_bytes(
        serialization.Encoding.Raw,
        serialization.PrivateFormat.Raw,
        serialization.NoEncryption(),
    )
    try:
        path.touch(mode=0o600, exist_ok=False)
    except FileExistsError:
        raise ApricotshoreError(f"{path} already exists") from None
    path.write_text(raw.hex())


def encode_public_key(key: Ed25519PrivateKey) -> str:
    """Return the public key of a private key in hex."""
    return (
        key.public_key()
        .public_bytes(serialization.Encoding.Raw, serialization.PublicFormat.Raw)
        .hex()
    )
