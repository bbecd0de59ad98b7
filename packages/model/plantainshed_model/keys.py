"""Creation and verification of callers' API keys.

A key has the form ``psk_<key id>_<secret>``. Only its SHA-256 digest is stored. A slow
password hash is not needed, as the secret is random and long enough.
"""

import hashlib
import hmac
import secrets

from attrs import field, frozen

from .document import Document, KeyDigest

KEY_PREFIX = "psk"
# Without a letter, command-line parsers and spreadsheets would convert an id that
# happens to consist of digits to a number.
KEY_ID_PREFIX = "k"
KEY_ID_BYTES = 6
SECRET_BYTES = 24


@frozen
class IssuedKey:
    """A new key. Its secret is not stored, so it cannot be shown again later.

    Parameters
    ----------
    text : str
        The whole key, as the caller sends it.
    entry : KeyDigest
        The key's entry in the document.
    """

    text: str = field(repr=False)
    entry: KeyDigest


def issue_key(workspace: str) -> IssuedKey:
    """Generate a new random key for a workspace."""
    return make_key(
        workspace, secrets.token_hex(KEY_ID_BYTES), secrets.token_hex(SECRET_BYTES)
    )


def make_key(workspace: str, id_digits: str, secret: str) -> IssuedKey:
    """Build a workspace's key from a given id and secret, both in hexadecimal."""
    key_id = KEY_ID_PREFIX + id_digits
    text = f"{KEY_PREFIX}_{key_id}_{secret}"
    return IssuedKey(text, KeyDigest(key_id, workspace, key_digest(text)))


def is_key_id(text: str) -> bool:
    """Return whether the text has the format of a key id."""
    digits = text.removeprefix(KEY_ID_PREFIX)
    return len(digits) == 2 * KEY_ID_BYTES and set(digits) <= set("0123456789abcdef")


def key_digest(text: str) -> str:
    """Return the digest of a key, as the document stores it."""
    return hashlib.sha256(text.encode()).hexdigest()


class KeyRing:
    """Index of the keys of one document, for checking the keys that callers send."""

    def __init__(self, document: Document):
        self._entries = {key.key_id: key for key in document.keys}

    def find(self, text: str) -> KeyDigest | None:
        """Return the entry of a key, also if it is withdrawn; None if unknown."""
        parts = text.split("_")
        if len(parts) != 3 or parts[0] != KEY_PREFIX:
            return None
        entry = self._entries.get(parts[1])
        if entry is None or not hmac.compare_digest(entry.digest, key_digest(text)):
            return None
        return entry
