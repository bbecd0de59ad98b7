"""Callers' keys: making them, and telling whose a key is.

A key reads ``psk_<key id>_<secret>``. Only its SHA-256 is kept; the secret has
enough randomness that no slow digest is needed.
"""

import hashlib
import hmac
import secrets

from attrs import field, frozen

from .document import Document, KeyDigest

KEY_PREFIX = "psk"
# Digits alone would be read as a number by shells, sheets and command lines.
KEY_ID_PREFIX = "k"
KEY_ID_BYTES = 6
SECRET_BYTES = 24


@frozen
class IssuedKey:
    """A new key; the only time its secret can be read.

    Parameters
    ----------
    text : str
        What the caller sends.
    entry : KeyDigest
        What the document keeps.
    """

    text: str = field(repr=False)
    entry: KeyDigest


def issue_key(workspace: str) -> IssuedKey:
    """Make a new key for a workspace."""
    return make_key(
        workspace, secrets.token_hex(KEY_ID_BYTES), secrets.token_hex(SECRET_BYTES)
    )


def make_key(workspace: str, id_digits: str, secret: str) -> IssuedKey:
    """Return a workspace's key with the given digits in hexadecimal."""
    key_id = KEY_ID_PREFIX + id_digits
    text = f"{KEY_PREFIX}_{key_id}_{secret}"
    return IssuedKey(text, KeyDigest(key_id, workspace, key_digest(text)))


def is_key_id(text: str) -> bool:
    """Tell whether the text can be the public part of a key."""
    digits = text.removeprefix(KEY_ID_PREFIX)
    return len(digits) == 2 * KEY_ID_BYTES and set(digits) <= set("0123456789abcdef")


def key_digest(text: str) -> str:
    """Return the digest under which the document keeps a key."""
    return hashlib.sha256(text.encode()).hexdigest()


class KeyRing:
    """Tells whose a key is, from the keys of one document."""

    def __init__(self, document: Document):
        self._entries = {key.key_id: key for key in document.keys}

    def find(self, text: str) -> KeyDigest | None:
        """Return the entry of a key that was issued, withdrawn or not."""
        parts = text.split("_")
        if len(parts) != 3 or parts[0] != KEY_PREFIX:
            return None
        entry = self._entries.get(parts[1])
        if entry is None or not hmac.compare_digest(entry.digest, key_digest(text)):
            return None
        return entry
