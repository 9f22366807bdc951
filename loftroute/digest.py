"""BLAKE2b digests (RFC 7693), the same in every process and on every machine.

The function is imported from the interpreter's own module: that of `hashlib` is the same, but to import it
loads the hash functions of OpenSSL too, which takes memory that a small relay needs.
"""

from _blake2 import blake2b


def digest_64(name: str, purpose: bytes = b"") -> int:
    """Return a 64-bit digest of a name. Digests for another purpose (up to 16 bytes) are unrelated."""
    encoded_name = name.encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(encoded_name, digest_size=8, person=purpose).digest(), "big")


def hex_digest(raw: bytes, digits: int) -> str:
    """Return the first hexadecimal digits, at most 128, of the digest of some bytes."""
    return blake2b(raw).hexdigest()[:digits]
